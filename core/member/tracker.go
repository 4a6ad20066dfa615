package member

import "time"

// Limits are the times and sizes of a Tracker.
type Limits struct {
	Lifetime    time.Duration // a router silent for longer may be removed
	FullMeshMax int           // up to so many other routers are all heard directly
	Fanout      int           // successors heard directly in a larger fleet
}

// Heartbeat is what a router says of itself.
type Heartbeat struct {
	Router     Router
	Seq        uint64 // grows with each heartbeat of one incarnation
	Generation int64  // of the manifest in force there
}

// Notice is news of a router, passed on by another one.
type Notice struct {
	Router        Router
	Seq           uint64
	Removed       bool
	HeardDirectly bool // the sender hears it directly
}

// ChangeKind says how a view changed.
type ChangeKind int

// The kinds of change.
const (
	Joined ChangeKind = iota + 1
	Updated
	Left
)

// Change is one change of the view.
type Change struct {
	Kind         ChangeKind
	Router       Router
	LeaseVersion int64 // of its lease, for Left; 0: not known
}

// Tracker decides which routers are members. It never trusts its own clock
// for its own membership: after a pause it owns nothing until the platform
// or a peer has answered it.
//
// Silence alone removes no router. It must come with a read of the platform
// that shows no renewed lease, or with a refused connection, which proves
// that the process is gone even while the platform is down.
type Tracker struct {
	limits  Limits
	self    Router
	beat    uint64
	members map[string]*entry
	gone    map[string]tomb
	news    []outgoing
	changes []Change
	out     map[string]bool // availability zones taken out

	confirmed  bool      // the platform or a peer answered since the start or pause
	unanswered time.Time // since when not confirmed
	stepped    time.Time
	graceFrom  time.Time // silence before this moment proves nothing
	platform   bool      // the last read succeeded
	served     bool      // it was confirmed at least once
	replaced   bool

	view  View
	stale bool // view must be built again
}

// entry is a member other than this router.
type entry struct {
	router     Router
	beat       uint64
	generation int64
	version    int64     // of its lease
	alive      time.Time // last proof of life
	direct     time.Time // last heartbeat heard from itself
	refused    bool      // its address refused a connection since
	retiring   bool      // the instance list says that it leaves
}

// tomb keeps old news from reviving a removed router.
type tomb struct {
	router  Router
	beat    uint64
	version int64
	at      time.Time
}

// NewTracker returns a tracker that knows only itself and is not confirmed.
func NewTracker(self Router, limits Limits, now time.Time) *Tracker {
	return &Tracker{
		limits:     limits,
		self:       self,
		members:    map[string]*entry{},
		gone:       map[string]tomb{},
		unanswered: now,
		stepped:    now,
		graceFrom:  now,
		platform:   true,
		stale:      true,
	}
}

// Self returns this router as it declares itself to others.
func (t *Tracker) Self() Router { return t.self }

// Confirmed reports whether this router acts as a member in force.
func (t *Tracker) Confirmed() bool { return t.confirmed }

// Replaced reports whether another process runs under this router's name
// with a higher incarnation.
func (t *Tracker) Replaced() bool { return t.replaced }

// View returns the members, this router among them. While it is not
// confirmed it stands there as leaving, so that it owns nothing.
func (t *Tracker) View() View {
	if !t.stale {
		return t.view
	}
	self := t.self
	self.Leaving = self.Leaving || !t.confirmed || t.replaced || t.out[self.Zone]
	routers := make([]Router, 0, len(t.members)+1)
	routers = append(routers, self)
	for _, e := range t.members {
		r := e.router
		r.Leaving = r.Leaving || e.retiring || t.out[r.Zone]
		routers = append(routers, r)
	}
	t.view, t.stale = NewView(routers), false
	return t.view
}

// Generations returns the generation that each other router last reported.
func (t *Tracker) Generations() map[string]int64 {
	generations := make(map[string]int64, len(t.members))
	for name, e := range t.members {
		generations[name] = e.generation
	}
	return generations
}

// SetLeaving declares this router as leaving, or not.
func (t *Tracker) SetLeaving(leaving bool) {
	t.self.Leaving = leaving
	t.stale = true
}

// SetZonesOut names the availability zones that operators have taken out: their
// routers stand in the view as leaving.
func (t *Tracker) SetZonesOut(zones map[string]bool) {
	t.out, t.stale = zones, true
}

// NextHeartbeat returns this router's next heartbeat.
func (t *Tracker) NextHeartbeat(load int, generation int64) Heartbeat {
	t.beat++
	t.self.Load = load
	return Heartbeat{Router: t.self, Seq: t.beat, Generation: generation}
}

// HandleHeartbeat takes in a heartbeat, in either direction of an exchange.
func (t *Tracker) HandleHeartbeat(now time.Time, h Heartbeat) {
	if t.isSelf(h.Router) {
		return
	}
	e, ok := t.admit(now, h.Router, h.Seq, 0)
	if !ok {
		return
	}
	e.generation = max(e.generation, h.Generation)
	e.direct = now
}

// Knows reports whether this incarnation of a router is a member here. A peer
// tells the router so in its answer, as it was before it heard the router.
func (t *Tracker) Knows(name string, incarnation int64) bool {
	e := t.members[name]
	return e != nil && e.router.Incarnation == incarnation
}

// HandleReply notes a peer's answer. If the peer did not know this router, it
// may have been removed elsewhere too: it refutes that before the news comes.
func (t *Tracker) HandleReply(known bool) {
	if known {
		t.confirm()
		return
	}
	t.refute(t.beat)
}

// ConnectionRefused notes that a router's address refused a connection.
func (t *Tracker) ConnectionRefused(name string, incarnation int64) {
	if e := t.members[name]; e != nil && e.router.Incarnation == incarnation {
		e.refused = true
	}
}

// Tick lets time pass. It must run several times within a lifetime; a longer
// gap shows that this process was paused.
func (t *Tracker) Tick(now time.Time) {
	if now.Sub(t.stepped) > t.limits.Lifetime {
		t.confirmed, t.unanswered, t.graceFrom, t.stale = false, now, now, true
	}
	t.stepped = now
	if !t.confirmed && now.Sub(t.unanswered) > t.limits.Lifetime {
		t.confirm() // cut off from all: it goes on as a partition would
	}
	for name, e := range t.members {
		if e.refused && t.silent(now, e) {
			t.remove(now, name)
		}
	}
	for name, old := range t.gone {
		if now.Sub(old.at) > tombLifetimes*t.limits.Lifetime {
			delete(t.gone, name)
		}
	}
}

// tombLifetimes is how long a removed router is remembered, in lifetimes.
const tombLifetimes = 30

// Changes returns the changes of the view since the last call.
func (t *Tracker) Changes() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// admit takes in proof of life and returns the member's entry. Old news is
// refused: a lower incarnation, or a heartbeat sent before the removal.
func (t *Tracker) admit(now time.Time, r Router, beat uint64, version int64) (*entry, bool) {
	if old, ok := t.gone[r.Name]; ok && !newer(old, r, beat, version) {
		return nil, false
	}
	e, known := t.members[r.Name]
	if known && r.Incarnation < e.router.Incarnation {
		return nil, false
	}
	if !known {
		e = &entry{}
		t.members[r.Name] = e
		t.note(now, Joined, r, beat)
	} else if r.Incarnation > e.router.Incarnation {
		*e = entry{}
		t.note(now, Updated, r, beat)
	} else if beat > 0 && beat < e.beat {
		return nil, false
	} else if beat == 0 && e.beat > 0 {
		r.Leaving = r.Leaving || e.router.Leaving // a lease may lag behind heartbeats
		r.Load = e.router.Load
	}
	if known && e.router.Incarnation != 0 && e.router.Leaving != r.Leaving {
		t.note(now, Updated, r, beat)
	}
	delete(t.gone, r.Name)
	t.stale = t.stale || e.router != r
	e.router, e.alive, e.refused = r, now, false
	e.beat = max(e.beat, beat)
	return e, true
}

func newer(old tomb, r Router, beat uint64, version int64) bool {
	if r.Incarnation != old.router.Incarnation {
		return r.Incarnation > old.router.Incarnation
	}
	return beat > old.beat || version > old.version
}

// isSelf reports news of this router's own name. A higher incarnation is a
// former self if this one has not served yet (its clock fell between the two
// starts), and a successor afterwards.
func (t *Tracker) isSelf(r Router) bool {
	if r.Name != t.self.Name {
		return false
	}
	switch {
	case r.Incarnation <= t.self.Incarnation:
	case t.served:
		t.replaced, t.stale = true, true
	default:
		t.self.Incarnation, t.stale = r.Incarnation+1, true
	}
	return true
}

func (t *Tracker) confirm() {
	if t.confirmed {
		return
	}
	t.confirmed, t.served, t.stale = true, true, true
	t.changes = append(t.changes, Change{Kind: Updated, Router: t.self})
}

func (t *Tracker) remove(now time.Time, name string) {
	e := t.members[name]
	delete(t.members, name)
	t.gone[name] = tomb{router: e.router, beat: e.beat, version: e.version, at: now}
	t.stale = true
	t.changes = append(t.changes, Change{Kind: Left, Router: e.router, LeaseVersion: e.version})
	t.spread(Notice{Router: e.router, Seq: e.beat, Removed: true})
}

func (t *Tracker) note(now time.Time, kind ChangeKind, r Router, beat uint64) {
	t.stale = true
	t.changes = append(t.changes, Change{Kind: kind, Router: r})
	t.spread(Notice{Router: r, Seq: beat})
}
