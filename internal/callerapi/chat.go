package callerapi

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/admission"
	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/endpoint"
	"github.com/cyclamenwinch/cyclamenwinch/internal/pool"
)

const (
	maxAttempts         = 3   // endpoints that one request may be sent to
	defaultOutputTokens = 256 // expected output of a request without max_tokens
	charsPerToken       = 4
)

// chatRequest holds the fields of a chat completion request that the router
// reads.
type chatRequest struct {
	Model     string `json:"model"`
	Messages  prompt `json:"messages"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func (a *API) chat(w http.ResponseWriter, r *http.Request, c call) {
	req := chatRequest{Messages: prompt{maxCount: a.opts.MaxMessages}}
	if err := json.Unmarshal(c.body, &req); err != nil {
		a.refuse(w, c, code.Refuse(code.BadRequest, err.Error()))
		return
	}
	if req.Messages.count == 0 {
		a.refuse(w, c, code.Refuse(code.BadRequest, "messages is empty"))
		return
	}
	p, ok := a.opts.Fleet.Manifest().PoolForModel(req.Model)
	if !ok {
		a.refuse(w, c, code.Refuse(code.UnknownModel, req.Model))
		return
	}
	run := &chatRun{api: a, w: w, r: r, call: c, req: req, pool: p, fingerprint: fingerprint(c.body)}
	run.serve()
}

// chatRun is a chat completion in progress.
type chatRun struct {
	api     *API
	w       http.ResponseWriter
	r       *http.Request
	call    call
	req     chatRequest
	pool    manifest.Pool
	avoid   []string // endpoints that earlier attempts failed at
	started bool     // part of the response has been sent to the caller

	fingerprint uint64 // of the body

	// State of the current attempt.
	slot      *pool.Slot
	startedAt time.Time
	ttft      time.Duration // time to the first token; 0: none yet
	tokens    int
}

// serve sends the request to one endpoint after the other until one completes
// it. Once part of a response has been sent to the caller, no other endpoint
// is tried.
func (c *chatRun) serve() {
	var err error
	for attempt := range maxAttempts {
		last := c.attempt(attempt > 0)
		silentTwice := bothSilent(err, last)
		err = combineErrors(err, last)
		if last == nil || c.started || c.r.Context().Err() != nil || !retryable(last) || silentTwice {
			break
		}
		if attempt+1 < maxAttempts && !c.api.mayRetry(c.call, c.pool.Name, last) {
			err = retryBudgetExhausted(err)
			break
		}
	}
	if err != nil {
		c.fail(err)
		return
	}
	c.api.recordSuccess(c.pool.Name)
}

// attempt acquires a slot and sends the request to its endpoint.
func (c *chatRun) attempt(newConnection bool) error {
	slot, err := c.api.opts.Pools.Acquire(c.r.Context(), c.pool.Name, pool.Request{
		Account:     c.call.account.Name,
		Model:       c.req.Model,
		Estimate:    c.estimate(),
		Prefix:      fingerprint([]byte(c.req.Model), c.req.Messages.prefix),
		Fingerprint: c.fingerprint,
		Parts:       c.req.Messages.sharedParts(),
		Avoid:       c.avoid,
	})
	if err != nil {
		return addFingerprint(err, c.fingerprint)
	}
	c.api.recordGrant(c.call, slot.Endpoint)
	c.slot, c.tokens, c.ttft, c.startedAt = slot, 0, 0, time.Now()
	err = c.relay(slot.Endpoint, newConnection)
	slot.Release(c.api.outcome(err), fair.Cost(c.tokens), c.ttft)
	c.api.recordAttempt(c.call, slot.Endpoint, err, fmt.Sprintf("tokens=%d", c.tokens))
	if err != nil {
		c.avoid = append(c.avoid, slot.Endpoint)
	}
	return err
}

// addFingerprint adds the request's fingerprint to the error of a quarantined
// request: operators need it to lift the quarantine.
func addFingerprint(err error, fingerprint uint64) error {
	failure := code.As(err)
	if failure.Code != code.Quarantined || failure.Detail != "" {
		return err // not this request, but a part of its prompt is quarantined
	}
	detailed := *failure
	detailed.Detail = fmt.Sprintf("fingerprint=%016x", fingerprint)
	return &detailed
}

// relay sends the request to an endpoint and passes its response to the
// caller.
func (c *chatRun) relay(name string, newConnection bool) error {
	url, ok := c.api.endpointURL(name)
	if !ok {
		return code.Refuse(code.NoEndpoint, name+" is no longer declared")
	}
	out := endpoint.Call{
		URL:           url + "/v1/chat/completions",
		Method:        http.MethodPost,
		RequestID:     c.call.id,
		ContentType:   "application/json",
		Body:          c.call.body,
		NewConnection: newConnection,
		Memory:        c.call.reserveResponse(name),
	}
	if !c.req.Stream {
		return c.relayResponse(out)
	}
	return c.relayStream(out)
}

// fail ends the request with an error. The caller gets problem details, or an
// error event if the response has started; the end marker is then left out
// and the connection is aborted.
func (c *chatRun) fail(err error) {
	if !c.started {
		c.api.refuse(c.w, c.call, err)
		return
	}
	failure := code.As(err)
	failure.NotRun = false
	c.api.recordFailure(c.call, failure)
	if data, err := json.Marshal(map[string]Problem{"error": problem(c.call, failure)}); err == nil {
		fmt.Fprintf(c.w, "data: %s\n\n", data)
		http.NewResponseController(c.w).Flush()
	}
	panic(http.ErrAbortHandler)
}

// estimate returns the expected number of prompt and output tokens.
func (c *chatRun) estimate() fair.Cost {
	outputTokens := c.req.MaxTokens
	if outputTokens <= 0 {
		outputTokens = defaultOutputTokens
	}
	return fair.Cost(c.req.Messages.chars/charsPerToken + outputTokens)
}

func (a *API) endpointURL(name string) (string, bool) {
	e, ok := a.opts.Fleet.Manifest().Endpoint(name)
	return e.URL, ok
}

// outcome returns what is reported to the owner of the pool about an attempt that
// ended with err.
func (a *API) outcome(err error) admission.Outcome {
	var failure *code.Error
	if err == nil || !errors.As(err, &failure) {
		return admission.Completed
	}
	switch failure.Code {
	case code.CallerLeft:
		return admission.Canceled
	case code.Unreachable:
		return admission.Unreachable
	case code.Silent:
		if !a.timesEndpoints() {
			return admission.Canceled
		}
		return admission.Crashed
	case code.Truncated, code.CrossedAnswer:
		return admission.Crashed
	}
	return admission.Failed
}
