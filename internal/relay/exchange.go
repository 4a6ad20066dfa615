package relay

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
)

// exchange is one request of a client on its way.
type exchange struct {
	h        *Relay
	w        http.ResponseWriter
	r        *http.Request
	meta     RequestMeta
	header   http.Header // to pass on
	table    *Table
	route    *topology.Route
	service  string
	account  string
	priority int // 0 is the highest
	body     []byte

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

// fingerprint is the same for a request that its client sends again: that has
// another id, and the same path, account and body. It is 0 without a body,
// since then requests that have nothing to do with each other look alike.
func (x *exchange) fingerprint() uint64 {
	if len(x.body) == 0 {
		return 0
	}
	h := xxhash.New()
	for _, part := range []string{x.r.Method, x.r.Host, x.r.RequestURI, x.account} {
		h.WriteString(part)
		h.WriteString("\n")
	}
	h.Write(x.body)
	return h.Sum64()
}

// request is what the dispatcher is told of the exchange.
func (x *exchange) request() dispatch.Request {
	objective := x.route.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	output := x.meta.OutputHint
	if output <= 0 && x.meta.PromptTokens > 0 {
		output = min(x.meta.MaxOutput, defaultOutput)
	}
	return dispatch.Request{
		ID: x.meta.ID, Account: x.account, Service: x.service, Priority: x.priority,
		Parts: x.meta.Parts, PromptTokens: x.meta.PromptTokens, OutputTokens: output,
		Arrived: x.arrived, Objective: x.arrived.Add(objective), FirstEventDeadline: x.firstBy(objective), Deadline: x.deadline,
		ExcludedEndpoints: x.tried, Retry: x.sends > 0,
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
	by := x.arrived.Add(max(abandonLeast, abandonObjectives*objective, abandonPauses*x.route.MaxEventGap))
	if by.After(x.deadline) {
		return x.deadline
	}
	return by
}

// run sends the request until an attempt ends it.
func (x *exchange) run(ctx context.Context) *code.Error {
	desk := x.h.opts.Dispatcher
	desk.Update(func(now time.Time, core *dispatch.Dispatcher) { core.RecordRequest(now, x.service) })
	for {
		if x.quarantined() {
			return notRun(code.Quarantined, 0)
		}
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
		if result.broke && x.crashed(ticket) {
			return result.failure
		}
		if result.done || !x.again(ctx, ticket, result) {
			return result.failure
		}
	}
}

// quarantined reports whether the request is known to crash endpoints. One
// that may have run here was looked at after that attempt.
func (x *exchange) quarantined() (held bool) {
	if x.mayHave {
		return false
	}
	x.h.opts.Dispatcher.Update(func(now time.Time, core *dispatch.Dispatcher) { held = core.Quarantined(now, x.fingerprint()) })
	return held
}

// crashed notes that the endpoint broke off. It reports whether the request is
// quarantined for it.
func (x *exchange) crashed(t *dispatch.Ticket) bool {
	held := false
	fingerprint := x.fingerprint()
	x.h.opts.Dispatcher.Update(func(now time.Time, core *dispatch.Dispatcher) {
		core.RecordCrash(now, fingerprint, t.Endpoint.ID)
		held = core.Quarantined(now, fingerprint)
	})
	x.h.opts.Log.Log(oplog.Failure, "request.broke_endpoint", x.attrs(slog.String("endpoint", t.Endpoint.ID), slog.Bool("quarantined", held))...)
	return held
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
	x.h.opts.Dispatcher.Update(func(now time.Time, core *dispatch.Dispatcher) { allowed = core.TakeRetry(now, x.service) })
	x.h.opts.Log.Log(oplog.Failure, "request.retry", x.attrs(slog.Bool("allowed", allowed), slog.Int("sends", x.sends))...)
	return allowed
}
