// Package admission decides which waiting request gets which slot of a
// pool's endpoints. One router at a time, the pool's owner, runs it for a
// pool within a region; the other routers ask it.
//
// Invariants:
//   - The grants held at an endpoint never exceed its limit, unless routers
//     report older grants that the owner did not know of.
//   - A warm endpoint's limit is scaled by the part of the known members that
//     have reported what they hold, so that two owners on the two sides of a
//     partition don't double its load for longer than its grants last.
//   - An endpoint that is not proved warm bears at most its cold limit, and
//     receives nothing before every known member has reported.
package admission

import (
	"slices"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/route"
)

// ID names one request of one router.
type ID struct {
	Router string
	Seq    uint64 // unique within the router's session
}

// Want is a request that waits for a slot.
type Want struct {
	ID          ID
	Account     string
	Estimate    fair.Cost // cost expected, in cost units
	Zone        string    // zone of the router
	Prefix      uint64    // hash of the prompt's start; 0: none
	Fingerprint uint64    // hash of the whole request
	Avoid       []string  // endpoints that failed it before
}

// Outcome says how a granted request ended.
type Outcome uint8

// The outcomes.
const (
	Done        Outcome = iota // ended whole
	Failed                     // the endpoint answered with an error
	Crashed                    // the endpoint broke the connection
	Unreachable                // no connection; nothing was sent
	Cancelled                  // the caller left
)

// Release gives a slot back.
type Release struct {
	ID         ID
	Outcome    Outcome
	Cost       fair.Cost     // cost known at the end
	FirstToken time.Duration // 0: none seen
}

// Grant gives a slot to a request.
type Grant struct {
	ID       ID
	Endpoint string
}

// Refusal ends the wait of a request that was not run.
type Refusal struct {
	ID         ID
	Code       code.Code
	RetryAfter time.Duration
}

// Decisions are the results of a step, in the order they were made.
type Decisions struct {
	Grants   []Grant
	Refusals []Refusal
}

// Held is a slot in use, as a router reports it to a new owner.
type Held struct {
	ID       ID
	Endpoint string
	Account  string
	Charged  fair.Cost
}

// Account is what admission needs to know of a client account.
type Account struct {
	Name     string
	Share    float64
	MaxQueue int
	MaxWait  time.Duration
}

// Endpoint is what admission needs to know of an endpoint.
type Endpoint struct {
	Name      string
	Zone      string
	Slots     int
	ColdSlots int
	Open      bool // may receive new work
}

// Pool is the state of one pool at its owner. It is not safe for concurrent
// use.
type Pool struct {
	book      *fair.Book
	accounts  map[string]Account
	endpoints []*endpoint // sorted by name
	queues    map[string][]waiting
	held      map[ID]*Held
	members   map[string]bool // known member -> has reported
	refusals  []Refusal
}

type waiting struct {
	want     Want
	deadline time.Time
}

// NewPool returns a pool without accounts, endpoints or members.
func NewPool() *Pool {
	return &Pool{
		book:     fair.NewBook(),
		accounts: map[string]Account{},
		queues:   map[string][]waiting{},
		held:     map[ID]*Held{},
		members:  map[string]bool{},
	}
}

// Configure replaces accounts and endpoints. Endpoints that stay keep their
// warmth; slots held at removed ones are forgotten when they are released.
func (p *Pool) Configure(accounts []Account, endpoints []Endpoint) {
	p.accounts = map[string]Account{}
	for _, a := range accounts {
		p.accounts[a.Name] = a
		p.book.SetShare(a.Name, a.Share)
	}
	old := p.endpoints
	p.endpoints = nil
	for _, cfg := range endpoints {
		p.endpoints = append(p.endpoints, keep(old, cfg))
	}
	slices.SortFunc(p.endpoints, func(a, b *endpoint) int {
		if a.cfg.Name < b.cfg.Name {
			return -1
		}
		return 1
	})
	p.recount()
}

// SetMembers gives the names of the known members. What a removed member
// held is free again.
func (p *Pool) SetMembers(names []string) {
	old := p.members
	p.members = map[string]bool{}
	for _, name := range names {
		p.members[name] = old[name]
	}
	for id := range p.held {
		if _, ok := p.members[id.Router]; !ok {
			delete(p.held, id)
		}
	}
	for name := range old {
		if _, ok := p.members[name]; !ok {
			p.forget(name)
		}
	}
	p.recount()
}

// Sync replaces what a router holds and drops what it waited for: the
// router has opened a session and sends its waiting requests anew.
func (p *Pool) Sync(router string, held []Held) {
	p.forget(router)
	for id := range p.held {
		if id.Router == router {
			delete(p.held, id)
		}
	}
	for _, h := range held {
		p.held[h.ID] = &h
	}
	p.members[router] = true
	p.recount()
}

// Lose notes that a router's session has ended. Its slots stay in use until
// it reports again or is no member any more.
func (p *Pool) Lose(router string) {
	p.forget(router)
	if _, ok := p.members[router]; ok {
		p.members[router] = false
	}
}

// Want queues a request, or refuses it at the next step.
func (p *Pool) Want(now time.Time, w Want) {
	a, ok := p.accounts[w.Account]
	if !ok {
		p.refuse(w.ID, code.UnknownKey, 0)
		return
	}
	if len(p.queues[w.Account]) >= a.MaxQueue {
		p.refuse(w.ID, code.QueueFull, a.MaxWait)
		return
	}
	p.queues[w.Account] = append(p.queues[w.Account], waiting{want: w, deadline: now.Add(a.MaxWait)})
	p.book.Enqueue(w.Account)
}

// Cancel drops a waiting request; it does nothing for others.
func (p *Pool) Cancel(id ID) {
	p.dropWaiting(func(w waiting) bool { return w.want.ID == id })
}

// Release frees a slot, corrects the charge and learns about the endpoint.
func (p *Pool) Release(now time.Time, r Release) {
	h, ok := p.held[r.ID]
	if !ok {
		return
	}
	delete(p.held, r.ID)
	p.book.Charge(h.Account, r.Cost-h.Charged)
	if e := p.endpoint(h.Endpoint); e != nil {
		e.busy--
		e.learn(now, r.Outcome)
	}
}

// SetRemote sets an account's cost charged by the owners of other pools.
func (p *Pool) SetRemote(account string, total fair.Cost) {
	p.book.SetRemote(account, total)
}

// Charged returns the cost that this pool charged to each account.
func (p *Pool) Charged() map[string]fair.Cost {
	charged := map[string]fair.Cost{}
	for name := range p.accounts {
		charged[name] = p.book.Charged(name)
	}
	return charged
}

// Step refuses what has waited too long, grants what can be granted and
// returns both.
func (p *Pool) Step(now time.Time) Decisions {
	p.expire(now)
	var d Decisions
	for {
		g, ok := p.grantOne(now)
		if !ok {
			break
		}
		d.Grants = append(d.Grants, g)
	}
	d.Refusals = p.refusals
	p.refusals = nil
	return d
}

func (p *Pool) grantOne(now time.Time) (Grant, bool) {
	free := p.candidates(now)
	if len(free) == 0 {
		return Grant{}, false
	}
	account, ok := p.book.Next(func(name string) bool {
		q := p.queues[name]
		return len(q) > 0 && route.Choose(request(q[0].want), free) >= 0
	})
	if !ok {
		return Grant{}, false
	}
	w := p.queues[account][0].want
	p.queues[account] = p.queues[account][1:]
	p.book.Dequeue(account)
	name := free[route.Choose(request(w), free)].Endpoint
	p.endpoint(name).busy++
	p.held[w.ID] = &Held{ID: w.ID, Endpoint: name, Account: account, Charged: w.Estimate}
	p.book.Charge(account, w.Estimate)
	return Grant{ID: w.ID, Endpoint: name}, true
}

func request(w Want) route.Request {
	return route.Request{Zone: w.Zone, Avoid: w.Avoid}
}

func (p *Pool) candidates(now time.Time) []route.Candidate {
	var free []route.Candidate
	for _, e := range p.endpoints {
		limit := p.scaled(e, now)
		if e.cfg.Open && e.busy < limit {
			free = append(free, route.Candidate{Endpoint: e.cfg.Name, Zone: e.cfg.Zone, Busy: e.busy, Limit: limit})
		}
	}
	return free
}

// scaled is the part of an endpoint's limit that this owner may use. It is
// rounded down, so that the parts of two owners never exceed the whole.
func (p *Pool) scaled(e *endpoint, now time.Time) int {
	reported := 0
	for _, ok := range p.members {
		if ok {
			reported++
		}
	}
	if len(p.members) == 0 || reported < len(p.members) && e.cold() {
		return 0
	}
	return e.limit(now) * reported / len(p.members)
}

func (p *Pool) expire(now time.Time) {
	p.dropWaiting(func(w waiting) bool {
		if now.Before(w.deadline) {
			return false
		}
		p.refuse(w.want.ID, code.WaitTooLong, p.accounts[w.want.Account].MaxWait)
		return true
	})
}

func (p *Pool) forget(router string) {
	p.dropWaiting(func(w waiting) bool { return w.want.ID.Router == router })
}

func (p *Pool) dropWaiting(drop func(waiting) bool) {
	for account, q := range p.queues {
		p.queues[account] = slices.DeleteFunc(q, func(w waiting) bool {
			if !drop(w) {
				return false
			}
			p.book.Dequeue(account)
			return true
		})
	}
}

func (p *Pool) refuse(id ID, c code.Code, after time.Duration) {
	p.refusals = append(p.refusals, Refusal{ID: id, Code: c, RetryAfter: after})
}

func (p *Pool) endpoint(name string) *endpoint {
	for _, e := range p.endpoints {
		if e.cfg.Name == name {
			return e
		}
	}
	return nil
}

func (p *Pool) recount() {
	for _, e := range p.endpoints {
		e.busy = 0
	}
	for _, h := range p.held {
		if e := p.endpoint(h.Endpoint); e != nil {
			e.busy++
		}
	}
}
