package relay

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
	"github.com/cyclamenwinch/cyclamenwinch/internal/memory"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/overload"
	"github.com/cyclamenwinch/cyclamenwinch/internal/upstream"
)

const (
	// defaultTimeout bounds a request if neither its client nor its route sets
	// a timeout.
	defaultTimeout = 30 * time.Second
	// defaultObjective is the latency objective of a route that sets none.
	defaultObjective = time.Second
	// defaultOutputTokens is the expected output of a model request without an
	// estimate of its own.
	defaultOutputTokens = 256
	// notReadyRetryAfter is the Retry-After of a router without a
	// configuration.
	notReadyRetryAfter = 300 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of a router that is about to exit
	// or has too many open requests.
	stoppingRetryAfter = 50 * time.Millisecond
	// overloadRetryAfter is the Retry-After of an overloaded router, see
	// Options.Lag.
	overloadRetryAfter = 300 * time.Millisecond
	// memoryRetryAfter is the Retry-After of a router whose memory for requests is in
	// use. A request holds it for about as long as a route's latency objective.
	memoryRetryAfter = 300 * time.Millisecond
	// writeGrace is how long after the request's deadline the rest of a
	// response may still be written, and for how long one that begins later.
	writeGrace = 500 * time.Millisecond
	// defaultMaxBodyBytes limits request bodies if the configuration sets no
	// limit.
	defaultMaxBodyBytes = 4 << 20
)

// Options holds the dependencies and limits of a Relay.
type Options struct {
	Protocol   Protocol
	Dispatcher *SharedDispatcher
	Pool       *upstream.Pool
	Log        *oplog.Logger
	// MaxConnections is the number of client connections above which each
	// connection is closed after its next response; 0: no limit.
	MaxConnections int64
	// Memory limits what all requests and responses in progress hold; nil: no limit. A
	// request that finds none is refused, and a response is treated as failed.
	Memory *memory.Budget
	// Lag returns how long work of this process waits for the CPU; nil: no lag
	// is assumed. Above MaxLag, new requests are refused at once.
	Lag    func() time.Duration
	MaxLag time.Duration
}

// Relay is an http.Handler that forwards client requests to endpoints.
type Relay struct {
	opts         Options
	table        atomic.Pointer[Table]
	conns        atomic.Int64 // open client connections
	noKeepAlives atomic.Bool
	rejecting    atomic.Bool
	closing      atomic.Bool // see ExpectClose
	openRequests atomic.Int64
	open         openExchanges
	bodies       bodyReads
	tallies      accountTallies
}

// Table is the active configuration.
type Table struct {
	*topology.Table
	AppliedAt time.Time // when this router applied it
}

// New returns a relay without a configuration. It refuses every request until
// SetTable is called.
func New(opts Options) *Relay {
	if opts.Memory == nil {
		opts.Memory = memory.NewBudget(0)
	}
	return &Relay{opts: opts, open: openExchanges{all: map[*exchange]*attemptConn{}}, bodies: bodyReads{all: map[*http.ResponseController]struct{}{}}}
}

// SetTable applies a configuration.
func (h *Relay) SetTable(t *topology.Table) { h.table.Store(&Table{Table: t, AppliedAt: time.Now()}) }

// Ready reports whether the relay has a configuration.
func (h *Relay) Ready() bool { return h.table.Load() != nil }

// DisableKeepAlives closes each client connection after its next response. It is
// called when the router starts to shut down.
func (h *Relay) DisableKeepAlives() { h.noKeepAlives.Store(true) }

// SetExit sets the time at which the process will close the connections of clients.
// Requests that would probably run for longer are refused.
func (h *Relay) SetExit(at time.Time) {
	h.opts.Dispatcher.Update(func(_ time.Time, d *dispatch.Dispatcher) { d.SetExit(at) })
}

// RejectRequests makes the relay refuse new requests. It is called when the
// process is about to exit.
func (h *Relay) RejectRequests() { h.rejecting.Store(true) }

// RefuseWaiting refuses the requests that have not arrived yet and those that wait for
// an endpoint, and those that will. It is called once, shortly before the process exits.
func (h *Relay) RefuseWaiting() {
	if err := h.bodies.stop(); err != nil {
		h.opts.Log.Log(oplog.Failure, "request.no_read_deadline", slog.String("error", err.Error()))
	}
	h.opts.Dispatcher.StopWaiting()
}

// ExpectClose is called before the process closes the connections of clients, so that
// these do not count as clients that left.
func (h *Relay) ExpectClose() { h.closing.Store(true) }

// OpenRequests returns the number of requests in progress.
func (h *Relay) OpenRequests() int64 { return h.openRequests.Load() }

// OpenConnections returns the number of open connections of clients.
func (h *Relay) OpenConnections() int64 { return h.conns.Load() }

func (h *Relay) lag() time.Duration {
	if h.opts.Lag == nil {
		return 0
	}
	return h.opts.Lag()
}

// timesEndpoints reports whether this process has enough CPU time for what it
// measures to be the time that an endpoint took.
func (h *Relay) timesEndpoints() bool { return h.lag() <= overload.MaxTimingLag }

// ConnState counts client connections. It is meant for http.Server.ConnState.
func (h *Relay) ConnState(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		h.conns.Add(1)
	case http.StateClosed, http.StateHijacked:
		h.conns.Add(-1)
	}
}

// announceClose makes a response say that its connection is closed after it, if it is.
// It is called right before the head is written, since the router may have begun to
// stop meanwhile.
func (h *Relay) announceClose(header http.Header) {
	if h.noKeepAlives.Load() || h.opts.MaxConnections > 0 && h.conns.Load() > h.opts.MaxConnections {
		header.Set("Connection", "close")
	}
}

// ServeHTTP implements http.Handler.
func (h *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.openRequests.Add(1)
	defer h.openRequests.Add(-1)
	x := &exchange{h: h, w: w, r: r, arrived: time.Now(), memory: memory.Scope{Budget: h.opts.Memory}, meta: h.opts.Protocol.ReadRequest(r.Header)}
	defer x.recordPanic()
	defer x.releaseMemory()
	clientCtx, clientLeft := context.WithCancel(r.Context())
	defer clientLeft()
	x.r, x.clientLeft = r.WithContext(clientCtx), clientLeft
	if failure := x.prepare(); failure != nil {
		x.writeFailure(failure)
		return
	}
	ctx, cancel := context.WithDeadline(clientCtx, x.deadline)
	defer cancel()
	x.limitWrite(x.deadline)
	x.finish(x.run(ctx))
}
