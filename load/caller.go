// Package load holds the callers' side for tests and experiments: a client
// that asks a router for addresses, connects to one and sends requests, as
// the callers of the users do; open-loop runs by seed, their measures, and
// oracles that judge a fleet from outside.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/internal/addresses"
	"github.com/cyclamenwinch/cyclamenwinch/internal/callerapi"
)

const (
	addressTimeout = 2 * time.Second
	idlePerHost    = 256
)

// Request is one request of a caller, as the examples hold it.
type Request struct {
	Name    string          `json:"name"`
	Account string          `json:"account"`
	APIKey  string          `json:"api_key"`
	Path    string          `json:"path"`
	Key     string          `json:"idempotency_key,omitempty"`
	Body    json.RawMessage `json:"body"`
	OnToken func()          `json:"-"` // called at each token of a stream
}

// Reply is what a caller received.
type Reply struct {
	Status     int
	RequestID  string
	Replayed   bool
	Complete   bool          // the end marker or the full length arrived
	Text       string        // the answer's text, or the body
	Tokens     int           // tokens received of a stream
	FirstToken time.Duration // 0: not streamed
	Total      time.Duration
	Problem    *callerapi.Problem
}

// Caller sends requests to the routers it was told of. It is safe for
// concurrent use.
type Caller struct {
	http  *http.Client
	zone  string
	seeds []string // any routers

	mu        sync.Mutex
	addresses []addresses.Address
	until     time.Time
}

// NewCaller returns a caller in a zone that knows one router's address.
func NewCaller(seed, zone string) *Caller { return NewCallerWithSeeds([]string{seed}, zone) }

// NewCallerWithSeeds returns a caller in a zone that knows some routers' addresses.
func NewCallerWithSeeds(seeds []string, zone string) *Caller {
	c := &Caller{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerHost}}, zone: zone}
	for _, s := range seeds {
		c.seeds = append(c.seeds, strings.TrimSuffix(s, "/"))
	}
	return c
}

// Address returns the address to connect to; an answer is kept for its
// lifetime.
func (c *Caller) Address(ctx context.Context) (string, error) {
	all, err := c.Addresses(ctx)
	if err != nil {
		return "", err
	}
	return all[0].URL, nil
}

// Addresses returns the addresses to use, the best first. It returns at
// least one or an error.
func (c *Caller) Addresses(ctx context.Context) ([]addresses.Address, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.until) && len(c.addresses) > 0 {
		return c.addresses, nil
	}
	var last error
	for _, seed := range c.seeds {
		answer, err := c.ask(ctx, seed)
		if err == nil {
			c.addresses = answer.Addresses
			c.until = time.Now().Add(time.Duration(answer.LifetimeSec) * time.Second)
			return c.addresses, nil
		}
		last = err
	}
	return nil, last
}

// Forget drops the kept answer, as a caller does when an address fails.
func (c *Caller) Forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Time{}
}

func (c *Caller) ask(ctx context.Context, seed string) (addresses.Response, error) {
	var answer addresses.Response
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, seed+"/v1/addresses?zone="+c.zone, nil)
	if err != nil {
		return answer, errors.Wrap(err, "ask for addresses")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer, errors.Wrap(err, "ask for addresses")
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return answer, errors.Wrap(err, "read addresses")
	}
	if len(answer.Addresses) == 0 {
		return answer, errors.New("no router is open")
	}
	return answer, nil
}

// Send sends a request to the given router and reads the whole answer.
func (c *Caller) Send(ctx context.Context, router string, r Request) (Reply, error) {
	start := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, router+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Reply{}, errors.Wrap(err, "send")
	}
	req.GetBody = nil // net/http must not send it again by itself
	req.Header.Set("Authorization", "Bearer "+r.APIKey)
	req.Header.Set("Content-Type", "application/json")
	if r.Key != "" {
		req.Header.Set("Idempotency-Key", r.Key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Reply{}, errors.Wrap(err, "send")
	}
	defer resp.Body.Close()
	reply := Reply{
		Status:    resp.StatusCode,
		RequestID: resp.Header.Get("X-Request-Id"),
		Replayed:  resp.Header.Get("Idempotency-Replayed") == "true",
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		err = reply.readStream(resp.Body, start, r.OnToken)
	} else {
		err = reply.readWhole(resp)
	}
	reply.Total = time.Since(start)
	return reply, err
}

func (r *Reply) readWhole(resp *http.Response) error {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	r.Text = strings.TrimSpace(string(body))
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		r.Problem = &callerapi.Problem{}
		return errors.Wrap(json.Unmarshal(body, r.Problem), "read problem")
	}
	r.Complete = true
	return nil
}
