package relay

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cyclamenwinch/cyclamenwinch/internal/upstream"
	"github.com/cyclamenwinch/cyclamenwinch/internal/wake"
)

type connKey struct{}

// ConnContext stores the client's connection in the context of its requests. It
// is meant for http.Server.ConnContext.
func (h *Relay) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

type originKey struct{}

// WithOrigin stores what tells where a connection comes from. All log lines about its
// requests have the attribute.
func WithOrigin(ctx context.Context, origin func() slog.Attr) context.Context {
	return context.WithValue(ctx, originKey{}, origin)
}

// clientDisconnected reports whether the client has closed its connection. It
// peeks at the socket because the HTTP server of an overloaded router detects
// the close only after it has served other requests, and no request may be sent
// for a client that has disconnected.
func (x *exchange) clientDisconnected() bool {
	if x.r.Context().Err() != nil {
		return true
	}
	c, ok := x.r.Context().Value(connKey{}).(syscall.Conn)
	return ok && isClosed(c)
}

// isClosed reports whether the other end has closed a connection.
func isClosed(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true // closed
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = err == nil && n == 0 || err == unix.ECONNRESET
	})
	return err != nil || closed
}

// attemptConn is the connection of an attempt until the attempt gives it up. It is
// safe for concurrent use.
type attemptConn struct {
	mu   sync.Mutex
	conn *upstream.Conn // nil: given up
}

// giveUp ends the use of the connection, which another request may use next.
func (a *attemptConn) giveUp() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
}

// do calls f with the connection, unless it has been given up.
func (a *attemptConn) do(f func(*upstream.Conn)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		f(a.conn)
	}
}

// openExchanges are the exchanges with an attempt in progress. It is safe for
// concurrent use.
type openExchanges struct {
	mu  sync.Mutex
	all map[*exchange]*attemptConn
}

func (o *openExchanges) add(x *exchange, a *attemptConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.all[x] = a
}

func (o *openExchanges) remove(x *exchange) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.all, x)
}

func (o *openExchanges) list() map[*exchange]*attemptConn {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.all)
}

const (
	// closeCheckInterval is the time between two checks for clients that have
	// disconnected.
	closeCheckInterval = 100 * time.Millisecond
	// minDetectLag is the wait for the CPU from which the HTTP server is too slow
	// to detect a close: it takes several such waits.
	minDetectLag = 10 * time.Millisecond
)

// DetectDisconnects ends the attempts of clients that have disconnected until the
// context ends. The HTTP server notices a close too, but in an overloaded process
// only after the requests that wait for the CPU; expired timers run before these.
// It is needed only then, so it does nothing while work does not wait.
func (h *Relay) DetectDisconnects(ctx context.Context) error {
	ticks := wake.NewTicker(closeCheckInterval)
	defer ticks.Stop()
	for {
		if err := ticks.Wait(ctx); err != nil {
			return err
		}
		if h.lag() < minDetectLag {
			continue
		}
		for x, a := range h.open.list() {
			if x.clientDisconnected() {
				x.clientLeft()
				a.do(func(c *upstream.Conn) { c.Close() })
			}
		}
	}
}
