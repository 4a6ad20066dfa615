package order_test

import (
	"fmt"
	"hash/maphash"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/cyclamenwinch/cyclamenwinch/core/order"
)

// explorer visits every state that two routers, two keys and a number of
// faults can reach, each once.
type explorer struct {
	seen  map[uint64]bool
	seed  maphash.Seed
	ends  int
	fault string
}

// node is a world with the faults that may still happen in it.
type node struct {
	*world
	faults int
}

func (n node) clone() node {
	w := *n.world
	w.objects = maps.Clone(n.objects)
	w.late = slices.Clone(n.late)
	w.sent = slices.Clone(n.sent)
	w.begun = maps.Clone(n.begun)
	w.executed = maps.Clone(n.executed)
	w.executions = maps.Clone(n.executions)
	w.doubtful = maps.Clone(n.doubtful)
	w.fence = maps.Clone(n.fence)
	w.replies = slices.Clone(n.replies)
	w.routers = make([]*router, len(n.routers))
	for i, r := range n.routers {
		c := *r
		c.shard = r.shard.Clone()
		c.runs = make([]*run, len(r.runs))
		for j, x := range r.runs {
			y := *x
			core := *x.Run
			core.SetEnv(&w)
			y.Run = &core
			c.runs[j] = &y
		}
		w.routers[i] = &c
	}
	n.world = &w
	return n
}

func (n node) fingerprint(seed maphash.Seed) uint64 {
	var b strings.Builder
	fmt.Fprint(&b, n.faults, len(n.late), len(n.sent))
	for _, name := range slices.Sorted(maps.Keys(n.objects)) {
		b.Write(n.objects[name].Value)
	}
	for _, r := range n.routers {
		fmt.Fprint(&b, "\n", r.incarnation, r.suspected, r.call != nil)
		if r.call != nil {
			b.WriteString(r.call.Object)
			b.Write(r.call.Value)
		}
		r.shard.Fingerprint(&b)
		for _, x := range r.runs {
			fmt.Fprint(&b, ";", x.key, x.settle, x.step.Kind, x.step.RaiseFence, x.token, x.op != 0, x.paused, x.msg != nil)
		}
	}
	for _, m := range n.sent {
		fmt.Fprint(&b, "m", m.record.Token)
	}
	for _, call := range n.late {
		fmt.Fprint(&b, "w", call.Object, call.Version)
		b.Write(call.Value)
	}
	for _, key := range []string{"k0", "k1"} {
		id := order.NewID("acct", key)
		fmt.Fprint(&b, "e", n.executed[id], n.fence[id])
	}
	for _, t := range n.replies {
		fmt.Fprint(&b, "t", t.token, t.reply.Kind)
	}
	return maphash.String(seed, b.String())
}

func (e *explorer) visit(n node) {
	if e.fault != "" {
		return
	}
	key := n.fingerprint(e.seed)
	if e.seen[key] {
		return
	}
	e.seen[key] = true
	if fault := n.check(); fault != "" {
		e.fault = fault
		return
	}
	if next := e.moves(n); next == 0 {
		e.ends++
	}
}

// moves visits all successors and returns how many there are.
func (e *explorer) moves(n node) int {
	count := 0
	try := func(move func(n node) node) {
		count++
		e.visit(move(n.clone()))
	}
	for i := range n.routers {
		if n.routers[i].call == nil {
			c := n.clone()
			if c.issue(c.routers[i]) {
				count++
				e.visit(c)
			}
		} else {
			try(func(c node) node { c.finish(c.routers[i], fateOK); return c })
			if n.faults > 0 && n.routers[i].call.Verb != order.Get {
				for _, fate := range []int{fateLost, fateDelayed} {
					try(func(c node) node { c.faults--; c.finish(c.routers[i], fate); return c })
				}
			}
		}
		if n.faults > 0 {
			try(func(c node) node {
				c.faults--
				c.crash(c.routers[i])
				c.load(c.routers[i])
				c.sweepOthers(i)
				return c
			})
		}
		if n.faults > 0 {
			try(func(c node) node { c.faults--; c.routers[i].suspected = true; c.sweepOthers(i); return c })
		}
		for j, x := range n.routers[i].runs {
			if x.paused && !n.routers[i].shard.Busy() {
				try(func(c node) node { x := c.routers[i].runs[j]; c.follow(c.routers[i], x, x.HandlePauseEnd()); return c })
			}
			if x.msg == nil {
				continue
			}
			try(func(c node) node { c.talk(c.routers[i], c.routers[i].runs[j], sentOK); return c })
			if n.faults > 0 && !x.msg.look {
				for _, fate := range []int{sentAnswerLost, sentLate, sentNever} {
					try(func(c node) node { c.faults--; c.talk(c.routers[i], c.routers[i].runs[j], fate); return c })
				}
			}
		}
	}
	for i := range n.late {
		try(func(c node) node { c.serve(c.late[i]); c.late = slices.Delete(c.late, i, i+1); return c })
	}
	for i := range n.sent {
		try(func(c node) node { c.arrive(c.sent[i]); c.sent = slices.Delete(c.sent, i, i+1); return c })
	}
	return count
}

// load reads a router's shard without faults.
func (n node) load(r *router) {
	r.shard.Refresh()
	for r.shard.Busy() {
		n.issue(r)
		n.finish(r, fateOK)
	}
}

// sweepOthers has the other routers settle what the crashed one left.
func (n node) sweepOthers(crashed int) {
	for i, r := range n.routers {
		if i != crashed {
			n.sweep(r)
		}
	}
}

// scenario is where an exploration begins. Faults are crashes, lost or late
// platform writes, lost or late dispatches and false suspicions.
type scenario struct {
	orders [][]string // keys that callers send to each router
	faults int
}

var scenarios = []scenario{
	{orders: [][]string{{"k0"}, {"k0"}}, faults: 2},
	{orders: [][]string{{"k0", "k1"}, {"k0"}}, faults: 1},
}

// explore visits every history of a scenario.
func explore(m mutant, a order.Capabilities, s scenario) *explorer {
	e := &explorer{seen: map[uint64]bool{}, seed: maphash.MakeSeed()}
	w := newWorld(nil, m, a, order.Config{}, len(s.orders))
	n := node{world: w, faults: s.faults}
	for i, r := range w.routers {
		n.load(r)
		for _, key := range s.orders[i] {
			w.place(r, key)
		}
	}
	e.visit(n)
	return e
}

func TestEveryHistoryOfTwoRoutersAndTwoKeys(t *testing.T) {
	cases := []struct {
		ability  order.Capabilities
		scenario scenario
	}{
		{order.Capabilities{}, scenarios[1]},
		{order.Capabilities{Lookup: true}, scenarios[1]},
		{order.Capabilities{Lookup: true, Fence: true}, scenarios[0]},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("lookup %v, fence %v, %d faults", c.ability.Lookup, c.ability.Fence, c.scenario.faults), func(t *testing.T) {
			t.Parallel()
			e := explore(sound, c.ability, c.scenario)
			t.Logf("%d states, %d ends", len(e.seen), e.ends)
			if e.fault != "" {
				t.Error(e.fault)
			}
		})
	}
}

func TestExplorationFindsMutants(t *testing.T) {
	t.Parallel()
	for _, m := range []mutant{noVersionCheck, dispatchFirst, takeOver, trustUncertain, noFence, doubtIsNotSent} {
		fault := ""
		for _, s := range scenarios {
			if fault == "" {
				fault = explore(m, order.Capabilities{Lookup: true, Fence: true}, s).fault
			}
		}
		t.Logf("%s: %s", m, fault)
		if fault == "" {
			t.Errorf("mutant survives: %s", m)
		}
	}
}
