// Package pool connects the admission core to the fleet. A Host runs the
// core for the pools that this router owns; a Client asks the owners for
// slots, the own Host included, and gives them back.
//
// A lost session loses no slot: the client opens a new one, reports what it
// holds and sends its waiting requests anew.
package pool

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/admission"
	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

const (
	stepEvery     = 50 * time.Millisecond // for waits that run out
	repliesQueued = 1024                  // for one session
)

// Fleet is what this package needs to know of the fleet.
type Fleet interface {
	Self() member.Router
	View() member.View
	Manifest() *manifest.Manifest
	RemoteUsage() map[string]fair.Cost
	Subscribe(func())
}

// Scope names a pool within a region; each scope has one owner.
func Scope(pool, region string) string { return pool + "/" + region }

// OwnerKey is the rendezvous key of a scope.
func OwnerKey(scope string) string { return "pool/" + scope }

// Host runs the pools that this router owns.
type Host struct {
	peerpb.UnimplementedAdmissionServer
	fleet  Fleet
	events *eventlog.Log

	mu     sync.Mutex
	scopes map[string]*hosted
}

type hosted struct {
	scope    string
	pool     *admission.Pool
	sessions map[string]*session // by router
}

// session is one router's side of a hosted pool.
type session struct {
	host   *Host
	on     *hosted
	router string
	out    chan *peerpb.AdmitReply
	once   sync.Once
}

// NewHost returns a host without pools.
func NewHost(fleet Fleet, events *eventlog.Log) *Host {
	h := &Host{fleet: fleet, events: events, scopes: map[string]*hosted{}}
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
			h.tick()
		}
	}
}

// Usage returns the cost that this router's pools charged to each account
// since its start.
func (h *Host) Usage() map[string]fair.Cost {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.usage()
}

// Admit serves another router's session.
func (h *Host) Admit(stream peerpb.Admission_AdmitServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	s := h.open(first.Scope, first.Router)
	defer s.Close()
	go func() {
		for reply := range s.out {
			if stream.Send(reply) != nil {
				return
			}
		}
	}()
	for req := first; err == nil; req, err = stream.Recv() {
		if err := s.Send(req); err != nil {
			return err
		}
	}
	return err
}

func (h *Host) open(scope, router string) *session {
	h.mu.Lock()
	defer h.mu.Unlock()
	on, ok := h.scopes[scope]
	if !ok {
		on = &hosted{scope: scope, pool: admission.NewPool(), sessions: map[string]*session{}}
		h.scopes[scope] = on
		h.configure(on)
		h.events.Add(eventlog.Event{Kind: eventlog.PoolOwned, Detail: scope})
	}
	s := &session{host: h, on: on, router: router, out: make(chan *peerpb.AdmitReply, repliesQueued)}
	if old := on.sessions[router]; old != nil {
		old.end()
	}
	on.sessions[router] = s
	return s
}

// Send takes in a router's message.
func (s *session) Send(req *peerpb.AdmitRequest) error {
	s.host.mu.Lock()
	defer s.host.mu.Unlock()
	if s.on.sessions[s.router] != s {
		return errors.New("session replaced")
	}
	now := time.Now()
	p := s.on.pool
	if req.Sync {
		p.Sync(s.router, heldFrom(s.router, req.Held))
	}
	for _, w := range req.Wants {
		p.Want(now, wantFrom(s.router, w))
	}
	for _, seq := range req.Cancels {
		p.Cancel(admission.ID{Router: s.router, Seq: seq})
	}
	for _, r := range req.Releases {
		p.Release(now, releaseFrom(s.router, r))
	}
	s.on.step(now)
	return nil
}

// Recv returns the next reply, or an error once the session has ended.
func (s *session) Recv() (*peerpb.AdmitReply, error) {
	reply, ok := <-s.out
	if !ok {
		return nil, errors.New("session ended")
	}
	return reply, nil
}

// Close ends the session. The router's slots stay in use.
func (s *session) Close() {
	s.host.mu.Lock()
	defer s.host.mu.Unlock()
	if s.on.sessions[s.router] == s {
		delete(s.on.sessions, s.router)
		s.on.pool.Lose(s.router)
	}
	s.end()
}

func (s *session) end() { s.once.Do(func() { close(s.out) }) }

// step runs the core and hands its decisions to the sessions.
func (on *hosted) step(now time.Time) {
	replies := map[string]*peerpb.AdmitReply{}
	d := on.pool.Step(now)
	for _, g := range d.Grants {
		r := replyFor(replies, g.ID.Router)
		r.Grants = append(r.Grants, &peerpb.Grant{Seq: g.ID.Seq, Endpoint: g.Endpoint})
	}
	for _, x := range d.Refusals {
		r := replyFor(replies, x.ID.Router)
		r.Refusals = append(r.Refusals, &peerpb.Refusal{Seq: x.ID.Seq, Code: int32(x.Code), RetryAfterMillis: x.RetryAfter.Milliseconds()})
	}
	for router, reply := range replies {
		on.deliver(router, reply)
	}
}

// deliver queues a reply. A session whose queue is full is ended: its router
// reports anew, so no grant is lost.
func (on *hosted) deliver(router string, reply *peerpb.AdmitReply) {
	s := on.sessions[router]
	if s == nil {
		return
	}
	select {
	case s.out <- reply:
	default:
		delete(on.sessions, router)
		on.pool.Lose(router)
		s.end()
	}
}

func replyFor(replies map[string]*peerpb.AdmitReply, router string) *peerpb.AdmitReply {
	if replies[router] == nil {
		replies[router] = &peerpb.AdmitReply{}
	}
	return replies[router]
}

func (h *Host) tick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	remote := h.fleet.RemoteUsage()
	local := h.usage()
	now := time.Now()
	for _, on := range h.scopes {
		for account, own := range on.pool.Charged() {
			on.pool.SetRemote(account, remote[account]+local[account]-own)
		}
		on.step(now)
	}
}

func (h *Host) usage() map[string]fair.Cost {
	totals := map[string]fair.Cost{}
	for _, on := range h.scopes {
		for account, cost := range on.pool.Charged() {
			totals[account] += cost
		}
	}
	return totals
}

// refresh takes in a changed view or manifest.
func (h *Host) refresh() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, on := range h.scopes {
		h.configure(on)
		on.step(time.Now())
	}
}

func (h *Host) configure(on *hosted) {
	on.pool.SetMembers(h.members(on))
	m := h.fleet.Manifest()
	if m == nil {
		return
	}
	on.pool.Configure(accountsOf(m), endpointsOf(m, on.scope))
}

// members are the routers of the scope's region and those that asked from
// other regions.
func (h *Host) members(on *hosted) []string {
	_, region, _ := strings.Cut(on.scope, "/")
	var names []string
	for _, r := range h.fleet.View().Routers {
		if r.Region == region || on.sessions[r.Name] != nil {
			names = append(names, r.Name)
		}
	}
	return names
}

func accountsOf(m *manifest.Manifest) []admission.Account {
	accounts := make([]admission.Account, 0, len(m.Accounts))
	for _, a := range m.Accounts {
		accounts = append(accounts, admission.Account{
			Name:     a.Name,
			Share:    a.Share,
			MaxQueue: a.MaxQueue,
			MaxWait:  time.Duration(a.MaxWaitMillis) * time.Millisecond,
		})
	}
	return accounts
}

func endpointsOf(m *manifest.Manifest, scope string) []admission.Endpoint {
	pool, region, _ := strings.Cut(scope, "/")
	var endpoints []admission.Endpoint
	for _, e := range m.Endpoints {
		zone, _ := m.Zone(e.Zone)
		if e.Pool != pool || zone.Region != region {
			continue
		}
		endpoints = append(endpoints, admission.Endpoint{
			Name:      e.Name,
			Zone:      e.Zone,
			Slots:     e.Slots,
			ColdSlots: e.ColdSlots,
			Open:      m.Open(e),
		})
	}
	return endpoints
}
