// Package connlimit limits what the connections of a gRPC server may hold together: their
// number, the memory of each and of its calls, and the responses that were handed over and
// that their clients have not read yet.
package connlimit

import (
	"container/list"
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cyclamenwinch/cyclamenwinch/internal/memory"
)

const (
	// ConnectionBytes is what each connection reserves, for its buffers and unread bytes.
	ConnectionBytes = 64 << 10
	// CallBytes is what each call reserves, for its goroutine, its head and its message.
	CallBytes = 16 << 10
)

// Limits limit the connections of a server.
type Limits struct {
	Max    int            // open connections; 0: no limit
	Memory *memory.Budget // nil: no limit
	Server string         // its name, the holder of the memory
	// MakeRoom closes the connection that has been open for longest if a limit is reached.
	// Otherwise the new one is closed: it suits servers with long calls, whose clients have
	// to prove who they are.
	MakeRoom bool
}

// Listener admits connections within the limits. It is safe for concurrent use.
type Listener struct {
	net.Listener
	limits  Limits
	refused *metrics.Counter
	evicted *metrics.Counter
	unsent  atomic.Int64 // bytes of responses on all connections that were not written yet

	mu       sync.Mutex
	open     *list.List // of *conn, the longest open first
	byRemote map[string]*conn
}

// New returns a listener that limits the connections of another one.
func New(l net.Listener, limits Limits) *Listener {
	label := `{server="` + limits.Server + `"}`
	return &Listener{Listener: l, limits: limits, open: list.New(), byRemote: map[string]*conn{},
		refused: metrics.GetOrCreateCounter("cyclamenwinch_server_connections_refused_total" + label),
		evicted: metrics.GetOrCreateCounter("cyclamenwinch_server_connections_evicted_total" + label)}
}

// Accept returns the next connection that is admitted.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(accepted); c != nil {
			return c, nil
		}
		l.refused.Inc()
		_ = accepted.Close() // an error means that the client has closed it
	}
}

// admit adds a connection, or returns nil if the limits don't allow it.
func (l *Listener) admit(accepted net.Conn) *conn {
	c := &conn{Conn: accepted, listener: l, held: l.reserve()}
	if l.full() && !l.evict() || !c.held.Resize(ConnectionBytes) && !(l.evict() && c.held.Resize(ConnectionBytes)) {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.element = l.open.PushBack(c)
	l.byRemote[c.RemoteAddr().String()] = c
	return c
}

// reserve returns a reservation of the server; nil: there is no limit.
func (l *Listener) reserve() *memory.Reservation {
	if l.limits.Memory == nil {
		return nil
	}
	return l.limits.Memory.Reserve(memory.Control, l.limits.Server, 0)
}

func (l *Listener) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limits.Max > 0 && l.open.Len() >= l.limits.Max
}

// evict closes the connection that has been open for longest. It returns false if none
// may be closed.
func (l *Listener) evict() bool {
	l.mu.Lock()
	oldest := l.open.Front()
	l.mu.Unlock()
	if oldest == nil || !l.limits.MakeRoom {
		return false
	}
	l.evicted.Inc()
	_ = oldest.Value.(*conn).Close() // an error means that it is closed already
	return true
}

// Call reserves memory for a call until its context ends. It returns false if there is none.
func (l *Listener) Call(ctx context.Context) bool {
	held := l.reserve()
	if !held.Resize(CallBytes) {
		return false
	}
	context.AfterFunc(ctx, held.Release)
	return true
}

// Respond reserves memory for a response of a number of bytes to the client at an address,
// until it was written or the connection is closed. It returns false if there is none, but
// admits one response of any size at a time.
func (l *Listener) Respond(remote net.Addr, bytes int) bool {
	l.mu.Lock()
	c := l.byRemote[remote.String()]
	l.mu.Unlock()
	return c == nil || c.respond(int64(bytes)) // nil: the connection was closed
}

// conn is an admitted connection.
type conn struct {
	net.Conn
	listener *Listener
	element  *list.Element // in listener.open

	mu      sync.Mutex
	held    *memory.Reservation
	unsent  int64 // bytes of responses that were not written yet
	removed bool
}

func (c *conn) respond(bytes int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.removed {
		return true
	}
	if !c.held.Resize(ConnectionBytes+c.unsent+bytes) && c.listener.unsent.Load() > 0 {
		return false
	}
	c.addUnsent(bytes)
	return true
}

// addUnsent is called by the holder of c.mu.
func (c *conn) addUnsent(bytes int64) {
	c.unsent += bytes
	c.listener.unsent.Add(bytes)
}

// Write writes to the connection.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unsent > 0 && !c.removed {
		c.addUnsent(-min(c.unsent, int64(n)))
		// It fails only while the response was admitted without memory.
		c.held.Resize(ConnectionBytes + c.unsent)
	}
	return n, err
}

// Close closes the connection and gives back its memory.
func (c *conn) Close() error {
	c.mu.Lock()
	first := !c.removed
	c.removed = true
	if first {
		c.addUnsent(-c.unsent)
		c.held.Release()
	}
	c.mu.Unlock()
	if first {
		c.listener.remove(c)
	}
	return c.Conn.Close()
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open.Remove(c.element)
	if remote := c.RemoteAddr().String(); l.byRemote[remote] == c {
		delete(l.byRemote, remote)
	}
}
