package member

import "time"

// Limits are the timeouts and sizes of a Tracker.
type Limits struct {
	SilenceTimeout time.Duration // a router that is silent for longer may be removed; see also removalTimeout
	FullMeshMax    int           // up to this many other routers, each router exchanges heartbeats with all
	Fanout         int           // ring successors to exchange heartbeats with in a larger fleet
}

// Heartbeat is the state that a router reports of itself.
type Heartbeat struct {
	Router     Router
	Seq        uint64 // increases with each heartbeat of one incarnation
	Generation int64  // of the manifest in force at the router
}

// Notice is information about a router that another router passes on.
type Notice struct {
	Router        Router
	Seq           uint64 // of the last heartbeat known to the sender
	Removed       bool
	HeardDirectly bool // the sender receives heartbeats from the router itself
}

// ChangeKind is the kind of a Change.
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
	LeaseVersion int64 // for Left, the version of the router's lease; 0 if not known
}

// Tracker decides which routers are members. After the start and after a pause of
// the process, this router owns nothing until the platform or a peer has confirmed
// that it is a member. If neither does so within Limits.SilenceTimeout, the router
// is isolated, and confirms itself.
//
// Silence alone is no reason to remove a router. It is removed in four cases:
//   - It was silent for the removal timeout, and a read of the platform shows
//     that its lease does not exist, or was not renewed although this router
//     monitors it.
//   - It was silent for the removal timeout, and its address has refused a
//     connection. This proves that the process has ended even while the platform
//     is down.
//   - It was leaving, and has released its lease.
//   - Another router's notice says that it was removed, and this router has had
//     no heartbeat from it within Limits.SilenceTimeout.
type Tracker struct {
	limits   Limits
	self     Router
	seq      uint64
	members  map[string]*peer
	removed  map[string]tombstone
	queue    []queuedNotice
	changes  []Change
	zonesOut map[string]bool // availability zones that operators have taken out

	confirmed        bool      // confirmed as a member since the start or the last pause; see Confirmed
	unconfirmedSince time.Time // start of the time without confirmation
	lastTick         time.Time
	graceStart       time.Time // silence before this time does not count
	platformReadable bool      // the last read of the platform succeeded
	everConfirmed    bool      // confirmed was set at least once
	replaced         bool      // a later process runs under this router's name

	view      View
	viewStale bool // view must be rebuilt
}

// peer is a member other than this router.
type peer struct {
	router            Router
	seq               uint64
	generation        int64
	leaseVersion      int64
	lastAlive         time.Time // last evidence that the router is alive
	lastHeartbeat     time.Time // last heartbeat received from the router itself
	connectionRefused bool      // its address has refused a connection since lastAlive
	retiring          bool      // the platform's instance list marks it as leaving
}

// tombstone prevents outdated information from adding a removed router again.
type tombstone struct {
	router       Router
	seq          uint64
	leaseVersion int64
	removedAt    time.Time
}

// NewTracker returns a tracker that knows only its own router, which is not yet
// confirmed.
func NewTracker(self Router, limits Limits, now time.Time) *Tracker {
	return &Tracker{
		limits:           limits,
		self:             self,
		members:          map[string]*peer{},
		removed:          map[string]tombstone{},
		unconfirmedSince: now,
		lastTick:         now,
		graceStart:       now,
		platformReadable: true,
		viewStale:        true,
	}
}

// Self returns this router as it is announced to others.
func (t *Tracker) Self() Router { return t.self }

// Confirmed reports whether the platform or a peer has confirmed that this router
// is a member, or Tick has because none of them did so within
// Limits.SilenceTimeout. An unconfirmed router owns nothing.
func (t *Tracker) Confirmed() bool { return t.confirmed }

// Replaced reports whether another process runs under this router's name
// with a higher incarnation.
func (t *Tracker) Replaced() bool { return t.replaced }

// View returns the members, including this router. While this router is not
// confirmed, the view marks it as leaving, so that it owns nothing.
func (t *Tracker) View() View {
	if !t.viewStale {
		return t.view
	}
	self := t.self
	self.Leaving = self.Leaving || !t.confirmed || t.replaced || t.zonesOut[self.Zone]
	routers := make([]Router, 0, len(t.members)+1)
	routers = append(routers, self)
	for _, p := range t.members {
		r := p.router
		r.Leaving = r.Leaving || p.retiring || t.zonesOut[r.Zone]
		routers = append(routers, r)
	}
	t.view, t.viewStale = NewView(routers), false
	return t.view
}

// Generations returns the generation that each other router last reported.
func (t *Tracker) Generations() map[string]int64 {
	generations := make(map[string]int64, len(t.members))
	for name, p := range t.members {
		generations[name] = p.generation
	}
	return generations
}

// SetLeaving sets whether this router is announced as leaving.
func (t *Tracker) SetLeaving(leaving bool) {
	t.self.Leaving = leaving
	t.viewStale = true
}

// SetZonesOut sets the availability zones that operators have taken out of
// service. The view marks their routers as leaving.
func (t *Tracker) SetZonesOut(zones map[string]bool) {
	t.zonesOut, t.viewStale = zones, true
}

// NextHeartbeat returns this router's next heartbeat.
func (t *Tracker) NextHeartbeat(load int, generation int64) Heartbeat {
	t.seq++
	t.self.Load = load
	return Heartbeat{Router: t.self, Seq: t.seq, Generation: generation}
}

// HandleHeartbeat processes a heartbeat from another router, received as a
// request or as a reply.
func (t *Tracker) HandleHeartbeat(now time.Time, h Heartbeat) {
	if t.handleOwnName(h.Router) {
		return
	}
	p, ok := t.recordAlive(now, h.Router, h.Seq, 0)
	if !ok {
		return
	}
	p.generation = max(p.generation, h.Generation)
	p.lastHeartbeat = now
}

// Knows reports whether this incarnation of a router is a member in this view.
// A reply to a heartbeat carries the result as it was before the heartbeat was
// processed.
func (t *Tracker) Knows(name string, incarnation int64) bool {
	p := t.members[name]
	return p != nil && p.router.Incarnation == incarnation
}

// HandleReply processes a peer's statement whether it knows this router. If it
// does not, other routers may have removed this one too, so the tracker refutes
// the removal before notices of it arrive.
func (t *Tracker) HandleReply(known bool) {
	if known {
		t.confirm()
		return
	}
	t.refute(t.seq)
}

// ConnectionRefused records that a router's address refused a connection.
func (t *Tracker) ConnectionRefused(name string, incarnation int64) {
	if p := t.members[name]; p != nil && p.router.Incarnation == incarnation {
		p.connectionRefused = true
	}
}

// Tick applies the timeouts. It must be called several times per
// Limits.SilenceTimeout; a longer gap means that this process was paused.
func (t *Tracker) Tick(now time.Time) {
	if now.Sub(t.lastTick) > t.limits.SilenceTimeout {
		t.confirmed, t.unconfirmedSince, t.graceStart, t.viewStale = false, now, now, true
	}
	t.lastTick = now
	if !t.confirmed && now.Sub(t.unconfirmedSince) > t.limits.SilenceTimeout {
		t.confirm() // isolated from the platform and all peers: continue as a partition of one
	}
	for name, p := range t.members {
		if p.connectionRefused && t.silenceExpired(now, p) {
			t.remove(now, name)
		}
	}
	for name, old := range t.removed {
		if now.Sub(old.removedAt) > tombstoneTimeouts*t.limits.SilenceTimeout {
			delete(t.removed, name)
		}
	}
}

// tombstoneTimeouts is how long a tombstone is kept, in multiples of
// Limits.SilenceTimeout.
const tombstoneTimeouts = 30

// Changes returns the changes of the view since the last call.
func (t *Tracker) Changes() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// recordAlive processes evidence that a router is alive and returns the member.
// It rejects outdated evidence: a lower incarnation, or a heartbeat sent before
// the router was removed.
func (t *Tracker) recordAlive(now time.Time, r Router, seq uint64, leaseVersion int64) (*peer, bool) {
	if old, ok := t.removed[r.Name]; ok && !supersedes(old, r, seq, leaseVersion) {
		return nil, false
	}
	p, known := t.members[r.Name]
	if known && r.Incarnation < p.router.Incarnation {
		return nil, false
	}
	if !known {
		p = &peer{}
		t.members[r.Name] = p
		t.recordChange(now, Joined, r, seq)
	} else if r.Incarnation > p.router.Incarnation {
		*p = peer{}
		t.recordChange(now, Updated, r, seq)
	} else if seq > 0 && seq < p.seq {
		return nil, false
	} else if seq == 0 && p.seq > 0 {
		r.Leaving = r.Leaving || p.router.Leaving // a lease may be older than the last heartbeat
		r.Load = p.router.Load
	}
	if known && p.router.Incarnation != 0 && p.router.Leaving != r.Leaving {
		t.recordChange(now, Updated, r, seq)
	}
	delete(t.removed, r.Name)
	t.viewStale = t.viewStale || p.router != r
	p.router, p.lastAlive, p.connectionRefused = r, now, false
	p.seq = max(p.seq, seq)
	return p, true
}

// supersedes reports whether evidence that a router is alive is newer than its
// removal.
func supersedes(old tombstone, r Router, seq uint64, leaseVersion int64) bool {
	if r.Incarnation != old.router.Incarnation {
		return r.Incarnation > old.router.Incarnation
	}
	return seq > old.seq || leaseVersion > old.leaseVersion
}

// handleOwnName reports whether r has this router's name, and handles a higher
// incarnation under this name. If this router was never confirmed, that is an
// earlier process (the clock was set back between the two starts), and this one
// takes a still higher incarnation. Otherwise it is a later process, which
// replaces this one.
func (t *Tracker) handleOwnName(r Router) bool {
	if r.Name != t.self.Name {
		return false
	}
	switch {
	case r.Incarnation <= t.self.Incarnation:
	case t.everConfirmed:
		t.replaced, t.viewStale = true, true
	default:
		t.self.Incarnation, t.viewStale = r.Incarnation+1, true
	}
	return true
}

func (t *Tracker) confirm() {
	if t.confirmed {
		return
	}
	t.confirmed, t.everConfirmed, t.viewStale = true, true, true
	t.changes = append(t.changes, Change{Kind: Updated, Router: t.self})
}

func (t *Tracker) remove(now time.Time, name string) {
	p := t.members[name]
	delete(t.members, name)
	t.removed[name] = tombstone{router: p.router, seq: p.seq, leaseVersion: p.leaseVersion, removedAt: now}
	t.viewStale = true
	t.changes = append(t.changes, Change{Kind: Left, Router: p.router, LeaseVersion: p.leaseVersion})
	t.queueNotice(Notice{Router: p.router, Seq: p.seq, Removed: true})
}

func (t *Tracker) recordChange(now time.Time, kind ChangeKind, r Router, seq uint64) {
	t.viewStale = true
	t.changes = append(t.changes, Change{Kind: kind, Router: r})
	t.queueNotice(Notice{Router: r, Seq: seq})
}
