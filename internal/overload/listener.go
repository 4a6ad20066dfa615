package overload

import (
	"net"
	"net/netip"
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

// longWait separates resets that tell the client at once from those that tell it late.
const longWait = 200 * time.Millisecond

var (
	resets       = exported.NewCounter("cyclamenwinch_client_connections_reset_total")
	lateResets   = exported.NewCounter("cyclamenwinch_client_connections_reset_late_total") // with bytes that had waited for longWait
	closedUnread = exported.NewCounter("cyclamenwinch_client_connections_closed_unread_total")
)

// Listener accepts TCP connections. While the process is overloaded, it lets a forwarder
// take new ones, or resets them without reading from them. That costs a fraction of a
// refusal, and tells the client at once that its request was not read, so that it may be
// sent elsewhere.
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
	lookedAt   time.Time   // end of the last look for new connections; used by Accept only
	report     resetReport // used by Accept only
	forwarder  Forwarder   // nil: none
}

// Forwarder takes connections that the process has no CPU time for.
type Forwarder interface {
	// Take takes over the socket of a client. It returns false if it does not.
	Take(fd int, client netip.AddrPort) bool
	// Flush is called after a batch of connections.
	Flush()
	// Reject responds to a client whose connection was not taken. It returns false if it does
	// not. The caller closes the socket.
	Reject(fd int) bool
}

// ForwardTo sets who takes connections instead of their being reset. It is to be called
// before Accept.
func (l *Listener) ForwardTo(f Forwarder) { l.forwarder = f }

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
			l.report.flush(l.now())
			return nil, err
		}
		l.lookedAt = l.now()
		if !l.overloaded() {
			l.unread.Add(1)
			l.count(1, 0)
			l.acceptedAt = l.now()
			l.report.send(l.acceptedAt)
			return &clientConn{TCPConn: c, l: l}, nil
		}
		if !l.forwardAccepted(c) {
			if raw, err := c.SyscallConn(); err == nil {
				// An error means that the connection is already closed.
				_ = raw.Control(func(fd uintptr) { l.turnAway(int(fd)) })
			}
			l.count(0, 1)
		}
		// An error means that the client has closed the connection.
		_ = c.Close()
	}
}

// take lets the forwarder take the socket of a client, if there is one.
func (l *Listener) take(fd int, client syscall.Sockaddr) bool {
	from, ok := client.(*syscall.SockaddrInet4)
	return ok && l.forwarder != nil && l.forwarder.Take(fd, netip.AddrPortFrom(netip.AddrFrom4(from.Addr), uint16(from.Port)))
}

// forwardAccepted lets the forwarder take a connection that the runtime has set up, with a
// socket of its own. The caller closes the connection.
func (l *Listener) forwardAccepted(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if l.forwarder == nil || err != nil {
		return false
	}
	client := c.RemoteAddr().(*net.TCPAddr).AddrPort()
	client = netip.AddrPortFrom(client.Addr().Unmap(), client.Port())
	taken := false
	// An error means that the connection is already closed.
	_ = raw.Control(func(fd uintptr) {
		own, err := unix.FcntlInt(fd, unix.F_DUPFD_CLOEXEC, 0)
		if err != nil {
			return // no descriptor is left
		}
		if taken = client.Addr().Is4() && l.forwarder.Take(own, client); !taken {
			_ = unix.Close(own) // the connection has another descriptor
		}
	})
	if taken {
		l.forwarder.Flush()
	}
	return taken
}

// turnAway rejects the request on a connection or notes that it will be reset. The caller
// closes the connection.
func (l *Listener) turnAway(fd int) {
	if l.forwarder != nil && l.forwarder.Reject(fd) {
		return
	}
	resets.Inc()
	l.report.add(unreadFor(fd))
}

// count counts new connections: those accepted and those turned away.
func (l *Listener) count(accepted, turnedAway int) {
	l.pressure.add(time.Now(), accepted, turnedAway)
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

// resetWaiting forwards, rejects or resets the connections that have been established. It
// uses system calls because the runtime would set up each connection for use first. It
// returns false if the listener is closed.
func (l *Listener) resetWaiting() bool {
	n, forwarded := 0, 0
	gap := l.now().Sub(l.lookedAt)
	err := l.raw.Control(func(fd uintptr) {
		for n < maxResets && l.overloaded() {
			// unix.Accept4 would make another system call for the protocol.
			c, from, err := syscall.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil {
				return // none is waiting
			}
			n++
			if l.forwarder != nil && l.take(c, from) {
				forwarded++
				continue
			}
			l.turnAway(c)
			// With the request unread, or on its way, closing resets the connection.
			_ = unix.Close(c)
		}
	})
	if l.forwarder != nil && n > 0 {
		l.forwarder.Flush()
	}
	l.count(0, n-forwarded)
	l.lookedAt = l.now()
	if n > 0 {
		l.report.sum.Gap = max(l.report.sum.Gap, gap)
	}
	l.report.send(l.lookedAt)
	return err == nil
}

// OnReset sets a function that is called at most once a second with the resets since.
// It is to be called before Accept.
func (l *Listener) OnReset(report func(Resets)) { l.report.to = report }

// Resets sums up connections that were reset.
type Resets struct {
	Count  int
	Waited time.Duration // the longest that the last bytes of one had been unread, by the kernel's clock
	Gap    time.Duration // the longest before a round of resets in which no connection was accepted or reset
}

// resetReport sums up resets for the log.
type resetReport struct {
	to     func(Resets) // nil: none
	sentAt time.Time
	sum    Resets
}

// add adds the reset of a connection whose last bytes had been unread for a time.
func (r *resetReport) add(unread time.Duration) {
	r.sum.Count++
	r.sum.Waited = max(r.sum.Waited, unread)
	if unread >= longWait {
		lateResets.Inc()
	}
}

// reportInterval is the time between two reports of resets.
const reportInterval = time.Second

func (r *resetReport) send(now time.Time) {
	if now.Sub(r.sentAt) >= reportInterval {
		r.flush(now)
	}
}

func (r *resetReport) flush(now time.Time) {
	if r.to == nil || r.sum.Count == 0 {
		return
	}
	r.to(r.sum)
	r.sentAt, r.sum = now, Resets{}
}

// unreadFor returns how long the last bytes of a socket have been unread, or 0 if
// there are none.
func unreadFor(fd int) time.Duration {
	if !hasUnread(fd) {
		return 0
	}
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0 // the connection has been reset by the client
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// hasUnread reports whether a socket has bytes that have not been read.
func hasUnread(fd int) bool {
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == nil && n > 0
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
	if raw, err := c.SyscallConn(); err == nil {
		// An error means that the connection is already closed.
		_ = raw.Control(func(fd uintptr) {
			if hasUnread(int(fd)) {
				closedUnread.Inc() // the client sees a reset, which may destroy a response on its way
			}
		})
	}
	return c.TCPConn.Close()
}

func (c *clientConn) countRead() { c.l.unread.Add(-1) }
