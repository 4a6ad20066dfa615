package overload

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	exported "github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// maxAcceptLag is the wait for the CPU above which new connections are reset.
	// It is below the wait at which requests are refused, since a request waits
	// more often on a new connection than on a kept one.
	maxAcceptLag = 20 * time.Millisecond
	// minQueueLag is the wait for the CPU from which maxUnread applies. Below it, a
	// burst of connections is served soon.
	minQueueLag = 5 * time.Millisecond
	// maxUnread limits the accepted connections that nothing was read from yet.
	maxUnread = 16
	// maxAcceptGap is the longest time without accepting a connection. A router that
	// says it is ready has to serve some new clients however overloaded it is.
	maxAcceptGap = 500 * time.Millisecond
	// resetInterval is the time between two rounds of resets. A connection that
	// waits so long costs less than a wake-up for each.
	resetInterval = 10 * time.Millisecond
	// maxResets limits the connections reset in one round.
	maxResets = 256
)

var resets = exported.NewCounter("cyclamenwinch_client_connections_reset_total")

// Listener accepts TCP connections and, while the process is overloaded, resets new
// ones without reading from them. That costs a fraction of a refusal, and tells the
// client at once that its request was not read, so that it may be sent elsewhere.
// Accept is to be called by one goroutine at a time; the other methods are safe for
// concurrent use.
type Listener struct {
	*net.TCPListener
	raw    syscall.RawConn
	lag    func() time.Duration
	now    func() time.Time
	unread atomic.Int64 // connections returned by Accept that nothing was read from yet

	acceptedAt time.Time // last time that Accept returned a connection; used by Accept only
	pressure   pressure
}

// NewListener returns a Listener. lag returns how long work waits for the CPU, as
// Meter.Lag does.
func NewListener(l *net.TCPListener, lag func() time.Duration) (*Listener, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "access the listening socket")
	}
	return &Listener{TCPListener: l, raw: raw, lag: lag, now: time.Now}, nil
}

// Accept returns the next connection that the process has CPU time for.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		for l.overloaded() && l.resetWaiting() {
			time.Sleep(resetInterval)
		}
		c, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if !l.overloaded() {
			l.unread.Add(1)
			l.count(1, 0)
			l.acceptedAt = l.now()
			return &clientConn{TCPConn: c, l: l}, nil
		}
		l.count(0, 1)
		// An error means that the client has closed the connection.
		_ = c.Close()
	}
}

// count counts new connections.
func (l *Listener) count(accepted, reset int) {
	l.pressure.add(time.Now(), accepted, reset)
	resets.Add(reset)
}

// Pressure returns how many times as many connections clients have recently opened
// as were accepted, at least 1.
func (l *Listener) Pressure() float64 { return l.pressure.ratio(time.Now()) }

// overloaded reports whether new connections are to be reset.
func (l *Listener) overloaded() bool {
	if l.now().Sub(l.acceptedAt) >= maxAcceptGap {
		return false
	}
	lag := l.lag()
	return lag > maxAcceptLag || lag > minQueueLag && l.unread.Load() >= maxUnread
}

// resetWaiting resets the connections that have been established. It uses system
// calls because the runtime would set up each connection for use first. It returns
// false if the listener is closed.
func (l *Listener) resetWaiting() bool {
	n := 0
	err := l.raw.Control(func(fd uintptr) {
		for n < maxResets && l.overloaded() {
			c, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil {
				return // none is waiting
			}
			n++
			// With the request unread, or on its way, closing resets the connection.
			_ = unix.Close(c)
		}
	})
	l.count(0, n)
	return err == nil
}

// clientConn is an accepted connection. It embeds the TCP connection for its other
// interfaces.
type clientConn struct {
	*net.TCPConn
	l    *Listener
	once sync.Once
}

// Read reads from the connection.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.once.Do(c.countRead)
	return n, err
}

// Close closes the connection.
func (c *clientConn) Close() error {
	c.once.Do(c.countRead)
	return c.TCPConn.Close()
}

func (c *clientConn) countRead() { c.l.unread.Add(-1) }
