package closing

import (
	"bytes"
	"math"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"github.com/cyclamenwinch/cyclamenwinch/internal/limitio"
	"github.com/cyclamenwinch/cyclamenwinch/internal/memory"
)

// Limits limit what client connections may take together. The zero value limits nothing.
type Limits struct {
	// Max is the number of open connections; 0: no limit. From spareConnections of it
	// on, connections without a request in progress make room for new ones.
	Max int
	// Memory is reserved for each connection and for the heads of its requests; nil: not.
	Memory *memory.Budget
	// Control is the name of a server that serves no client requests, so that its
	// connections are reserved apart from theirs; empty: it serves them.
	Control string
	// OnLimited is called with what the limits have done, at most once a second; nil:
	// not. It must not wait.
	OnLimited func(Limited)
}

const (
	// spareConnections is the part of Limits.Max that is left for the time in which
	// closed connections are still open.
	spareConnections = 1.0 / 16
	// maxExamined limits the connections that are examined to find one to close. Among
	// so many one of the longest waiting is found.
	maxExamined = 64

	// receiveBytes and sendBytes are the kernel buffers for large bodies and responses.
	// They let a client that is 5 ms away send 13 MB/s and receive 6 MB/s.
	receiveBytes = 64 << 10
	sendBytes    = 32 << 10
	// largeBytes is the size of a body or response from which the buffers are enlarged.
	largeBytes = limitio.SmallBuffer
	// kernelFactor is by how much the kernel exceeds the size of a buffer, for its own
	// overhead.
	kernelFactor = 2

	// maxUnacknowledged limits, in ms, for how long the kernel keeps the rest of a response
	// for a client that acknowledges nothing after its connection was closed. Without it
	// these are minutes. A client that reads on has several times its longest silence.
	maxUnacknowledged = 10_000

	// A head takes headByteCost bytes of memory for each byte, as it is read, parsed and
	// copied, and headLineCost bytes for each line: 82 bytes for a short field were
	// measured, and the fields are copied twice. Of a head in TLS only the bytes are
	// known; the shortest fields have seven.
	headByteCost   = 3
	headLineCost   = 256
	sealedByteCost = headByteCost + headLineCost/7
	// freeHeadBytes of this are part of memory.ConnectionBytes. Usual heads, of twenty
	// fields, take less.
	freeHeadBytes = 8 << 10
)

// HTTP2ReceiveBytes is how much of request bodies an HTTP/2 connection may hold unread. It
// is the least that the protocol allows.
const HTTP2ReceiveBytes = 64 << 10

var (
	refusedConns = metrics.NewCounter("cyclamenwinch_client_connections_refused_total")
	evictedConns = metrics.NewCounter("cyclamenwinch_client_connections_evicted_total")
	refusedHeads = metrics.NewCounter("cyclamenwinch_request_heads_refused_total")
)

// usage is what a connection has reserved.
type usage struct {
	conn, receive, send, head *memory.Reservation
	headBytes, headLines      int // of the head that is being read
	bodyBytes                 int // read since the head
	released                  bool
}

func (s *Conns) reserve(c memory.Class) *memory.Reservation {
	if s.limits.Memory == nil {
		return nil
	}
	if s.limits.Control != "" && c != memory.Buffers {
		c = memory.Control
	}
	return s.limits.Memory.Reserve(c, s.limits.Control, 0)
}

// admit adds a connection, or returns false if the limits don't allow it. It then closes
// connections without a request, so that later ones are admitted.
func (s *Conns) admit(c *conn) bool {
	c.held = usage{conn: s.reserve(memory.Connections), receive: s.reserve(memory.Buffers),
		send: s.reserve(memory.Buffers), head: s.reserve(memory.Heads)}
	s.mu.Lock()
	defer s.mu.Unlock()
	most, spare := math.MaxInt, 0
	if s.limits.Max > 0 {
		most, spare = s.limits.Max, int(spareConnections*float64(s.limits.Max))
	}
	if s.admitted >= most-spare {
		s.evict()
	}
	if s.admitted >= most || !c.held.conn.Resize(memory.ConnectionBytes) {
		if s.admitted < most-spare {
			s.evict()
		}
		refusedConns.Inc()
		s.report.add(func(sum *Limited) { sum.Refused++; sum.Open = s.admitted })
		return false
	}
	s.open[c] = struct{}{}
	s.admitted++
	return true
}

// evict closes one of the connections that have been without a request for longest. The
// caller must hold s.mu.
func (s *Conns) evict() {
	var oldest *conn
	var oldestSince time.Time
	examined := 0
	for c := range s.open { // in random order
		if since, ok := c.waitingSince(); ok && (oldest == nil || since.Before(oldestSince)) {
			oldest, oldestSince = c, since
		}
		if examined++; examined == maxExamined {
			break
		}
	}
	if oldest != nil {
		evictedConns.Inc()
		s.report.add(func(sum *Limited) { sum.Evicted++; sum.Open = s.admitted })
		oldest.expire()
	}
}

// waitingSince returns since when a connection has had no request in progress. It returns
// false if it has one or is being closed.
func (c *conn) waitingSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, !c.active && !c.evicted
}

// expire ends the wait for a request; see expireIfIdle.
func (c *conn) expire() {
	c.mu.Lock()
	c.evicted = true
	c.mu.Unlock()
	c.expireIfIdle()
}

// countRead counts bytes that were read, and reserves memory for a large head. It returns
// false if there is none. The caller must hold c.mu.
func (c *conn) countRead(p []byte) bool {
	h := &c.held
	if h.released {
		return true // the connection is closed
	}
	if c.active {
		if h.bodyBytes += len(p); h.bodyBytes > largeBytes {
			c.enlarge(h.receive, receiveBytes, limitio.EnlargeReceive)
		}
		return true
	}
	h.headBytes += len(p)
	need := headByteCost * h.headBytes
	if c.sealed {
		need = sealedByteCost * h.headBytes
	} else {
		h.headLines += bytes.Count(p, []byte{'\n'})
		need += headLineCost * h.headLines
	}
	if need > freeHeadBytes && !h.head.Resize(int64(need)) {
		refusedHeads.Inc()
		c.conns.report.add(func(sum *Limited) { sum.Heads++ })
		return false
	}
	return true
}

// enlarge enlarges a kernel buffer if there is memory for it, once. The caller must hold
// c.mu.
func (c *conn) enlarge(held *memory.Reservation, size int, set func(c syscall.RawConn, size int) error) {
	if c.held.released || held.Holds() || !held.Resize(kernelFactor*int64(size)) {
		return
	}
	if raw, err := c.SyscallConn(); err == nil {
		// An error means that the connection is closed.
		_ = set(raw, size)
	}
}

// HeadCost returns the memory that the head of a request takes beyond that of its
// connection. It is meant for HTTP/2, of whose connections many requests share one.
func HeadCost(h http.Header) int64 {
	lines, size := 0, 0
	for name, values := range h {
		lines += len(values)
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	need := headByteCost*size + headLineCost*lines
	if need <= freeHeadBytes {
		return 0
	}
	return int64(need)
}

// endHead releases the memory of the latest head. The caller must hold c.mu.
func (c *conn) endHead() {
	c.held.head.Release()
	c.held.headBytes, c.held.headLines, c.held.bodyBytes = 0, 0, 0
}

// limitUnacknowledged makes the kernel drop what the client doesn't take after the close.
// Such bytes belong to no connection that the limits know.
func (c *conn) limitUnacknowledged() {
	control(c, func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil && n > 0 {
			// An error means that the client has closed the connection.
			_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, maxUnacknowledged)
		}
	})
}

// reset closes a connection that is not admitted. A reset tells the client at once.
func reset(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(sec int) error }); ok {
		// An error means that the client has closed the connection.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
