// Package admission assigns the slots of a pool's endpoints to waiting
// requests. A scope is a pool in one region. For each scope one router at a
// time, the owner, makes these decisions.
//
// Terms:
//   - A slot is an endpoint's capacity to run one request.
//   - An endpoint is cold after its start, until it has completed several
//     requests; then it is warm. Its cold limit (Endpoint.ColdSlots) is the
//     number of requests that it can run while it is cold.
//   - A member is a router that belongs to the scope as far as the owner knows.
//     Members submit requests and hold the slots that the owner grants them.
//   - A session is a member's connection to the owner. It starts with a report
//     of the slots that the member holds.
//
// The owner calls SetMembers and Configure on a new Pool and after each change,
// Sync when a session starts, then Submit, Cancel, UpdateProgress, Release and
// SetResponsive for what the session brings, and SessionClosed when it ends.
// After these calls, and at short intervals, it calls Step, which makes the
// decisions.
//
// Invariants:
//   - The slots in use at an endpoint never exceed its limit, unless routers
//     report older grants that the owner did not know of.
//   - Each slot of an endpoint belongs to one member. An owner uses only the
//     slots of members that have a session with it, so two owners on the two
//     sides of a partition use different slots.
//   - An endpoint that is not known to be warm gets at most as many requests
//     as its cold limit, and none before every member has reported the slots that
//     it holds.
//   - An endpoint has no free slot that the owner may use while a request that
//     may run there waits.
//
// See docs/design/admission.md for the reasons.
package admission

import (
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/estimate"
	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/route"
)

const (
	maxPrefixes    = 16_384                // prompt prefixes whose endpoints the routing table remembers
	maxEstimates   = 4096                  // pairs of account and model with a learned cost ratio
	expiryInterval = 10 * time.Millisecond // minimum time between two checks for expired items
	// lingerTime is how long a cold endpoint may go on running a request after
	// its connection is closed.
	lingerTime = 200 * time.Millisecond
)

// Pool is the state of one scope at its owner. It is not safe for concurrent
// use.
type Pool struct {
	scheduler  *fair.Scheduler
	estimates  *estimate.Table
	table      *route.Table
	quarantine *route.Quarantine

	accounts           map[string]*account
	seenAccounts       []*account // accounts that have had a request, oldest first
	endpoints          map[string]*endpoint
	sortedEndpoints    []*endpoint // by name
	requests           map[RequestID]*request
	freeRequests       []*request // free list
	members            members
	rate               serviceRate
	acceptingEndpoints int       // endpoints that accept work
	usableSlots        int       // slots that this owner may use now
	nextExpiry         time.Time // earliest time at which something may expire; zero: none
	lastExpiry         time.Time // when expire last ran its checks
	decisions          Decisions // of the step in progress
	spareDecisions     Decisions // returned by the last step; its slices are reused
}

// NewPool returns a pool without accounts, endpoints or members. Pools may
// share a quarantine.
func NewPool(q *route.Quarantine) *Pool {
	return &Pool{
		scheduler:  fair.NewScheduler(fair.DefaultRemoteLimitFactor),
		estimates:  estimate.NewTable(maxEstimates),
		table:      route.NewTable(maxPrefixes, route.DefaultSlack),
		quarantine: q,
		accounts:   map[string]*account{},
		endpoints:  map[string]*endpoint{},
		requests:   map[RequestID]*request{},
		members:    newMembers(),
	}
}

// Submit queues a request. If the request has to be refused, the next Step
// returns the refusal.
func (p *Pool) Submit(now time.Time, req Request) {
	if _, known := p.requests[req.ID]; known {
		return
	}
	a, ok := p.accounts[req.Account]
	if !ok || !a.declared {
		p.refuse(req.ID, code.UnknownKey, 0)
		return
	}
	r := p.newRequest(req, a)
	r.estimate = p.estimates.Cost(estimate.Key{Account: req.Account, Model: req.Model}, req.CostHint)
	if c, retryAfter := p.refusalReason(now, r); c != code.OK {
		p.refuse(req.ID, c, retryAfter)
		p.recycle(r)
		return
	}
	p.enqueue(now, r)
}

// refusalReason returns why a new request can't be queued, and when to retry
// it; the code is code.OK if it can.
func (p *Pool) refusalReason(now time.Time, r *request) (code.Code, time.Duration) {
	switch a := r.account; {
	case p.quarantine.Quarantined(now, r.req.Fingerprint):
		return code.Quarantined, 0
	case !p.hasUsableEndpoint(&r.req):
		return code.NoEndpoint, clampRetryAfter(a.cfg.MaxWait)
	case a.waiting() >= a.cfg.MaxQueue:
		return code.QueueFull, p.untilQueueSpace(a)
	case p.table.Free() > 0:
		return code.OK, 0
	default:
		if wait, known := p.expectedWait(r); known && wait > a.cfg.MaxWait {
			return code.WaitTooLong, clampRetryAfter(wait - a.cfg.MaxWait)
		}
		return code.OK, 0
	}
}

// Cancel removes a waiting request. It has no effect on a request that holds a
// slot.
func (p *Pool) Cancel(id RequestID) {
	if r, ok := p.requests[id]; ok && r.endpoint == nil {
		p.dequeue(r)
		p.discard(r)
	}
}

// UpdateProgress records the cost known so far of a request that holds a slot
// and, once it is known, its time to first token.
func (p *Pool) UpdateProgress(now time.Time, id RequestID, known fair.Cost, ttft time.Duration) {
	r, ok := p.requests[id]
	if !ok || r.endpoint == nil {
		return
	}
	r.charge = p.scheduler.UpdateProgress(r.account.cfg.Name, r.charge, known)
	if ttft > 0 || known > 0 {
		p.recordSuspectProgress(r)
	}
	r.recordProgress(now)
	p.recordTTFT(now, r, ttft)
	p.resize(now, r.endpoint)
}

// Release frees a slot, replaces the estimated charge by the actual cost and
// updates the state of the endpoint.
func (p *Pool) Release(now time.Time, rel Release) {
	r, ok := p.requests[rel.ID]
	if !ok || r.endpoint == nil || r.lingering {
		return
	}
	p.scheduler.Finish(r.account.cfg.Name, r.charge, rel.Cost)
	p.recordTTFT(now, r, rel.TimeToFirstToken)
	switch rel.Outcome {
	case Completed:
		p.recordCompletion(now, r, rel.Cost)
	case Failed:
		r.endpoint.recordError(now, r.account)
	case Canceled:
		r.recordProgress(now)
	case Crashed, Unreachable:
		r.req.Fingerprint = max(r.req.Fingerprint, rel.Fingerprint)
		p.handleConnFailure(now, r, rel.Outcome)
	}
	e := r.endpoint
	if rel.Outcome != Completed && e.cold() {
		p.linger(now, r, rel.Cost)
	} else {
		p.freeSlot(r)
		p.discard(r)
	}
	p.resize(now, e)
}

// recordProgress records progress of the request at its endpoint, unless that may
// have been long ago.
func (r *request) recordProgress(now time.Time) {
	if !r.unattended {
		r.endpoint.recordProgress(now)
	}
}

// linger keeps the slot of an incomplete request in use for lingerTime, because
// a cold endpoint may still run it.
func (p *Pool) linger(now time.Time, r *request, cost fair.Cost) {
	cost = max(cost, r.charge.Known)
	r.charge = fair.Charge{Estimate: cost, Known: cost}
	r.lingering = true
	r.freeAt = now.Add(lingerTime)
	p.scheduleExpiry(r.freeAt)
}

// handleConnFailure handles a connection that the endpoint broke or that could
// not be opened.
func (p *Pool) handleConnFailure(now time.Time, r *request, o Outcome) {
	e := r.endpoint
	if e.recordConnFailure(now, r.grantedAt) {
		p.decisions.Paused = append(p.decisions.Paused, e.cfg.Name)
		p.table.ForgetPrefixes(&e.routeEntry)
	}
	if o == Crashed && e.mayBlame(r) {
		p.recordCrash(now, r.req.Fingerprint, e.cfg.Name)
	}
}

// recordTTFT compares a request's time to first token with the account's mean,
// to tell whether the endpoint is warm.
func (p *Pool) recordTTFT(now time.Time, r *request, ttft time.Duration) {
	if ttft <= 0 || r.ttftSeen || r.unattended {
		return
	}
	r.ttftSeen = true
	if r.account.isSlow(ttft) {
		r.slowTTFT = true
		r.endpoint.recordColdSign(now)
		return
	}
	r.endpoint.coldSigns = 0
	if r.account.isNormal(ttft) {
		r.endpoint.confirmWarmth(now, r.grantedAt)
	}
	if !r.endpoint.cold() {
		r.account.recordTTFT(ttft)
	}
}

// recordCompletion learns from the cost and duration of a completed request.
func (p *Pool) recordCompletion(now time.Time, r *request, cost fair.Cost) {
	p.quarantine.RecordSuccess(r.req.Fingerprint)
	p.estimates.Learn(estimate.Key{Account: r.req.Account, Model: r.req.Model}, r.req.CostHint, cost)
	if !r.grantedAt.IsZero() {
		p.rate.add(cost, now.Sub(r.grantedAt))
	}
	if !r.slowTTFT && !r.unattended {
		r.endpoint.recordSuccess(now, r.grantedAt)
	}
}

func (p *Pool) recordCrash(now time.Time, fingerprint uint64, endpoint string) {
	if fingerprint == 0 {
		return
	}
	c := route.Crash{Fingerprint: fingerprint, Endpoint: endpoint}
	p.quarantine.RecordCrash(now, c)
	p.decisions.Crashes = append(p.decisions.Crashes, c)
}

// SetRemoteCost sets the total cost of an account known elsewhere in the fleet.
func (p *Pool) SetRemoteCost(account string, total fair.Cost) {
	p.scheduler.SetRemoteCost(account, total)
}

// KnownCosts returns the cost of each account that has used this pool: the cost
// of finished requests and the known part of running ones. It never decreases.
func (p *Pool) KnownCosts() map[string]fair.Cost {
	known := map[string]fair.Cost{}
	for _, a := range p.seenAccounts {
		known[a.cfg.Name] = p.scheduler.KnownCost(a.cfg.Name)
	}
	return known
}

// Step refuses the requests that have waited too long, grants free slots and
// returns the decisions made since the last step.
func (p *Pool) Step(now time.Time) Decisions {
	p.expire(now)
	for p.table.Free() > 0 && p.grantOne(now) {
	}
	p.scheduler.RestoreSkipped()
	d := p.decisions
	p.decisions, p.spareDecisions = p.spareDecisions.reset(), d
	return d
}

// grantOne grants one slot to the next account that can use one. It returns
// false if no account can.
func (p *Pool) grantOne(now time.Time) bool {
	for {
		name, ok := p.scheduler.Next()
		if !ok {
			return false
		}
		if r, e := p.pickNext(now, p.accounts[name]); r != nil {
			p.grant(now, r, e)
			return true
		}
		p.scheduler.SkipAccount(name)
	}
}

func (p *Pool) grant(now time.Time, r *request, e *endpoint) {
	p.dispatch(r)
	r.grantedAt = now
	r.suspect = p.quarantine.Suspected(now, r.req.Fingerprint)
	r.observed, r.withoutProgress = p.members.isResponsive(r.req.ID.Router), r.suspect
	p.occupySlot(r, e)
	p.table.RecordPrefix(r.req.Prefix, &e.routeEntry)
	p.decisions.Grants = append(p.decisions.Grants, Grant{
		ID:          r.req.ID,
		Endpoint:    e.cfg.Name,
		Estimate:    r.estimate,
		ProvenSlots: e.provenSlots(),
	})
}

func (p *Pool) refuse(id RequestID, c code.Code, retryAfter time.Duration) {
	p.decisions.Refusals = append(p.decisions.Refusals, Refusal{ID: id, Code: c, RetryAfter: retryAfter})
}

// scheduleExpiry makes Step check for expired items at the given time.
func (p *Pool) scheduleExpiry(at time.Time) {
	if p.nextExpiry.IsZero() || at.Before(p.nextExpiry) {
		p.nextExpiry = at
	}
}

// expire ends the waits, the pauses, the reservation of removed members' slots
// and the reliance on old reports and warmth whose time has run out. It checks at
// most once per expiryInterval.
func (p *Pool) expire(now time.Time) {
	if p.nextExpiry.IsZero() || now.Before(p.nextExpiry) || now.Sub(p.lastExpiry) < expiryInterval {
		return
	}
	p.nextExpiry, p.lastExpiry = time.Time{}, now
	p.expireWaits(now)
	p.expireReservedSlots(now)
	p.resizeAll(now)
}
