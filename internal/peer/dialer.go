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

// silentCalls is how many calls in a row may run out of time before the
// connection is given up: something on its way may have lost track of it
// while a new one would work.
const silentCalls = 3

// Dialer caches one connection for each peer address. It is safe for
// concurrent use.
type Dialer struct {
	creds credentials.TransportCredentials
	open  Connect

	mu    sync.Mutex
	conns map[string]*link
}

// Connect opens a TCP connection to an IP number and port.
type Connect func(ctx context.Context, addr string) (net.Conn, error)

// link is the connection to one address.
type link struct {
	conn    *grpc.ClientConn
	refused bool // the last attempt to connect was refused
	silent  int  // calls in a row that ran out of time
}

// NewDialer returns a dialer without connections.
func NewDialer(creds credentials.TransportCredentials) *Dialer {
	return NewDialerWith(creds, func(ctx context.Context, addr string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	})
}

// NewDialerWith returns a dialer that opens its connections by open.
func NewDialerWith(creds credentials.TransportCredentials, open Connect) *Dialer {
	return &Dialer{creds: creds, open: open, conns: map[string]*link{}}
}

// Conn returns the connection to the router. It does not wait for it to be
// ready.
func (d *Dialer) Conn(r member.Router) (*grpc.ClientConn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l, ok := d.conns[r.PeerAddr]; ok {
		return l.conn, nil
	}
	conn, err := d.dial(r.PeerAddr)
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	d.conns[r.PeerAddr] = &link{conn: conn}
	return conn, nil
}

// Refused reports whether the router's address refused the last attempt to
// connect: no process listens there.
func (d *Dialer) Refused(r member.Router) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := d.conns[r.PeerAddr]
	return ok && l.refused
}

// Answered notes that a call on the router's connection was answered.
func (d *Dialer) Answered(r member.Router) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l, ok := d.conns[r.PeerAddr]; ok {
		l.silent = 0
	}
}

// Silent notes that a short call on the router's connection ran out of time.
// After several in a row the connection is closed, and the next Conn opens a
// new one.
func (d *Dialer) Silent(r member.Router) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := d.conns[r.PeerAddr]
	if !ok {
		return
	}
	l.silent++
	if l.silent >= silentCalls {
		d.drop(r.PeerAddr)
	}
}

// Forget closes the connection to a router that is gone.
func (d *Dialer) Forget(r member.Router) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drop(r.PeerAddr)
}

// Close closes all connections.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for addr := range d.conns {
		d.drop(addr)
	}
}

// drop closes the connection to an address; the caller holds mu.
func (d *Dialer) drop(addr string) {
	l, ok := d.conns[addr]
	if !ok {
		return
	}
	delete(d.conns, addr)
	go l.conn.Close()
}

func (d *Dialer) dial(addr string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(d.creds),
		grpc.WithContextDialer(d.connect),
		grpc.WithStatsHandler(traffic{}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingEvery, Timeout: pingTimeout, PermitWithoutStream: true}),
		grpc.WithConnectParams(connectParams()),
	)
}

// connect opens a TCP connection and notes whether the address refused it.
func (d *Dialer) connect(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := d.open(ctx, addr)
	d.mu.Lock()
	if l, ok := d.conns[addr]; ok {
		l.refused = errors.Is(err, syscall.ECONNREFUSED)
	}
	d.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return countedConn{conn}, nil
}
