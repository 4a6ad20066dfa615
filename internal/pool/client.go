package pool

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/admission"
	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peer"
)

// Client acquires slots from the owners of pools. It is safe for concurrent use.
type Client struct {
	fleet  Fleet
	host   *Host
	dialer *peer.Dialer
	seq    atomic.Uint64
	ctx    context.Context
	stop   context.CancelFunc

	mu     sync.Mutex
	scopes map[string]*scopeClient
}

// Request describes a request to the owner of a pool.
type Request struct {
	Account     string
	Model       string    // costs are estimated by account and model
	Estimate    fair.Cost // hint of the expected cost
	Prefix      uint64    // hash of the start of the prompt, for prefix affinity
	Fingerprint uint64    // hash that identifies the request in the quarantine
	// Parts are hashes of what other requests may have too: parts of the prompt, or all
	// that a request without a body asks for.
	Parts []uint64
	Avoid []string // endpoints at which earlier attempts failed
}

// Slot permits running one request at one endpoint. Release must be called once.
type Slot struct {
	Endpoint string
	scope    *scopeClient
	seq      uint64

	stallCount int // when the session that granted the slot began
}

// NewClient returns a client; Close ends its sessions.
func NewClient(fleet Fleet, host *Host, dialer *peer.Dialer) *Client {
	ctx, stop := context.WithCancel(context.Background())
	c := &Client{fleet: fleet, host: host, dialer: dialer, ctx: ctx, stop: stop, scopes: map[string]*scopeClient{}}
	fleet.Subscribe(c.refresh)
	return c
}

// Close ends all sessions.
func (c *Client) Close() { c.stop() }

// Acquire waits for a slot of the pool, in this router's region or, if that has
// no endpoint that accepts work, in another region. An error is a *code.Error,
// and the request has certainly not been run. Acquire returns within the
// account's maximum wait plus refusalGrace, even if the owner fails.
func (c *Client) Acquire(ctx context.Context, pool string, req Request) (*Slot, error) {
	scope, ok := c.scope(pool)
	if !ok {
		return nil, code.Refuse(code.NoEndpoint, "pool "+pool+" has no open endpoint")
	}
	quarantined, suspect := c.host.checkQuarantine(req.Fingerprint)
	if quarantined {
		return nil, code.Refuse(code.Quarantined, "")
	}
	if part, blocked := c.host.partBlocked(req.Parts); blocked {
		return nil, code.Refuse(code.Quarantined, fmt.Sprintf("prompt part, or request without a body, %016x seems to crash endpoints", part))
	}
	p := &pendingRequest{seq: c.seq.Add(1), req: req, suspect: suspect, allowedAt: time.Now(), result: make(chan result, 1)}
	return c.scopeClient(scope).acquire(ctx, p, c.maxWait(req.Account))
}

// UpdateProgress records the cost known so far of the request that holds the
// slot, and its time to first token, which is 0 before that token.
func (s *Slot) UpdateProgress(known fair.Cost, ttft time.Duration) {
	s.scope.updateProgress(s.seq, known, ttft)
}

// Stalled reports whether this process has stalled since the slot was granted. The
// endpoint may have restarted meanwhile, so no further request may be sent there
// in this slot.
func (s *Slot) Stalled() bool { return s.scope.client.stallCount() != s.stallCount }

// Release returns the slot, with the outcome of its request.
func (s *Slot) Release(outcome admission.Outcome, cost fair.Cost, ttft time.Duration) {
	s.scope.release(s.seq, outcome, cost, ttft)
}

// scope returns the scope from which to acquire a slot of the pool.
func (c *Client) scope(pool string) (string, bool) {
	m := c.fleet.Manifest()
	if m == nil {
		return "", false
	}
	local, other := c.fleet.Self().Region, ""
	for _, e := range m.Endpoints {
		if e.Pool != pool || !m.AcceptsWork(e) {
			continue
		}
		zone, _ := m.Zone(e.Zone)
		if zone.Region == local {
			return Scope(pool, local), true
		}
		other = zone.Region
	}
	return Scope(pool, other), other != ""
}

// maxWait returns the account's configured maximum wait. For an unknown account
// it returns silenceTimeout, enough for the owner to refuse the request.
func (c *Client) maxWait(account string) time.Duration {
	if m := c.fleet.Manifest(); m != nil {
		if a, ok := m.Account(account); ok {
			return time.Duration(a.MaxWaitMillis) * time.Millisecond
		}
	}
	return silenceTimeout
}

// stallCount returns how many times this process has stalled.
func (c *Client) stallCount() int { return c.host.stalls.observe(time.Now()) }

func (c *Client) localScopes() []string {
	m := c.fleet.Manifest()
	if m == nil {
		return nil
	}
	local := c.fleet.Self().Region
	var scopes []string
	for _, p := range m.Pools {
		if len(endpointsOf(m, Scope(p.Name, local))) > 0 {
			scopes = append(scopes, Scope(p.Name, local))
		}
	}
	return scopes
}

func (c *Client) scopeClient(scope string) *scopeClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	sc, ok := c.scopes[scope]
	if !ok {
		sc = newScopeClient(c, scope)
		c.scopes[scope] = sc
		go sc.run(c.ctx)
	}
	return sc
}

// refresh opens a session for each pool of this region, so that its owner learns
// of every router that may hold slots, and makes sessions check whether they
// have to move to another owner.
func (c *Client) refresh() {
	for _, scope := range c.localScopes() {
		c.scopeClient(scope)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, sc := range c.scopes {
		sc.notifyViewChange()
	}
}
