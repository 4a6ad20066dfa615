package relay

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
	"github.com/cyclamenwinch/cyclamenwinch/internal/upstream"
)

const (
	// silentObjectives is how many objectives an idempotent request waits for
	// its answer before another endpoint is tried.
	silentObjectives = 4
	// silentStream is how long a resumable stream may be silent beyond what
	// was predicted before another endpoint goes on with it. Clients abandon
	// a stream after two seconds at the earliest.
	silentStream = 1500 * time.Millisecond
	// deadlineGrace lets the endpoint's own answer at the deadline arrive.
	deadlineGrace = 60 * time.Millisecond
	// wholeBytes is the largest answer that is held to be checked before it
	// is passed on.
	wholeBytes = 8 << 20
	// strayAnswers is how many answers to earlier requests a connection may
	// bring before it is given up.
	strayAnswers = 3
)

// result is how one attempt ended.
type result struct {
	outcome    dispatch.Outcome
	done       bool        // the client has its answer
	mayHaveRun bool        // the endpoint may have run the request
	broke      bool        // the endpoint broke off, as one does that crashes
	failure    *code.Error // nil: served
}

func failed(outcome dispatch.Outcome, mayHaveRun bool, c code.Code, detail string) result {
	failure := code.Fail(c, detail)
	failure.NotRun = !mayHaveRun
	return result{outcome: outcome, mayHaveRun: mayHaveRun, failure: failure}
}

// attempt sends the request to the endpoint of a ticket and passes the answer
// on.
func (x *exchange) attempt(ctx context.Context, t *dispatch.Ticket) result {
	fresh := x.route.Kind == topology.AtMostOnce || x.sends > 0
	if x.clientLeft() {
		return failed(dispatch.Canceled, false, code.CallerLeft, "the client closed its connection")
	}
	conn, err := x.h.opts.Pool.Get(ctx, t.Endpoint.Address, fresh)
	if err != nil {
		if ctx.Err() != nil {
			return x.interrupted(ctx, false)
		}
		return failed(dispatch.Unreachable, false, code.Unreachable, "no connection to the endpoint")
	}
	if ctx.Err() != nil {
		conn.Close()
		return x.interrupted(ctx, false)
	}
	req := x.outgoing(t)
	x.sends++
	cut := context.AfterFunc(ctx, func() { x.cut(conn) })
	defer cut()
	if err := conn.Send(req, x.body); err != nil {
		conn.Close()
		return x.broken(ctx, code.EndpointError, "the connection broke while the request was sent")
	}
	answer, failure := x.receive(ctx, conn, req, t)
	if failure != nil {
		conn.Close()
		return *failure
	}
	return x.deliver(ctx, conn, answer, t)
}

// cut ends a connection whose exchange is over: at once if the client has
// left, and after a moment at the deadline, since the endpoint may just be
// saying so itself.
func (x *exchange) cut(conn *upstream.Conn) {
	if x.r.Context().Err() != nil {
		conn.Close()
		return
	}
	conn.SetDeadline(time.Now().Add(deadlineGrace))
}

// outgoing builds the request for the endpoint of a ticket.
func (x *exchange) outgoing(t *dispatch.Ticket) *http.Request {
	header := x.header.Clone()
	if header.Get("User-Agent") == "" {
		header["User-Agent"] = []string{""} // keeps the library from naming itself
	}
	x.h.opts.Protocol.WriteRequest(header, ForwardMeta{
		Endpoint: t.Endpoint.ID, Account: x.account, Remaining: time.Until(x.deadline), LastEventID: x.lastEvent,
	})
	return &http.Request{
		Method: x.r.Method, Host: x.r.Host, Header: header,
		URL: &url.URL{Opaque: x.r.RequestURI}, ProtoMajor: 1, ProtoMinor: 1,
	}
}

// receive reads the head of the answer to this request. Answers to earlier
// requests that arrive late are passed over.
func (x *exchange) receive(ctx context.Context, conn *upstream.Conn, req *http.Request, t *dispatch.Ticket) (*http.Response, *result) {
	conn.SetReadDeadline(x.answerBy(t))
	for range strayAnswers {
		answer, err := conn.Receive(req)
		if err != nil {
			return nil, x.noAnswer(ctx, err)
		}
		if meta := x.h.opts.Protocol.ReadResponse(answer.StatusCode, answer.Header); x.meta.ID == "" || meta.ID == x.meta.ID {
			return answer, nil
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			return nil, x.noAnswer(ctx, err)
		}
	}
	r := x.broken(ctx, code.CrossedAnswer, "the connection brings answers to other requests")
	return nil, &r
}

func (x *exchange) noAnswer(ctx context.Context, err error) *result {
	c, detail := code.EndpointError, "the connection broke before the answer"
	if isTimeout(err) {
		c, detail = code.Silent, "the endpoint did not answer in time"
	}
	r := x.broken(ctx, c, detail)
	return &r
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// answerBy is the instant until which the head of an answer is waited for:
// earlier than the deadline where another endpoint could still serve.
func (x *exchange) answerBy(t *dispatch.Ticket) time.Time {
	end := x.deadline.Add(deadlineGrace)
	if !x.route.Repeatable() || x.sends >= x.route.MaxAttempts {
		return end
	}
	patience := silentStream + t.PredictedFirstEvent
	if x.route.Kind == topology.Idempotent {
		patience = silentObjectives * max(x.route.Objective, 25*time.Millisecond)
	}
	if by := time.Now().Add(patience); by.Before(end) {
		return by
	}
	return end
}

// broken is the result of an attempt whose request was sent and whose answer
// did not come whole.
func (x *exchange) broken(ctx context.Context, c code.Code, detail string) result {
	if ctx.Err() != nil {
		return x.interrupted(ctx, true)
	}
	r := failed(dispatch.Interrupted, true, c, detail)
	r.broke = c == code.EndpointError || c == code.Truncated
	return r
}

// interrupted is the result of an attempt that the client or the deadline
// ended.
func (x *exchange) interrupted(ctx context.Context, sent bool) result {
	if x.r.Context().Err() != nil {
		return failed(dispatch.Canceled, sent, code.CallerLeft, "the client closed its connection")
	}
	return failed(dispatch.Canceled, sent, code.Silent, "the deadline has passed")
}

// deliver passes an answer on, or says why it can't be.
func (x *exchange) deliver(ctx context.Context, conn *upstream.Conn, answer *http.Response, t *dispatch.Ticket) result {
	meta := x.h.opts.Protocol.ReadResponse(answer.StatusCode, answer.Header)
	if answer.StatusCode == http.StatusOK && x.route.Kind == topology.Stream && answer.Header.Get("Content-Encoding") == "" {
		return x.stream(ctx, conn, answer, t)
	}
	conn.SetReadDeadline(x.deadline.Add(deadlineGrace))
	body, err := io.ReadAll(io.LimitReader(answer.Body, wholeBytes+1))
	if err != nil || len(body) > wholeBytes {
		conn.Close()
		if meta.NotRun {
			return failed(dispatch.Rejected, false, code.Unreachable, "the endpoint turned the request away")
		}
		return x.broken(ctx, code.Truncated, "the answer broke off")
	}
	x.firstEvent(t)
	x.h.opts.Pool.Put(conn, answer)
	return x.judge(answer, meta, body)
}

// judge says what a whole answer means for the exchange.
func (x *exchange) judge(answer *http.Response, meta ResponseMeta, body []byte) result {
	switch {
	case answer.StatusCode == http.StatusMisdirectedRequest:
		return failed(dispatch.Misdirected, false, code.Unreachable, "another endpoint has the address")
	case meta.NotRun:
		return failed(dispatch.Rejected, false, code.Unreachable, "the endpoint turned the request away")
	case answer.Header.Get("Content-Encoding") != "":
		return failed(dispatch.Failed, true, code.EndpointError, "the answer is encoded, which nobody asked for")
	}
	w := &whole{status: answer.StatusCode, header: endToEnd(answer.Header), body: body}
	if answer.StatusCode >= 500 && !x.started {
		x.held = w
		return failed(dispatch.Failed, true, code.EndpointError, "the endpoint answered "+answer.Status)
	}
	if x.started {
		return failed(dispatch.Failed, true, code.EndpointError, "the endpoint did not go on with the stream")
	}
	w.deliver(x.w)
	return result{outcome: dispatch.Served, done: true, mayHaveRun: true}
}

// firstEvent notes that the answer has begun.
func (x *exchange) firstEvent(t *dispatch.Ticket) {
	if x.first == 0 {
		x.first = time.Since(x.arrived)
	}
	x.h.opts.Dispatcher.FirstEvent(t)
}

// whole is an answer that is held whole.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// deliver writes the answer. A client that has left is noticed by the server.
func (a *whole) deliver(w http.ResponseWriter) {
	copyHeader(w.Header(), a.header)
	w.WriteHeader(a.status)
	w.Write(a.body)
}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
}
