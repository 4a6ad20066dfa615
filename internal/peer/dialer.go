package peer

import (
	"context"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"github.com/cyclamenwinch/cyclamenwinch/core/member"
)

// maxTimeouts is the number of consecutive calls that may time out before the
// connection is replaced. A device on the network path may have dropped its
// state of the connection, in which case only a new connection works.
const maxTimeouts = 3

// Dialer caches one connection per peer address. It is safe for
// concurrent use.
type Dialer struct {
	creds   credentials.TransportCredentials
	dialTCP DialFunc

	mu    sync.Mutex
	conns map[string]*peerConn
}

// DialFunc opens a TCP connection to an IP address and port.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// peerConn is the connection to one address.
type peerConn struct {
	conn     *grpc.ClientConn
	refused  bool // the last attempt to connect was refused
	timeouts int  // consecutive calls that timed out
}

// NewDialer returns a dialer that has no connections yet.
func NewDialer(creds credentials.TransportCredentials) *Dialer {
	return NewDialerFunc(creds, func(ctx context.Context, addr string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	})
}

// NewDialerFunc returns a dialer that opens its TCP connections with dial.
func NewDialerFunc(creds credentials.TransportCredentials, dial DialFunc) *Dialer {
	return &Dialer{creds: creds, dialTCP: dial, conns: map[string]*peerConn{}}
}

// Conn returns the connection to the router, which may not be ready yet.
func (d *Dialer) Conn(r member.Router) (*grpc.ClientConn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c, ok := d.conns[r.PeerAddr]; ok {
		return c.conn, nil
	}
	conn, err := d.newConn(r.PeerAddr)
	if err != nil {
		return nil, errors.Wrap(err, "create peer connection")
	}
	d.conns[r.PeerAddr] = &peerConn{conn: conn}
	return conn, nil
}

// ConnectionRefused reports whether the router's address refused the last
// attempt to connect, which means that no process listens there.
func (d *Dialer) ConnectionRefused(r member.Router) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.conns[r.PeerAddr]
	return ok && c.refused
}

// RecordResponse records that a call on the router's connection succeeded.
func (d *Dialer) RecordResponse(r member.Router) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c, ok := d.conns[r.PeerAddr]; ok {
		c.timeouts = 0
	}
}

// RecordTimeout records that a call with a short deadline timed out on the
// router's connection. After maxTimeouts consecutive timeouts it closes the
// connection, and the next call of Conn opens a new one.
func (d *Dialer) RecordTimeout(r member.Router) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.conns[r.PeerAddr]
	if !ok {
		return
	}
	c.timeouts++
	if c.timeouts >= maxTimeouts {
		d.closeConn(r.PeerAddr)
	}
}

// CloseConn closes the connection to the router, if there is one. The next
// call of Conn opens a new one.
func (d *Dialer) CloseConn(r member.Router) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closeConn(r.PeerAddr)
}

// Close closes all connections.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for addr := range d.conns {
		d.closeConn(addr)
	}
}

// closeConn closes the connection to an address. The caller must hold d.mu.
func (d *Dialer) closeConn(addr string) {
	c, ok := d.conns[addr]
	if !ok {
		return
	}
	delete(d.conns, addr)
	go c.conn.Close()
}

func (d *Dialer) newConn(addr string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(d.creds),
		grpc.WithContextDialer(d.connect),
		grpc.WithStatsHandler(trafficStats{}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout, PermitWithoutStream: true}),
		grpc.WithConnectParams(connectParams()),
	)
}

// connect opens a TCP connection and records whether the address refused it.
func (d *Dialer) connect(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := d.dialTCP(ctx, addr)
	d.mu.Lock()
	if c, ok := d.conns[addr]; ok {
		c.refused = errors.Is(err, syscall.ECONNREFUSED)
	}
	d.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return countingConn{conn}, nil
}
