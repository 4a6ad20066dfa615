package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
)

// sendDelays are the times from the decision where to send a request until it is
// sent, in seconds. They are long if the process waits for the CPU.
var sendDelays = metrics.NewHistogram("cyclamenwinch_send_delay_seconds")

// predictionRatio is the observed over the predicted time to the first event of model
// requests, as far as this process had the CPU time to observe it.
var predictionRatio = metrics.NewHistogram("cyclamenwinch_first_event_prediction_ratio")

// refusal returns the failure for a refused ticket.
func (x *exchange) refusal(t *dispatch.Ticket) *code.Error {
	c := code.WaitTooLong
	switch t.Reason {
	case dispatch.NoEndpoint, dispatch.NoWeights:
		c = code.NoEndpoint
	case dispatch.PartQuarantined:
		c = code.Quarantined
	case dispatch.ExitTooSoon:
		c = code.Stopping
	case dispatch.TooLarge:
		c = code.BadRequest
	}
	if x.mayHaveRun {
		return code.Fail(c, t.Reason.String())
	}
	retryAfter := t.RetryAfter
	if t.Reason == dispatch.TooLarge {
		retryAfter = 0 // it can't be served later either
	}
	failure := notRunError(c, retryAfter)
	failure.Detail = t.Reason.String()
	if t.OverShare {
		failure.Detail += ", and the account has used up its share"
	}
	return failure
}

// waitFailure returns the failure of a request that no longer waits for an endpoint.
func (x *exchange) waitFailure(ctx context.Context, err error) *code.Error {
	switch {
	case !errors.Is(err, errStopped):
		return x.contextFailure(ctx)
	case x.mayHaveRun:
		return code.Fail(code.Stopping, err.Error())
	}
	return notRunError(code.Stopping, stoppingRetryAfter)
}

// contextFailure returns the failure of a request whose context has ended.
func (x *exchange) contextFailure(ctx context.Context) *code.Error {
	if x.r.Context().Err() != nil {
		return code.Refuse(code.CallerLeft, "")
	}
	if !x.mayHaveRun {
		return notRunError(code.WaitTooLong, 0)
	}
	return code.Fail(code.Silent, "the deadline has passed")
}

// notRunError returns a failure for a request that was not run.
func notRunError(c code.Code, retryAfter time.Duration) *code.Error {
	failure := code.Refuse(c, "")
	failure.RetryAfter = retryAfter
	return failure
}

// recordAttempt logs an attempt and adds it to the list of attempts. Its failure says
// that the request did not run only if no earlier attempt may have run it.
func (x *exchange) recordAttempt(t *dispatch.Ticket, result attemptResult) {
	x.mayHaveRun = x.mayHaveRun || result.mayHaveRun
	outcome := "served"
	if result.failure != nil {
		result.failure.NotRun = !x.mayHaveRun
		outcome = result.failure.Code.String() + " " + result.failure.Detail
	}
	x.attempts = append(x.attempts, t.Endpoint.ID+"@"+t.Endpoint.Address+": "+outcome)
	x.h.opts.Log.Log(oplog.Routine, "request.sent", x.attrs(
		slog.String("endpoint", t.Endpoint.ID), slog.String("address", t.Endpoint.Address),
		slog.Duration("waited", t.GrantedAt.Sub(x.arrived)), slog.Duration("send_delay", x.sendDelay), slog.Duration("predicted", t.PredictedFirstEvent),
		slog.Duration("first", x.firstEventAfter), slog.Int("missing_tokens", t.UncachedTokens), slog.Int("shared_tokens_missing", t.RecomputedTokens),
		slog.Int("events", x.eventCount), slog.Int("max_output", x.meta.MaxOutput), slog.Int("hint", x.meta.OutputHint),
		slog.Bool("over_share", t.OverShare), slog.Bool("late", t.ObjectiveMissed),
		slog.String("outcome", outcome))...)
}

// finish counts the outcome of the request and, if it was not served, logs the
// failure and writes the error response. A stream that has started is aborted, so
// that the client can tell that it is incomplete.
func (x *exchange) finish(failure *code.Error) {
	took := time.Since(x.arrived)
	if failure == nil {
		x.count("served", "served")
		metrics.GetOrCreateHistogram(`cyclamenwinch_request_seconds{kind="` + x.route.Kind.String() + `"}`).Update(took.Seconds())
		metrics.GetOrCreateHistogram(`cyclamenwinch_first_event_seconds{kind="` + x.route.Kind.String() + `"}`).Update(x.firstEventAfter.Seconds())
		return
	}
	if x.streamStarted {
		x.logFailure(failure, "cut")
		x.count("cut", "cut")
		reason := streamCut
		if failure.Code == code.CallerLeft {
			reason = clientLeft
		}
		x.abortResponse(reason)
	}
	if x.endpointFailure != nil && failure.Code != code.CallerLeft {
		x.logFailure(failure, "endpoint_failure")
		x.count("endpoint_failure", "endpoint_failure")
		x.writeResponse(x.endpointFailure)
		return
	}
	x.writeFailure(failure)
}

// writeFailure logs a failure and responds with it as a problem document.
func (x *exchange) writeFailure(failure *code.Error) {
	outcome := "failed"
	if failure.NotRun {
		outcome = "refused"
	}
	x.logFailure(failure, outcome)
	x.count(outcome, outcome+" "+failure.Code.Info().Name)
	if failure.Code == code.CallerLeft {
		x.abortResponse(callerLeftReason(x.bodyRead))
	}
	problem := code.NewProblem(failure, x.meta.ID)
	problem.Status = httpStatus(failure)
	header := http.Header{"Content-Type": {code.ProblemType}}
	if problem.Status == http.StatusServiceUnavailable || problem.Status == http.StatusTooManyRequests {
		header.Set("Connection", "close") // makes the client retry on a new connection
	}
	if failure.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(failure.RetryAfter.Seconds(), 'f', 3, 64))
	}
	var body bytes.Buffer
	if err := json.NewEncoder(&body).Encode(problem); err != nil {
		x.h.opts.Log.Log(oplog.Failure, "request.answer_not_written", x.attrs(slog.String("error", err.Error()))...)
	}
	x.writeResponse(&bufferedResponse{status: problem.Status, header: header, body: body.Bytes()})
}

// httpStatus returns the HTTP status of a failure that the router reports. 503 and
// 429 tell the client that its request did not run. A request that did not run
// therefore gets 503 instead of any other server error, and one that may have run
// gets 502 instead of 503 or 429. Quarantined requests always get 503.
func httpStatus(failure *code.Error) int {
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

// count counts the outcome in the metrics and, with more detail, for the account.
func (x *exchange) count(outcome, detail string) {
	account := x.account
	if account == "" && x.table != nil { // refused before it was authenticated
		if a := x.table.AccountByKey(x.meta.APIKey); a != nil {
			account = a.Name
		}
	}
	x.h.tallies.countOutcome(account, detail)
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
		slog.Any("attempts", x.attempts), x.decision())...)
}

// decision returns the inputs of the dispatcher's latest decision as a log group.
func (x *exchange) decision() slog.Attr {
	t := x.lastTicket
	if t == nil {
		return slog.Attr{}
	}
	attrs := []any{slog.Duration("expected_wait", t.ExpectedWait), slog.Bool("over_share", t.OverShare), slog.Bool("late", t.ObjectiveMissed), slog.Float64("used", t.RecentUsage), blockedAttr(t.Blocked)}
	if !math.IsInf(t.FairShare, 1) {
		attrs = append(attrs, slog.Float64("share", t.FairShare))
	}
	return slog.Group("decision", attrs...)
}

// attrs returns the log attributes common to all lines about a request.
func (x *exchange) attrs(more ...slog.Attr) []slog.Attr {
	attrs := []slog.Attr{slog.String("request", x.meta.ID), slog.Duration("age", time.Since(x.arrived))}
	if x.table != nil {
		attrs = append(attrs, slog.Int64("config_version", x.table.Config.Version), slog.Duration("config_age", time.Since(x.table.AppliedAt)))
	}
	if x.route != nil {
		attrs = append(attrs, slog.String("route", x.route.Name), slog.String("service", x.service), slog.String("account", x.account))
	}
	if origin, ok := x.r.Context().Value(originKey{}).(func() slog.Attr); ok {
		attrs = append(attrs, origin())
	}
	return append(attrs, more...)
}
