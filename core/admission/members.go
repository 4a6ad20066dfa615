package admission

import (
	"slices"
	"time"
)

const (
	// reserveTime is how long the slots of a removed member count as in use: the
	// member may be partitioned and still run its requests.
	reserveTime = 30 * time.Second
	// disconnectTrustTime is how long an owner relies on the last report of a
	// member whose session has ended. It is shorter than reserveTime, so that an
	// owner which is itself partitioned stops using cold endpoints before another
	// owner may use them.
	disconnectTrustTime = 15 * time.Second
)

// members holds the state of the known routers.
type members struct {
	names               []string // sorted
	states              map[string]*memberState
	startedAt           time.Time // when the members were first set
	removedAt           time.Time // last removal of a member that had not stopped
	unreportedRemovalAt time.Time // last removal of a member whose slots in use are unknown
}

type memberState struct {
	connected      bool      // has a session with this owner
	reported       bool      // has reported its slots in use to this owner
	disconnectedAt time.Time // when the session ended
	silent         bool      // has a session but sends no keepalives
}

// SyncReport is the state that a router reports when it opens a session.
type SyncReport struct {
	Router      string
	Resumed     bool      // its previous session was with this owner too
	LastRemoval time.Time // when it last saw a member removed; zero: never
	Held        []HeldSlot
	Warmth      []Warmth
}

// Warmth is what a router knows about the warmth of an endpoint from its own
// requests.
type Warmth struct {
	Endpoint    string
	ProvenSlots int           // from the grant of the request; 0: cold or connection failure
	Age         time.Duration // since that grant or failure
}

func newMembers() members { return members{states: map[string]*memberState{}} }

// allReported reports whether the slots in use by each member are known.
func (m *members) allReported(now time.Time) bool {
	for _, s := range m.states {
		if !s.reported || !s.connected && now.Sub(s.disconnectedAt) >= disconnectTrustTime {
			return false
		}
	}
	return len(m.states) > 0
}

// usableSlots returns how many of an endpoint's first slots belong to members
// with a session. Slots are assigned to members in turn, from firstMember on.
func (m *members) usableSlots(firstMember, slots int) int {
	usable := 0
	for k := range slots {
		if m.states[m.names[(firstMember+k)%len(m.names)]].connected {
			usable++
		}
	}
	return usable
}

// SetMembers sets the known members. The slots of a removed member stay in use
// for reserveTime.
func (p *Pool) SetMembers(now time.Time, names []string) {
	if p.members.startedAt.IsZero() {
		p.members.startedAt = now
	}
	old := p.members.states
	p.members.names = slices.Clone(names)
	slices.Sort(p.members.names)
	p.members.states = map[string]*memberState{}
	for _, name := range names {
		if s, ok := old[name]; ok {
			p.members.states[name] = s
		} else {
			p.members.states[name] = &memberState{}
		}
	}
	for name, s := range old {
		if p.members.states[name] == nil {
			p.reserveRemovedSlots(now, name, s)
		}
	}
	p.resizeAll(now)
}

// MemberRemoved records that a member was removed before the pool existed, so
// that the slots it holds are unknown. A zero time is ignored.
func (p *Pool) MemberRemoved(at time.Time) {
	m := &p.members
	if at.After(m.removedAt) {
		m.removedAt = at
	}
	if at.After(m.unreportedRemovalAt) {
		m.unreportedRemovalAt = at
	}
}

// MemberStopped frees the slots of a member that has stopped gracefully and so
// runs no requests. The caller must call SetMembers without this member next:
// until then the sorted names still include it, although its state is gone.
func (p *Pool) MemberStopped(name string) {
	p.dropWaiting(name)
	p.replaceHeld(name, nil)
	delete(p.members.states, name)
}

// reserveRemovedSlots keeps the slots of a removed member in use for reserveTime.
func (p *Pool) reserveRemovedSlots(now time.Time, name string, s *memberState) {
	p.dropWaiting(name)
	p.setObserved(name, false)
	freeAt := now.Add(reserveTime)
	p.scheduleExpiry(freeAt)
	p.members.removedAt = now
	if !s.reported {
		p.members.unreportedRemovalAt = now
	}
	for id, r := range p.requests {
		if id.Router == name && !r.lingering {
			r.freeAt = freeAt
		}
	}
}

func (p *Pool) expireReservedSlots(now time.Time) {
	for _, r := range p.requests {
		switch {
		case r.freeAt.IsZero():
		case now.Before(r.freeAt):
			p.scheduleExpiry(r.freeAt)
		default:
			p.reclaim(r)
		}
	}
}

// Sync starts the session of a router. It replaces the router's slots in use by
// the reported ones and drops its waiting requests, which the router sends
// again.
func (p *Pool) Sync(now time.Time, r SyncReport) {
	p.dropWaiting(r.Router)
	p.replaceHeld(r.Router, r.Held)
	p.setObserved(r.Router, true)
	for _, w := range r.Warmth {
		p.applyWarmth(now, w)
	}
	if r.LastRemoval.Before(p.members.startedAt) {
		p.MemberRemoved(r.LastRemoval)
	}
	if !r.Resumed {
		p.members.distrustDisconnected()
	}
	if s := p.members.states[r.Router]; s != nil {
		s.connected, s.reported, s.silent = true, true, false
	}
	p.resizeAll(now)
}

// distrustDisconnected marks the slots in use by members without a session, and
// by removed members, as unknown: another owner may have granted them slots.
func (m *members) distrustDisconnected() {
	m.unreportedRemovalAt = m.removedAt
	for _, s := range m.states {
		s.reported = s.reported && s.connected
	}
}

func (p *Pool) replaceHeld(router string, held []HeldSlot) {
	reported := map[RequestID]bool{}
	for _, h := range held {
		reported[h.ID] = true
	}
	for id, r := range p.requests {
		if id.Router == router && !reported[id] && !r.lingering {
			p.reclaim(r)
		}
	}
	for _, h := range held {
		if r, known := p.requests[h.ID]; known && !r.lingering {
			r.freeAt, r.unattended = time.Time{}, h.Unattended
		} else if !known {
			p.adopt(h)
		}
	}
}

// adopt records a slot that another owner granted.
func (p *Pool) adopt(h HeldSlot) {
	a := p.accountOrNew(h.Account)
	p.markSeen(a)
	r := p.newRequest(Request{ID: h.ID, Account: h.Account}, a)
	r.charge, r.unattended = h.Charge, h.Unattended
	p.scheduler.ChargeOutstanding(h.Account, h.Charge)
	p.requests[h.ID] = r
	p.occupySlot(r, p.endpointOrNew(h.Endpoint))
}

// reclaim frees the slot of a request that no router will release.
func (p *Pool) reclaim(r *request) {
	p.scheduler.RefundOutstanding(r.account.cfg.Name, r.charge)
	p.freeSlot(r)
	p.discard(r)
}

// applyWarmth updates the warmth of an endpoint from a router's report, if that
// is newer than the last evidence. Without further evidence a report keeps an
// endpoint warm until warmthTTL after the request it is based on.
func (p *Pool) applyWarmth(now time.Time, w Warmth) {
	e, ok := p.endpoints[w.Endpoint]
	at := now.Add(-w.Age)
	if !ok || w.Age >= warmthTTL || !at.After(e.lastEvidence) {
		return
	}
	if w.ProvenSlots == 0 {
		e.markCold(at)
		return
	}
	e.warmSlots = min(w.ProvenSlots, e.cfg.Slots)
	e.doubtedSince, e.lastEvidence = time.Time{}, at
}

// SessionClosed ends the session of a router. Its slots stay in use until it
// reports again, or for reserveTime once it is no longer a member.
func (p *Pool) SessionClosed(now time.Time, router string) {
	p.dropWaiting(router)
	if s := p.members.states[router]; s != nil && s.connected {
		s.connected, s.disconnectedAt = false, now
	}
	p.setObserved(router, false)
	p.resizeAll(now)
}

// SetResponsive sets whether a router with a session sends keepalives. While it
// doesn't, no updates on its requests arrive.
func (p *Pool) SetResponsive(now time.Time, router string, responsive bool) {
	s := p.members.states[router]
	if s == nil || s.silent != responsive {
		return
	}
	s.silent = !responsive
	p.setObserved(router, responsive)
	p.resizeAll(now)
}

// isResponsive reports whether updates on a router's requests can arrive.
func (m *members) isResponsive(router string) bool {
	s := m.states[router]
	return s == nil || !s.silent
}

// setObserved sets whether updates on a router's requests arrive. Those on
// unattended requests may be old and count as none.
func (p *Pool) setObserved(router string, observed bool) {
	for id, r := range p.requests {
		now := observed && !r.unattended
		if id.Router != router || r.endpoint == nil || r.observed == now {
			continue
		}
		r.observed = now
		if r.observed {
			r.endpoint.observed++
		} else {
			r.endpoint.observed--
		}
	}
}

// dropWaiting removes the waiting requests of a router.
func (p *Pool) dropWaiting(router string) {
	for id, r := range p.requests {
		if id.Router == router && r.endpoint == nil {
			p.dequeue(r)
			p.discard(r)
		}
	}
}

// usableLimit returns how many slots of the endpoint this owner may use now.
func (p *Pool) usableLimit(now time.Time, e *endpoint) int {
	if len(p.members.names) == 0 {
		return 0
	}
	if e.cold() && !p.mayUseCold(now) {
		return 0
	}
	return p.members.usableSlots(e.firstMember, e.limit(now))
}

// mayUseCold reports whether cold endpoints may be used: the slots in use by each
// member, and by those removed in the last reserveTime, must be known.
func (p *Pool) mayUseCold(now time.Time) bool {
	removal := p.members.unreportedRemovalAt
	return p.members.allReported(now) && (removal.IsZero() || now.Sub(removal) >= reserveTime)
}

// scheduleMemberExpiry makes Step check again when disconnectTrustTime of a
// member or reserveTime of the last unreported removal ends.
func (p *Pool) scheduleMemberExpiry(now time.Time) {
	for _, s := range p.members.states {
		if expiry := s.disconnectedAt.Add(disconnectTrustTime); !s.connected && expiry.After(now) {
			p.scheduleExpiry(expiry)
		}
	}
	if expiry := p.members.unreportedRemovalAt.Add(reserveTime); expiry.After(now) {
		p.scheduleExpiry(expiry)
	}
}

func (p *Pool) resizeAll(now time.Time) {
	p.scheduleMemberExpiry(now)
	for _, e := range p.sortedEndpoints {
		p.resize(now, e)
	}
}

// resize updates an endpoint's limit in the routing table.
func (p *Pool) resize(now time.Time, e *endpoint) {
	if !e.declared {
		return
	}
	if recheckAt := e.checkWarmth(now); !recheckAt.IsZero() {
		p.scheduleExpiry(recheckAt)
	}
	limit := p.usableLimit(now, e)
	p.usableSlots += limit - e.routeEntry.Limit
	e.routeEntry.Limit = limit
	p.table.Update(&e.routeEntry)
	if now.Before(e.pausedUntil) {
		p.scheduleExpiry(e.pausedUntil)
	}
}

func (p *Pool) occupySlot(r *request, e *endpoint) {
	r.endpoint = e
	e.routeEntry.Busy++
	if r.observed {
		e.observed++
	}
	if r.suspect {
		e.suspects++
	}
	if r.withoutProgress {
		e.suspectsWithoutProgress++
	}
	p.updateTable(e)
}

// recordSuspectProgress records that a request has made progress. Once a suspect
// has, other suspects may use its endpoint too.
func (p *Pool) recordSuspectProgress(r *request) {
	if r.withoutProgress {
		r.withoutProgress = false
		r.endpoint.suspectsWithoutProgress--
	}
}

func (p *Pool) freeSlot(r *request) {
	e := r.endpoint
	e.routeEntry.Busy--
	if r.observed {
		e.observed--
	}
	if r.suspect {
		e.suspects--
	}
	if r.withoutProgress {
		e.suspectsWithoutProgress--
	}
	r.endpoint = nil
	p.updateTable(e)
	if !e.declared && e.routeEntry.Busy == 0 {
		delete(p.endpoints, e.cfg.Name)
	}
}

// updateTable updates a declared endpoint in the routing table.
func (p *Pool) updateTable(e *endpoint) {
	if e.declared {
		p.table.Update(&e.routeEntry)
	}
}
