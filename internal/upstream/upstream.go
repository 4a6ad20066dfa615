// Package upstream keeps the TCP connections to the endpoints of a prepared
// platform. A connection carries one request at a time, and the package never
// resends a request: the caller always knows whether bytes of a request may have
// reached the endpoint.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/cyclamenwinch/cyclamenwinch/internal/limitio"
)

const (
	// connectTimeout limits a connection attempt. Endpoints are a few
	// milliseconds away, and one that is unreachable does not answer at all.
	connectTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept unless the
	// endpoint announces an idle timeout of its own.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutFactor is the fraction of an endpoint's announced idle timeout for
	// which an idle connection is kept.
	idleTimeoutFactor = 0.6
	// maxIdlePerEndpoint limits the idle connections to one endpoint, however
	// many requests it handles at a time: further ones are seldom reused before
	// they time out.
	maxIdlePerEndpoint = 8
	// largeBodyBytes is the size from which a body is sent while the response
	// is being read: an endpoint may respond before it has read the whole body.
	largeBodyBytes = 64 << 10
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// maxHeadBytes limits the head of a response, interim responses before it
	// included. Heads of endpoints have a few hundred bytes.
	maxHeadBytes = 64 << 10
	// receiveBufferBytes limits the unread bytes of a connection. It lets an endpoint
	// that is 5 ms away send 6 MB/s, while a stream of events takes about 0.1 MB/s.
	receiveBufferBytes = 32 << 10
	// rememberedIDs is how many requests a connection remembers by their IDs. Late
	// responses come where the next response is expected.
	rememberedIDs = 8
	// maxInterimResponses limits the interim (1xx) responses to one request.
	maxInterimResponses = 5
)

var (
	connects        = metrics.NewCounter("cyclamenwinch_endpoint_connects_total")
	connectFailures = metrics.NewCounter("cyclamenwinch_endpoint_connect_failures_total")
)

// ErrUnreachable means that no connection could be established, so nothing was
// sent.
var ErrUnreachable = errors.New("endpoint unreachable")

// errTooManyInterim means that maxInterimResponses is exceeded. It is marked with
// limitio.ErrTooLarge.
var errTooManyInterim = errors.Mark(errors.New("too many interim responses"), limitio.ErrTooLarge)

// Pool keeps idle connections. It is safe for concurrent use.
type Pool struct {
	mu      sync.Mutex
	idle    map[string][]*Conn
	maxIdle int // for each endpoint
	dialer  net.Dialer
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	// No TCP keepalives: a connection that the kernel ends can't be reset by Close
	// any more, and what the network still holds of a request on it would reach the
	// endpoint after a partition, when the request has been sent to another one.
	dialer := net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: limitio.ReceiveBuffer(receiveBufferBytes)}
	return &Pool{idle: map[string][]*Conn{}, maxIdle: maxIdlePerEndpoint, dialer: dialer}
}

// Conn is a connection to an endpoint.
type Conn struct {
	net.Conn
	Reused bool
	// WaitOn, if set, is called by the reading goroutine when a read deadline has
	// passed. If reading is to go on, it sets a later one and returns true.
	WaitOn func() bool

	address     string
	limit       *limitio.Reader // limits the response head; http.ReadResponse does not
	reader      *bufio.Reader   // reads from limit
	idleTimeout time.Duration
	inFlight    atomic.Bool // a request was sent and its response is not complete
	idleSince   time.Time
	carried     [rememberedIDs]uint64 // hashes of the IDs of its last requests; 0: none
	requests    int                   // with an ID
	bodyResult  chan error            // result of sending a large body in the background, or nil
}

// Get returns a connection to an address for a request with an ID, or none: an idle one if
// there is any, unless newConn is set. A connection that has carried a request with this
// ID is not used: a late response to that would be taken for the one to this request.
// The error is ErrUnreachable or that of the context.
func (p *Pool) Get(ctx context.Context, address, id string, newConn bool) (*Conn, error) {
	hash := hashID(id)
	for !newConn {
		c := p.takeIdle(address, hash)
		if c == nil {
			break
		}
		if c.usable() {
			c.Reused = true
			c.remember(hash)
			return c, nil
		}
		c.Close()
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		connectFailures.Inc()
		return nil, errors.Mark(err, ErrUnreachable)
	}
	connects.Inc()
	c := &Conn{Conn: nc, address: address, idleTimeout: defaultIdleTimeout}
	c.limit = &limitio.Reader{R: c, Remaining: math.MaxInt}
	c.reader = bufio.NewReaderSize(c.limit, readBufferBytes)
	c.remember(hash)
	return c, nil
}

// hashID returns a hash of a request's ID; 0: it has none.
func hashID(id string) uint64 {
	if id == "" {
		return 0
	}
	return xxhash.Sum64String(id)
}

func (c *Conn) remember(id uint64) {
	if id == 0 {
		return
	}
	c.carried[c.requests%rememberedIDs] = id
	c.requests++
}

// Read reads from the connection. It asks WaitOn at a read deadline, since neither a
// head nor a chunked body can be read further once a read of it has failed.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.WaitOn == nil || !c.WaitOn() {
			return n, err
		}
	}
}

// takeIdle removes the most recently used idle connection to an address that has not
// carried an ID from the pool and returns it, or nil if there is none.
func (p *Pool) takeIdle(address string, id uint64) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	for i := len(idle) - 1; i >= 0; i-- {
		if c := idle[i]; id == 0 || !slices.Contains(c.carried[:], id) {
			p.idle[address] = slices.Delete(idle, i, i+1)
			return c
		}
	}
	return nil
}

// usable reports whether an idle connection can be used: its idle timeout has
// not passed, it is still open, and the endpoint has sent no unsolicited bytes.
func (c *Conn) usable() bool {
	return time.Since(c.idleSince) <= c.idleTimeout && c.reader.Buffered() == 0 && !c.Readable()
}

// Readable reports whether a read of the socket would return at once, with data, an
// error or the end of the connection. It does not regard the read deadline.
func (c *Conn) Readable() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	noData := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = errors.Is(err, unix.EAGAIN)
	})
	return err != nil || !noData
}

// Put returns a connection to the pool after its response has been read to the
// end. It closes a connection that can't be reused.
func (p *Pool) Put(c *Conn, resp *http.Response) {
	c.inFlight.Store(false)
	c.WaitOn = nil
	c.SetDeadline(time.Time{})
	c.idleSince = time.Now()
	if resp.Close || c.bodyResult != nil || !c.applyKeepAlive(resp) || !c.usable() {
		c.Close()
		return
	}
	p.mu.Lock()
	idle := p.idle[c.address]
	full := len(idle) >= p.maxIdle
	if !full {
		p.idle[c.address] = append(idle, c)
	}
	p.mu.Unlock()
	if full {
		c.Close()
	}
}

// Close closes the connection. If a request is in flight it resets the
// connection instead: request bytes still in the kernel's send buffer must not
// reach the endpoint after the request was refused or sent to another one.
func (c *Conn) Close() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.inFlight.Load() {
		// An error means that the connection is already closed.
		_ = tcp.SetLinger(0)
	}
	return c.Conn.Close()
}

// applyKeepAlive takes the idle timeout from the response's Keep-Alive header,
// if it has one, and reports whether the connection may be kept at all.
func (c *Conn) applyKeepAlive(resp *http.Response) bool {
	for _, field := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			c.idleTimeout = time.Duration(idleTimeoutFactor * float64(time.Duration(seconds)*time.Second))
		}
	}
	return c.idleTimeout > 0
}

// SetMaxIdle limits the idle connections to one endpoint, to at most
// maxIdlePerEndpoint. Endpoints reset connections beyond a maximum that all
// routers share.
func (p *Pool) SetMaxIdle(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = min(n, maxIdlePerEndpoint)
}

// CloseIdle closes the idle connections to an address, as those to an endpoint that
// has not responded on another one.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// Prune closes the idle connections whose address keep rejects and those that can't be
// used any more. Unsolicited bytes of an endpoint would take memory until then.
func (p *Pool) Prune(keep func(address string) bool) {
	var closing []*Conn
	p.mu.Lock()
	for address, conns := range p.idle {
		remaining := conns[:0]
		for _, c := range conns {
			if keep(address) && c.usable() {
				remaining = append(remaining, c)
			} else {
				closing = append(closing, c)
			}
		}
		clear(conns[len(remaining):])
		p.idle[address] = remaining
		if len(remaining) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		c.Close()
	}
}

// Send writes the request with the given body; it ignores req.Body. A large
// body is sent in the background. The caller limits the time by a deadline.
func (c *Conn) Send(req *http.Request, body []byte) error {
	c.inFlight.Store(true)
	req.ContentLength = int64(len(body))
	req.Body = http.NoBody
	if len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
	}
	if len(body) < largeBodyBytes {
		return req.Write(c.Conn)
	}
	result := make(chan error, 1)
	c.bodyResult = result
	go func() { result <- req.Write(c.Conn) }()
	return nil
}

// Receive reads the head of the next final response and skips interim (1xx)
// responses. The error is limitio.ErrTooLarge beyond maxHeadBytes or
// maxInterimResponses. Reading the body returns ErrIncomplete if that ends with the
// connection and may be incomplete. The caller limits the time by a read deadline.
func (c *Conn) Receive(req *http.Request) (*http.Response, error) {
	c.limit.Remaining = maxHeadBytes
	defer func() { c.limit.Remaining = math.MaxInt }()
	for range maxInterimResponses + 1 {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, err
		}
		if err := checkStatus(resp.StatusCode); err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 {
			c.checkBodySent()
			if endsWithConn(resp) {
				resp.Body = connBody{resp.Body, c}
			}
			return resp, nil
		}
	}
	return nil, errTooManyInterim
}

// checkBodySent clears bodyResult if a large body has been sent completely, so
// that the connection may be reused.
func (c *Conn) checkBodySent() {
	select {
	case err := <-c.bodyResult:
		if err == nil {
			c.bodyResult = nil
			return
		}
		c.bodyResult <- err // for endedInOrder
	default:
	}
}
