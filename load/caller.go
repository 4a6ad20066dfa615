// Package load holds the callers' side for tests and experiments: a client
// that asks a router for addresses, connects to one and sends requests, as
// the callers of the users do.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/internal/addresses"
	"github.com/cyclamenwinch/cyclamenwinch/internal/callerapi"
)

// Request is one request of a caller, as the examples hold it.
type Request struct {
	Name    string          `json:"name"`
	Account string          `json:"account"`
	APIKey  string          `json:"api_key"`
	Path    string          `json:"path"`
	Key     string          `json:"idempotency_key,omitempty"`
	Body    json.RawMessage `json:"body"`
}

// Reply is what a caller received.
type Reply struct {
	Status     int
	RequestID  string
	Replayed   bool
	Whole      bool          // the end marker or the full length arrived
	Text       string        // the answer's text, or the body
	FirstToken time.Duration // 0: not streamed
	Total      time.Duration
	Problem    *callerapi.Problem
}

// Caller sends requests to the routers it was told of.
type Caller struct {
	http *http.Client
	zone string
	seed string // any router

	addresses []addresses.Address
	until     time.Time
}

// NewCaller returns a caller in a zone that knows one router's address.
func NewCaller(seed, zone string) *Caller {
	return &Caller{http: &http.Client{}, seed: strings.TrimSuffix(seed, "/"), zone: zone}
}

// Address returns the address to connect to; an answer is kept for its
// lifetime.
func (c *Caller) Address(ctx context.Context) (string, error) {
	if time.Now().Before(c.until) && len(c.addresses) > 0 {
		return c.addresses[0].URL, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.seed+"/v1/addresses?zone="+c.zone, nil)
	if err != nil {
		return "", errors.Wrap(err, "ask for addresses")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return "", errors.Wrap(err, "ask for addresses")
	}
	defer resp.Body.Close()
	var answer addresses.Answer
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return "", errors.Wrap(err, "read addresses")
	}
	if len(answer.Addresses) == 0 {
		return "", errors.New("no router is open")
	}
	c.addresses = answer.Addresses
	c.until = time.Now().Add(time.Duration(answer.LifetimeSec) * time.Second)
	return c.addresses[0].URL, nil
}

// Send sends a request to the given router and reads the whole answer.
func (c *Caller) Send(ctx context.Context, router string, r Request) (Reply, error) {
	start := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, router+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Reply{}, errors.Wrap(err, "send")
	}
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
		err = reply.readStream(resp.Body, start)
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
	r.Whole = true
	return nil
}
