package relay

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
	"github.com/cyclamenwinch/cyclamenwinch/internal/memory"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
)

// exchange is a client request in progress.
type exchange struct {
	h        *Relay
	w        http.ResponseWriter
	r        *http.Request
	meta     RequestMeta
	header   http.Header // to forward
	table    *Table
	route    *topology.Route
	service  string
	account  string
	priority int // 0 is the highest
	body     []byte
	bodyRead bool // the request was read to its end

	arrived  time.Time
	deadline time.Time

	triedEndpoints  []string          // endpoints that must not receive it again
	sends           int               // number of times it was sent to an endpoint
	unsent          int               // attempts that sent nothing
	mayHaveRun      bool              // an endpoint may have run it
	endpointFailure *bufferedResponse // error response of an endpoint, delivered unless a retry succeeds
	weightsMissed   bool              // an endpoint rejected it for other weights than it names
	streamStarted   bool              // the head of a stream has been written
	lastEventID     string            // of the last event forwarded
	lastEventAt     time.Time         // when it was forwarded
	eventCount      int               // stream events forwarded
	attempts        []string          // one entry per attempt, for the log
	lastTicket      *dispatch.Ticket  // of the latest decision
	firstEventAfter time.Duration     // from arrival to the start of the response
	sendDelay       time.Duration     // of the latest attempt, from the decision until it was sent
	memory          memory.Scope
	attemptConn     *attemptConn // of the latest attempt
	begun           bool         // the response of the latest attempt has begun
	standby         standby      // place at another endpoint while the latest is silent
	clientLeft      func()       // ends the request's context, as the HTTP server does when the client disconnects
}

func (x *exchange) releaseMemory() {
	x.body, x.endpointFailure = nil, nil
	x.memory.Release()
}

// fingerprint identifies a request that its client sends again: the request ID
// differs then, but method, host, URI, account and body are the same. It is 0 for
// a request without a body, see resource.
func (x *exchange) fingerprint() uint64 {
	if len(x.body) == 0 {
		return 0
	}
	return x.identity()
}

// resource identifies what a request without a body asks for. Unrelated requests may
// ask for the same. It is 0 for a request with a body.
func (x *exchange) resource() uint64 {
	if len(x.body) > 0 {
		return 0
	}
	return x.identity()
}

func (x *exchange) identity() uint64 {
	h := xxhash.New()
	for _, part := range []string{x.r.Method, x.r.Host, x.r.RequestURI, x.account} {
		h.WriteString(part)
		h.WriteString("\n")
	}
	h.Write(x.body)
	return h.Sum64()
}

// dispatchRequest returns the dispatcher's view of the request.
func (x *exchange) dispatchRequest() dispatch.Request {
	objective := x.route.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	output := x.meta.OutputHint
	if output <= 0 && x.meta.PromptTokens > 0 {
		output = min(x.meta.MaxOutput, defaultOutputTokens)
	}
	since := x.waitingSince()
	return dispatch.Request{
		ID: x.meta.ID, Account: x.account, Service: x.service, Priority: x.priority, Resource: x.resource(),
		Parts: x.meta.Parts, PromptTokens: x.meta.PromptTokens, OutputTokens: output,
		Arrived: since, Objective: since.Add(objective), FirstEventDeadline: x.firstEventDeadline(since, objective), Deadline: x.deadline,
		ExcludedEndpoints: x.triedEndpoints, Weights: x.meta.Weights, WeightsMissed: x.weightsMissed, Retry: x.sends > 0, Route: x.route.Name,
	}
}

// waitingSince returns the time since which the client has been waiting: for the
// response or, once a stream has begun, for its next event.
func (x *exchange) waitingSince() time.Time {
	if x.streamStarted {
		return x.lastEventAt
	}
	return x.arrived
}

// A client abandons a stream if it has waited for an event for the longest of:
// minAbandonTime, abandonObjectives times the objective of the route, and
// abandonGaps times its target for the time between two events.
const (
	minAbandonTime    = 2 * time.Second
	abandonObjectives = 4
	abandonGaps       = 8
)

// firstEventDeadline returns the time by which a client that has been waiting since a
// time needs the next event.
func (x *exchange) firstEventDeadline(since time.Time, objective time.Duration) time.Time {
	if x.route.Kind != topology.Stream {
		return x.deadline
	}
	deadline := since.Add(max(minAbandonTime, abandonObjectives*objective, abandonGaps*x.route.MaxEventGap))
	if deadline.After(x.deadline) {
		return x.deadline
	}
	return deadline
}

// run sends the request to endpoints until it is served or may not be retried.
func (x *exchange) run(ctx context.Context) *code.Error {
	dispatcher := x.h.opts.Dispatcher
	dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) { d.RecordRequest(now, x.service, x.route.Name) })
	defer x.releaseStandby()
	for {
		if detail, blocked := x.quarantined(); blocked {
			return x.quarantineFailure(detail)
		}
		ticket := x.takeStandby()
		if ticket == nil {
			var err error
			if ticket, err = dispatcher.Acquire(ctx, x.dispatchRequest()); err != nil {
				return x.waitFailure(ctx, err)
			}
		}
		x.lastTicket = ticket
		if ticket.State == dispatch.Refused {
			return x.refusal(ticket)
		}
		x.begun = false
		result := x.attempt(ctx, ticket)
		dispatcher.Finish(ticket, result.outcome)
		x.recordAttempt(ticket, result)
		if result.suspectedCrash && x.recordCrash(ticket) {
			return result.failure
		}
		if result.delivered || !x.allowRetry(ctx, ticket, result) {
			return result.failure
		}
	}
}

// quarantined reports whether the request, or a part of its prompt, is known to
// crash endpoints; the detail names the part. A request that may have run already was
// checked after that attempt.
func (x *exchange) quarantined() (detail string, blocked bool) {
	x.h.opts.Dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) {
		if part, ok := d.PartBlocked(now, x.meta.Parts); ok {
			detail, blocked = fmt.Sprintf("prompt part %x seems to crash endpoints", part), true
		} else if d.ResourceBlocked(now, x.resource()) {
			detail, blocked = "requests without a body that ask for the same seem to crash endpoints", true
		} else if !x.mayHaveRun && d.Quarantined(now, x.fingerprint()) {
			blocked = true
		}
	})
	return detail, blocked
}

// quarantineFailure returns the failure of a quarantined request.
func (x *exchange) quarantineFailure(detail string) *code.Error {
	if x.mayHaveRun {
		return code.Fail(code.EndpointError, detail)
	}
	failure := notRunError(code.Quarantined, 0)
	failure.Detail = detail
	return failure
}

// recordCrash records that the endpoint seems to have crashed on the request. It
// reports whether the request is quarantined.
func (x *exchange) recordCrash(t *dispatch.Ticket) bool {
	quarantined := false
	fingerprint := x.fingerprint()
	var suspects []uint64
	x.h.opts.Dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) {
		suspects = d.RecordPartCrash(now, t, x.begun)
		d.RecordCrash(now, fingerprint, t.Endpoint)
		d.RecordResourceCrash(now, t)
		quarantined = d.Quarantined(now, fingerprint) || d.ResourceQuarantined(now, t.Request.Resource)
	})
	x.h.opts.Log.Log(oplog.Failure, "request.broke_endpoint", x.attrs(slog.String("endpoint", t.Endpoint.ID), slog.Bool("quarantined", quarantined), slog.Any("suspect_parts", suspects))...)
	return quarantined
}

const (
	// maxUnsent limits the attempts of one request that send nothing.
	maxUnsent = 6
	// minTimeForRetry is the least time left before the deadline that makes a
	// retry worthwhile.
	minTimeForRetry = 30 * time.Millisecond
)

// allowRetry reports whether the request may be sent again after an attempt. It
// takes a retry from the retry budget of the service unless nothing was sent.
func (x *exchange) allowRetry(ctx context.Context, t *dispatch.Ticket, result attemptResult) bool {
	if ctx.Err() != nil || time.Until(x.deadline) < minTimeForRetry {
		return false
	}
	if result.outcome == dispatch.Unreachable || result.outcome == dispatch.ConnectTimeout || result.outcome == dispatch.Withdrawn {
		x.unsent++
		return x.unsent < maxUnsent
	}
	x.triedEndpoints = append(x.triedEndpoints, t.Endpoint.ID)
	if x.standby.granted != nil {
		return true // its retry has been taken
	}
	if x.sends >= max(x.route.MaxAttempts, 1) {
		return false
	}
	if result.mayHaveRun && !x.route.Repeatable() {
		return false
	}
	return x.takeRetry()
}
