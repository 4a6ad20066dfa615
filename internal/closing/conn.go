package closing

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cyclamenwinch/cyclamenwinch/internal/limitio"
	"github.com/cyclamenwinch/cyclamenwinch/internal/memory"
)

// responseWriteTime limits how long a response to an incomplete request may take to
// write. It fits into the socket buffer unless the client has stopped reading.
const responseWriteTime = 50 * time.Millisecond

// Responses to requests of which only a part of the head has arrived. Both statuses
// say that the request was not run.
const (
	timeoutResponse  = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	stoppingResponse = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 0.050\r\nContent-Length: 0\r\n\r\n"
	memoryResponse   = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 0.300\r\nContent-Length: 0\r\n\r\n"
)

// Incomplete describes a request of which only a part of the head had arrived when its
// connection was closed.
type Incomplete struct {
	Status   int  // of the response
	Answered bool // the response was written
}

// Conns owns the HTTP/1.1 connections of a server; those of HTTP/2 are left to net/http,
// which knows their requests. net/http takes a connection for idle until the head of its
// next request has been parsed, so its Shutdown and its deadlines close connections with
// requests that were read or wait in the socket. Conns closes only those without. It is
// safe for concurrent use.
type Conns struct {
	onIncomplete func(Incomplete)
	limits       Limits
	report       limitReport
	// ending is set by CloseIdle before it looks at a connection, and read by the holder
	// of conn.mu, so that either side sees what the other did.
	ending atomic.Bool

	mu       sync.Mutex
	open     map[*conn]struct{}
	admitted int  // connections whose sockets are open, also those of HTTP/2
	aborted  bool // see Abort
}

// NewConns returns a Conns without limits. onIncomplete is called for each request whose connection is
// closed before its head was complete, unless the client closed it.
func NewConns(onIncomplete func(Incomplete)) *Conns {
	return NewLimitedConns(Limits{}, onIncomplete)
}

// NewLimitedConns returns a Conns with limits; see NewConns.
func NewLimitedConns(l Limits, onIncomplete func(Incomplete)) *Conns {
	return &Conns{onIncomplete: onIncomplete, limits: l, report: limitReport{to: l.OnLimited}, open: map[*conn]struct{}{}}
}

// Listener returns a listener whose connections belong to s. The server that accepts
// from it must call s.ConnState.
func (s *Conns) Listener(l net.Listener) net.Listener { return &listener{Listener: l, conns: s} }

// SealedListener returns a listener for TLS. Only the limits apply to its connections.
func (s *Conns) SealedListener(l net.Listener) net.Listener {
	return &listener{Listener: l, conns: s, sealed: true}
}

// ConnState is meant for http.Server.ConnState.
func (s *Conns) ConnState(c net.Conn, state http.ConnState) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if c, ok := c.(*conn); ok {
		c.setState(state)
	}
}

// CloseIdle closes the connections without a request, and the others once they have
// none. It does not wait.
func (s *Conns) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending.Store(true)
	for c := range s.open {
		if !c.sealed {
			c.expireIfIdle()
		}
	}
}

// Open returns the number of connections that are not in TLS.
func (s *Conns) Open() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if !c.sealed {
			n++
		}
	}
	return n
}

// Abort makes all closes immediate, also those in progress. It is called before
// http.Server.Close, which closes one connection after the other.
func (s *Conns) Abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.aborted = true
	for c := range s.open {
		c.stopReadingRest()
	}
}

func (s *Conns) isAborted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.aborted
}

type listener struct {
	net.Listener
	conns  *Conns
	sealed bool
}

// Accept returns the next connection that the limits admit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		socket, ok := accepted.(socketConn)
		if !ok {
			return accepted, nil // not a TCP connection
		}
		c := &conn{socketConn: socket, conns: l.conns, sealed: l.sealed, since: time.Now()}
		if !l.conns.admit(c) {
			reset(accepted)
			continue
		}
		if l.conns.ending.Load() && !l.sealed {
			c.expireIfIdle()
		}
		return c, nil
	}
}

// socketConn is a TCP connection or wraps one.
type socketConn interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
}

// conn is a connection of an HTTP/1.1 server.
type conn struct {
	socketConn
	conns  *Conns
	sealed bool      // in TLS: what is sent can't be read or answered here
	once   sync.Once // for Close

	mu         sync.Mutex
	held       usage
	since      time.Time // when it was opened, or its latest request ended
	evicted    bool      // it is closed to make room for others
	noMemory   bool      // there was no memory for the head of a request
	active     bool      // a handler runs, or has run and its response is being written
	incomplete bool      // bytes were read since the last response, and no handler has run
	expired    bool      // the latest read ended with its deadline
	rest       bool      // Close reads what the client still sends
	left       bool      // the client has closed the connection
	deadlines  int       // read deadlines set since the last response
	preface    int       // number of bytes that are those of http2Preface; -1: not HTTP/2
}

// Unwrap returns the connection that this one wraps.
func (c *conn) Unwrap() net.Conn { return c.socketConn }

// http2Preface is what an HTTP/2 connection begins with.
const http2Preface = "PRI * HTTP/2.0"

// isHTTP2 is called by the holder of c.mu.
func (c *conn) isHTTP2() bool { return c.preface == len(http2Preface) }

// detectHTTP2 looks at the bytes that were read next. From the preface of HTTP/2 on the
// connection does not belong to its Conns.
func (c *conn) detectHTTP2(read []byte) bool {
	c.mu.Lock()
	for i := 0; i < len(read) && c.preface >= 0 && !c.isHTTP2(); i++ {
		if c.preface++; read[i] != http2Preface[c.preface-1] {
			c.preface = -1
		}
	}
	detected := c.isHTTP2() && !c.active
	if detected {
		c.active, c.incomplete = true, false
	}
	memoryLeft := !detected || c.held.released || c.held.conn.Resize(memory.ConnectionBytes+HTTP2ReceiveBytes)
	c.mu.Unlock()
	if detected {
		c.remove()
	}
	return memoryLeft
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// Read reads from the connection. Bytes that wait in the socket are returned even if
// the read deadline has passed, since this process was late then, not the client.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.socketConn.Read(p)
	if c.sealed {
		return c.readSealed(p[:n], err)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if waiting := readWaiting(c, p); waiting > 0 {
			n, err = waiting, nil
		}
	}
	memoryLeft := c.detectHTTP2(p[:n])
	c.mu.Lock()
	defer c.mu.Unlock()
	if !memoryLeft {
		return 0, memory.ErrNoMemory
	}
	if n > 0 && !c.active {
		c.incomplete = true
	}
	if !c.countRead(p[:n]) {
		// The response says that the request was not run; see respondIfIncomplete.
		c.noMemory, n, err = true, 0, os.ErrDeadlineExceeded
	}
	c.expired = errors.Is(err, os.ErrDeadlineExceeded)
	c.left = c.left || err != nil && !c.expired
	return n, err
}

// readSealed returns what was read in TLS, or an error if there is no memory for it.
func (c *conn) readSealed(p []byte, err error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.countRead(p) {
		return 0, memory.ErrNoMemory
	}
	return len(p), err
}

// readWaiting reads what waits in a socket and returns the number of bytes.
func readWaiting(c syscall.Conn, p []byte) (n int) {
	control(c, func(fd int) {
		got, _, err := unix.Recvfrom(fd, p, unix.MSG_DONTWAIT)
		if err == nil {
			n = got
		}
	})
	return n
}

// hasUnread reports whether bytes wait in a socket.
func hasUnread(c syscall.Conn) (unread bool) {
	control(c, func(fd int) {
		var b [1]byte
		n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return unread
}

// control calls f with the descriptor of a connection, unless it is closed.
func control(c syscall.Conn, f func(fd int)) {
	if raw, err := c.SyscallConn(); err == nil {
		// An error means that the connection is closed.
		_ = raw.Control(func(fd uintptr) { f(int(fd)) })
	}
}

// Write writes to the connection. net/http takes a part of a request line for a
// malformed one, so its response is replaced if the rest has not arrived.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if len(p) > largeBytes {
		c.enlarge(c.held.send, sendBytes, limitio.EnlargeSend)
	}
	cut := !c.active && c.expired && !c.sealed
	c.incomplete = cut
	c.mu.Unlock()
	if cut {
		c.respondIfIncomplete()
		return len(p), nil
	}
	return c.socketConn.Write(p)
}

// SetReadDeadline sets the read deadline. While the server ends, that of a connection
// without a request has always passed.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadlines++
	if c.deadlines > 1 && !c.active {
		// net/http sets one to wait for a request, and another once it has a part,
		// which it may have read with the request before.
		c.incomplete = true
	}
	if c.conns.ending.Load() && !c.active && !c.sealed {
		t = past
	}
	return c.socketConn.SetReadDeadline(t)
}

// expireIfIdle ends the wait for a request, so that the goroutine which reads from the
// connection closes it unless it has read one.
func (c *conn) expireIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.active {
		// An error means that the connection is closed.
		_ = c.socketConn.SetReadDeadline(past)
	}
}

// setState records a change of the state that net/http keeps.
func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isHTTP2() || state == http.StateActive && c.expired {
		return // net/http counts a request as active also if reading its head failed
	}
	c.active = state == http.StateActive
	if c.active || state == http.StateIdle {
		c.incomplete, c.expired, c.deadlines = false, false, 0
	}
	if state == http.StateIdle {
		c.since, c.evicted = time.Now(), false
		c.endHead()
	}
	if c.active && !c.sealed && c.conns.ending.Load() {
		// The deadline that expireIfIdle set must not end the request. An error means
		// that the connection is closed.
		_ = c.socketConn.SetReadDeadline(time.Time{})
	}
}

// Close closes the connection. It responds to a request whose head is incomplete, and
// reads what the client still sends, since a close with unread bytes resets the
// connection and may destroy the response.
func (c *conn) Close() (err error) {
	c.once.Do(func() {
		defer c.release()
		defer c.remove()
		if !c.sealed && !c.conns.isAborted() {
			c.respondIfIncomplete()
			c.readRest()
		}
		c.limitUnacknowledged()
		err = c.socketConn.Close()
	})
	return err
}

func (c *conn) remove() {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	delete(c.conns.open, c)
}

// release gives back what the connection has reserved. It is called once the socket is
// closed.
func (c *conn) release() {
	c.conns.mu.Lock()
	c.conns.admitted--
	c.conns.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held.released = true
	for _, r := range []*memory.Reservation{c.held.conn, c.held.receive, c.held.send, c.held.head} {
		r.Release()
	}
}

func (c *conn) respondIfIncomplete() {
	c.mu.Lock()
	incomplete, noMemory := c.incomplete && !c.left, c.noMemory
	c.incomplete = false
	c.mu.Unlock()
	if !incomplete {
		return
	}
	r, response := Incomplete{Status: http.StatusRequestTimeout}, timeoutResponse
	switch {
	case c.conns.ending.Load():
		r, response = Incomplete{Status: http.StatusServiceUnavailable}, stoppingResponse
	case noMemory:
		r, response = Incomplete{Status: http.StatusServiceUnavailable}, memoryResponse
	}
	if c.SetWriteDeadline(time.Now().Add(responseWriteTime)) == nil {
		_, err := io.WriteString(c.socketConn, response)
		r.Answered = err == nil
	}
	c.conns.onIncomplete(r)
}

// readRest reads what the client still sends if bytes wait in the socket, until Abort.
func (c *conn) readRest() {
	if !hasUnread(c) || c.CloseWrite() != nil || c.beginRest() != nil || c.conns.isAborted() {
		return
	}
	// An error means that the client has closed the connection or is too slow.
	_, _ = io.CopyN(io.Discard, c.socketConn, maxRestBytes)
}

func (c *conn) beginRest() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rest = true
	return c.socketConn.SetReadDeadline(time.Now().Add(maxRestTime))
}

func (c *conn) stopReadingRest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rest {
		// An error means that the connection is closed.
		_ = c.socketConn.SetReadDeadline(past)
	}
}
