package callerapi

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
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
	maxTries        = 3   // endpoints tried for one request
	defaultEstimate = 256 // tokens, without max_tokens
	prefixBytes     = 256 // of the prompt, for prefix affinity
	charsPerToken   = 4
)

// chatRequest is the part of a chat completion request that the router
// reads.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (a *API) chat(w http.ResponseWriter, r *http.Request, c call) {
	var req chatRequest
	if err := json.Unmarshal(c.body, &req); err != nil {
		a.refuse(w, c, code.Refuse(code.BadRequest, err.Error()))
		return
	}
	if len(req.Messages) == 0 {
		a.refuse(w, c, code.Refuse(code.BadRequest, "messages is empty"))
		return
	}
	p, ok := a.opts.Fleet.Manifest().PoolForModel(req.Model)
	if !ok {
		a.refuse(w, c, code.Refuse(code.UnknownModel, req.Model))
		return
	}
	run := &chatRun{api: a, w: w, r: r, call: c, req: req, pool: p}
	run.serve()
}

// chatRun is one chat completion on its way through the router.
type chatRun struct {
	api   *API
	w     http.ResponseWriter
	r     *http.Request
	call  call
	req   chatRequest
	pool  manifest.Pool
	avoid []string
	begun bool // the caller has received a part of the answer

	// Of the current try.
	slot   *pool.Slot
	start  time.Time
	first  time.Duration // time to the first token; 0: none yet
	tokens int
}

// serve tries endpoints until one answers; a request whose answer has begun
// is not tried again.
func (c *chatRun) serve() {
	var err error
	for try := range maxTries {
		last := c.try(try > 0)
		waited := bothSilent(err, last)
		err = joinTries(err, last)
		if last == nil || c.begun || c.r.Context().Err() != nil || !retryable(last) || waited {
			break
		}
		if try+1 < maxTries && !c.api.mayRetry(c.call, c.pool.Name, last) {
			err = budgetUsedUp(err)
			break
		}
	}
	if err != nil {
		c.fail(err)
		return
	}
	c.api.succeeded(c.pool.Name)
}

func (c *chatRun) try(fresh bool) error {
	whole := fingerprint(string(c.call.body))
	slot, err := c.api.opts.Pools.Acquire(c.r.Context(), c.pool.Name, pool.Request{
		Account:     c.call.account.Name,
		Model:       c.req.Model,
		Estimate:    c.estimate(),
		Prefix:      fingerprint(c.req.Model, c.promptStart()),
		Fingerprint: whole,
		Avoid:       c.avoid,
	})
	if err != nil {
		return nameQuarantined(err, whole)
	}
	c.api.granted(c.call, slot.Endpoint)
	c.slot, c.tokens, c.first, c.start = slot, 0, 0, time.Now()
	err = c.relay(slot.Endpoint, fresh)
	slot.Release(outcome(err), fair.Cost(c.tokens), c.first)
	c.api.tried(c.call, slot.Endpoint, err, fmt.Sprintf("tokens=%d", c.tokens))
	if err != nil {
		c.avoid = append(c.avoid, slot.Endpoint)
	}
	return err
}

// nameQuarantined adds the fingerprint that an operator needs to lift the
// quarantine of a request.
func nameQuarantined(err error, fingerprint uint64) error {
	failure := code.As(err)
	if failure.Code != code.Quarantined {
		return err
	}
	named := *failure
	named.Detail = fmt.Sprintf("fingerprint=%016x", fingerprint)
	return &named
}

// relay passes the endpoint's answer to the caller.
func (c *chatRun) relay(name string, fresh bool) error {
	url, ok := c.api.endpointURL(name)
	if !ok {
		return code.Refuse(code.NoEndpoint, name+" is not declared any more")
	}
	out := endpoint.Call{
		URL:           url + "/v1/chat/completions",
		Method:        http.MethodPost,
		RequestID:     c.call.id,
		ContentType:   "application/json",
		Body:          c.call.body,
		NewConnection: fresh,
	}
	if !c.req.Stream {
		return c.relayWhole(out)
	}
	return c.relayStream(out)
}

// fail ends the request with an error: as problem details, or as an event if
// the stream has begun. A begun stream gets no end marker.
func (c *chatRun) fail(err error) {
	if !c.begun {
		c.api.refuse(c.w, c.call, err)
		return
	}
	failure := code.As(err)
	failure.NotRun = false
	c.api.note(c.call, failure)
	if data, err := json.Marshal(map[string]Problem{"error": problem(c.call, failure)}); err == nil {
		fmt.Fprintf(c.w, "data: %s\n\n", data)
		http.NewResponseController(c.w).Flush()
	}
	panic(http.ErrAbortHandler)
}

func (c *chatRun) estimate() fair.Cost {
	chars := 0
	for _, m := range c.req.Messages {
		chars += len(m.Content)
	}
	answer := c.req.MaxTokens
	if answer <= 0 {
		answer = defaultEstimate
	}
	return fair.Cost(chars/charsPerToken + answer)
}

func (c *chatRun) promptStart() string {
	var b strings.Builder
	for _, m := range c.req.Messages {
		b.WriteString(m.Content)
	}
	text := b.String()
	return text[:min(len(text), prefixBytes)]
}

func (a *API) endpointURL(name string) (string, bool) {
	e, ok := a.opts.Fleet.Manifest().Endpoint(name)
	return e.URL, ok
}

func outcome(err error) admission.Outcome {
	var failure *code.Error
	if err == nil || !errors.As(err, &failure) {
		return admission.Completed
	}
	switch failure.Code {
	case code.CallerLeft:
		return admission.Canceled
	case code.Unreachable:
		return admission.Unreachable
	case code.Truncated, code.Silent, code.CrossedAnswer:
		return admission.Crashed
	}
	return admission.Failed
}
