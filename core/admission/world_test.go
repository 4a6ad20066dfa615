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
	tickTime    = 100 * time.Millisecond
	startTicks  = 21 // an endpoint takes to start
	warmAnswers = 8  // until an endpoint is warm
	maxQueue    = 6
	maxWait     = 2 * time.Second
)

// world is two routers that may own the scope, others, and endpoints that
// count what really runs there.
type world struct {
	now       time.Time
	tick      int
	owners    []*admission.Pool // owners[i] lives on routers[i]
	routers   []*router
	endpoints []*backend
	seq       uint64
}

type router struct {
	name    string
	owner   int             // -1: no session
	last    *admission.Pool // of the last session
	removed bool
	removal time.Time // when it last saw another one removed
	running []*work
	wants   []*work
	warmth  map[string]admission.Warmth // Age counts from the zero time
}

type work struct {
	want    admission.Request
	queued  time.Time // at the present owner
	grant   admission.Grant
	granted time.Time
	at      *backend
	ticks   int // done
	needed  int
}

type backend struct {
	cfg     admission.Endpoint
	upAt    int // tick
	answers int // since its start
	running int
}

func newWorld(routers, endpoints int, coldSlots int) *world {
	w := &world{now: time.Unix(1000, 0)}
	for i := range routers {
		w.routers = append(w.routers, &router{
			name: fmt.Sprintf("r%d", i), owner: -1, warmth: map[string]admission.Warmth{},
		})
	}
	for i := range endpoints {
		w.endpoints = append(w.endpoints, &backend{cfg: open(fmt.Sprintf("e%d", i), 4, coldSlots)})
	}
	w.owners = make([]*admission.Pool, 2)
	w.reset(0)
	w.reset(1)
	for _, r := range w.routers {
		w.connect(r, 0)
	}
	return w
}

// reset starts an owner with no memory; its sessions end.
func (w *world) reset(owner int) {
	w.owners[owner] = admission.NewPool(route.NewQuarantine())
	w.owners[owner].MemberRemoved(w.routers[owner].removal)
	w.configure(owner)
	for _, r := range w.routers {
		if r.owner == owner {
			r.owner = -1
		}
	}
}

func (w *world) configure(owner int) {
	var names []string
	for i, r := range w.routers {
		if !r.removed || i == owner {
			names = append(names, r.name)
		}
	}
	var endpoints []admission.Endpoint
	for _, e := range w.endpoints {
		endpoints = append(endpoints, e.cfg)
	}
	p := w.owners[owner]
	p.SetMembers(w.now, names)
	p.Configure(w.now, []admission.Account{
		{Name: "a", Share: 1, MaxQueue: maxQueue, MaxWait: maxWait},
		{Name: "b", Share: 3, MaxQueue: maxQueue, MaxWait: maxWait},
	}, endpoints)
}

func (w *world) connect(r *router, owner int) {
	if r.owner == owner {
		return
	}
	w.disconnect(r)
	if r.removed {
		r.removed = false
		w.configure(0)
		w.configure(1)
	}
	r.owner = owner
	var held []admission.HeldSlot
	for _, k := range r.running {
		held = append(held, admission.HeldSlot{ID: k.want.ID, Endpoint: k.grant.Endpoint, Account: k.want.Account, Charge: fair.Charge{Estimate: k.grant.Estimate}})
	}
	var warmth []admission.Warmth
	for _, e := range w.endpoints {
		if h, ok := r.warmth[e.cfg.Name]; ok {
			h.Age = w.now.Sub(time.Unix(0, int64(h.Age)))
			warmth = append(warmth, h)
		}
	}
	w.owners[owner].Sync(w.now, admission.SyncReport{Router: r.name, Resumed: r.last == w.owners[owner], LastRemoval: r.removal, Held: held, Warmth: warmth})
	r.last = w.owners[owner]
	for _, k := range r.wants {
		k.queued = w.now
		w.owners[owner].Submit(w.now, k.want)
	}
}

// disconnect ends a router's session. An owner whose own router leaves
// stops.
func (w *world) disconnect(r *router) {
	old := r.owner
	r.owner = -1
	if old < 0 {
		return
	}
	w.owners[old].SessionClosed(w.now, r.name)
	if w.routers[old] == r {
		w.reset(old)
	}
}

// crash restarts a router with no memory; its connections break. Only if
// nobody is left who saw a removal, what the removed ones still run is known to
// nobody: that case is not covered, so such requests end here.
func (w *world) crash(r *router) {
	r.removal = time.Time{}
	if !slices.ContainsFunc(w.routers, func(o *router) bool { return !o.removed && !o.removal.IsZero() }) {
		for _, other := range w.routers {
			if other.removed {
				w.abandon(other)
			}
		}
	}
	w.disconnect(r)
	w.abandon(r)
	r.wants, r.last = nil, nil
	clear(r.warmth)
}

// abandon ends what a router runs without a word to any owner.
func (w *world) abandon(r *router) {
	for _, k := range r.running {
		k.at.running--
	}
	r.running = nil
}

func (w *world) restart(e *backend) {
	e.upAt = w.tick + startTicks
	e.answers = 0
	for _, r := range w.routers {
		for _, k := range slices.Clone(r.running) {
			if k.at == e {
				w.release(r, k, admission.Crashed)
			}
		}
	}
}

func (w *world) release(r *router, k *work, o admission.Outcome) {
	r.running = without(r.running, k)
	k.at.running--
	switch {
	case o == admission.Done && k.grant.ProvenSlots > 0:
		w.remember(r, k.grant.Endpoint, k.grant.ProvenSlots, k.granted)
	case o == admission.Crashed || o == admission.Unreachable:
		w.remember(r, k.grant.Endpoint, 0, w.now)
	}
	if r.owner >= 0 {
		w.owners[r.owner].Release(w.now, admission.Release{ID: k.want.ID, Outcome: o, Cost: fair.Cost(k.ticks), TimeToFirstToken: k.at.firstToken()})
	}
}

func (w *world) remember(r *router, endpoint string, proved int, at time.Time) {
	r.warmth[endpoint] = admission.Warmth{Endpoint: endpoint, ProvenSlots: proved, Age: time.Duration(at.UnixNano())}
}

func (e *backend) cold() bool { return e.answers < warmAnswers }

func (e *backend) firstToken() time.Duration {
	if e.cold() {
		return 3 * tickTime
	}
	return tickTime
}

func (w *world) arrive(r *router, account string, needed int, avoid []string) {
	w.seq++
	want := admission.Request{ID: admission.RequestID{Router: r.name, Seq: w.seq}, Account: account, Estimate: 5, Avoid: avoid}
	r.wants = append(r.wants, &work{want: want, queued: w.now, needed: needed})
	if r.owner >= 0 {
		w.owners[r.owner].Submit(w.now, want)
	}
}

// run does one tick of work and lets the owners decide.
func (w *world) run() {
	w.tick++
	w.now = w.now.Add(tickTime)
	for _, r := range w.routers {
		for _, k := range slices.Clone(r.running) {
			w.progress(r, k)
		}
	}
	for i, p := range w.owners {
		w.take(i, p.Step(w.now))
	}
}

func (w *world) progress(r *router, k *work) {
	if k.at.upAt > w.tick {
		w.release(r, k, admission.Unreachable)
		return
	}
	k.ticks++
	if r.owner >= 0 {
		w.owners[r.owner].UpdateProgress(w.now, k.want.ID, fair.Cost(k.ticks), k.at.firstToken())
	}
	if k.ticks >= k.needed {
		k.at.answers++
		w.release(r, k, admission.Done)
	}
}

// take hands decisions to the routers that have a session with the owner;
// others never hear of them.
func (w *world) take(owner int, d admission.Decisions) {
	for _, g := range d.Grants {
		r := w.router(g.ID.Router)
		k := find(r.wants, g.ID)
		if r.owner != owner || k == nil {
			continue
		}
		r.wants = without(r.wants, k)
		k.grant, k.granted, k.at = g, w.now, w.backend(g.Endpoint)
		k.at.running++
		r.running = append(r.running, k)
	}
	for _, x := range d.Refusals {
		if r := w.router(x.ID.Router); r.owner == owner {
			r.wants = without(r.wants, find(r.wants, x.ID))
		}
	}
}

func find(all []*work, id admission.RequestID) *work {
	for _, k := range all {
		if k.want.ID == id {
			return k
		}
	}
	return nil
}

func without(all []*work, k *work) []*work {
	return slices.DeleteFunc(slices.Clone(all), func(other *work) bool { return other == k })
}

func (w *world) router(name string) *router {
	for _, r := range w.routers {
		if r.name == name {
			return r
		}
	}
	return nil
}

func (w *world) backend(name string) *backend {
	for _, e := range w.endpoints {
		if e.cfg.Name == name {
			return e
		}
	}
	return nil
}

// remove takes a router out of the others' views.
func (w *world) remove(x *router) {
	x.removed = true
	for _, r := range w.routers {
		if r != x {
			r.removal = w.now
		}
	}
	w.configure(0)
	w.configure(1)
}

// faults draws what goes wrong in a tick.
func (w *world) faults(r *rapid.T) {
	x := rapid.SampledFrom(w.routers).Draw(r, "router")
	e := rapid.SampledFrom(w.endpoints).Draw(r, "endpoint")
	switch rapid.IntRange(0, 80).Draw(r, "fault") {
	case 0:
		w.restart(e)
	case 1:
		w.crash(x)
	case 2:
		w.disconnect(x)
	case 3:
		w.connect(x, 1)
	case 4, 5:
		w.connect(x, 0)
	case 6:
		if x.owner < 0 {
			w.remove(x)
		}
	case 7:
		e.cfg.Open = !e.cfg.Open
		w.configure(0)
		w.configure(1)
	case 8:
		for _, k := range x.wants {
			if x.owner >= 0 {
				w.owners[x.owner].Cancel(k.want.ID)
			}
		}
		x.wants = nil
	case 9, 10, 11:
		for _, y := range w.routers {
			if y.owner < 0 {
				w.connect(y, 0)
			}
		}
	}
}
