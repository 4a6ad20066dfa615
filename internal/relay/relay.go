package relay

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
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
	// writeGrace is how long after the deadline the end of an answer may be
	// written.
	writeGrace = 500 * time.Millisecond
	// defaultBodyBytes bounds bodies while the configuration sets no bound.
	defaultBodyBytes = 4 << 20
)

// Options are the parts that a Relay works with.
type Options struct {
	Protocol Protocol
	Desk     *Desk
	Pool     *upstream.Pool
	Log      *oplog.Logger
	// MaxConnections is the number of clients' connections beyond which each
	// is closed after its answer; 0: no limit.
	MaxConnections int64
	// MaxOpen is the number of requests in progress beyond which new ones are
	// refused: each takes memory; 0: no limit.
	MaxOpen int64
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

// Leave makes clients use each connection for one more request at most: the
// router is leaving.
func (h *Relay) Leave() { h.leaving.Store(true) }

// Refuse makes the relay refuse new requests: the process is about to exit.
func (h *Relay) Refuse() { h.closing.Store(true) }

// Open returns the number of requests in progress.
func (h *Relay) Open() int64 { return h.open.Load() }

// ConnState counts clients' connections; it is the hook of an http.Server.
func (h *Relay) ConnState(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		h.conns.Add(1)
	case http.StateClosed, http.StateHijacked:
		h.conns.Add(-1)
	}
}

// exchange is one request of a client on its way.
type exchange struct {
	h       *Relay
	w       http.ResponseWriter
	r       *http.Request
	meta    Meta
	header  http.Header // to pass on
	table   *Table
	route   *topology.Route
	service string
	account string
	body    []byte

	arrived  time.Time
	deadline time.Time

	tried     []string         // endpoints that must not get it again
	sends     int              // times that it was passed on
	dials     int              // endpoints that could not be reached
	mayHave   bool             // an endpoint may have run it
	held      *whole           // an endpoint's failure, delivered unless a further attempt does better
	started   bool             // a part of a stream has been passed on
	lastEvent string           // newest event of the stream passed on
	events    int              // of the stream, passed on
	trail     []string         // one entry for each attempt, for the log
	decided   *dispatch.Ticket // the newest decision
	first     time.Duration
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

// prepare matches the request and reads its body.
func (x *exchange) prepare() *code.Error {
	x.table = x.h.table.Load()
	switch {
	case x.table == nil:
		return notRun(code.NoManifest, notReadyRetry)
	case x.h.opts.MaxOpen > 0 && x.h.open.Load() > x.h.opts.MaxOpen:
		return notRun(code.QueueFull, stoppingRetry)
	case x.h.closing.Load():
		return notRun(code.Stopping, stoppingRetry)
	}
	route, ok := x.table.Match(x.r.Host, x.r.URL.Path)
	if !ok {
		return code.Refuse(code.UnknownPath, "no route matches host and path")
	}
	x.route = route
	if failure := x.authenticate(); failure != nil {
		return failure
	}
	if failure := x.readBody(); failure != nil {
		return failure
	}
	x.header = endToEnd(x.r.Header)
	x.service = route.Pick(xxhash.Sum64String(x.meta.ID))
	x.deadline = x.arrived.Add(x.patience())
	return nil
}

// patience is how long the request may take.
func (x *exchange) patience() time.Duration {
	wait := x.meta.Wait
	if t := x.route.Timeout; t > 0 && (wait <= 0 || t < wait) {
		wait = t
	}
	if wait <= 0 {
		return defaultWait
	}
	return wait
}

func (x *exchange) authenticate() *code.Error {
	if !x.table.Config.Keyed {
		return nil
	}
	if account := x.table.Account(x.meta.Key); account != nil {
		x.account = account.Name
		return nil
	}
	if x.route.Public {
		return nil
	}
	return code.Refuse(code.UnknownKey, "")
}

func (x *exchange) readBody() *code.Error {
	most := x.table.Config.Limits.BodyBytes
	if most <= 0 {
		most = defaultBodyBytes
	}
	body, err := readAll(http.MaxBytesReader(x.w, x.r.Body, most), x.r.ContentLength, most)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return code.Refuse(code.BodyTooLarge, "")
	case err != nil:
		return code.Refuse(code.CallerLeft, "the body did not arrive whole")
	}
	x.body = body
	return nil
}

// readAll reads a body whose length may be known.
func readAll(r io.Reader, length, most int64) ([]byte, error) {
	if length <= 0 || length > most {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

// request is what the dispatcher is told of the exchange.
func (x *exchange) request() dispatch.Request {
	objective := x.route.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	output := x.meta.Hint
	if output <= 0 && x.meta.Prompt > 0 {
		output = min(x.meta.MaxOutput, defaultOutput)
	}
	return dispatch.Request{
		ID: x.meta.ID, Account: x.account, Service: x.service,
		Parts: x.meta.Parts, Prompt: x.meta.Prompt, Output: output,
		Arrived: x.arrived, Objective: x.arrived.Add(objective), FirstBy: x.firstBy(objective), Deadline: x.deadline,
		Tried: x.tried, Repeat: x.sends > 0,
	}
}

// Clients abandon a stream without an event after the longest of these.
const (
	abandonLeast      = 2 * time.Second
	abandonObjectives = 4
	abandonPauses     = 8
)

// firstBy is the instant by which the client needs a first event.
func (x *exchange) firstBy(objective time.Duration) time.Time {
	if x.route.Kind != topology.Stream {
		return x.deadline
	}
	by := x.arrived.Add(max(abandonLeast, abandonObjectives*objective, abandonPauses*x.route.Pause))
	if by.After(x.deadline) {
		return x.deadline
	}
	return by
}

// run sends the request until an attempt ends it.
func (x *exchange) run(ctx context.Context) *code.Error {
	desk := x.h.opts.Desk
	desk.Update(func(now time.Time, core *dispatch.Dispatcher) { core.Requested(now, x.service) })
	for {
		ticket, err := desk.Acquire(ctx, x.request())
		if err != nil {
			return x.ended(ctx)
		}
		x.decided = ticket
		if ticket.State == dispatch.Refused {
			return x.refusal(ticket)
		}
		result := x.attempt(ctx, ticket)
		desk.Finish(ticket, result.outcome)
		x.note(ticket, result)
		if result.done || !x.again(ctx, ticket, result) {
			return result.failure
		}
	}
}

// refusal is the failure that belongs to a refused ticket.
func (x *exchange) refusal(t *dispatch.Ticket) *code.Error {
	c := code.WaitTooLong
	if t.Reason == dispatch.NoEndpoint {
		c = code.NoEndpoint
	}
	if x.mayHave {
		return code.Fail(c, t.Reason.String())
	}
	failure := notRun(c, t.RetryAfter)
	failure.Detail = t.Reason.String()
	if t.OverShare {
		failure.Detail += ", the account has used up its share"
	}
	return failure
}

// ended is the failure of an exchange whose context has ended.
func (x *exchange) ended(ctx context.Context) *code.Error {
	if x.r.Context().Err() != nil {
		return code.Refuse(code.CallerLeft, "")
	}
	if !x.mayHave {
		return notRun(code.WaitTooLong, 0)
	}
	return code.Fail(code.Silent, "the deadline has passed")
}

func notRun(c code.Code, after time.Duration) *code.Error {
	failure := code.Refuse(c, "")
	failure.RetryAfter = after
	return failure
}

const (
	// mostDials bounds the endpoints that one request finds unreachable.
	mostDials = 6
	// leastLeft is the time that a further attempt needs to be worth it.
	leastLeft = 30 * time.Millisecond
)

// again reports whether the request may be sent once more after an attempt.
func (x *exchange) again(ctx context.Context, t *dispatch.Ticket, result result) bool {
	if ctx.Err() != nil || time.Until(x.deadline) < leastLeft {
		return false
	}
	if result.outcome == dispatch.Unreachable {
		x.dials++
		return x.dials < mostDials
	}
	x.tried = append(x.tried, t.Endpoint.ID)
	if x.sends >= max(x.route.MaxAttempts, 1) {
		return false
	}
	if result.mayHaveRun && !x.route.Repeatable() {
		return false
	}
	allowed := false
	x.h.opts.Desk.Update(func(now time.Time, core *dispatch.Dispatcher) { allowed = core.TakeRetry(now, x.service) })
	x.h.opts.Log.Log(oplog.Failure, "request.retry", x.attrs(slog.Bool("allowed", allowed), slog.Int("sends", x.sends))...)
	return allowed
}

// note records an attempt for the log.
func (x *exchange) note(t *dispatch.Ticket, result result) {
	x.mayHave = x.mayHave || result.mayHaveRun
	said := "served"
	if result.failure != nil {
		said = result.failure.Code.String() + " " + result.failure.Detail
	}
	x.trail = append(x.trail, t.Endpoint.ID+"@"+t.Endpoint.Address+": "+said)
	x.h.opts.Log.Log(oplog.Routine, "request.sent", x.attrs(
		slog.String("endpoint", t.Endpoint.ID), slog.String("address", t.Endpoint.Address),
		slog.Duration("waited", t.GrantedAt.Sub(x.arrived)), slog.Duration("predicted", t.Predicted),
		slog.Duration("first", x.first), slog.Int("missing_tokens", t.Missing), slog.Int("shared_tokens_missing", t.Again),
		slog.Int("events", x.events), slog.Int("max_output", x.meta.MaxOutput), slog.Int("hint", x.meta.Hint),
		slog.Bool("over_share", t.OverShare), slog.Bool("late", t.Late),
		slog.String("outcome", said))...)
}

// finish delivers what is left to deliver and logs the end.
func (x *exchange) finish(failure *code.Error) {
	took := time.Since(x.arrived)
	if failure == nil {
		x.count("served")
		metrics.GetOrCreateHistogram(`cyclamenwinch_request_seconds{kind="` + x.route.Kind.String() + `"}`).Update(took.Seconds())
		metrics.GetOrCreateHistogram(`cyclamenwinch_first_event_seconds{kind="` + x.route.Kind.String() + `"}`).Update(x.first.Seconds())
		return
	}
	if x.started {
		x.logFailure(failure, "cut")
		x.count("cut")
		panic(http.ErrAbortHandler)
	}
	if x.held != nil && failure.Code != code.CallerLeft {
		x.logFailure(failure, "endpoint_failure")
		x.count("endpoint_failure")
		x.held.deliver(x.w)
		return
	}
	x.fail(failure)
}

// fail answers with a failure of the router's own.
func (x *exchange) fail(failure *code.Error) {
	outcome := "failed"
	if failure.NotRun {
		outcome = "refused"
	}
	x.logFailure(failure, outcome)
	x.count(outcome)
	if failure.Code == code.CallerLeft {
		panic(http.ErrAbortHandler)
	}
	problem := code.NewProblem(failure, x.meta.ID)
	problem.Status = statusOf(failure)
	header := x.w.Header()
	header.Set("Content-Type", code.ProblemType)
	if failure.NotRun {
		header.Set("Connection", "close") // clients come back on a new connection
	}
	if failure.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(failure.RetryAfter.Seconds(), 'f', 3, 64))
	}
	x.w.WriteHeader(problem.Status)
	if err := json.NewEncoder(x.w).Encode(problem); err != nil {
		x.h.opts.Log.Log(oplog.Failure, "request.answer_not_written", x.attrs(slog.String("error", err.Error()))...)
	}
}

// statusOf is the HTTP status of a failure. What has not run is told by a
// status that promises so, whatever caused it.
func statusOf(failure *code.Error) int {
	status := failure.Code.Info().Status
	if failure.NotRun && status >= 500 {
		return http.StatusServiceUnavailable
	}
	if !failure.NotRun && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		return http.StatusBadGateway
	}
	return status
}

func (x *exchange) count(outcome string) {
	kind := "unknown"
	if x.route != nil {
		kind = x.route.Kind.String()
	}
	metrics.GetOrCreateCounter(`cyclamenwinch_requests_total{kind="` + kind + `",outcome="` + outcome + `"}`).Inc()
}

func (x *exchange) logFailure(failure *code.Error, outcome string) {
	x.h.opts.Log.Log(oplog.Failure, "request.failed", x.attrs(
		slog.String("outcome", outcome), slog.Int("code", int(failure.Code)), slog.String("reason", failure.Code.Info().Name),
		slog.String("detail", failure.Detail), slog.Bool("not_run", failure.NotRun), slog.Duration("retry_after", failure.RetryAfter),
		slog.Any("attempts", x.trail), x.decision())...)
}

// decision groups the inputs of the newest decision of the dispatcher.
func (x *exchange) decision() slog.Attr {
	t := x.decided
	if t == nil {
		return slog.Attr{}
	}
	attrs := []any{slog.Duration("expected_wait", t.Expected), slog.Bool("over_share", t.OverShare), slog.Bool("late", t.Late), slog.Float64("used", t.Used)}
	if !math.IsInf(t.Share, 1) {
		attrs = append(attrs, slog.Float64("share", t.Share))
	}
	return slog.Group("decision", attrs...)
}

// attrs are the fields that every line on a request has.
func (x *exchange) attrs(more ...slog.Attr) []slog.Attr {
	attrs := []slog.Attr{slog.String("request", x.meta.ID), slog.Duration("age", time.Since(x.arrived))}
	if x.table != nil {
		attrs = append(attrs, slog.Int64("config_version", x.table.Config.Version), slog.Duration("config_age", time.Since(x.table.Since)))
	}
	if x.route != nil {
		attrs = append(attrs, slog.String("route", x.route.Name), slog.String("service", x.service), slog.String("account", x.account))
	}
	return append(attrs, more...)
}

func splitList(s string) []string {
	parts := strings.Split(s, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}
