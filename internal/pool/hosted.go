package pool

import (
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/admission"
	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

// hosted is one pool that this router owns. The host's mutex guards it.
type hosted struct {
	host     *Host
	scope    string
	pool     *admission.Pool
	sessions map[string]*session // by router
}

// session is one router's side of a hosted pool.
type session struct {
	on      *hosted
	router  string
	zone    string
	names   names      // that the router sent
	numbers *numbering // of those sent to it
	box     *mailbox[*peerpb.AdmitReply]
	heard   time.Time // the last message
}

func newHosted(h *Host, scope string) *hosted {
	on := &hosted{host: h, scope: scope, pool: admission.NewPool(h.quarantine), sessions: map[string]*session{}}
	on.pool.MemberRemoved(h.removedAt)
	on.configure(time.Now())
	return on
}

func (on *hosted) open(router string) *session {
	s := &session{on: on, router: router, numbers: newNumbering(), box: newMailbox[*peerpb.AdmitReply](), heard: time.Now()}
	if old := on.sessions[router]; old != nil {
		old.box.close()
	}
	on.sessions[router] = s
	on.configure(time.Now())
	return s
}

// Send takes in a router's message.
func (s *session) Send(req *peerpb.AdmitRequest) error {
	h := s.on.host
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.afterPause(now)
	if h.scopes[s.on.scope] != s.on || s.on.sessions[s.router] != s {
		return errors.New("session replaced")
	}
	s.heard = now
	s.on.pool.SetResponsive(now, s.router, true)
	s.take(now, req)
	s.on.step(now)
	if req.Sync {
		s.box.put(&peerpb.AdmitReply{Crashes: crashesTo(h.quarantine.Crashes(now))})
	}
	return nil
}

// take passes a message's parts to the pool. What has ended comes before what
// is wanted, so that a request which is tried again finds its crash known.
func (s *session) take(now time.Time, req *peerpb.AdmitRequest) {
	p := s.on.pool
	s.names = append(s.names, req.Names...)
	for _, c := range crashesFrom(req.Crashes) {
		s.on.host.quarantine.RecordCrash(now, c)
	}
	if req.Sync {
		s.zone = req.Zone
		p.Sync(now, s.report(req))
	}
	for _, x := range req.Progress {
		id := admission.RequestID{Router: s.router, Seq: x.Seq}
		p.UpdateProgress(now, id, fair.Cost(x.Known), time.Duration(x.FirstTokenMicros)*time.Microsecond)
	}
	for _, r := range req.Releases {
		p.Release(now, s.release(r))
	}
	for _, w := range req.Wants {
		p.Submit(now, s.want(w))
	}
	for _, seq := range req.Cancels {
		p.Cancel(admission.RequestID{Router: s.router, Seq: seq})
	}
}

// Recv waits for the next message to the router; io.EOF means that the
// session has ended.
func (s *session) Recv() (*peerpb.AdmitReply, error) {
	reply, ok := s.box.get()
	if !ok {
		return nil, io.EOF
	}
	return reply, nil
}

// Close ends the session. The pool ends with its last session, or with this
// router's own: then another router owns it.
func (s *session) Close() {
	h := s.on.host
	h.mu.Lock()
	defer h.mu.Unlock()
	s.box.close()
	if s.on.sessions[s.router] != s {
		return
	}
	delete(s.on.sessions, s.router)
	s.on.pool.SessionClosed(time.Now(), s.router)
	if len(s.on.sessions) == 0 || s.router == h.fleet.Self().Name {
		h.drop(s.on)
	}
}

// step lets the pool decide and sends the decisions.
func (on *hosted) step(now time.Time) {
	d := on.pool.Step(now)
	replies := map[*session]*peerpb.AdmitReply{}
	for _, g := range d.Grants {
		if s := on.sessions[g.ID.Router]; s != nil {
			s.addGrant(replyFor(replies, s), g)
		}
	}
	for _, x := range d.Refusals {
		if s := on.sessions[x.ID.Router]; s != nil {
			r := replyFor(replies, s)
			r.Refusals = append(r.Refusals, &peerpb.Refusal{Seq: x.ID.Seq, Code: int32(x.Code), RetryAfterMillis: x.RetryAfter.Milliseconds()})
		}
	}
	if len(d.Crashes) > 0 {
		for _, s := range on.sessions {
			r := replyFor(replies, s)
			r.Crashes = append(r.Crashes, crashesTo(d.Crashes)...)
		}
	}
	for _, name := range d.Paused {
		on.host.events.Add(eventlog.Event{Kind: eventlog.EndpointPaused, Endpoint: name, Detail: on.scope})
	}
	for s, reply := range replies {
		s.box.put(reply)
	}
}

func (s *session) addGrant(m *peerpb.AdmitReply, g admission.Grant) {
	m.Grants = append(m.Grants, &peerpb.Grant{
		Seq:      g.ID.Seq,
		Endpoint: s.numbers.number(g.Endpoint, &m.Names),
		Estimate: float32(g.Estimate),
		Proved:   uint32(g.ProvenSlots),
	})
}

// noteSilence tells the pool which routers send no sign of life.
func (on *hosted) noteSilence(now time.Time) {
	for router, s := range on.sessions {
		if now.Sub(s.heard) > silentAfter {
			on.pool.SetResponsive(now, router, false)
		}
	}
}

// signOfLife sends something to the routers that wait, so that they can tell
// a long queue from a lost owner.
func (on *hosted) signOfLife() {
	for router := range on.pool.WaitingByRouter() {
		if s := on.sessions[router]; s != nil {
			s.box.put(&peerpb.AdmitReply{})
		}
	}
}

func replyFor(replies map[*session]*peerpb.AdmitReply, s *session) *peerpb.AdmitReply {
	if replies[s] == nil {
		replies[s] = &peerpb.AdmitReply{}
	}
	return replies[s]
}

func (on *hosted) configure(now time.Time) {
	on.pool.SetMembers(now, on.members())
	m := on.host.fleet.Manifest()
	if m == nil {
		return
	}
	on.pool.Configure(now, accountsOf(m), endpointsOf(m, on.scope))
}

// members are the routers of the scope's region and those that have a
// session.
func (on *hosted) members() []string {
	region := regionOf(on.scope)
	var names []string
	for _, r := range on.host.fleet.View().Routers {
		if r.Region == region && on.sessions[r.Name] == nil {
			names = append(names, r.Name)
		}
	}
	for router := range on.sessions {
		names = append(names, router)
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
			Open:      m.AcceptsWork(e),
		})
	}
	return endpoints
}
