package relay

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/upstream"
)

const (
	// standbyPollInterval is the time between two checks whether a queued standby has
	// been granted.
	standbyPollInterval = 25 * time.Millisecond
	// standbyRetryInterval is the time until a standby is sought again after a refusal.
	standbyRetryInterval = 200 * time.Millisecond
	// unreadWait is the read deadline for bytes that have arrived already.
	unreadWait = 50 * time.Millisecond
)

// standby is the place of a request at another endpoint while the endpoint that it was
// sent to is silent. That one may be sound and go on, so the attempt there is given up
// only for a place that is granted, a connection to it and a retry that the budget
// allows. It is queued, then granted, or neither: not sought, refused, or given back
// since the endpoint went on.
type standby struct {
	queued  *dispatch.Ticket // waiting, or decided since the last check
	decided <-chan struct{}  // closed once queued is decided
	granted *dispatch.Ticket // with a retry taken from the budget
	conn    *upstream.Conn   // to its endpoint
}

// takeConn returns the connection, or nil if there is none.
func (s *standby) takeConn() *upstream.Conn {
	conn := s.conn
	s.conn = nil
	return conn
}

// waitOn decides what follows when an endpoint has been silent until the read deadline
// of its connection. It sets a later deadline and returns true, or returns false if
// the attempt is to be given up.
func (x *exchange) waitOn(ctx context.Context, conn *upstream.Conn, t *dispatch.Ticket) bool {
	end := x.deadline.Add(deadlineGrace)
	if !time.Now().Before(end) {
		return false
	}
	interval := standbyRetryInterval
	switch {
	case conn.Readable(): // this process was late, not the endpoint
		interval = unreadWait
	case x.secureStandby(ctx, conn, t):
		return false
	case x.standby.queued != nil:
		interval = standbyPollInterval
	}
	next := time.Now().Add(interval) // seeking may have taken long
	if next.After(end) {
		next = end
	}
	return conn.SetReadDeadline(next) == nil
}

// secureStandby queues the request for another endpoint, unless it is queued already.
// Once it is granted one, it connects there and takes a retry from the budget, and
// returns true if the silent attempt may be given up for it. silent is the connection
// of that attempt.
func (x *exchange) secureStandby(ctx context.Context, silent *upstream.Conn, t *dispatch.Ticket) bool {
	if ctx.Err() != nil || !x.mayRetrySilent() || time.Until(x.deadline) < minTimeForRetry {
		return false
	}
	dispatcher, s := x.h.opts.Dispatcher, &x.standby
	if x.h.timesEndpoints() {
		dispatcher.RecordSilence(t)
	}
	if s.queued == nil {
		if !dispatcher.RetryAllowed(x.service) {
			return false
		}
		r := x.dispatchRequest()
		r.ExcludedEndpoints = append(slices.Clone(r.ExcludedEndpoints), t.Endpoint.ID)
		if time.Now().After(r.FirstEventDeadline) {
			r.FirstEventDeadline = r.Deadline // the client has not left, so it waits for longer
		}
		s.queued, s.decided = dispatcher.Submit(r)
	}
	select {
	case <-s.decided:
	default:
		return false
	}
	decided := s.queued
	s.queued = nil
	if decided.State != dispatch.Granted {
		return false
	}
	conn, failure := x.connect(ctx, decided, true)
	if failure != nil {
		dispatcher.Finish(decided, failure.outcome)
		return false
	}
	if silent.Readable() || !dispatcher.Confirm(decided) || !x.takeRetry() {
		conn.Close()
		dispatcher.Finish(decided, dispatch.Withdrawn)
		return false
	}
	s.granted, s.conn = decided, conn
	return true
}

// mayRetrySilent reports whether a request whose endpoint is silent may be sent to
// another one.
func (x *exchange) mayRetrySilent() bool {
	return x.route.Repeatable() && x.sends < x.route.MaxAttempts
}

// takeRetry takes a retry from the budget of the service.
func (x *exchange) takeRetry() (allowed bool) {
	x.h.opts.Dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) { allowed = d.TakeRetry(now, x.service) })
	x.h.opts.Log.Log(oplog.Failure, "request.retry", x.attrs(slog.Bool("allowed", allowed), slog.Int("sends", x.sends))...)
	return allowed
}

// stopSeeking takes the request out of the queue when its endpoint is no longer silent
// or the attempt has ended.
func (x *exchange) stopSeeking() {
	if x.standby.queued != nil {
		x.h.opts.Dispatcher.Cancel(x.standby.queued)
		x.standby.queued = nil
	}
}

// takeStandby returns the ticket of the place at another endpoint, or nil.
func (x *exchange) takeStandby() *dispatch.Ticket {
	t := x.standby.granted
	x.standby.granted = nil
	return t
}

// releaseStandby gives back a place that is not used.
func (x *exchange) releaseStandby() {
	if conn := x.standby.takeConn(); conn != nil {
		conn.Close()
	}
	if t := x.takeStandby(); t != nil {
		x.h.opts.Dispatcher.Finish(t, dispatch.Withdrawn)
	}
}
