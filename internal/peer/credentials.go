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

// Credentials returns the transport credentials that the settings select.
// The certificate and the CA are reread at each handshake, so that they can
// be replaced without a restart.
func Credentials(t settings.PeerTLS) (credentials.TransportCredentials, error) {
	if t.Mode == settings.Plain {
		return insecure.NewCredentials(), nil
	}
	c := reloadingCredentials{files: t}
	if _, err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

// reloadingCredentials loads its certificate files at each handshake.
type reloadingCredentials struct{ files settings.PeerTLS }

// ClientHandshake authenticates this router to a peer and verifies the peer's
// certificate.
func (c reloadingCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	current, err := c.load()
	if err != nil {
		return nil, nil, err
	}
	return current.ClientHandshake(ctx, authority, conn)
}

// ServerHandshake verifies the certificate of a connecting peer.
func (c reloadingCredentials) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	current, err := c.load()
	if err != nil {
		return nil, nil, err
	}
	return current.ServerHandshake(conn)
}

// Info implements credentials.TransportCredentials.
func (c reloadingCredentials) Info() credentials.ProtocolInfo {
	return credentials.NewTLS(&tls.Config{MinVersion: tls.VersionTLS13}).Info()
}

// Clone returns c itself, which holds no mutable state.
func (c reloadingCredentials) Clone() credentials.TransportCredentials { return c }

// OverrideServerName is not supported: a peer's certificate is verified
// against its IP address.
func (c reloadingCredentials) OverrideServerName(string) error {
	return errors.New("overriding the server name is not supported")
}

func (c reloadingCredentials) load() (credentials.TransportCredentials, error) {
	pool, err := readCertPool(c.files.CAFile)
	if err != nil {
		return nil, err
	}
	cert, err := tls.LoadX509KeyPair(c.files.CertFile, c.files.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load peer certificate")
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion:   tls.VersionTLS13,
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		Certificates: []tls.Certificate{cert},
	}), nil
}

func readCertPool(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read peer CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("no valid peer CA certificate in %s", file)
	}
	return pool, nil
}
