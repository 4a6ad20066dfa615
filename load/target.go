package load

import (
	"context"
	"encoding/json"
	"sync"
)

const (
	chatPath  = "/v1/chat/completions"
	orderPath = "/v1/orders"
)

// Target receives the requests of a run.
type Target interface {
	// Send sends a request or its duplicate and returns the name or address
	// of the router it was sent to.
	Send(ctx context.Context, a Arrival, r Request) (string, Reply, error)
}

// routersTarget sends requests to the fleet's routers.
type routersTarget struct {
	seeds []string

	mu      sync.Mutex
	callers map[string]*Caller // key: zone and account
}

// NewRoutersTarget returns a target that gets router addresses from the fleet's
// routers and sends requests to them.
func NewRoutersTarget(f Fleet) Target {
	t := &routersTarget{callers: map[string]*Caller{}}
	for _, r := range f.Routers {
		t.seeds = append(t.seeds, r.CallerURL)
	}
	return t
}

// Send uses the first address of the caller's cached list; a resend uses the
// second one, if any. A failed request invalidates the list, so that the caller
// fetches a new one.
func (t *routersTarget) Send(ctx context.Context, a Arrival, r Request) (string, Reply, error) {
	c := t.caller(a.Zone, a.Account)
	all, err := c.Addresses(ctx)
	if err != nil {
		return "", Reply{}, err
	}
	n := 0
	if a.Resend {
		n = 1 % len(all)
	}
	reply, err := c.Send(ctx, all[n].URL, r)
	if err != nil && ctx.Err() == nil {
		c.InvalidateAddresses()
	}
	return all[n].URL, reply, err
}

func (t *routersTarget) caller(zone, account string) *Caller {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := zone + " " + account
	if t.callers[key] == nil {
		t.callers[key] = NewCallerWithSeeds(t.seeds, zone)
	}
	return t.callers[key]
}

// ModelRequest returns the streamed model request of an arrival.
func ModelRequest(model, apiKey string, a Arrival) Request {
	return Request{Account: a.Account, APIKey: apiKey, Path: chatPath, Body: chatBody(model, a)}
}

// OrderRequest returns the order request of an arrival; a resend has the same
// body and idempotency key.
func OrderRequest(apiKey string, a Arrival) Request {
	return Request{Account: a.Account, APIKey: apiKey, Path: orderPath, Key: a.Key, Body: orderBody(a)}
}

func chatBody(model string, a Arrival) json.RawMessage {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	body, err := json.Marshal(struct {
		Model     string    `json:"model"`
		Messages  []message `json:"messages"`
		MaxTokens int       `json:"max_tokens"`
		Stream    bool      `json:"stream"`
	}{model, []message{{"user", a.Prompt}}, a.Tokens, true})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return body
}

func orderBody(a Arrival) json.RawMessage {
	body, err := json.Marshal(struct {
		Item     string `json:"item"`
		Quantity int    `json:"quantity"`
	}{a.Prompt, a.Tokens})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return body
}
