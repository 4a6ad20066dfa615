package relay

import (
	"context"
	"io"
	"log/slog"
	"mime"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
	"github.com/cyclamenwinch/cyclamenwinch/internal/limitio"
	"github.com/cyclamenwinch/cyclamenwinch/internal/memory"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/upstream"
)

const (
	// responseWaitObjectives is how long an idempotent request waits for a
	// response before another endpoint is sought, as a multiple of the
	// route's latency objective.
	responseWaitObjectives = 4
	// streamSilence is how long a resumable stream may deliver nothing, beyond
	// the predicted time to its first event, before another endpoint is sought
	// that resumes it. Clients abandon a stream after two seconds at the earliest.
	streamSilence = 1500 * time.Millisecond
	// deadlineGrace is how long after the deadline the router still reads, so
	// that a response which the endpoint sends at the deadline arrives.
	deadlineGrace = 60 * time.Millisecond
	// maxBufferedBytes limits a response that is buffered and checked before it
	// is forwarded.
	maxBufferedBytes = 8 << 20
	// maxStaleResponses is how many responses to earlier requests a connection
	// may deliver before it is closed.
	maxStaleResponses = 3
	// maxStaleBytes limits the body of such a response. Beyond it a new
	// connection is cheaper than reading on.
	maxStaleBytes = 256 << 10
)

// attemptResult describes how an attempt ended.
type attemptResult struct {
	outcome        dispatch.Outcome
	delivered      bool        // the response was sent to the client
	mayHaveRun     bool        // the endpoint may have run the request
	suspectedCrash bool        // the connection failed as it does when an endpoint crashes
	failure        *code.Error // nil: served
}

func failedAttempt(outcome dispatch.Outcome, mayHaveRun bool, c code.Code, detail string) attemptResult {
	failure := code.Fail(c, detail)
	failure.NotRun = !mayHaveRun
	return attemptResult{outcome: outcome, mayHaveRun: mayHaveRun, failure: failure}
}

// attempt sends the request to the endpoint of a ticket and forwards the
// response.
func (x *exchange) attempt(ctx context.Context, t *dispatch.Ticket) attemptResult {
	newConn := x.route.Kind == topology.AtMostOnce || x.sends > 0
	if x.clientDisconnected() {
		return failedAttempt(dispatch.Canceled, false, code.CallerLeft, "the client closed its connection")
	}
	conn := x.standby.takeConn()
	if conn == nil {
		var failure *attemptResult
		if conn, failure = x.connect(ctx, t, newConn); failure != nil {
			return *failure
		}
	}
	if ctx.Err() != nil {
		conn.Close()
		return x.canceled(ctx, false)
	}
	req := x.outgoingRequest(t)
	if !x.h.opts.Dispatcher.Confirm(t) {
		conn.Close()
		return failedAttempt(dispatch.Withdrawn, false, code.Unreachable, "the endpoint began to leave before the request was sent")
	}
	x.sends++
	x.sendDelay = time.Since(t.GrantedAt)
	sendDelays.Update(x.sendDelay.Seconds())
	x.attemptConn = &attemptConn{conn: conn}
	stopAbort := context.AfterFunc(ctx, func() { x.attemptConn.do(x.abort) })
	defer stopAbort()
	x.h.open.add(x, x.attemptConn)
	defer x.h.open.remove(x)
	conn.WaitOn = func() bool { return x.waitOn(ctx, conn, t) }
	defer x.stopSeeking()
	conn.SetDeadline(x.responseDeadline(t))
	if err := conn.Send(req, x.body); err != nil {
		conn.Close()
		if isTimeout(err) {
			return x.silent(ctx, t, "the endpoint did not accept the request in time")
		}
		return x.interrupted(ctx, code.EndpointError, "the connection failed while the request was being sent")
	}
	conn.SetWriteDeadline(x.deadline.Add(deadlineGrace)) // of a large body that is still being sent
	resp, failure := x.receiveHead(ctx, conn, req, t)
	if failure != nil {
		conn.Close()
		return *failure
	}
	x.stopSeeking()
	return x.deliver(ctx, conn, resp, t)
}

// connect returns a connection to the endpoint of a ticket.
func (x *exchange) connect(ctx context.Context, t *dispatch.Ticket, newConn bool) (*upstream.Conn, *attemptResult) {
	conn, err := x.h.opts.Pool.Get(ctx, t.Endpoint.Address, x.meta.ID, newConn)
	if err == nil {
		return conn, nil
	}
	if ctx.Err() != nil {
		r := x.canceled(ctx, false)
		return nil, &r
	}
	outcome := dispatch.Unreachable
	if isTimeout(err) && !x.h.timesEndpoints() {
		outcome = dispatch.ConnectTimeout
	}
	r := failedAttempt(outcome, false, code.Unreachable, "failed to connect to the endpoint")
	return nil, &r
}

// abort ends the connection of a canceled attempt: at once if the client has
// disconnected, and after deadlineGrace at the deadline, since the endpoint may
// be reporting the timeout itself.
func (x *exchange) abort(conn *upstream.Conn) {
	if x.r.Context().Err() != nil {
		conn.Close()
		return
	}
	conn.SetDeadline(time.Now().Add(deadlineGrace))
}

// outgoingRequest builds the request for the endpoint of a ticket.
func (x *exchange) outgoingRequest(t *dispatch.Ticket) *http.Request {
	header := x.header.Clone()
	if header.Get("User-Agent") == "" {
		header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	x.h.opts.Protocol.WriteRequest(header, ForwardMeta{
		Endpoint: t.Endpoint.ID, Account: x.account, Remaining: time.Until(x.deadline), LastEventID: x.lastEventID,
	})
	return &http.Request{
		Method: x.r.Method, Host: x.r.Host, Header: header,
		URL: outgoingURL(x.r), ProtoMajor: 1, ProtoMinor: 1,
	}
}

// outgoingURL returns the URL that net/http writes as the client sent it. It writes a
// scheme before an opaque one that begins with two slashes, even if there is none.
func outgoingURL(r *http.Request) *url.URL {
	if !strings.HasPrefix(r.RequestURI, "//") {
		return &url.URL{Opaque: r.RequestURI}
	}
	return &url.URL{Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery}
}

// receiveHead reads the head of the response to this request. It skips late
// responses to earlier requests on the connection.
func (x *exchange) receiveHead(ctx context.Context, conn *upstream.Conn, req *http.Request, t *dispatch.Ticket) (*http.Response, *attemptResult) {
	for range maxStaleResponses {
		resp, err := conn.Receive(req)
		if err != nil {
			return nil, x.noResponse(ctx, t, err)
		}
		meta := x.h.opts.Protocol.ReadResponse(resp.StatusCode, resp.Header)
		x.applyNotice(t, meta)
		if meta.ID == x.meta.ID {
			return resp, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStaleBytes+1))
		if err != nil {
			return nil, x.noResponse(ctx, t, err)
		}
		if n > maxStaleBytes {
			break
		}
	}
	r := x.interrupted(ctx, code.CrossedAnswer, "the connection delivers responses to other requests")
	return nil, &r
}

// applyNotice applies what an endpoint says about itself in the head of a response,
// also of one to an earlier request.
func (x *exchange) applyNotice(t *dispatch.Ticket, meta ResponseMeta) {
	if !meta.Leaving && meta.Pause == 0 {
		return
	}
	isNew := false
	x.h.opts.Dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) {
		isNew = d.RecordNotice(now, t, dispatch.Notice{Leaving: meta.Leaving, Pause: meta.Pause})
	})
	if isNew {
		x.h.opts.Log.Log(oplog.StateChange, "endpoint.notice", x.attrs(slog.String("endpoint", t.Endpoint.ID), slog.Bool("leaving", meta.Leaving), slog.Duration("pause", meta.Pause))...)
	}
}

// noResponse returns the result of an attempt whose response head could not be
// read.
func (x *exchange) noResponse(ctx context.Context, t *dispatch.Ticket, err error) *attemptResult {
	if errors.Is(err, limitio.ErrTooLarge) {
		r := x.oversized(ctx, err.Error())
		return &r
	}
	r := x.interrupted(ctx, code.EndpointError, "the connection failed before the response")
	if isTimeout(err) {
		r = x.silent(ctx, t, "the endpoint did not respond in time")
	}
	return &r
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// responseDeadline returns the time until which to wait for the head of the
// response before a standby is sought. It is the request's deadline if no other
// endpoint may be tried.
func (x *exchange) responseDeadline(t *dispatch.Ticket) time.Time {
	end := x.deadline.Add(deadlineGrace)
	if !x.mayRetrySilent() {
		return end
	}
	wait := streamSilence + t.PredictedFirstEvent
	if x.route.Kind == topology.Idempotent {
		wait = responseWaitObjectives * max(x.route.Objective, 25*time.Millisecond)
	}
	if deadline := time.Now().Add(wait); deadline.Before(end) {
		return deadline
	}
	return end
}

// interrupted returns the result of an attempt whose request was sent and whose
// response is incomplete.
func (x *exchange) interrupted(ctx context.Context, c code.Code, detail string) attemptResult {
	if ctx.Err() != nil {
		return x.canceled(ctx, true)
	}
	r := failedAttempt(dispatch.Interrupted, true, c, detail)
	r.suspectedCrash = c == code.EndpointError || c == code.Truncated
	if r.suspectedCrash {
		r.outcome = dispatch.Broken
	}
	return r
}

// silent returns the result of an attempt whose endpoint sent nothing for too long,
// by the clock of this router. Idle connections to it may be cut off as well.
func (x *exchange) silent(ctx context.Context, t *dispatch.Ticket, detail string) attemptResult {
	x.h.opts.Pool.CloseIdle(t.Endpoint.Address)
	r := x.interrupted(ctx, code.Silent, detail)
	if !x.h.timesEndpoints() && r.outcome == dispatch.Interrupted {
		r.outcome = dispatch.Canceled
	}
	return r
}

// oversized returns the result of an attempt whose response exceeds a limit. Unlike
// a lost connection, it is no sign of a crash.
func (x *exchange) oversized(ctx context.Context, detail string) attemptResult {
	r := x.interrupted(ctx, code.EndpointError, detail)
	r.suspectedCrash = false
	if r.outcome == dispatch.Broken {
		r.outcome = dispatch.Interrupted
	}
	return r
}

// canceled returns the result of an attempt that ended because the client
// disconnected or the deadline passed.
func (x *exchange) canceled(ctx context.Context, sent bool) attemptResult {
	if x.r.Context().Err() != nil {
		return failedAttempt(dispatch.Canceled, sent, code.CallerLeft, "the client closed its connection")
	}
	return failedAttempt(dispatch.Canceled, sent, code.Silent, "the deadline has passed")
}

// deliver forwards a response to the client, or returns why it can't.
func (x *exchange) deliver(ctx context.Context, conn *upstream.Conn, resp *http.Response, t *dispatch.Ticket) attemptResult {
	meta := x.h.opts.Protocol.ReadResponse(resp.StatusCode, resp.Header)
	x.recordWeights(meta, t)
	if resp.StatusCode == http.StatusOK && x.route.Kind == topology.Stream && resp.Header.Get("Content-Encoding") == "" {
		if x.streamStarted && declaresOtherType(resp) {
			return notResumed(conn)
		}
		return x.stream(ctx, conn, resp, t)
	}
	conn.SetReadDeadline(x.deadline.Add(deadlineGrace))
	body, err := memory.ReadBody(resp.Body, resp.ContentLength, maxBufferedBytes, x.reserveResponse(t))
	if err != nil {
		conn.Close()
		if meta.NotRun {
			return failedAttempt(dispatch.Rejected, false, code.Unreachable, "the endpoint rejected the request without running it")
		}
		if errors.Is(err, limitio.ErrTooLarge) {
			return x.oversized(ctx, err.Error())
		}
		return x.interrupted(ctx, code.Truncated, "the response is truncated")
	}
	x.recordFirstEvent(t)
	if meta.NotRun {
		conn.Close() // a faulty endpoint may write the same rejection again
	} else {
		x.recordBegun(t)
		x.h.opts.Dispatcher.RecordCompleted(t)
		x.putConn(conn, resp)
	}
	return x.handleResponse(resp, meta, body, t)
}

// recordBegun records that the endpoint has begun the response to this request, so
// that a later crash is not its fault.
func (x *exchange) recordBegun(t *dispatch.Ticket) {
	x.begun = true
	x.h.opts.Dispatcher.RecordBegun(t)
}

// declaresOtherType reports whether a response is declared as something else than a
// stream of events.
func declaresOtherType(resp *http.Response) bool {
	declared := resp.Header.Get("Content-Type")
	mediaType, _, err := mime.ParseMediaType(declared)
	return declared != "" && (err != nil || mediaType != "text/event-stream")
}

// putConn returns the connection of a complete response to the pool. What happens
// to this request afterwards must not end the connection, which another request
// may use already.
func (x *exchange) putConn(conn *upstream.Conn, resp *http.Response) {
	x.attemptConn.giveUp()
	x.h.opts.Pool.Put(conn, resp)
}

// handleResponse decides whether a complete response is written to the client,
// kept as an endpoint failure or dropped.
func (x *exchange) handleResponse(resp *http.Response, meta ResponseMeta, body []byte, t *dispatch.Ticket) attemptResult {
	switch {
	case meta.NotRun && resp.StatusCode == http.StatusMisdirectedRequest:
		return x.misdirected(meta, t)
	case meta.NotRun:
		return failedAttempt(dispatch.Rejected, false, code.Unreachable, "the endpoint rejected the request without running it")
	case resp.Header.Get("Content-Encoding") != "":
		return failedAttempt(dispatch.Failed, true, code.EndpointError, "the response has a Content-Encoding that was not requested")
	}
	if code.PromisesNotRun(resp.StatusCode) {
		return failedAttempt(dispatch.Failed, true, code.EndpointError, "the endpoint responded with status "+resp.Status+" and may have run the request")
	}
	w := &bufferedResponse{status: resp.StatusCode, header: endToEndHeader(resp.Header), body: body}
	if resp.StatusCode >= 500 && !x.streamStarted {
		x.endpointFailure = w
		return failedAttempt(dispatch.Failed, true, code.EndpointError, "the endpoint responded with status "+resp.Status)
	}
	if x.streamStarted {
		return failedAttempt(dispatch.Failed, true, code.EndpointError, "the endpoint did not resume the stream")
	}
	x.writeResponse(w)
	return attemptResult{outcome: dispatch.Completed, delivered: true, mayHaveRun: true}
}

// misdirected returns the result of an attempt whose response has status 421: the
// address belongs to another endpoint, or the endpoint that the request was meant for
// has other weights than the request names.
func (x *exchange) misdirected(meta ResponseMeta, t *dispatch.Ticket) attemptResult {
	named := x.meta.Weights.Version != ""
	switch {
	case meta.Endpoint != t.Endpoint.ID && (meta.Endpoint != "" || !named):
		return failedAttempt(dispatch.Misdirected, false, code.Unreachable, "the address belongs to another endpoint")
	case named:
		x.weightsMissed = true
		return failedAttempt(dispatch.OtherWeights, false, code.NoEndpoint, "the endpoint has other weights than the request names")
	}
	return failedAttempt(dispatch.Rejected, false, code.Unreachable, "the endpoint rejected the request without running it")
}

// recordWeights records the version of the weights that an endpoint stated in its
// response.
func (x *exchange) recordWeights(meta ResponseMeta, t *dispatch.Ticket) {
	if meta.Weights == "" || meta.Weights == t.EndpointWeights || meta.Endpoint != "" && meta.Endpoint != t.Endpoint.ID {
		return
	}
	x.h.opts.Dispatcher.Update(func(_ time.Time, d *dispatch.Dispatcher) { d.RecordWeights(t, meta.Weights) })
}

// recordFirstEvent records that the response has started.
func (x *exchange) recordFirstEvent(t *dispatch.Ticket) {
	if x.firstEventAfter == 0 {
		x.firstEventAfter = time.Since(x.arrived)
	}
	timed := x.h.timesEndpoints()
	if timed && t.PredictedFirstEvent > 0 && t.Request.PromptTokens > 0 {
		predictionRatio.Update(time.Since(t.GrantedAt).Seconds() / t.PredictedFirstEvent.Seconds())
	}
	x.h.opts.Dispatcher.RecordFirstEvent(t, timed)
}
