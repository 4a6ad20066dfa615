package ledger

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/admission"
	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/order"
	"github.com/cyclamenwinch/cyclamenwinch/internal/endpoint"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/pool"
)

// run takes the steps that a core run asks for.
type run struct {
	ledger            *Ledger
	shard             *shard
	order             Order
	acceptedAt        time.Time
	excludedEndpoints []string

	core         *order.Run
	slot         *pool.Slot
	outcome      admission.Outcome
	fullResponse *endpoint.Response // the endpoint's, also if the record keeps no body

	dispatchable     chan struct{} // closed once a claim may be dispatched
	dispatchableOnce sync.Once
}

// stepError ends a run with a refusal.
type stepError struct{ failure *code.Error }

// runAttempts runs the order until it is answered, or refused for good. Only a try
// that is proved not run is repeated.
func (r *run) runAttempts(ctx context.Context) (Result, error) {
	for try := 1; ; try++ {
		result, err := r.attempt(ctx)
		if err == nil {
			r.ledger.updateRetryBudget(true)
			return result, nil
		}
		var failure *code.Error
		again := errors.As(err, &failure) && failure.NotRun && failure.Code == code.Unreachable
		if !again || try == maxAttempts || ctx.Err() != nil || !r.ledger.updateRetryBudget(false) {
			return result, err
		}
		r.logEvent(eventlog.Event{Kind: eventlog.RequestRetried, Code: int(failure.Code), Detail: failure.Error()})
	}
}

// updateRetryBudget takes in a success, or asks the budget for a retry.
func (l *Ledger) updateRetryBudget(ok bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ok {
		l.retries.Succeeded()
		return true
	}
	return l.retries.Take()
}

func (r *run) attempt(ctx context.Context) (Result, error) {
	r.core = order.NewRun(r.ledger, r.ledger.opts.Fleet.Self().Name, digest(r.order))
	reply, stopped := r.steps(ctx, r.core.Start())
	r.release()
	if stopped != nil {
		return Result{}, stopped.failure
	}
	return r.callerResult(reply)
}

// steps takes steps until the reply.
func (r *run) steps(ctx context.Context, step order.Step) (order.Reply, *stepError) {
	for {
		var stopped *stepError
		switch step.Kind {
		case order.StepReadRecord:
			step, stopped = r.readRecord(ctx, step)
		case order.StepClaim:
			step, stopped = r.claim(ctx)
		case order.StepDispatch:
			step = r.dispatch(step.Record)
		case order.StepQueryEndpoint:
			step = r.queryEndpoint(step)
		case order.StepChangeRecord:
			step = r.change(step.Change)
		case order.StepPause:
			step = r.pause(ctx)
		case order.StepReply:
			return step.Reply, nil
		}
		if stopped != nil {
			return order.Reply{}, stopped
		}
	}
}

func (r *run) readRecord(ctx context.Context, step order.Step) (order.Step, *stepError) {
	v, err := r.shard.await(ctx, func(s *order.Shard) order.Op { return s.ReadRecord(r.order.Account, r.order.Key, step.Fresh) })
	if err != nil && step.Fresh {
		// A record of the key is known, so an earlier try may have run.
		return step, &stepError{code.Fail(code.PlatformDown, "the order's record can't be read")}
	}
	if err != nil {
		return step, &stepError{code.Refuse(code.PlatformDown, "the ledger can't be read")}
	}
	return r.core.HandleRecord(v), nil
}

// claim waits for a slot and claims. A refusal from here is not run: the
// claim, if it is committed at all, is never dispatched.
func (r *run) claim(ctx context.Context) (order.Step, *stepError) {
	slot, err := r.ledger.opts.Pools.Acquire(ctx, r.order.Pool, pool.Request{Account: r.order.Account, Estimate: orderCost, Avoid: r.excludedEndpoints})
	if err != nil {
		return order.Step{}, &stepError{code.As(err)}
	}
	r.slot, r.outcome = slot, admission.Cancelled
	self := r.ledger.opts.Fleet.Self()
	v, givenUp := r.shard.claim(ctx, order.Record{
		Account:     r.order.Account,
		Key:         r.order.Key,
		Digest:      digest(r.order),
		Token:       newToken(self),
		Router:      self.Name,
		Incarnation: self.Incarnation,
		Endpoint:    slot.Endpoint,
		Fence:       1,
		AcceptedAt:  r.acceptedAt,
	})
	if givenUp {
		return order.Step{}, &stepError{code.Refuse(code.PlatformDown, "the claim could not be recorded")}
	}
	if v.Kind == order.ClaimWon && ctx.Err() != nil {
		return r.core.HandleCancellation(v, code.Refuse(code.CallerLeft, "")), nil
	}
	if v.Kind != order.ClaimWon {
		r.release() // a new claim waits for a slot of its own
	}
	return r.core.HandleClaim(v), nil
}

// dispatch sends a claimed order, once. The caller's leaving does not stop
// it.
func (r *run) dispatch(claim order.Record) order.Step {
	r.dispatchableOnce.Do(func() { close(r.dispatchable) })
	r.logEvent(eventlog.Event{Kind: eventlog.OrderClaimed, Endpoint: claim.Endpoint, Detail: r.order.Key})
	e, ok := r.ledger.opts.Fleet.Manifest().Endpoint(claim.Endpoint)
	if !ok {
		return r.core.HandleDispatch(order.DispatchNotExecuted, nil, code.Refuse(code.NoEndpoint, claim.Endpoint+" is not declared any more"))
	}
	ctx, cancel := context.WithTimeout(r.ledger.ctx, dispatchTimeout)
	defer cancel()
	answer, err := r.ledger.opts.Endpoints.Do(ctx, endpoint.Call{
		URL:         e.URL + r.order.Path,
		Method:      http.MethodPost,
		RequestID:   r.order.RequestID,
		Key:         claim.ID().String(),
		Fence:       claim.Fence,
		ContentType: r.order.ContentType,
		Body:        r.order.Body,
	})
	sent, cause := classifyDispatch(answer, err, e.Fence)
	r.outcome = admissionOutcome(cause)
	if sent != order.DispatchAnswered {
		r.excludedEndpoints = append(r.excludedEndpoints, claim.Endpoint)
		return r.core.HandleDispatch(sent, nil, cause)
	}
	r.fullResponse = &answer
	return r.core.HandleDispatch(sent, order.NewResponse(answer.Status, answer.ContentType, answer.Body), nil)
}

// classifyDispatch says what is known after a dispatch. An endpoint that answers with a
// server error may have executed the order all the same.
func classifyDispatch(answer endpoint.Response, err error, fence bool) (order.DispatchStatus, error) {
	var failure *code.Error
	switch {
	case errors.As(err, &failure) && failure.NotRun:
		return order.DispatchNotExecuted, err
	case err != nil:
		return order.DispatchUncertain, err
	case fence && answer.Status == http.StatusPreconditionFailed:
		return order.DispatchNotExecuted, code.Refuse(code.EndpointError, "the endpoint refused the fencing number")
	case answer.Status >= http.StatusInternalServerError || answer.Status == http.StatusTooManyRequests:
		return order.DispatchUncertain, code.Fail(code.EndpointError, "the endpoint answered "+http.StatusText(answer.Status))
	}
	return order.DispatchAnswered, nil
}

// queryEndpoint asks the endpoint what it knows of an order.
func (r *run) queryEndpoint(step order.Step) order.Step {
	seen, answer := r.ledger.queryExecution(step)
	if seen != order.LookupExecuted {
		return r.core.HandleLookup(seen, nil)
	}
	r.fullResponse = &answer
	return r.core.HandleLookup(seen, order.NewResponse(answer.Status, answer.ContentType, answer.Body))
}

// queryExecution asks an endpoint for an execution, under a raised fence if the step
// says so.
func (l *Ledger) queryExecution(step order.Step) (order.LookupStatus, endpoint.Response) {
	e, ok := l.opts.Fleet.Manifest().Endpoint(step.Record.Endpoint)
	if !ok {
		return order.LookupFailed, endpoint.Response{}
	}
	key := step.Record.ID().String()
	call := endpoint.Call{URL: e.URL + "/executions/" + key, Method: http.MethodGet, RequestID: step.Record.Token, NewConnection: true}
	if step.RaiseFence {
		call = endpoint.Call{URL: e.URL + "/fences/" + key, Method: http.MethodPut, RequestID: step.Record.Token, Key: key, Fence: step.Record.Fence}
	}
	answer, err := l.opts.Endpoints.Do(l.ctx, call)
	if err != nil {
		return order.LookupFailed, answer
	}
	switch answer.Status {
	case http.StatusOK:
		return order.LookupExecuted, answer
	case http.StatusAccepted:
		return order.LookupRunning, answer
	case http.StatusNotFound:
		return order.LookupNotAccepted, answer
	}
	return order.LookupFailed, answer
}

// change records an outcome. If that takes long the caller is answered
// without it: the shard goes on until it is committed.
func (r *run) change(c order.Change) order.Step {
	ctx, cancel := context.WithTimeout(r.ledger.ctx, recordTimeout)
	defer cancel()
	v, err := r.shard.await(ctx, func(s *order.Shard) order.Op { return s.Change(c) })
	if err == nil {
		r.logOutcome(v.Record)
		return r.core.HandleChange(v)
	}
	klog.InfoS("orders: Outcome not recorded yet", "account", c.Account, "key", c.Key, "state", c.To)
	return r.core.HandleChangeTimeout()
}

func (r *run) pause(ctx context.Context) order.Step {
	select {
	case <-ctx.Done():
		return r.core.HandleTimeout()
	case <-r.ledger.ctx.Done():
		return r.core.HandleTimeout()
	case <-time.After(pauseInterval):
		return r.core.HandlePauseEnd()
	}
}

// release gives the slot back, once.
func (r *run) release() {
	if r.slot == nil {
		return
	}
	r.slot.Release(r.outcome, orderCost, 0)
	r.slot = nil
}

// callerResult turns the reply into what the caller gets.
func (r *run) callerResult(reply order.Reply) (Result, error) {
	switch reply.Kind {
	case order.ReplyResponse:
		return r.fullResult(reply)
	case order.ReplyKeyReused:
		return Result{}, code.Fail(code.KeyReused, "")
	case order.ReplyNotRun:
		return Result{}, notRunError(reply.Cause)
	case order.ReplyInProgress:
		failure := code.Fail(code.InProgress, "another router runs it")
		failure.RetryAfter = time.Second
		return Result{}, failure
	}
	detail := ""
	if reply.Cause != nil {
		detail = reply.Cause.Error()
	}
	return Result{}, code.Fail(code.OutcomeUnknown, detail)
}

// fullResult returns the whole answer. Of one that was too large for its record
// the endpoint is asked again.
func (r *run) fullResult(reply order.Reply) (Result, error) {
	answer := *reply.Response
	if reply.Replayed {
		r.logEvent(eventlog.Event{Kind: eventlog.OrderReplayed, Detail: r.order.Key})
	}
	if !answer.BodyKept() && r.fullResponse == nil {
		r.refetchResponse(answer)
	}
	if !answer.BodyKept() && r.fullResponse != nil {
		answer.Body = r.fullResponse.Body
	}
	if !answer.BodyKept() {
		return Result{}, code.Fail(code.AnswerNotKept, "status "+http.StatusText(answer.Status)+", SHA-256 "+answer.Digest)
	}
	return Result{Response: answer, Replayed: reply.Replayed}, nil
}

// refetchResponse looks up an answer that was too large for its record.
func (r *run) refetchResponse(want order.Response) {
	v, err := r.shard.await(r.ledger.ctx, func(s *order.Shard) order.Op { return s.ReadRecord(r.order.Account, r.order.Key, false) })
	if err != nil || !r.ledger.Capabilities(v.Record.Endpoint).Lookup {
		return
	}
	seen, answer := r.ledger.queryExecution(order.Step{Record: v.Record})
	if seen == order.LookupExecuted && order.NewResponse(answer.Status, answer.ContentType, answer.Body).Digest == want.Digest {
		r.fullResponse = &answer
	}
}

// logOutcome notes an outcome on the time line.
func (r *run) logOutcome(record order.Record) {
	e := eventlog.Event{Kind: eventlog.OrderRecorded, Endpoint: record.Endpoint, Detail: r.order.Key + " " + string(record.State)}
	if record.State == order.Unknown {
		e.Code = int(code.OutcomeUnknown)
	}
	r.logEvent(e)
}

func (r *run) logEvent(e eventlog.Event) {
	e.Request = r.order.RequestID
	e.Account = r.order.Account
	r.ledger.opts.Events.Add(e)
}

// notRunError returns a refusal that is proved not run, with the cause's code.
func notRunError(cause error) *code.Error {
	var failure *code.Error
	if !errors.As(cause, &failure) {
		return code.Refuse(code.PlatformDown, "the order waited too long")
	}
	return code.Refuse(failure.Code, failure.Detail)
}

func admissionOutcome(err error) admission.Outcome {
	var failure *code.Error
	switch {
	case err == nil:
		return admission.Done
	case errors.As(err, &failure) && failure.Code == code.Unreachable:
		return admission.Unreachable
	case errors.As(err, &failure) && failure.Code == code.EndpointError:
		return admission.Failed
	}
	return admission.Crashed
}
