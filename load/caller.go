// Package load generates load for tests and experiments and evaluates the
// results. It has a client that gets router addresses from a router and sends
// requests as callers do, reproducible open-loop runs with reports of their
// measures, and checks of a fleet's guarantees by data that is visible from
// outside the fleet.
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
	maxIdlePerHost = 256
)

// Request is one request of a caller, in the format of the examples' request
// files.
type Request struct {
	Name    string          `json:"name"`
	Account string          `json:"account"`
	APIKey  string          `json:"api_key"`
	Path    string          `json:"path"`
	Key     string          `json:"idempotency_key,omitempty"`
	Body    json.RawMessage `json:"body"`
	OnToken func()          `json:"-"` // called for each token of a stream
}

// Reply is the response to a request, as its caller received it.
type Reply struct {
	Status     int
	RequestID  string
	Replayed   bool
	Complete   bool          // the stream's end marker or the full body arrived
	Text       string        // text of the stream, or the body
	Tokens     int           // number of tokens received in a stream
	FirstToken time.Duration // time to the first token; 0: none received or not streamed
	Total      time.Duration
	Problem    *callerapi.Problem
}

// Caller sends requests to routers and caches the router addresses that it
// got from a seed router. It is safe for concurrent use.
type Caller struct {
	http  *http.Client
	zone  string
	seeds []string // URLs of routers to ask for addresses

	mu        sync.Mutex
	addresses []addresses.Address
	expires   time.Time
}

// NewCaller returns a caller in a zone with one seed router.
func NewCaller(seed, zone string) *Caller { return NewCallerWithSeeds([]string{seed}, zone) }

// NewCallerWithSeeds returns a caller in a zone with several seed routers.
func NewCallerWithSeeds(seeds []string, zone string) *Caller {
	c := &Caller{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost}}, zone: zone}
	for _, s := range seeds {
		c.seeds = append(c.seeds, strings.TrimSuffix(s, "/"))
	}
	return c
}

// Address returns the preferred router address. Address lists are cached for
// their lifetime.
func (c *Caller) Address(ctx context.Context) (string, error) {
	all, err := c.Addresses(ctx)
	if err != nil {
		return "", err
	}
	return all[0].URL, nil
}

// Addresses returns router addresses in order of preference. It returns at
// least one address or an error.
func (c *Caller) Addresses(ctx context.Context) ([]addresses.Address, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) && len(c.addresses) > 0 {
		return c.addresses, nil
	}
	var last error
	for _, seed := range c.seeds {
		list, err := c.fetchAddresses(ctx, seed)
		if err == nil {
			c.addresses = list.Addresses
			c.expires = time.Now().Add(time.Duration(list.LifetimeSec) * time.Second)
			return c.addresses, nil
		}
		last = err
	}
	return nil, last
}

// InvalidateAddresses expires the cached address list. Callers do this when a
// request to an address fails.
func (c *Caller) InvalidateAddresses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

func (c *Caller) fetchAddresses(ctx context.Context, seed string) (addresses.Response, error) {
	var list addresses.Response
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, seed+"/v1/addresses?zone="+c.zone, nil)
	if err != nil {
		return list, errors.Wrap(err, "request router addresses")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return list, errors.Wrap(err, "request router addresses")
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return list, errors.Wrap(err, "read router addresses")
	}
	if len(list.Addresses) == 0 {
		return list, errors.New("no router accepts requests: the address list is empty")
	}
	return list, nil
}

// Send sends a request to the given router and reads the complete response.
func (c *Caller) Send(ctx context.Context, router string, r Request) (Reply, error) {
	start := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, router+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Reply{}, errors.Wrap(err, "send request")
	}
	req.GetBody = nil // prevents automatic retries by net/http
	req.Header.Set("Authorization", "Bearer "+r.APIKey)
	req.Header.Set("Content-Type", "application/json")
	if r.Key != "" {
		req.Header.Set("Idempotency-Key", r.Key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Reply{}, errors.Wrap(err, "send request")
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
		err = reply.readBody(resp)
	}
	reply.Total = time.Since(start)
	return reply, err
}

func (r *Reply) readBody(resp *http.Response) error {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	r.Text = strings.TrimSpace(string(body))
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		r.Problem = &callerapi.Problem{}
		return errors.Wrap(json.Unmarshal(body, r.Problem), "read problem")
	}
	r.Complete = true
	return nil
}
