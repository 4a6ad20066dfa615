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

// Host runs the pools that this router owns. It keeps a pool from the first
// session until the last one or this router's own one ends. It is safe for
// concurrent use.
type Host struct {
	peerpb.UnimplementedAdmissionServer
	fleet  Fleet
	events *eventlog.Log
	pauses pauses

	mu         sync.Mutex
	awake      int // pauses counted when the pools were last looked at
	scopes     map[string]*hosted
	past       map[string]fair.Cost // of pools that this router owned before
	quarantine *route.Quarantine
	members    []member.Router // of the last view
	removedAt  time.Time       // when one was missing without having stopped
	usageAt    time.Time
	signAt     time.Time
}

// NewHost returns a host without pools.
func NewHost(fleet Fleet, events *eventlog.Log) *Host {
	h := &Host{
		fleet:      fleet,
		events:     events,
		scopes:     map[string]*hosted{},
		past:       map[string]fair.Cost{},
		quarantine: route.NewQuarantine(),
	}
	fleet.Subscribe(h.refresh)
	return h
}

// Serve lets waits run out and takes in other routers' usage until the
// context ends.
func (h *Host) Serve(ctx context.Context) error {
	ticker := time.NewTicker(stepEvery)
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

// Usage returns the cost of each account known to this router's pools since
// its start. It never falls.
func (h *Host) Usage() map[string]fair.Cost {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.usage()
}

// Crashes returns the crashes that this router remembers, so that others
// refuse the same requests.
func (h *Host) Crashes() []route.Crash {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.quarantine.Crashes(time.Now())
}

// Lift ends the quarantine of a request at this router. Every router has to
// be told. It reports whether the request had crashed an endpoint.
func (h *Host) Lift(fingerprint uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.quarantine.Lift(time.Now(), fingerprint)
}

// RecordCrashes takes in crashes that another router remembers.
func (h *Host) RecordCrashes(crashes []route.Crash) { h.remember(crashes) }

func (h *Host) remember(crashes []route.Crash) {
	if len(crashes) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range crashes {
		h.quarantine.RecordCrash(time.Now(), c)
	}
}

// inspect reports whether a request is quarantined and, if not, whether it
// crashed an endpoint a short time ago.
func (h *Host) inspect(fingerprint uint64) (held, suspect bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	return h.quarantine.Quarantined(now, fingerprint), h.quarantine.Suspected(now, fingerprint)
}

// removalAge is the time since this router saw another one removed, or 0.
func (h *Host) removalAge() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.removedAt.IsZero() {
		return 0
	}
	return max(time.Millisecond, time.Since(h.removedAt))
}

// Ping answers a router that looks for the scope's first owner.
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
	s := h.open(first.Scope, first.Router)
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

// receive passes the router's messages on until its stream ends.
func receive(stream peerpb.Admission_AdmitServer, s *session, first *peerpb.AdmitRequest) {
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

func (h *Host) open(scope, router string) *session {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.afterPause(time.Now())
	on, ok := h.scopes[scope]
	if !ok {
		on = newHosted(h, scope)
		h.scopes[scope] = on
		h.events.Add(eventlog.Event{Kind: eventlog.PoolOwned, Detail: scope})
	}
	return on.open(router)
}

// drop ends a pool with all its sessions. Its costs stay in the totals.
func (h *Host) drop(on *hosted) {
	if h.scopes[on.scope] != on {
		return
	}
	delete(h.scopes, on.scope)
	for account, cost := range on.pool.KnownCosts() {
		h.past[account] += cost
	}
	for _, s := range on.sessions {
		s.box.close()
	}
	h.events.Add(eventlog.Event{Kind: eventlog.PoolLost, Detail: on.scope})
}

// afterPause drops all pools if this process has stood still: their routers
// may have another owner by now. They come back with full reports.
func (h *Host) afterPause(now time.Time) {
	count := h.pauses.seen(now)
	if count == h.awake {
		return
	}
	h.awake = count
	for _, on := range h.scopes {
		h.drop(on)
	}
}

func (h *Host) tick(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.afterPause(now)
	if now.Sub(h.usageAt) >= usageEvery {
		h.usageAt = now
		h.takeUsage()
	}
	sign := now.Sub(h.signAt) >= signEvery
	if sign {
		h.signAt = now
	}
	for _, on := range h.scopes {
		on.noteSilence(now)
		on.step(now)
		if sign {
			on.signOfLife()
		}
	}
}

// takeUsage tells each pool what the accounts cost elsewhere.
func (h *Host) takeUsage() {
	remote := h.fleet.RemoteUsage()
	local := h.usage()
	for _, on := range h.scopes {
		for account, own := range on.pool.KnownCosts() {
			on.pool.SetRemoteCost(account, remote[account]+local[account]-own)
		}
	}
}

func (h *Host) usage() map[string]fair.Cost {
	totals := map[string]fair.Cost{}
	for account, cost := range h.past {
		totals[account] += cost
	}
	for _, on := range h.scopes {
		for account, cost := range on.pool.KnownCosts() {
			totals[account] += cost
		}
	}
	return totals
}

// refresh takes in a changed view or manifest.
func (h *Host) refresh() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.afterPause(now)
	h.noteRemovals(now)
	for _, on := range h.scopes {
		on.configure(now)
		on.step(now)
	}
}

// noteRemovals remembers when a router was last removed, for pools that this
// one comes to own later. One that stopped gracefully holds nothing.
func (h *Host) noteRemovals(now time.Time) {
	view := h.fleet.View()
	for _, r := range h.members {
		if _, still := view.Get(r.Name); still {
			continue
		}
		if !r.Leaving {
			h.removedAt = now
			continue
		}
		for _, on := range h.scopes {
			on.pool.MemberStopped(r.Name)
		}
	}
	h.members = view.Routers
}
