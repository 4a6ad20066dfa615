package admission_test

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/cyclamenwinch/cyclamenwinch/core/admission"
	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/route"
)

const (
	tickInterval  = 100 * time.Millisecond
	startTicks    = 21 // duration of an endpoint's start
	warmResponses = 8  // responses after which an endpoint is warm
	maxQueue      = 6
	maxWait       = 2 * time.Second
)

// simulation models a fleet on a virtual clock: two routers that may own the
// scope, further routers, and endpoints that count the requests which actually
// run there.
type simulation struct {
	now       time.Time
	tick      int
	owners    []*admission.Pool // owners[i] runs on routers[i]
	routers   []*simRouter
	endpoints []*simEndpoint
	seq       uint64
}

type simRouter struct {
	name        string
	owner       int             // index of the owner that it has a session with; -1: none
	lastOwner   *admission.Pool // owner of the last session
	removed     bool
	lastRemoval time.Time // when it last saw another router removed
	running     []*simRequest
	waiting     []*simRequest
	warmth      map[string]admission.Warmth // by endpoint; Age is the time since the Unix epoch
}

type simRequest struct {
	req         admission.Request
	queuedAt    time.Time // at the current owner
	grant       admission.Grant
	grantedAt   time.Time
	endpoint    *simEndpoint
	ticksDone   int
	ticksNeeded int
}

type simEndpoint struct {
	cfg       admission.Endpoint
	upAtTick  int // end of its last start
	responses int // since its last start
	running   int
}

func newSimulation(routers, endpoints int, coldSlots int) *simulation {
	sim := &simulation{now: time.Unix(1000, 0)}
	for i := range routers {
		sim.routers = append(sim.routers, &simRouter{
			name: fmt.Sprintf("r%d", i), owner: -1, warmth: map[string]admission.Warmth{},
		})
	}
	for i := range endpoints {
		sim.endpoints = append(sim.endpoints, &simEndpoint{cfg: openEndpoint(fmt.Sprintf("e%d", i), 4, coldSlots)})
	}
	sim.owners = make([]*admission.Pool, 2)
	sim.restartOwner(0)
	sim.restartOwner(1)
	for _, r := range sim.routers {
		sim.connect(r, 0)
	}
	return sim
}

// restartOwner replaces an owner by one without state and ends its sessions.
func (sim *simulation) restartOwner(owner int) {
	sim.owners[owner] = admission.NewPool(route.NewQuarantine())
	sim.owners[owner].MemberRemoved(sim.routers[owner].lastRemoval)
	sim.configure(owner)
	for _, r := range sim.routers {
		if r.owner == owner {
			r.owner = -1
		}
	}
}

func (sim *simulation) configure(owner int) {
	var names []string
	for i, r := range sim.routers {
		if !r.removed || i == owner {
			names = append(names, r.name)
		}
	}
	var endpoints []admission.Endpoint
	for _, e := range sim.endpoints {
		endpoints = append(endpoints, e.cfg)
	}
	p := sim.owners[owner]
	p.SetMembers(sim.now, names)
	p.Configure(sim.now, []admission.Account{
		{Name: "a", Share: 1, MaxQueue: maxQueue, MaxWait: maxWait},
		{Name: "b", Share: 3, MaxQueue: maxQueue, MaxWait: maxWait},
	}, endpoints)
}

func (sim *simulation) connect(r *simRouter, owner int) {
	if r.owner == owner {
		return
	}
	sim.disconnect(r)
	if r.removed {
		r.removed = false
		sim.configure(0)
		sim.configure(1)
	}
	r.owner = owner
	var held []admission.HeldSlot
	for _, k := range r.running {
		held = append(held, admission.HeldSlot{ID: k.req.ID, Endpoint: k.grant.Endpoint, Account: k.req.Account, Charge: fair.Charge{Estimate: k.grant.Estimate}})
	}
	var warmth []admission.Warmth
	for _, e := range sim.endpoints {
		if h, ok := r.warmth[e.cfg.Name]; ok {
			h.Age = sim.now.Sub(time.Unix(0, int64(h.Age)))
			warmth = append(warmth, h)
		}
	}
	sim.owners[owner].Sync(sim.now, admission.SyncReport{Router: r.name, Resumed: r.lastOwner == sim.owners[owner], LastRemoval: r.lastRemoval, Held: held, Warmth: warmth})
	r.lastOwner = sim.owners[owner]
	for _, k := range r.waiting {
		k.queuedAt = sim.now
		sim.owners[owner].Submit(sim.now, k.req)
	}
}

// disconnect ends a router's session. An owner restarts when the session of its
// own router ends.
func (sim *simulation) disconnect(r *simRouter) {
	old := r.owner
	r.owner = -1
	if old < 0 {
		return
	}
	sim.owners[old].SessionClosed(sim.now, r.name)
	if sim.routers[old] == r {
		sim.restartOwner(old)
	}
}

// crashRouter restarts a router without state; its connections break. If no
// router is left that saw a removal, an owner can't know that removed routers
// may still run requests. Admission doesn't cover this case, so the simulation
// ends those requests.
func (sim *simulation) crashRouter(r *simRouter) {
	r.lastRemoval = time.Time{}
	if !slices.ContainsFunc(sim.routers, func(o *simRouter) bool { return !o.removed && !o.lastRemoval.IsZero() }) {
		for _, other := range sim.routers {
			if other.removed {
				sim.dropRunning(other)
			}
		}
	}
	sim.disconnect(r)
	sim.dropRunning(r)
	r.waiting, r.lastOwner = nil, nil
	clear(r.warmth)
}

// dropRunning ends the running requests of a router without telling any owner.
func (sim *simulation) dropRunning(r *simRouter) {
	for _, k := range r.running {
		k.endpoint.running--
	}
	r.running = nil
}

func (sim *simulation) restartEndpoint(e *simEndpoint) {
	e.upAtTick = sim.tick + startTicks
	e.responses = 0
	for _, r := range sim.routers {
		for _, k := range slices.Clone(r.running) {
			if k.endpoint == e {
				sim.release(r, k, admission.Crashed)
			}
		}
	}
}

func (sim *simulation) release(r *simRouter, k *simRequest, o admission.Outcome) {
	r.running = without(r.running, k)
	k.endpoint.running--
	switch {
	case o == admission.Completed && k.grant.ProvenSlots > 0:
		sim.recordWarmth(r, k.grant.Endpoint, k.grant.ProvenSlots, k.grantedAt)
	case o == admission.Crashed || o == admission.Unreachable:
		sim.recordWarmth(r, k.grant.Endpoint, 0, sim.now)
	}
	if r.owner >= 0 {
		sim.owners[r.owner].Release(sim.now, admission.Release{ID: k.req.ID, Outcome: o, Cost: fair.Cost(k.ticksDone), TimeToFirstToken: k.endpoint.firstToken()})
	}
}

func (sim *simulation) recordWarmth(r *simRouter, endpoint string, provenSlots int, at time.Time) {
	r.warmth[endpoint] = admission.Warmth{Endpoint: endpoint, ProvenSlots: provenSlots, Age: time.Duration(at.UnixNano())}
}

func (e *simEndpoint) cold() bool { return e.responses < warmResponses }

func (e *simEndpoint) firstToken() time.Duration {
	if e.cold() {
		return 3 * tickInterval
	}
	return tickInterval
}

func (sim *simulation) submit(r *simRouter, account string, ticksNeeded int, avoid []string) {
	sim.seq++
	req := admission.Request{ID: admission.RequestID{Router: r.name, Seq: sim.seq}, Account: account, CostHint: 5, Avoid: avoid}
	r.waiting = append(r.waiting, &simRequest{req: req, queuedAt: sim.now, ticksNeeded: ticksNeeded})
	if r.owner >= 0 {
		sim.owners[r.owner].Submit(sim.now, req)
	}
}

// runTick advances all running requests by one tick, then steps the owners.
func (sim *simulation) runTick() {
	sim.tick++
	sim.now = sim.now.Add(tickInterval)
	for _, r := range sim.routers {
		for _, k := range slices.Clone(r.running) {
			sim.advance(r, k)
		}
	}
	for i, p := range sim.owners {
		sim.applyDecisions(i, p.Step(sim.now))
	}
}

func (sim *simulation) advance(r *simRouter, k *simRequest) {
	if k.endpoint.upAtTick > sim.tick {
		sim.release(r, k, admission.Unreachable)
		return
	}
	k.ticksDone++
	if r.owner >= 0 {
		sim.owners[r.owner].UpdateProgress(sim.now, k.req.ID, fair.Cost(k.ticksDone), k.endpoint.firstToken())
	}
	if k.ticksDone >= k.ticksNeeded {
		k.endpoint.responses++
		sim.release(r, k, admission.Completed)
	}
}

// applyDecisions delivers an owner's decisions to the routers that have a
// session with it; decisions for other routers are lost.
func (sim *simulation) applyDecisions(owner int, d admission.Decisions) {
	for _, g := range d.Grants {
		r := sim.routerByName(g.ID.Router)
		k := findByID(r.waiting, g.ID)
		if r.owner != owner || k == nil {
			continue
		}
		r.waiting = without(r.waiting, k)
		k.grant, k.grantedAt, k.endpoint = g, sim.now, sim.endpointByName(g.Endpoint)
		k.endpoint.running++
		r.running = append(r.running, k)
	}
	for _, x := range d.Refusals {
		if r := sim.routerByName(x.ID.Router); r.owner == owner {
			r.waiting = without(r.waiting, findByID(r.waiting, x.ID))
		}
	}
}

func findByID(all []*simRequest, id admission.RequestID) *simRequest {
	for _, k := range all {
		if k.req.ID == id {
			return k
		}
	}
	return nil
}

func without(all []*simRequest, k *simRequest) []*simRequest {
	return slices.DeleteFunc(slices.Clone(all), func(other *simRequest) bool { return other == k })
}

func (sim *simulation) routerByName(name string) *simRouter {
	for _, r := range sim.routers {
		if r.name == name {
			return r
		}
	}
	return nil
}

func (sim *simulation) endpointByName(name string) *simEndpoint {
	for _, e := range sim.endpoints {
		if e.cfg.Name == name {
			return e
		}
	}
	return nil
}

// removeRouter removes a router from the views of the others.
func (sim *simulation) removeRouter(x *simRouter) {
	x.removed = true
	for _, r := range sim.routers {
		if r != x {
			r.lastRemoval = sim.now
		}
	}
	sim.configure(0)
	sim.configure(1)
}

// injectFault applies a randomly drawn fault or repair, or none.
func (sim *simulation) injectFault(r *rapid.T) {
	x := rapid.SampledFrom(sim.routers).Draw(r, "router")
	e := rapid.SampledFrom(sim.endpoints).Draw(r, "endpoint")
	switch rapid.IntRange(0, 80).Draw(r, "fault") {
	case 0:
		sim.restartEndpoint(e)
	case 1:
		sim.crashRouter(x)
	case 2:
		sim.disconnect(x)
	case 3:
		sim.connect(x, 1)
	case 4, 5:
		sim.connect(x, 0)
	case 6:
		if x.owner < 0 {
			sim.removeRouter(x)
		}
	case 7:
		e.cfg.AcceptsWork = !e.cfg.AcceptsWork
		sim.configure(0)
		sim.configure(1)
	case 8:
		for _, k := range x.waiting {
			if x.owner >= 0 {
				sim.owners[x.owner].Cancel(k.req.ID)
			}
		}
		x.waiting = nil
	case 9, 10, 11:
		for _, y := range sim.routers {
			if y.owner < 0 {
				sim.connect(y, 0)
			}
		}
	}
}
