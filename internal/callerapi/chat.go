package callerapi

import (
	"encoding/json"
	"fmt"
	"io"
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
	api    *API
	w      http.ResponseWriter
	r      *http.Request
	call   call
	req    chatRequest
	pool   manifest.Pool
	avoid  []string
	begun  bool // the caller has received a part of the answer
	tokens int
}

// serve tries endpoints until one answers; a request whose answer has begun
// is not tried again.
func (c *chatRun) serve() {
	var err error
	for try := range maxTries {
		last := c.try(try > 0)
		err = joinTries(err, last)
		if last == nil || c.begun || c.r.Context().Err() != nil || !retryable(last) {
			break
		}
		if try+1 < maxTries {
			c.api.retried(c.call, last)
		}
	}
	if err != nil {
		c.fail(err)
	}
}

func (c *chatRun) try(fresh bool) error {
	slot, err := c.api.opts.Pools.Acquire(c.r.Context(), c.pool.Name, pool.Request{
		Account:     c.call.account.Name,
		Estimate:    c.estimate(),
		Prefix:      fingerprint(c.req.Model, c.promptStart()),
		Fingerprint: fingerprint(string(c.call.body)),
		Avoid:       c.avoid,
	})
	if err != nil {
		return err
	}
	c.api.granted(c.call, slot.Endpoint)
	start := time.Now()
	var first time.Duration
	c.tokens = 0
	err = c.relay(slot.Endpoint, fresh, func() { first = time.Since(start) })
	slot.Release(outcome(err), fair.Cost(c.tokens), first)
	c.api.tried(c.call, slot.Endpoint, err, fmt.Sprintf("tokens=%d", c.tokens))
	if err != nil {
		c.avoid = append(c.avoid, slot.Endpoint)
	}
	return err
}

// relay passes the endpoint's answer to the caller. onFirst is called at the
// first token.
func (c *chatRun) relay(name string, fresh bool, onFirst func()) error {
	url, ok := c.api.endpointURL(name)
	if !ok {
		return code.Refuse(code.NoEndpoint, name+" is not declared any more")
	}
	out := endpoint.Call{
		URL:         url + "/v1/chat/completions",
		Method:      http.MethodPost,
		RequestID:   c.call.id,
		ContentType: "application/json",
		Body:        c.call.body,
		Fresh:       fresh,
	}
	if !c.req.Stream {
		return c.relayWhole(out)
	}
	return c.relayStream(out, onFirst)
}

func (c *chatRun) relayStream(out endpoint.Call, onFirst func()) error {
	s, err := c.api.opts.Endpoints.Open(c.r.Context(), out)
	if err != nil {
		return err
	}
	defer s.Close()
	flush := http.NewResponseController(c.w)
	for {
		data, err := s.Next()
		c.tokens = s.Cost()
		if err == io.EOF {
			fmt.Fprint(c.w, "data: [DONE]\n\n")
			return flush.Flush()
		}
		if err != nil {
			return err
		}
		if !c.begun {
			c.begun = true
			onFirst()
			c.w.Header().Set("Content-Type", "text/event-stream")
			c.w.Header().Set("Cache-Control", "no-store")
		}
		if _, err := fmt.Fprintf(c.w, "data: %s\n\n", data); err != nil {
			return code.Fail(code.CallerLeft, "")
		}
		flush.Flush()
	}
}

func (c *chatRun) relayWhole(out endpoint.Call) error {
	answer, err := c.api.opts.Endpoints.Do(c.r.Context(), out)
	if err != nil {
		return err
	}
	if answer.Status >= http.StatusInternalServerError {
		return code.Fail(code.EndpointError, fmt.Sprintf("the endpoint answered %d", answer.Status))
	}
	var body struct {
		Usage struct {
			TotalTokens int `json:"total_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(answer.Body, &body); err != nil {
		return code.Fail(code.Truncated, err.Error())
	}
	c.tokens = body.Usage.TotalTokens
	c.begun = true
	writeAnswer(c.w, answer.Status, answer.ContentType, answer.Body)
	return nil
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
	if data, err := json.Marshal(map[string]Problem{"error": code.NewProblem(failure, c.call.id)}); err == nil {
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
	for _, e := range a.opts.Fleet.Manifest().Endpoints {
		if e.Name == name {
			return e.URL, true
		}
	}
	return "", false
}

// retryable reports whether another endpoint may be tried.
func retryable(err error) bool {
	switch code.Code(codeOf(err)) {
	case code.EndpointError, code.Truncated, code.Silent, code.CrossedAnswer, code.Unreachable:
		return true
	}
	return false
}

// joinTries returns the result of a request from that of its earlier tries
// and of the last one. A refusal of the last try does not make it "not run"
// if an earlier one may have run: then that one's failure stands.
func joinTries(earlier, last error) error {
	if earlier == nil || last == nil {
		return last
	}
	before, refusal := code.As(earlier), code.As(last)
	if before.NotRun || !refusal.NotRun {
		return last
	}
	joined := code.Fail(before.Code, before.Detail+"; no other try: "+refusal.Error())
	joined.RetryAfter = refusal.RetryAfter
	return joined
}

func outcome(err error) admission.Outcome {
	var failure *code.Error
	if err == nil || !errors.As(err, &failure) {
		return admission.Done
	}
	switch failure.Code {
	case code.CallerLeft:
		return admission.Cancelled
	case code.Unreachable:
		return admission.Unreachable
	case code.Truncated, code.Silent, code.CrossedAnswer:
		return admission.Crashed
	}
	return admission.Failed
}
