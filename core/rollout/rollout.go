// Package rollout decides how the traffic of a service moves to the endpoints of
// another version: which versions a request may run at, how many requests a version
// gets before it is trusted, whether it is sound, and when the outcome is written to
// the platform's store.
//
// Every router decides for its own requests, from its own evidence and that of the
// other routers. Stages only advance, and routers adopt the furthest one that they hear
// of, so they agree whatever order their reports arrive in.
//
// The package performs no I/O, reads no clock and starts no goroutines. Its types are
// not safe for concurrent use.
package rollout

import (
	"time"
)

// State is the state of an order as the platform's store holds it.
type State int

// The states of an order. Completed and RolledBackState are final.
const (
	NoState State = iota
	Running
	CompletedState
	RolledBackState
)

// String returns the name of the state in logs.
func (s State) String() string {
	return [...]string{"none", "running", "completed", "rolled_back"}[s]
}

// Final reports whether the state is never changed.
func (s State) Final() bool { return s == CompletedState || s == RolledBackState }

// Status is the stored status of an order. Its target differs from that of the order if
// the operator has changed the order since.
type Status struct {
	State  State
	Target string
}

// Order is an operator's request to move a service to a version.
type Order struct {
	Service  string
	Target   string        // software version
	Duration time.Duration // from the order to its deadline
	Created  int64         // revision at which the stored object was created
	Revision int64         // of the stored object's last change
	Status   Status
}

// state returns the stored state of this order.
func (o Order) state() State {
	if o.Status.Target != o.Target {
		return NoState
	}
	return o.Status.State
}

// Stage is how far a router has carried an order.
type Stage int

// The stages. A later one replaces an earlier one. Completed is last since it is only
// reached through the store, where it may have been written before a verdict.
const (
	Canary     Stage = iota + 1 // the target gets at most the exposure
	Shifting                    // the target is trusted and gets a growing share
	Draining                    // the target gets all new requests; others end at the old endpoints
	RolledBack                  // the target gets nothing
	Completed                   // the old endpoints have stopped
)

// String returns the name of the stage in logs.
func (s Stage) String() string {
	if s < Canary || s > Completed {
		return "none"
	}
	return [...]string{"canary", "shifting", "draining", "rolled_back", "completed"}[s-1]
}

// The stages' ends, as fractions of the order's duration. Traffic is shifted in the
// middle of it: a version may turn bad late, and requests that run at old endpoints,
// which take up to some seconds, must end before the deadline.
const (
	trustFraction = 0.5
	// giveUpFraction is when a version that still lacks evidence is rolled back. What
	// remains is just enough for the requests at old endpoints.
	giveUpFraction = 0.6
	// completeFraction is when `completed` is written at the earliest. Until then all
	// requests run at the target under their full load, and it can still be rolled back.
	completeFraction = 0.75
	// turnFraction is the time after which the exposure goes to other endpoints of the
	// target. With the same ones throughout, a version was taken to be slow where these
	// happened to be.
	turnFraction = 0.08
	// stepFraction is the time between two steps of the shift: some hundred milliseconds,
	// in which endpoints that fail under load show it in the reports of all routers.
	stepFraction = 0.05
	// unknownAgeFraction is the age that is assumed of an order whose start no router has
	// observed: half of its time may be over.
	unknownAgeFraction = 0.4
)

// shiftShares are the shares of new requests that a trusted version gets, step by step.
// After the last step it gets all.
var shiftShares = [...]float64{0.3, 0.6}

const (
	// writeMargin is how long before the deadline `completed` is written at the latest.
	// It covers a slow store, a lost response and a second writer.
	writeMargin = 1500 * time.Millisecond
	// lonelyMargin is how long before the deadline a router that hears too few others rolls
	// a version back. Those that hear each other have written the outcome by then, or
	// `running` is all that the store will get.
	lonelyMargin = 800 * time.Millisecond
	// quorumShare is the share of the known routers whose evidence trust needs, or the
	// statement that there is none. It is below a half since every second router may be
	// of an older build.
	quorumShare = 0.4
	// settleTime is how long no request may have been in progress at old endpoints. It
	// covers the age of reports that take two hops.
	settleTime = 600 * time.Millisecond
	// noTargetTimeout is how long a trusted version may have no endpoint that can be
	// connected to, while others have, before it is rolled back: some attempts to connect.
	noTargetTimeout = 1200 * time.Millisecond
	// maxCredit bounds the requests that the target gets in a row after it got none for a
	// while, so that all routers together don't flood it.
	maxCredit = 2
	// slackFraction is the part of the slack that is divided among the routers. The rest
	// covers routers that don't know all others yet.
	slackFraction = 0.9
)

// Limits are the exposure of a version that is not trusted, for this router.
type Limits struct {
	Share float64 // of its requests
	Slack float64 // requests beyond the share
}

// Rollout is an order that is carried out.
type Rollout struct {
	Order
	Stage  Stage
	Reason string // for the last change of the stage

	startedAt time.Time // of the order
	ageKnown  bool      // this router or a peer has observed the start
	stageAt   time.Time
	share     float64 // of requests that earn credit for the target
	credit    float64 // requests that may be sent to the target
	requests  int     // of the service, since the order
	sent      int     // of these, to the target
	canary    map[string]bool
	routes    map[string]*routeEvidence
	peers     map[string]*peerEvidence
	busyAt    time.Time // when requests were last known to be in progress at old endpoints
	targetAt  time.Time // when the target last had a usable endpoint
	decidedAt time.Time // when the wanted status last changed
	wanted    State
	reported  Stage // as last returned by Services.Changes
	stepped   bool
}

// newRollout begins an order. observed says that this router was running before.
func newRollout(now time.Time, o Order, l Limits, observed bool) *Rollout {
	r := &Rollout{Order: o, startedAt: now, ageKnown: true, share: l.Share, credit: slackFraction * l.Slack,
		routes: map[string]*routeEvidence{}, peers: map[string]*peerEvidence{}, busyAt: now, targetAt: now, decidedAt: now}
	switch o.state() {
	case CompletedState:
		r.advance(now, Completed, "stored")
	case RolledBackState:
		r.advance(now, RolledBack, "stored")
	case Running:
		// This router has started after the order; an earlier process of it may have used
		// its part of the slack.
		r.credit, r.ageKnown = 0, false
		r.startedAt = now.Add(-fraction(o.Duration, unknownAgeFraction))
		r.advance(now, Canary, "running")
	default:
		r.advance(now, Canary, "ordered")
		if !observed {
			r.credit, r.ageKnown = 0, false
		}
	}
	return r
}

func fraction(d time.Duration, f float64) time.Duration { return time.Duration(f * float64(d)) }

func (r *Rollout) advance(now time.Time, s Stage, reason string) {
	r.Stage, r.Reason, r.stageAt = s, reason, now
}

// Age returns the time since the order, as far as it is known.
func (r *Rollout) Age(now time.Time) time.Duration { return now.Sub(r.startedAt) }

// RecordRequest counts a request for the service. It earns credit for the target. In a
// large fleet a route earns less than one request at a router, so the credit of all
// routes, and the slack, are one sum.
func (r *Rollout) RecordRequest(route string) {
	r.requests++
	e := r.route(route)
	e.due = min(e.due+r.share, maxCredit)
	r.credit = max(r.credit, min(r.credit+r.share, maxCredit))
}

// OffersTarget reports whether a request may be sent to the target now, beside the old
// endpoints. A route that has had more than its part waits, so that each takes part in
// proportion. Of the requests that there is exposure for, every second one by the hash of
// its ID is passed over: clients may send requests of several kinds in turn, and each
// kind has to take part.
func (r *Rollout) OffersTarget(route string, hash uint64) bool {
	if r.credit < 1 || r.route(route).due < 0 {
		return false
	}
	return r.Stage == Shifting || r.Stage == Canary && len(r.canary) > 0 && hash&1 == 0
}

// RecordSent counts a request that is granted to the target.
func (r *Rollout) RecordSent(route string) {
	r.sent++
	r.credit--
	r.route(route).due--
}

// RecordNotSent takes back a grant of which the target got nothing.
func (r *Rollout) RecordNotSent(route string) {
	r.sent--
	r.credit++
	r.route(route).due++
}

// setShare sets the share of requests that earn credit, and drops earlier credit.
func (r *Rollout) setShare(share float64) {
	r.share, r.credit = share, 0
	for _, e := range r.routes {
		e.due = 0
	}
}

// View is what the dispatcher knows of the service's endpoints.
type View struct {
	Targets   []string // IDs of usable endpoints of the target, those preferred for the canary first
	Preferred int      // how many these are
	Reachable bool     // connecting to one of them has not failed, or failed for the others as well
	Old       int      // listed endpoints of other versions
	OldActive int      // requests in progress at endpoints of other versions, at all routers
	Routers   int      // known routers, this one among them
}

// Step advances the roll-out, and reports whether its stage has changed.
func (r *Rollout) Step(now time.Time, v View) bool {
	before := r.Stage
	if !r.stepped && r.Stage == Canary && r.state() == NoState && v.Old == 0 && len(v.Targets) > 0 {
		r.advance(now, Draining, "no endpoints of other versions")
	}
	r.stepped = r.stepped || len(v.Targets) > 0 || v.Old > 0
	r.setCanary(now, v)
	for _, e := range r.routes {
		e.judge(r.Age(now), r.Duration, r.Stage < Draining)
	}
	if v.OldActive > 0 || r.peersBehind(now) {
		r.busyAt = now
	}
	if v.Reachable {
		r.targetAt = now
	}
	switch r.Stage {
	case Canary:
		r.stepCanary(now, v)
	case Shifting:
		r.stepShift(now)
	case Draining:
		r.stepDraining(now)
	}
	if w := r.wantedState(now); w != r.wanted {
		r.wanted, r.decidedAt = w, now
	}
	return r.Stage != before
}

// setCanary chooses the endpoints that get the exposure: as few as get the load that old
// endpoints get, since a version may be bad under load only. Others take their turn, since
// an endpoint may be slow for itself.
func (r *Rollout) setCanary(now time.Time, v View) {
	if r.Stage != Canary {
		return
	}
	from := v.Targets
	if v.Preferred > 0 {
		from = from[:v.Preferred]
	}
	n := min(len(from), max(1, int(r.share*float64(v.Old)+0.5)))
	first := n * int(r.Age(now)/max(fraction(r.Duration, turnFraction), 1))
	r.canary = make(map[string]bool, n)
	for i := range n {
		r.canary[from[(first+i)%len(from)]] = true
	}
}

func (r *Rollout) stepCanary(now time.Time, v View) {
	age := r.Age(now)
	bad, why := r.bad()
	quorum := float64(r.reporters(now)) >= quorumShare*float64(v.Routers)
	lack := r.lacks()
	switch {
	case bad:
		r.advance(now, RolledBack, why)
	case age >= fraction(r.Duration, trustFraction) && lack == "" && quorum:
		r.setShare(shiftShares[0])
		r.advance(now, Shifting, "trusted")
	case age >= fraction(r.Duration, giveUpFraction) && quorum:
		r.advance(now, RolledBack, "not judged: "+lack)
	case age >= r.Duration-lonelyMargin:
		r.advance(now, RolledBack, "not judged: too few routers heard")
	}
}

func (r *Rollout) stepShift(now time.Time) {
	if r.failed(now) {
		return
	}
	step := int(now.Sub(r.stageAt) / max(fraction(r.Duration, stepFraction), 1))
	if step >= len(shiftShares) {
		r.advance(now, Draining, "shifted")
		r.busyAt = now
		return
	}
	r.share = shiftShares[step]
}

func (r *Rollout) stepDraining(now time.Time) { r.failed(now) }

// failed rolls back a trusted version that turns out to be bad or has no endpoints.
func (r *Rollout) failed(now time.Time) bool {
	if r.state() == CompletedState {
		return false
	}
	if bad, why := r.bad(); bad {
		r.advance(now, RolledBack, why)
		return true
	}
	if now.Sub(r.targetAt) >= noTargetTimeout {
		r.advance(now, RolledBack, "no usable endpoint of the target")
		return true
	}
	return false
}

// wantedState returns the state that the store should hold.
func (r *Rollout) wantedState(now time.Time) State {
	switch r.Stage {
	case RolledBack:
		return RolledBackState
	case Completed:
		return CompletedState
	case Draining:
		settled := now.Sub(r.busyAt) >= settleTime && r.Age(now) >= fraction(r.Duration, completeFraction)
		if settled || r.Age(now) >= r.Duration-writeMargin {
			return CompletedState
		}
	}
	return Running
}

// Settled reports whether the outcome is stored, so that no step changes anything.
func (r *Rollout) Settled() bool { return r.state().Final() && r.Stage >= RolledBack }

// Write is a status to be written.
type Write struct {
	Order
	State State
	Since time.Time // when the need for it arose
}

// Write returns the status that has to be written, if any. A final state in the store is
// never replaced.
func (r *Rollout) Write() (Write, bool) {
	stored := r.state()
	if r.wanted == NoState || stored == r.wanted || stored.Final() {
		return Write{}, false
	}
	return Write{Order: r.Order, State: r.wanted, Since: r.decidedAt}, true
}

// setStored applies the stored object of this order.
func (r *Rollout) setStored(now time.Time, o Order) {
	r.Order = o
	switch o.state() {
	case CompletedState:
		if r.Stage != Completed {
			r.advance(now, Completed, "stored")
		}
	case RolledBackState:
		if r.Stage != RolledBack && r.Stage != Completed {
			r.advance(now, RolledBack, "stored")
		}
	}
}
