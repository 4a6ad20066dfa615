package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/cyclamenwinch/cyclamenwinch/internal/settings"
)

// Credentials returns the transport credentials that the settings ask for.
// Certificates and the CA are read again at each handshake, so that they can
// be replaced without a restart.
func Credentials(t settings.PeerTLS) (credentials.TransportCredentials, error) {
	if t.Mode == settings.Plain {
		return insecure.NewCredentials(), nil
	}
	c := reloaded{files: t}
	if _, err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

// reloaded reads its files for each handshake.
type reloaded struct{ files settings.PeerTLS }

// ClientHandshake proves this router to a peer and checks the peer.
func (c reloaded) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	fresh, err := c.load()
	if err != nil {
		return nil, nil, err
	}
	return fresh.ClientHandshake(ctx, authority, conn)
}

// ServerHandshake checks a peer that connects.
func (c reloaded) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	fresh, err := c.load()
	if err != nil {
		return nil, nil, err
	}
	return fresh.ServerHandshake(conn)
}

// Info describes the protocol.
func (c reloaded) Info() credentials.ProtocolInfo {
	return credentials.NewTLS(&tls.Config{MinVersion: tls.VersionTLS13}).Info()
}

// Clone returns the credentials themselves: they hold no state.
func (c reloaded) Clone() credentials.TransportCredentials { return c }

// OverrideServerName is not supported; peers are checked by IP number.
func (c reloaded) OverrideServerName(string) error {
	return errors.New("the server name can't be overridden")
}

func (c reloaded) load() (credentials.TransportCredentials, error) {
	pool, err := readPool(c.files.CAFile)
	if err != nil {
		return nil, err
	}
	cert, err := tls.LoadX509KeyPair(c.files.CertFile, c.files.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "peer certificate")
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion:   tls.VersionTLS13,
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		Certificates: []tls.Certificate{cert},
	}), nil
}

func readPool(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "peer CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("peer CA: no certificate in %s", file)
	}
	return pool, nil
}
