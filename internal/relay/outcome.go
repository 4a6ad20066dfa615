package relay

import (
	"context"
	"encoding/json"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
)

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
		slog.Duration("waited", t.GrantedAt.Sub(x.arrived)), slog.Duration("predicted", t.PredictedFirstEvent),
		slog.Duration("first", x.first), slog.Int("missing_tokens", t.UncachedTokens), slog.Int("shared_tokens_missing", t.RecomputedTokens),
		slog.Int("events", x.events), slog.Int("max_output", x.meta.MaxOutput), slog.Int("hint", x.meta.OutputHint),
		slog.Bool("over_share", t.OverShare), slog.Bool("late", t.ObjectiveMissed),
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
	if problem.Status == http.StatusServiceUnavailable || problem.Status == http.StatusTooManyRequests {
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
	if failure.Code == code.Quarantined {
		return http.StatusServiceUnavailable
	}
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
	attrs := []any{slog.Duration("expected_wait", t.ExpectedWait), slog.Bool("over_share", t.OverShare), slog.Bool("late", t.ObjectiveMissed), slog.Float64("used", t.RecentUsage)}
	if !math.IsInf(t.FairShare, 1) {
		attrs = append(attrs, slog.Float64("share", t.FairShare))
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
