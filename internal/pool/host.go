package pool

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/core/route"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

// Host runs the pools that this router owns. A pool exists from its first
// session until its last session, or this router's own session with it, ends.
// Host is safe for concurrent use.
type Host struct {
	peerpb.UnimplementedAdmissionServer
	fleet  Fleet
	events *eventlog.Log
	stalls stallDetector

	mu              sync.Mutex
	stallCount      int // when the pools were last checked
	scopes          map[string]*hostedPool
	pastCosts       map[string]fair.Cost // by account, of pools that this router no longer owns
	quarantine      *route.Quarantine
	parts           *route.PartQuarantine
	lastRouters     []member.Router // of the last view
	lastRemoval     time.Time       // when a router that had not stopped gracefully last left the view
	lastUsageUpdate time.Time
	lastKeepalive   time.Time
}

// NewHost returns a host without pools.
func NewHost(fleet Fleet, events *eventlog.Log) *Host {
	h := &Host{
		fleet:      fleet,
		events:     events,
		scopes:     map[string]*hostedPool{},
		pastCosts:  map[string]fair.Cost{},
		quarantine: route.NewQuarantine(),
		parts:      route.NewPartQuarantine(),
	}
	fleet.Subscribe(h.refresh)
	return h
}

// Serve expires waits, sends keepalives and applies other routers' usage until
// the context ends.
func (h *Host) Serve(ctx context.Context) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			h.tick(time.Now())
		}
	}
}

// Usage returns the cost by account that this router's pools have recorded
// since the router started. It never decreases.
func (h *Host) Usage() map[string]fair.Cost {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.usage()
}

// Crashes returns the crashes on record at this router, so that other routers
// refuse the same requests.
func (h *Host) Crashes() []route.Crash {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.quarantine.Crashes(time.Now())
}

// Lift ends the quarantine of a request, or of a prompt part, at this router only;
// it has to be called at every router. It reports whether any crash was on record.
func (h *Host) Lift(fingerprint uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	begun, completed := h.parts.RecordBegun(now, fingerprint), h.parts.RecordBegun(now, route.AfterBegin(fingerprint))
	return h.quarantine.Lift(now, fingerprint) || begun || completed
}

// RecordCrashes adds crashes that another router has on record.
func (h *Host) RecordCrashes(crashes []route.Crash) { h.recordCrashes(crashes) }

func (h *Host) recordCrashes(crashes []route.Crash) {
	if len(crashes) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range crashes {
		h.quarantine.RecordCrash(time.Now(), c)
	}
}

// checkQuarantine reports whether a request is quarantined and whether it
// recently crashed an endpoint.
func (h *Host) checkQuarantine(fingerprint uint64) (quarantined, suspect bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	return h.quarantine.Quarantined(now, fingerprint), h.quarantine.Suspected(now, fingerprint)
}

// timeSinceRemoval returns the time since this router last saw another router
// removed, or 0 if it has seen none.
func (h *Host) timeSinceRemoval() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastRemoval.IsZero() {
		return 0
	}
	return max(time.Millisecond, time.Since(h.lastRemoval))
}

// Ping replies to a router that checks whether a higher-ranked owner can be
// reached.
func (h *Host) Ping(context.Context, *peerpb.PingRequest) (*peerpb.PingReply, error) {
	return &peerpb.PingReply{}, nil
}

// Admit serves another router's session.
func (h *Host) Admit(stream peerpb.Admission_AdmitServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	requestsReceived.count(first)
	s := h.openSession(first.Scope, first.Router)
	defer s.Close()
	go receive(stream, s, first)
	for {
		reply, err := s.Recv()
		if err != nil {
			return err
		}
		repliesSent.count(reply)
		if err := stream.Send(reply); err != nil {
			return err
		}
	}
}

// receive passes the router's messages to the session until the stream ends.
func receive(stream peerpb.Admission_AdmitServer, s *routerSession, first *peerpb.AdmitRequest) {
	defer s.Close()
	var err error
	for req := first; err == nil; req, err = stream.Recv() {
		if req != first {
			requestsReceived.count(req)
		}
		if s.Send(req) != nil {
			return
		}
	}
}

func (h *Host) openSession(scope, router string) *routerSession {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropPoolsAfterStall(time.Now())
	hp, ok := h.scopes[scope]
	if !ok {
		hp = newHostedPool(h, scope)
		h.scopes[scope] = hp
		h.events.Add(eventlog.Event{Kind: eventlog.PoolOwned, Detail: scope})
	}
	return hp.openSession(router)
}

// dropPool removes a pool and closes all its sessions. The pool's costs remain
// part of the totals that Usage returns.
func (h *Host) dropPool(hp *hostedPool) {
	if h.scopes[hp.scope] != hp {
		return
	}
	delete(h.scopes, hp.scope)
	for account, cost := range hp.pool.KnownCosts() {
		h.pastCosts[account] += cost
	}
	for _, s := range hp.sessions {
		s.replies.closeWith(&peerpb.AdmitReply{ReleasesHandled: s.releases})
	}
	h.events.Add(eventlog.Event{Kind: eventlog.PoolLost, Detail: hp.scope})
}

// dropPoolsAfterStall drops all pools if this process has stalled since the last
// check, because their routers may have sessions with another owner by now.
// Routers that open new sessions send full reports.
func (h *Host) dropPoolsAfterStall(now time.Time) {
	count := h.stalls.observe(now)
	if count == h.stallCount {
		return
	}
	h.stallCount = count
	for _, hp := range h.scopes {
		h.dropPool(hp)
	}
}

func (h *Host) tick(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropPoolsAfterStall(now)
	if now.Sub(h.lastUsageUpdate) >= usageInterval {
		h.lastUsageUpdate = now
		h.updateRemoteCosts()
	}
	keepaliveDue := now.Sub(h.lastKeepalive) >= keepaliveInterval
	if keepaliveDue {
		h.lastKeepalive = now
	}
	for _, hp := range h.scopes {
		hp.markUnresponsive(now)
		hp.step(now)
		hp.confirmReleases()
		if keepaliveDue {
			hp.sendKeepalives()
		}
	}
}

// updateRemoteCosts passes to each pool the costs that accounts incurred outside
// that pool: at other routers and in this router's other pools.
func (h *Host) updateRemoteCosts() {
	remote := h.fleet.RemoteUsage()
	local := h.usage()
	for _, hp := range h.scopes {
		for account, own := range hp.pool.KnownCosts() {
			hp.pool.SetRemoteCost(account, remote[account]+local[account]-own)
		}
	}
}

func (h *Host) usage() map[string]fair.Cost {
	totals := map[string]fair.Cost{}
	for account, cost := range h.pastCosts {
		totals[account] += cost
	}
	for _, hp := range h.scopes {
		for account, cost := range hp.pool.KnownCosts() {
			totals[account] += cost
		}
	}
	return totals
}

// refresh applies a changed view or manifest.
func (h *Host) refresh() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.dropPoolsAfterStall(now)
	h.recordRemovals(now)
	for _, hp := range h.scopes {
		hp.configure(now)
		hp.step(now)
	}
}

// recordRemovals records when a router was last removed, for pools that this
// router comes to own later. A router that stopped gracefully holds no slots,
// so it only has to be reported to the current pools.
func (h *Host) recordRemovals(now time.Time) {
	view := h.fleet.View()
	for _, r := range h.lastRouters {
		if _, present := view.Get(r.Name); present {
			continue
		}
		if !r.Leaving {
			h.lastRemoval = now
			continue
		}
		for _, hp := range h.scopes {
			hp.pool.MemberStopped(r.Name)
		}
	}
	h.lastRouters = view.Routers
}
