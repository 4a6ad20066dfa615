package relay

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/upstream"
)

const (
	// defaultWait is how long a request may take whose client and route set
	// no bound.
	defaultWait = 30 * time.Second
	// defaultObjective stands for a route without an objective.
	defaultObjective = time.Second
	// defaultOutput is the output expected of a model request that says
	// nothing, in tokens.
	defaultOutput = 256
	// notReadyRetry and stoppingRetry advise clients of a router that has no
	// configuration yet, or that is about to exit.
	notReadyRetry = 300 * time.Millisecond
	stoppingRetry = 50 * time.Millisecond
	// shedRetry advises clients that were refused because this process is
	// behind.
	shedRetry = 300 * time.Millisecond
	// writeGrace is how long after the deadline the end of an answer may be
	// written.
	writeGrace = 500 * time.Millisecond
	// defaultBodyBytes bounds bodies while the configuration sets no bound.
	defaultBodyBytes = 4 << 20
)

// Options are the parts that a Relay works with.
type Options struct {
	Protocol   Protocol
	Dispatcher *SharedDispatcher
	Pool       *upstream.Pool
	Log        *oplog.Logger
	// MaxConnections is the number of clients' connections beyond which each
	// is closed after its answer; 0: no limit.
	MaxConnections int64
	// MaxOpen is the number of requests in progress beyond which new ones are
	// refused: each takes memory; 0: no limit.
	MaxOpen int64
	// Lag tells by how much this process is behind; nil: it never is. Beyond
	// MaxLag new requests are refused at once.
	Lag    func() time.Duration
	MaxLag time.Duration
}

// Relay serves clients. It is an http.Handler.
type Relay struct {
	opts    Options
	table   atomic.Pointer[Table]
	conns   atomic.Int64 // clients' connections
	leaving atomic.Bool
	closing atomic.Bool
	open    atomic.Int64
}

// Table is the configuration in force and when it came into force here.
type Table struct {
	*topology.Table
	Since time.Time
}

// New returns a relay without a configuration: it refuses every request until
// SetTable.
func New(opts Options) *Relay { return &Relay{opts: opts} }

// SetTable puts a configuration in force.
func (h *Relay) SetTable(t *topology.Table) { h.table.Store(&Table{Table: t, Since: time.Now()}) }

// Ready reports whether the relay has a configuration.
func (h *Relay) Ready() bool { return h.table.Load() != nil }

// DisableKeepAlives makes clients use each connection for one more request at most: the
// router is leaving.
func (h *Relay) DisableKeepAlives() { h.leaving.Store(true) }

// RejectRequests makes the relay refuse new requests: the process is about to exit.
func (h *Relay) RejectRequests() { h.closing.Store(true) }

// OpenRequests returns the number of requests in progress.
func (h *Relay) OpenRequests() int64 { return h.open.Load() }

func (h *Relay) lag() time.Duration {
	if h.opts.Lag == nil {
		return 0
	}
	return h.opts.Lag()
}

// ConnState counts clients' connections; it is the hook of an http.Server.
func (h *Relay) ConnState(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		h.conns.Add(1)
	case http.StateClosed, http.StateHijacked:
		h.conns.Add(-1)
	}
}

// ServeHTTP serves one request.
func (h *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.open.Add(1)
	defer h.open.Add(-1)
	if h.leaving.Load() || h.opts.MaxConnections > 0 && h.conns.Load() > h.opts.MaxConnections {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{h: h, w: w, r: r, arrived: time.Now(), meta: h.opts.Protocol.ReadRequest(r.Header)}
	if failure := x.prepare(); failure != nil {
		x.fail(failure)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	// A client that does not read must not hold the request beyond its end.
	if err := http.NewResponseController(w).SetWriteDeadline(x.deadline.Add(writeGrace)); err != nil {
		h.opts.Log.Log(oplog.Failure, "request.no_write_deadline", x.attrs(slog.String("error", err.Error()))...)
	}
	x.finish(x.run(ctx))
}
