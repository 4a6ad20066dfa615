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

// run executes the steps that an order.Run requests.
type run struct {
	ledger            *Ledger
	shard             *shard
	order             Order
	acceptedAt        time.Time
	excludedEndpoints []string

	core         *order.Run
	slot         *pool.Slot
	outcome      admission.Outcome
	fullResponse *endpoint.Response // from the endpoint, with its body even if the record omits it

	dispatchable     chan struct{} // closed once a claim is won and may be dispatched
	dispatchableOnce sync.Once
}

// stepError ends a run with an error instead of a reply.
type stepError struct{ failure *code.Error }

// runAttempts runs the order until there is a response or a final error. It
// retries only an attempt that was proven not run because the endpoint was
// unreachable.
func (r *run) runAttempts(ctx context.Context) (Result, error) {
	for attempt := 1; ; attempt++ {
		result, err := r.attempt(ctx)
		if err == nil {
			r.ledger.updateRetryBudget(true)
			return result, nil
		}
		var failure *code.Error
		retryable := errors.As(err, &failure) && failure.NotRun && failure.Code == code.Unreachable
		if !retryable || attempt == maxAttempts || ctx.Err() != nil || !r.ledger.updateRetryBudget(false) {
			return result, err
		}
		r.logEvent(eventlog.Event{Kind: eventlog.RequestRetried, Code: int(failure.Code), Detail: failure.Error()})
	}
}

// updateRetryBudget records a success in the retry budget, or else takes a retry
// from it. It returns false if the budget has no retry left.
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

// steps executes steps until one of them is the reply.
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
		case order.StepLookUp:
			step = r.lookUp(step)
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
	res, err := r.shard.await(ctx, func(s *order.Shard) order.Op { return s.ReadRecord(r.order.Account, r.order.Key, step.Fresh) })
	if err != nil && step.Fresh {
		// A record of the key exists, so an earlier attempt may have run.
		return step, &stepError{code.Fail(code.PlatformDown, "the order's record can't be read")}
	}
	if err != nil {
		return step, &stepError{code.Refuse(code.PlatformDown, "the ledger can't be read")}
	}
	return r.core.HandleRecord(res), nil
}

// claim waits for a slot and claims the order. An error that it returns means
// not run: the claim is never dispatched, even if it is committed.
func (r *run) claim(ctx context.Context) (order.Step, *stepError) {
	slot, err := r.ledger.opts.Pools.Acquire(ctx, r.order.Pool, pool.Request{Account: r.order.Account, Estimate: orderCost, Avoid: r.excludedEndpoints})
	if err != nil {
		return order.Step{}, &stepError{code.As(err)}
	}
	r.slot, r.outcome = slot, admission.Canceled
	self := r.ledger.opts.Fleet.Self()
	res, withdrawn := r.shard.claim(ctx, order.Record{
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
	if withdrawn {
		return order.Step{}, &stepError{code.Refuse(code.PlatformDown, "the claim could not be recorded")}
	}
	if res.Kind == order.ClaimWon && ctx.Err() != nil {
		return r.core.HandleCancellation(res, code.Refuse(code.CallerLeft, "")), nil
	}
	if res.Kind != order.ClaimWon {
		r.release() // a further claim acquires its own slot
	}
	return r.core.HandleClaim(res), nil
}

// dispatch sends a claimed order, once. It continues if the caller
// disconnects.
func (r *run) dispatch(claim order.Record) order.Step {
	r.dispatchableOnce.Do(func() { close(r.dispatchable) })
	r.logEvent(eventlog.Event{Kind: eventlog.OrderClaimed, Endpoint: claim.Endpoint, Detail: r.order.Key})
	e, ok := r.ledger.opts.Fleet.Manifest().Endpoint(claim.Endpoint)
	if !ok {
		return r.core.HandleDispatch(order.DispatchNotExecuted, nil, code.Refuse(code.NoEndpoint, claim.Endpoint+" is no longer declared"))
	}
	ctx, cancel := context.WithTimeout(r.ledger.ctx, dispatchTimeout)
	defer cancel()
	response, err := r.ledger.opts.Endpoints.Do(ctx, endpoint.Call{
		URL:         e.URL + r.order.Path,
		Method:      http.MethodPost,
		RequestID:   r.order.RequestID,
		Key:         claim.ID().String(),
		Fence:       claim.Fence,
		ContentType: r.order.ContentType,
		Body:        r.order.Body,
	})
	status, cause := classifyDispatch(response, err, e.Fence)
	r.outcome = admissionOutcome(cause)
	if status != order.DispatchCompleted {
		r.excludedEndpoints = append(r.excludedEndpoints, claim.Endpoint)
		return r.core.HandleDispatch(status, nil, cause)
	}
	r.fullResponse = &response
	return r.core.HandleDispatch(status, order.NewResponse(response.Status, response.ContentType, response.Body), nil)
}

// classifyDispatch returns what is known after a dispatch. An endpoint that
// responds with a server error, or with a status that promises otherwise, may have
// executed the order nevertheless.
func classifyDispatch(response endpoint.Response, err error, fence bool) (order.DispatchStatus, error) {
	var failure *code.Error
	switch {
	case errors.As(err, &failure) && failure.NotRun:
		return order.DispatchNotExecuted, err
	case err != nil:
		return order.DispatchUncertain, err
	case fence && response.Status == http.StatusPreconditionFailed:
		return order.DispatchNotExecuted, code.Refuse(code.EndpointError, "the endpoint rejected the fencing number")
	case response.Status >= http.StatusInternalServerError || code.PromisesNotRun(response.Status):
		return order.DispatchUncertain, code.Fail(code.EndpointError, "the endpoint responded with "+http.StatusText(response.Status))
	}
	return order.DispatchCompleted, nil
}

// lookUp looks the order up at its endpoint.
func (r *run) lookUp(step order.Step) order.Step {
	status, response := r.ledger.lookUpExecution(step)
	if status != order.LookupExecuted {
		return r.core.HandleLookup(status, nil)
	}
	r.fullResponse = &response
	return r.core.HandleLookup(status, order.NewResponse(response.Status, response.ContentType, response.Body))
}

// lookUpExecution looks up the execution of an order at its endpoint. With
// step.RaiseFence it raises the fence there in the same call.
func (l *Ledger) lookUpExecution(step order.Step) (order.LookupStatus, endpoint.Response) {
	e, ok := l.opts.Fleet.Manifest().Endpoint(step.Record.Endpoint)
	if !ok {
		return order.LookupFailed, endpoint.Response{}
	}
	key := step.Record.ID().String()
	call := endpoint.Call{URL: e.URL + "/executions/" + key, Method: http.MethodGet, RequestID: step.Record.Token, NewConnection: true}
	if step.RaiseFence {
		call = endpoint.Call{URL: e.URL + "/fences/" + key, Method: http.MethodPut, RequestID: step.Record.Token, Key: key, Fence: step.Record.Fence}
	}
	response, err := l.opts.Endpoints.Do(l.ctx, call)
	if err != nil {
		return order.LookupFailed, response
	}
	switch response.Status {
	case http.StatusOK:
		return order.LookupExecuted, response
	case http.StatusAccepted:
		return order.LookupRunning, response
	case http.StatusNotFound:
		return order.LookupNotAccepted, response
	}
	return order.LookupFailed, response
}

// change records an outcome. If that takes longer than recordTimeout, the run
// ends without it, and the shard keeps trying to commit the change.
func (r *run) change(c order.Change) order.Step {
	ctx, cancel := context.WithTimeout(r.ledger.ctx, recordTimeout)
	defer cancel()
	res, err := r.shard.await(ctx, func(s *order.Shard) order.Op { return s.Change(c) })
	if err == nil {
		r.logOutcome(res.Record)
		return r.core.HandleChange(res)
	}
	klog.InfoS("orders: Outcome not recorded yet, retrying in the background", "account", c.Account, "key", c.Key, "state", c.To)
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

// release releases the slot if the run has one.
func (r *run) release() {
	if r.slot == nil {
		return
	}
	r.slot.Release(r.outcome, orderCost, 0)
	r.slot = nil
}

// callerResult converts the reply of a run to the caller's result.
func (r *run) callerResult(reply order.Reply) (Result, error) {
	switch reply.Kind {
	case order.ReplyResponse:
		return r.fullResult(reply)
	case order.ReplyKeyReused:
		return Result{}, code.Fail(code.KeyReused, "")
	case order.ReplyNotRun:
		return Result{}, notRunError(reply.Cause)
	case order.ReplyInProgress:
		failure := code.Fail(code.InProgress, "another router is running the order")
		failure.RetryAfter = time.Second
		return Result{}, failure
	}
	detail := ""
	if reply.Cause != nil {
		detail = reply.Cause.Error()
	}
	return Result{}, code.Fail(code.OutcomeUnknown, detail)
}

// fullResult returns the response with its body. A body that was too large for
// the record is read from the endpoint again.
func (r *run) fullResult(reply order.Reply) (Result, error) {
	response := *reply.Response
	if reply.Replayed {
		r.logEvent(eventlog.Event{Kind: eventlog.OrderReplayed, Detail: r.order.Key})
	}
	if !response.BodyKept() && r.fullResponse == nil {
		r.refetchResponse(response)
	}
	if !response.BodyKept() && r.fullResponse != nil {
		response.Body = r.fullResponse.Body
	}
	if !response.BodyKept() {
		return Result{}, code.Fail(code.AnswerNotKept, "status "+http.StatusText(response.Status)+", SHA-256 "+response.Digest)
	}
	return Result{Response: response, Replayed: reply.Replayed}, nil
}

// refetchResponse looks up a response whose body was too large for the record.
func (r *run) refetchResponse(want order.Response) {
	res, err := r.shard.await(r.ledger.ctx, func(s *order.Shard) order.Op { return s.ReadRecord(r.order.Account, r.order.Key, false) })
	if err != nil || !r.ledger.Capabilities(res.Record.Endpoint).Lookup {
		return
	}
	status, response := r.ledger.lookUpExecution(order.Step{Record: res.Record})
	if status == order.LookupExecuted && order.NewResponse(response.Status, response.ContentType, response.Body).Digest == want.Digest {
		r.fullResponse = &response
	}
}

// logOutcome adds the event of a recorded outcome to the event log.
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

// notRunError returns an error with NotRun set and the cause's code.
func notRunError(cause error) *code.Error {
	var failure *code.Error
	if !errors.As(cause, &failure) {
		return code.Refuse(code.PlatformDown, "the order waited too long to be claimed")
	}
	return code.Refuse(failure.Code, failure.Detail)
}

func admissionOutcome(err error) admission.Outcome {
	var failure *code.Error
	switch {
	case err == nil:
		return admission.Completed
	case errors.As(err, &failure) && failure.Code == code.Unreachable:
		return admission.Unreachable
	case errors.As(err, &failure) && failure.Code == code.EndpointError:
		return admission.Failed
	}
	return admission.Crashed
}
