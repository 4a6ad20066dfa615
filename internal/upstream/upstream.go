// Package upstream holds the connections to endpoints. A connection carries
// one request at a time, and nothing is ever sent twice by itself: the caller
// knows of each request whether its bytes may have reached the endpoint.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// connectTimeout bounds a connect: endpoints are some milliseconds away,
	// and one that is dark does not answer.
	connectTimeout = 400 * time.Millisecond
	// silentAfter is when the kernel gives a connection up whose other end
	// acknowledges nothing.
	silentAfter = 2 * time.Second
	// idleFor is how long a connection is kept unless the endpoint states
	// less.
	idleFor = 4 * time.Second
	// idleMargin is the part of an endpoint's stated idle time that is used.
	idleMargin = 0.6
	// idleMost bounds the connections kept to one endpoint, whatever it bears:
	// more are seldom used again before they are closed.
	idleMost = 8
	// largeBody is the size from which a body is sent beside reading the
	// answer: an endpoint may answer before it has read it all.
	largeBody = 64 << 10
	// bufferBytes is the size of a connection's read buffer.
	bufferBytes = 4 << 10
)

var (
	connected = metrics.NewCounter("cyclamenwinch_endpoint_connects_total")
	refused   = metrics.NewCounter("cyclamenwinch_endpoint_connect_failures_total")
)

// ErrUnreachable says that no connection could be made: nothing was sent.
var ErrUnreachable = errors.New("endpoint unreachable")

// Pool keeps idle connections. It is safe for concurrent use.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]*Conn
	most   int // idle connections to one endpoint
	dialer net.Dialer
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	p := &Pool{idle: map[string][]*Conn{}, most: idleMost}
	p.dialer = net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2},
		Control:         setUserTimeout,
	}
	return p
}

// setUserTimeout makes the kernel give up a connection whose data is not
// acknowledged.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentAfter/time.Millisecond))
	})
	return errors.CombineErrors(err, failed)
}

// Conn is a connection to an endpoint.
type Conn struct {
	net.Conn
	Reused bool

	address string
	reader  *bufio.Reader
	idleFor time.Duration
	open    atomic.Bool // a request was sent whose answer has not come whole
	freeAt  time.Time
	sending chan error // result of a body that is sent beside reading; nil: none
}

// Get returns a connection to an address, a kept one unless fresh is set. The
// error is ErrUnreachable or that of the context.
func (p *Pool) Get(ctx context.Context, address string, fresh bool) (*Conn, error) {
	for !fresh {
		c := p.take(address)
		if c == nil {
			break
		}
		if c.sound() {
			c.Reused = true
			return c, nil
		}
		c.Close()
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		refused.Inc()
		return nil, errors.Mark(err, ErrUnreachable)
	}
	connected.Inc()
	return &Conn{Conn: nc, address: address, reader: bufio.NewReaderSize(nc, bufferBytes), idleFor: idleFor}, nil
}

func (p *Pool) take(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[address]
	if len(kept) == 0 {
		return nil
	}
	c := kept[len(kept)-1]
	p.idle[address] = kept[:len(kept)-1]
	return c
}

// sound reports whether an idle connection can be used: not too old, still
// open, and without bytes that nobody asked for.
func (c *Conn) sound() bool {
	if time.Since(c.freeAt) > c.idleFor || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Put keeps a connection whose answer has been read to its end.
func (p *Pool) Put(c *Conn, answer *http.Response) {
	c.open.Store(false)
	if answer.Close || c.sending != nil || c.reader.Buffered() > 0 || !c.reusable(answer) {
		c.Close()
		return
	}
	c.SetDeadline(time.Time{})
	c.freeAt = time.Now()
	p.mu.Lock()
	kept := p.idle[c.address]
	full := len(kept) >= p.most
	if !full {
		p.idle[c.address] = append(kept, c)
	}
	p.mu.Unlock()
	if full {
		c.Close()
	}
}

// Close closes the connection. If an exchange is open it is reset: what the
// kernel still holds of the request must not reach the endpoint later, when it
// was sent elsewhere or refused meanwhile.
func (c *Conn) Close() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.open.Load() {
		// If that fails, the connection is gone already.
		_ = tcp.SetLinger(0)
	}
	return c.Conn.Close()
}

// reusable notes the idle time that the endpoint states and reports whether
// it is worth keeping the connection.
func (c *Conn) reusable(answer *http.Response) bool {
	for _, field := range strings.Split(answer.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			c.idleFor = time.Duration(idleMargin * float64(time.Duration(seconds)*time.Second))
		}
	}
	return c.idleFor > 0
}

// SetMaxIdle bounds the connections kept to one endpoint: endpoints reset those
// beyond a number for all routers together.
func (p *Pool) SetMaxIdle(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most = min(most, idleMost)
}

// Prune closes the idle connections to addresses that keep does not name, and
// those that are too old.
func (p *Pool) Prune(keep func(address string) bool) {
	var closing []*Conn
	p.mu.Lock()
	for address, conns := range p.idle {
		left := conns[:0]
		for _, c := range conns {
			if keep(address) && time.Since(c.freeAt) <= c.idleFor {
				left = append(left, c)
			} else {
				closing = append(closing, c)
			}
		}
		clear(conns[len(left):])
		p.idle[address] = left
		if len(left) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		c.Close()
	}
}

// Send writes the request. Its body is body; req.Body is not used.
func (c *Conn) Send(req *http.Request, body []byte) error {
	c.open.Store(true)
	req.ContentLength = int64(len(body))
	req.Body = http.NoBody
	if len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
	}
	if len(body) < largeBody {
		return req.Write(c.Conn)
	}
	sending := make(chan error, 1)
	c.sending = sending
	go func() { sending <- req.Write(c.Conn) }()
	return nil
}

// Receive reads the head of the next answer.
func (c *Conn) Receive(req *http.Request) (*http.Response, error) {
	for {
		answer, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, err
		}
		if answer.StatusCode >= 200 || answer.StatusCode == http.StatusSwitchingProtocols {
			c.sent()
			return answer, nil
		}
	}
}

// sent notes that a large body has been sent whole, so that the connection
// may be kept.
func (c *Conn) sent() {
	select {
	case err := <-c.sending:
		if err == nil {
			c.sending = nil
		}
	default:
	}
}
