// Package peer connects routers: a gRPC server for the calls of others and
// a cache of connections to them.
package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
	"github.com/cyclamenwinch/cyclamenwinch/internal/settings"
)

const (
	pingEvery   = 10 * time.Second // on an idle connection
	pingTimeout = 2 * time.Second
	minPing     = 5 * time.Second
	backoffMax  = time.Second
)

// Handlers answer the calls of other routers.
type Handlers struct {
	Fleet     peerpb.FleetServer
	Admission peerpb.AdmissionServer
	Orders    peerpb.OrdersServer
}

// Serve answers peers on the listener until the context ends.
func Serve(ctx context.Context, l net.Listener, creds credentials.TransportCredentials, h Handlers) error {
	s := grpc.NewServer(
		grpc.Creds(creds),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingEvery, Timeout: pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPing, PermitWithoutStream: true}),
	)
	peerpb.RegisterFleetServer(s, h.Fleet)
	peerpb.RegisterAdmissionServer(s, h.Admission)
	peerpb.RegisterOrdersServer(s, h.Orders)
	stop := context.AfterFunc(ctx, s.Stop)
	defer stop()
	return errors.Wrap(s.Serve(l), "peer server")
}

// Credentials returns the transport credentials that the settings ask for.
// Certificates are read again at each handshake, so that they can be
// replaced without a restart.
func Credentials(t settings.PeerTLS) (credentials.TransportCredentials, error) {
	if t.Mode == settings.Plain {
		return insecure.NewCredentials(), nil
	}
	pool, err := readPool(t.CAFile)
	if err != nil {
		return nil, err
	}
	load := func() (*tls.Certificate, error) {
		cert, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
		return &cert, errors.Wrap(err, "peer certificate")
	}
	if _, err := load(); err != nil {
		return nil, err
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion:           tls.VersionTLS13,
		RootCAs:              pool,
		ClientCAs:            pool,
		ClientAuth:           tls.RequireAndVerifyClientCert,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return load() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return load() },
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

// Dialer caches one connection for each peer address. It is safe for
// concurrent use.
type Dialer struct {
	creds credentials.TransportCredentials

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewDialer returns a dialer without connections.
func NewDialer(creds credentials.TransportCredentials) *Dialer {
	return &Dialer{creds: creds, conns: map[string]*grpc.ClientConn{}}
}

// Conn returns the connection to the router. It does not wait for it to be
// ready.
func (d *Dialer) Conn(r member.Router) (*grpc.ClientConn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	conn, ok := d.conns[r.PeerAddr]
	if !ok {
		var err error
		conn, err = d.dial(r.PeerAddr)
		if err != nil {
			return nil, errors.Wrap(err, "dial peer")
		}
		d.conns[r.PeerAddr] = conn
	}
	return conn, nil
}

// Close closes all connections.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, conn := range d.conns {
		conn.Close()
	}
}

func (d *Dialer) dial(addr string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(d.creds),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingEvery, Timeout: pingTimeout, PermitWithoutStream: true}),
		grpc.WithConnectParams(connectParams()),
	)
}
