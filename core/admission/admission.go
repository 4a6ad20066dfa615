// Package admission decides which waiting request gets which slot of a
// pool's endpoints. One router at a time, the pool's owner, runs it for a
// pool within a region; the other routers ask it.
//
// Invariants:
//   - The grants held at an endpoint never exceed its limit, unless routers
//     report older grants that the owner did not know of.
//   - Each slot of an endpoint belongs to one known member. An owner uses only
//     the slots of members that have a session with it, so two owners on the
//     two sides of a partition use different slots.
//   - An endpoint that is not proved warm bears at most its cold limit, and
//     receives nothing before every known member has reported what it holds.
//   - No endpoint with a free slot that the owner may use stays idle while a
//     request that may use it waits.
//
// docs/design/admission.md says why.
package admission

import (
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/estimate"
	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/route"
)

const (
	prefixesKept  = 16_384
	estimatesKept = 4096
	runOutEvery   = 10 * time.Millisecond
	// settleTime is how long a cold endpoint may still run a request whose
	// connection is closed.
	settleTime = 200 * time.Millisecond
)

// Pool is the state of one pool at its owner. It is not safe for concurrent
// use.
type Pool struct {
	scheduler  *fair.Scheduler
	estimates  *estimate.Table
	table      *route.Table
	quarantine *route.Quarantine

	accounts  map[string]*account
	used      []*account // those that have had a request, in that order
	endpoints map[string]*endpoint
	ordered   []*endpoint // by name
	requests  map[RequestID]*request
	unused    []*request // to be used again
	members   members
	rate      rate
	open      int       // endpoints that may receive new work
	usable    int       // slots that this owner may use now
	nextDue   time.Time // no wait, pause or ghost runs out before
	ranOut    time.Time // when runOut last looked
	out       Decisions
	spare     Decisions // given out by the last step, to be used again
}

// NewPool returns a pool without accounts, endpoints or members. Pools may
// share a quarantine.
func NewPool(q *route.Quarantine) *Pool {
	return &Pool{
		scheduler:  fair.NewScheduler(fair.DefaultRemoteLimit),
		estimates:  estimate.NewTable(estimatesKept),
		table:      route.NewTable(prefixesKept, route.DefaultSlack),
		quarantine: q,
		accounts:   map[string]*account{},
		endpoints:  map[string]*endpoint{},
		requests:   map[RequestID]*request{},
		members:    newMembers(),
	}
}

// Submit queues a request, or refuses it at the next step.
func (p *Pool) Submit(now time.Time, w Request) {
	if _, known := p.requests[w.ID]; known {
		return
	}
	a, ok := p.accounts[w.Account]
	if !ok || !a.declared {
		p.refuse(w.ID, code.UnknownKey, 0)
		return
	}
	r := p.newRequest(w, a)
	r.estimate = p.estimates.Cost(estimate.Key{Account: w.Account, Model: w.Model}, w.Estimate)
	if c, after := p.objection(now, r); c != code.OK {
		p.refuse(w.ID, c, after)
		p.reuse(r)
		return
	}
	p.enqueue(now, r)
}

// objection returns why a request may not wait, or code.OK.
func (p *Pool) objection(now time.Time, r *request) (code.Code, time.Duration) {
	switch a := r.account; {
	case p.quarantine.Quarantined(now, r.want.Fingerprint):
		return code.Quarantined, 0
	case !p.anyOpen(&r.want):
		return code.NoEndpoint, atLeast(a.cfg.MaxWait)
	case a.waiting() >= a.cfg.MaxQueue:
		return code.QueueFull, p.untilPlace(a)
	case p.table.Free() > 0:
		return code.OK, 0
	default:
		if wait, known := p.expectedWait(r); known && wait > a.cfg.MaxWait {
			return code.WaitTooLong, atLeast(wait - a.cfg.MaxWait)
		}
		return code.OK, 0
	}
}

// Cancel drops a waiting request; it does nothing for others.
func (p *Pool) Cancel(id RequestID) {
	if r, ok := p.requests[id]; ok && r.endpoint == nil {
		p.dequeue(r)
		p.drop(r)
	}
}

// UpdateProgress notes what is known so far of a request that holds a slot: its
// cost and, once seen, its time to first token.
func (p *Pool) UpdateProgress(now time.Time, id RequestID, known fair.Cost, first time.Duration) {
	r, ok := p.requests[id]
	if !ok || r.endpoint == nil {
		return
	}
	r.running = p.scheduler.UpdateProgress(r.account.cfg.Name, r.running, known)
	if first > 0 || known > 0 {
		p.integrate(r)
	}
	r.endpoint.advanced(now)
	p.sawFirst(now, r, first)
	p.resize(now, r.endpoint)
}

// Release frees a slot, corrects the charge and learns about the endpoint.
func (p *Pool) Release(now time.Time, rel Release) {
	r, ok := p.requests[rel.ID]
	if !ok || r.endpoint == nil || r.settled {
		return
	}
	p.scheduler.Finish(r.account.cfg.Name, r.running, rel.Cost)
	p.sawFirst(now, r, rel.TimeToFirstToken)
	switch rel.Outcome {
	case Done:
		p.learn(now, r, rel.Cost)
	case Failed:
		r.endpoint.failed(now, r.account)
	case Cancelled:
		r.endpoint.advanced(now)
	case Crashed, Unreachable:
		r.want.Fingerprint = max(r.want.Fingerprint, rel.Fingerprint)
		p.broke(now, r, rel.Outcome)
	}
	e := r.endpoint
	if rel.Outcome != Done && e.cold() {
		p.settle(now, r, rel.Cost)
	} else {
		p.free(r)
		p.drop(r)
	}
	p.resize(now, e)
}

// settle keeps the slot of a request that did not end whole in use for a
// while: a cold endpoint may still run it.
func (p *Pool) settle(now time.Time, r *request, cost fair.Cost) {
	cost = max(cost, r.running.Known)
	r.running = fair.Charge{Estimate: cost, Known: cost}
	r.settled = true
	r.ghost = now.Add(settleTime)
	p.due(r.ghost)
}

// broke takes in that an endpoint broke a connection or can't be reached.
func (p *Pool) broke(now time.Time, r *request, o Outcome) {
	e := r.endpoint
	if e.broke(now, r.granted) {
		p.out.Paused = append(p.out.Paused, e.cfg.Name)
		p.table.ForgetPrefixes(&e.place)
	}
	if o == Crashed && e.blames(r) {
		p.crashed(now, r.want.Fingerprint, e.cfg.Name)
	}
}

// sawFirst compares a time to first token with the account's mean.
func (p *Pool) sawFirst(now time.Time, r *request, first time.Duration) {
	if first <= 0 || r.firstSeen {
		return
	}
	r.firstSeen = true
	if r.account.slow(first) {
		r.slow = true
		r.endpoint.sign(now)
		return
	}
	r.endpoint.signs = 0
	if r.account.usual(first) {
		r.endpoint.resume(now, r.granted)
	}
	if !r.endpoint.cold() {
		r.account.average(first)
	}
}

// learn takes in the cost of a request that ended whole.
func (p *Pool) learn(now time.Time, r *request, cost fair.Cost) {
	p.quarantine.RecordSuccess(r.want.Fingerprint)
	p.estimates.Learn(estimate.Key{Account: r.want.Account, Model: r.want.Model}, r.want.Estimate, cost)
	if !r.granted.IsZero() {
		p.rate.add(cost, now.Sub(r.granted))
	}
	if !r.slow {
		r.endpoint.answered(now, r.granted)
	}
}

func (p *Pool) crashed(now time.Time, fingerprint uint64, endpoint string) {
	if fingerprint == 0 {
		return
	}
	c := route.Crash{Fingerprint: fingerprint, Endpoint: endpoint}
	p.quarantine.RecordCrash(now, c)
	p.out.Crashes = append(p.out.Crashes, c)
}

// SetRemoteCost sets an account's cost known elsewhere in the fleet.
func (p *Pool) SetRemoteCost(account string, total fair.Cost) {
	p.scheduler.SetRemoteCost(account, total)
}

// KnownCosts returns the cost of each account that has used this pool: finished
// work and the known part of running work. It never falls.
func (p *Pool) KnownCosts() map[string]fair.Cost {
	known := map[string]fair.Cost{}
	for _, a := range p.used {
		known[a.cfg.Name] = p.scheduler.KnownCost(a.cfg.Name)
	}
	return known
}

// Step refuses what has waited too long, grants what can be granted and
// returns both.
func (p *Pool) Step(now time.Time) Decisions {
	p.runOut(now)
	for p.table.Free() > 0 && p.grantOne(now) {
	}
	p.scheduler.RestoreSkipped()
	d := p.out
	p.out, p.spare = p.spare.emptied(), d
	return d
}

// grantOne gives one slot to the next account that can use one.
func (p *Pool) grantOne(now time.Time) bool {
	for {
		name, ok := p.scheduler.Next()
		if !ok {
			return false
		}
		if r, e := p.pick(now, p.accounts[name]); r != nil {
			p.grant(now, r, e)
			return true
		}
		p.scheduler.Skip(name)
	}
}

func (p *Pool) grant(now time.Time, r *request, e *endpoint) {
	p.dequeueFor(r)
	r.granted = now
	r.suspect = p.quarantine.Suspected(now, r.want.Fingerprint)
	r.attended, r.isolated = p.members.hears(r.want.ID.Router), r.suspect
	p.occupy(r, e)
	p.table.RecordPrefix(r.want.Prefix, &e.place)
	p.out.Grants = append(p.out.Grants, Grant{
		ID:          r.want.ID,
		Endpoint:    e.cfg.Name,
		Estimate:    r.estimate,
		ProvenSlots: e.proved(),
	})
}

func (p *Pool) refuse(id RequestID, c code.Code, after time.Duration) {
	p.out.Refusals = append(p.out.Refusals, Refusal{ID: id, Code: c, RetryAfter: after})
}

// due makes sure that Step looks at what runs out at the given time.
func (p *Pool) due(at time.Time) {
	if p.nextDue.IsZero() || at.Before(p.nextDue) {
		p.nextDue = at
	}
}

// runOut ends the waits, pauses and ghosts whose time has come.
func (p *Pool) runOut(now time.Time) {
	if p.nextDue.IsZero() || now.Before(p.nextDue) || now.Sub(p.ranOut) < runOutEvery {
		return
	}
	p.nextDue, p.ranOut = time.Time{}, now
	p.expireWaits(now)
	p.expireGhosts(now)
	p.resizeAll(now)
}
