package pool

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/admission"
	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peer"
)

// Client asks pools' owners for slots. It is safe for concurrent use.
type Client struct {
	fleet  Fleet
	host   *Host
	dialer *peer.Dialer
	seq    atomic.Uint64
	ctx    context.Context
	stop   context.CancelFunc

	mu     sync.Mutex
	scopes map[string]*broker
}

// Request is what the owner needs to know of a request.
type Request struct {
	Account     string
	Model       string    // what costs are learned for, besides the account
	Estimate    fair.Cost // hint
	Prefix      uint64
	Fingerprint uint64
	Avoid       []string // endpoints that failed it before
}

// Slot is the right to run one request at one endpoint. Release must be
// called once.
type Slot struct {
	Endpoint string
	broker   *broker
	seq      uint64
}

// NewClient returns a client; Close ends its sessions.
func NewClient(fleet Fleet, host *Host, dialer *peer.Dialer) *Client {
	ctx, stop := context.WithCancel(context.Background())
	c := &Client{fleet: fleet, host: host, dialer: dialer, ctx: ctx, stop: stop, scopes: map[string]*broker{}}
	fleet.Subscribe(c.refresh)
	return c
}

// Close ends all sessions.
func (c *Client) Close() { c.stop() }

// Acquire waits for a slot of the pool, in this router's region or, if that
// has no open endpoint, in another one. The error is a *code.Error that is
// truly "not run". It returns within the account's wait, give or take
// refusalGrace, whatever happens to the owner.
func (c *Client) Acquire(ctx context.Context, pool string, req Request) (*Slot, error) {
	scope, ok := c.scope(pool)
	if !ok {
		return nil, code.Refuse(code.NoEndpoint, "pool "+pool+" has no open endpoint")
	}
	held, suspect := c.host.inspect(req.Fingerprint)
	if held {
		return nil, code.Refuse(code.Quarantined, "")
	}
	p := &pending{seq: c.seq.Add(1), req: req, suspect: suspect, result: make(chan result, 1)}
	return c.broker(scope).acquire(ctx, p, c.maxWait(req.Account))
}

// UpdateProgress tells the cost known so far of the request that holds the slot
// and, once it is seen, its time to first token.
func (s *Slot) UpdateProgress(known fair.Cost, firstToken time.Duration) {
	s.broker.progress(s.seq, known, firstToken)
}

// Release gives the slot back.
func (s *Slot) Release(outcome admission.Outcome, cost fair.Cost, firstToken time.Duration) {
	s.broker.release(s.seq, outcome, cost, firstToken)
}

// scope returns the scope to ask for a slot of the pool.
func (c *Client) scope(pool string) (string, bool) {
	m := c.fleet.Manifest()
	if m == nil {
		return "", false
	}
	home, other := c.fleet.Self().Region, ""
	for _, e := range m.Endpoints {
		if e.Pool != pool || !m.AcceptsWork(e) {
			continue
		}
		zone, _ := m.Zone(e.Zone)
		if zone.Region == home {
			return Scope(pool, home), true
		}
		other = zone.Region
	}
	return Scope(pool, other), other != ""
}

// maxWait is the account's declared wait; an unknown account waits only for
// the owner's refusal.
func (c *Client) maxWait(account string) time.Duration {
	if m := c.fleet.Manifest(); m != nil {
		if a, ok := m.Account(account); ok {
			return time.Duration(a.MaxWaitMillis) * time.Millisecond
		}
	}
	return silentAfter
}

// pauses returns how often this process has stood still.
func (c *Client) pauses() int { return c.host.pauses.seen(time.Now()) }

func (c *Client) homeScopes() []string {
	m := c.fleet.Manifest()
	if m == nil {
		return nil
	}
	home := c.fleet.Self().Region
	var scopes []string
	for _, p := range m.Pools {
		if len(endpointsOf(m, Scope(p.Name, home))) > 0 {
			scopes = append(scopes, Scope(p.Name, home))
		}
	}
	return scopes
}

func (c *Client) broker(scope string) *broker {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, ok := c.scopes[scope]
	if !ok {
		b = newBroker(c, scope)
		c.scopes[scope] = b
		go b.run(c.ctx)
	}
	return b
}

// refresh opens a session for each pool of this region, so that its owner
// hears of every router that may hold slots, and moves sessions to new
// owners.
func (c *Client) refresh() {
	for _, scope := range c.homeScopes() {
		c.broker(scope)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.scopes {
		b.viewChanged()
	}
}
