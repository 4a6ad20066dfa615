package admission

import (
	"slices"
	"time"
)

const (
	// ghostTime is how long the slots of a removed member count as in use: it
	// may be cut off and still run its requests.
	ghostTime = 30 * time.Second
	// accountedTime is how long an owner trusts its knowledge of a member
	// whose session has ended. It is under ghostTime, so that an owner which
	// is itself cut off stops using cold endpoints before another one starts.
	accountedTime = 15 * time.Second
)

// members are the known routers.
type members struct {
	names     []string // sorted
	state     map[string]*memberState
	startedAt time.Time // when the pool first knew its members
	buriedAt  time.Time // a member without a session was removed
	unknownAt time.Time // a member was removed, and what it holds isn't known
}

type memberState struct {
	session   bool      // has a session with this owner
	accounted bool      // has reported what it holds to this owner
	lostAt    time.Time // when the session ended
	silent    bool      // has a session but sends no sign of life
}

// SyncReport is what a router tells an owner when it opens a session.
type SyncReport struct {
	Router      string
	Resumed     bool      // its last session was with this owner too
	LastRemoval time.Time // when it last saw a member removed; zero: never
	Held        []HeldSlot
	Warmth      []Warmth
}

// Warmth is what a router knows of an endpoint from an answer that it saw
// itself.
type Warmth struct {
	Endpoint    string
	ProvenSlots int           // as the grant said; 0: the endpoint broke
	Age         time.Duration // since that grant, or since the break
}

func newMembers() members { return members{state: map[string]*memberState{}} }

// allAccounted reports whether it is known what every member holds.
func (m *members) allAccounted(now time.Time) bool {
	for _, s := range m.state {
		if !s.accounted || !s.session && now.Sub(s.lostAt) >= accountedTime {
			return false
		}
	}
	return len(m.state) > 0
}

// part counts those of an endpoint's first slots that belong to members with
// a session.
func (m *members) part(home, slots int) int {
	usable := 0
	for k := range slots {
		if m.state[m.names[(home+k)%len(m.names)]].session {
			usable++
		}
	}
	return usable
}

// SetMembers gives the names of the known members. The slots of a removed
// member stay in use for ghostTime.
func (p *Pool) SetMembers(now time.Time, names []string) {
	if p.members.startedAt.IsZero() {
		p.members.startedAt = now
	}
	old := p.members.state
	p.members.names = slices.Clone(names)
	slices.Sort(p.members.names)
	p.members.state = map[string]*memberState{}
	for _, name := range names {
		if s, ok := old[name]; ok {
			p.members.state[name] = s
		} else {
			p.members.state[name] = &memberState{}
		}
	}
	for name, s := range old {
		if p.members.state[name] == nil {
			p.bury(now, name, s)
		}
	}
	p.resizeAll(now)
}

// MemberRemoved notes that a member was removed before the pool existed, or zero for
// none. Nothing is known of what it holds.
func (p *Pool) MemberRemoved(at time.Time) {
	m := &p.members
	if at.After(m.buriedAt) {
		m.buriedAt = at
	}
	if at.After(m.unknownAt) {
		m.unknownAt = at
	}
}

// MemberStopped notes that a member has stopped gracefully: it holds nothing.
func (p *Pool) MemberStopped(name string) {
	p.forget(name)
	p.replaceHeld(name, nil)
	delete(p.members.state, name)
}

// bury turns the slots of a lost member into ghosts.
func (p *Pool) bury(now time.Time, name string, s *memberState) {
	p.forget(name)
	p.attend(name, false)
	over := now.Add(ghostTime)
	p.due(over)
	p.members.buriedAt = now
	if !s.accounted {
		p.members.unknownAt = now
	}
	for id, r := range p.requests {
		if id.Router == name && !r.settled {
			r.ghost = over
		}
	}
}

func (p *Pool) expireGhosts(now time.Time) {
	for _, r := range p.requests {
		switch {
		case r.ghost.IsZero():
		case now.Before(r.ghost):
			p.due(r.ghost)
		default:
			p.abandon(r)
		}
	}
}

// Sync replaces what a router holds and drops what it waited for: the
// router has opened a session and sends its waiting requests anew.
func (p *Pool) Sync(now time.Time, r SyncReport) {
	p.forget(r.Router)
	p.replaceHeld(r.Router, r.Held)
	p.attend(r.Router, true)
	for _, w := range r.Warmth {
		p.hear(now, w)
	}
	if r.LastRemoval.Before(p.members.startedAt) {
		p.MemberRemoved(r.LastRemoval)
	}
	if !r.Resumed {
		p.members.doubtLost()
	}
	if s := p.members.state[r.Router]; s != nil {
		s.session, s.accounted, s.silent = true, true, false
	}
	p.resizeAll(now)
}

// doubtLost ends the trust in what members without a session hold, or held
// when they were removed: another owner may have served them meanwhile.
func (m *members) doubtLost() {
	m.unknownAt = m.buriedAt
	for _, s := range m.state {
		s.accounted = s.accounted && s.session
	}
}

func (p *Pool) replaceHeld(router string, held []HeldSlot) {
	still := map[RequestID]bool{}
	for _, h := range held {
		still[h.ID] = true
	}
	for id, r := range p.requests {
		if id.Router == router && !still[id] && !r.settled {
			p.abandon(r)
		}
	}
	for _, h := range held {
		if r, known := p.requests[h.ID]; known && !r.settled {
			r.ghost = time.Time{}
		} else if !known {
			p.adopt(h)
		}
	}
}

// adopt takes over a slot that another owner granted.
func (p *Pool) adopt(h HeldSlot) {
	a := p.accountOrNew(h.Account)
	p.use(a)
	r := p.newRequest(Request{ID: h.ID, Account: h.Account}, a)
	r.running = h.Charge
	p.scheduler.ChargeOutstanding(h.Account, h.Charge)
	p.requests[h.ID] = r
	p.occupy(r, p.endpointOrNew(h.Endpoint))
}

// abandon frees the slot of a request whose end nobody will report.
func (p *Pool) abandon(r *request) {
	p.scheduler.RefundOutstanding(r.account.cfg.Name, r.running)
	p.free(r)
	p.drop(r)
}

// hear takes in another router's word on an endpoint's warmth. It counts if
// it is newer than what is known; without an answer since, nobody's word
// makes an endpoint warm for longer than warmFor.
func (p *Pool) hear(now time.Time, w Warmth) {
	e, ok := p.endpoints[w.Endpoint]
	at := now.Add(-w.Age)
	if !ok || w.Age >= warmFor || !at.After(e.proofAt) {
		return
	}
	if w.ProvenSlots == 0 {
		e.turnCold(at)
		return
	}
	e.ramp = min(w.ProvenSlots, e.cfg.Slots)
	e.lapsed, e.proofAt = time.Time{}, at
}

// SessionClosed notes that a router's session has ended. Its slots stay in use until
// it reports again or is no member any more.
func (p *Pool) SessionClosed(now time.Time, router string) {
	p.forget(router)
	if s := p.members.state[router]; s != nil && s.session {
		s.session, s.lostAt = false, now
	}
	p.attend(router, false)
	p.resizeAll(now)
}

// SetResponsive notes whether a router with a session sends signs of life. While it
// doesn't, no news of what its requests meet arrives.
func (p *Pool) SetResponsive(now time.Time, router string, heard bool) {
	s := p.members.state[router]
	if s == nil || s.silent != heard {
		return
	}
	s.silent = !heard
	p.attend(router, heard)
	p.resizeAll(now)
}

// hears reports whether news of a router's requests can arrive.
func (m *members) hears(router string) bool {
	s := m.state[router]
	return s == nil || !s.silent
}

// attend notes whether news of what a router's requests do arrives.
func (p *Pool) attend(router string, attended bool) {
	for id, r := range p.requests {
		if id.Router != router || r.endpoint == nil || r.attended == attended {
			continue
		}
		r.attended = attended
		if attended {
			r.endpoint.attended++
		} else {
			r.endpoint.attended--
		}
	}
}

// forget drops what a router waits for.
func (p *Pool) forget(router string) {
	for id, r := range p.requests {
		if id.Router == router && r.endpoint == nil {
			p.dequeue(r)
			p.drop(r)
		}
	}
}

// part is the part of an endpoint's limit that this owner may use.
func (p *Pool) part(now time.Time, e *endpoint) int {
	if len(p.members.names) == 0 {
		return 0
	}
	if e.cold() && !p.mayUseCold(now) {
		return 0
	}
	return p.members.part(e.home, e.limit(now))
}

// mayUseCold reports whether everything that runs at the endpoints is known.
func (p *Pool) mayUseCold(now time.Time) bool {
	lost := p.members.unknownAt
	return p.members.allAccounted(now) && (lost.IsZero() || now.Sub(lost) >= ghostTime)
}

// dueMembers makes Step look again when the trust in a lost member ends, or
// the time for which a removed one counts.
func (p *Pool) dueMembers(now time.Time) {
	for _, s := range p.members.state {
		if over := s.lostAt.Add(accountedTime); !s.session && over.After(now) {
			p.due(over)
		}
	}
	if over := p.members.unknownAt.Add(ghostTime); over.After(now) {
		p.due(over)
	}
}

func (p *Pool) resizeAll(now time.Time) {
	p.dueMembers(now)
	for _, e := range p.ordered {
		p.resize(now, e)
	}
}

// resize brings an endpoint's place in the table up to date.
func (p *Pool) resize(now time.Time, e *endpoint) {
	if !e.declared {
		return
	}
	if again := e.lapse(now); !again.IsZero() {
		p.due(again)
	}
	limit := p.part(now, e)
	p.usable += limit - e.place.Limit
	e.place.Limit = limit
	p.table.Update(&e.place)
	if now.Before(e.paused) {
		p.due(e.paused)
	}
}

func (p *Pool) occupy(r *request, e *endpoint) {
	r.endpoint = e
	e.place.Busy++
	if r.attended {
		e.attended++
	}
	if r.suspect {
		e.suspects++
	}
	if r.isolated {
		e.isolated++
	}
	p.update(e)
}

// integrate ends the isolation of a suspect that has made progress.
func (p *Pool) integrate(r *request) {
	if r.isolated {
		r.isolated = false
		r.endpoint.isolated--
	}
}

func (p *Pool) free(r *request) {
	e := r.endpoint
	e.place.Busy--
	if r.attended {
		e.attended--
	}
	if r.suspect {
		e.suspects--
	}
	if r.isolated {
		e.isolated--
	}
	r.endpoint = nil
	p.update(e)
	if !e.declared && e.place.Busy == 0 {
		delete(p.endpoints, e.cfg.Name)
	}
}

// update brings the table up to date with an endpoint that is in it.
func (p *Pool) update(e *endpoint) {
	if e.declared {
		p.table.Update(&e.place)
	}
}
