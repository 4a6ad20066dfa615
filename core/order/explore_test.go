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

// explorer visits every reachable state of a scenario once.
type explorer struct {
	seen        map[uint64]bool
	seed        maphash.Seed
	finalStates int
	violation   string
}

// node is a simulation with the number of faults that may still occur.
type node struct {
	*simulation
	faultsLeft int
}

func (n node) clone() node {
	sim := *n.simulation
	sim.objects = maps.Clone(n.objects)
	sim.lateWrites = slices.Clone(n.lateWrites)
	sim.lateDispatches = slices.Clone(n.lateDispatches)
	sim.firstPlaced = maps.Clone(n.firstPlaced)
	sim.executedTokens = maps.Clone(n.executedTokens)
	sim.executionCount = maps.Clone(n.executionCount)
	sim.dispatched = maps.Clone(n.dispatched)
	sim.fences = maps.Clone(n.fences)
	sim.replies = slices.Clone(n.replies)
	sim.routers = make([]*router, len(n.routers))
	for i, r := range n.routers {
		c := *r
		c.shard = r.shard.Clone()
		c.runs = make([]*run, len(r.runs))
		for j, x := range r.runs {
			y := *x
			core := *x.Run
			core.SetEnv(&sim)
			y.Run = &core
			c.runs[j] = &y
		}
		sim.routers[i] = &c
	}
	n.simulation = &sim
	return n
}

func (n node) fingerprint(seed maphash.Seed) uint64 {
	var b strings.Builder
	fmt.Fprint(&b, n.faultsLeft, len(n.lateWrites), len(n.lateDispatches))
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
			fmt.Fprint(&b, ";", x.key, x.settle, x.step.Kind, x.step.RaiseFence, x.token, x.op != 0, x.paused, x.request != nil)
		}
	}
	for _, req := range n.lateDispatches {
		fmt.Fprint(&b, "m", req.record.Token)
	}
	for _, call := range n.lateWrites {
		fmt.Fprint(&b, "w", call.Object, call.Version)
		b.Write(call.Value)
	}
	for _, key := range []string{"k0", "k1"} {
		id := order.NewID("acct", key)
		fmt.Fprint(&b, "e", n.executedTokens[id], n.fences[id])
	}
	for _, r := range n.replies {
		fmt.Fprint(&b, "t", r.token, r.reply.Kind)
	}
	return maphash.String(seed, b.String())
}

func (e *explorer) visit(n node) {
	if e.violation != "" {
		return
	}
	key := n.fingerprint(e.seed)
	if e.seen[key] {
		return
	}
	e.seen[key] = true
	if violation := n.check(); violation != "" {
		e.violation = violation
		return
	}
	if successors := e.visitSuccessors(n); successors == 0 {
		e.finalStates++
	}
}

// visitSuccessors visits all successors of a state and returns their number.
func (e *explorer) visitSuccessors(n node) int {
	count := 0
	try := func(move func(n node) node) {
		count++
		e.visit(move(n.clone()))
	}
	for i := range n.routers {
		if n.routers[i].call == nil {
			c := n.clone()
			if c.startCall(c.routers[i]) {
				count++
				e.visit(c)
			}
		} else {
			try(func(c node) node { c.finishCall(c.routers[i], callOK); return c })
			if n.faultsLeft > 0 && n.routers[i].call.Verb != order.Get {
				for _, outcome := range []int{callReplyLost, callDelayed} {
					try(func(c node) node { c.faultsLeft--; c.finishCall(c.routers[i], outcome); return c })
				}
			}
		}
		if n.faultsLeft > 0 {
			try(func(c node) node {
				c.faultsLeft--
				c.crash(c.routers[i])
				c.loadShard(c.routers[i])
				c.settleAtOthers(i)
				return c
			})
		}
		if n.faultsLeft > 0 {
			try(func(c node) node { c.faultsLeft--; c.routers[i].suspected = true; c.settleAtOthers(i); return c })
		}
		for j, x := range n.routers[i].runs {
			if x.paused && !n.routers[i].shard.Busy() {
				try(func(c node) node {
					x := c.routers[i].runs[j]
					c.startStep(c.routers[i], x, x.HandlePauseEnd())
					return c
				})
			}
			if x.request == nil {
				continue
			}
			try(func(c node) node { c.finishRequest(c.routers[i], c.routers[i].runs[j], requestOK); return c })
			if n.faultsLeft > 0 && !x.request.lookup {
				for _, outcome := range []int{requestReplyLost, requestDelayed, requestNotSent} {
					try(func(c node) node {
						c.faultsLeft--
						c.finishRequest(c.routers[i], c.routers[i].runs[j], outcome)
						return c
					})
				}
			}
		}
	}
	for i := range n.lateWrites {
		try(func(c node) node {
			c.serveCall(c.lateWrites[i])
			c.lateWrites = slices.Delete(c.lateWrites, i, i+1)
			return c
		})
	}
	for i := range n.lateDispatches {
		try(func(c node) node {
			c.execute(c.lateDispatches[i])
			c.lateDispatches = slices.Delete(c.lateDispatches, i, i+1)
			return c
		})
	}
	return count
}

// loadShard loads a router's shard without faults.
func (n node) loadShard(r *router) {
	r.shard.Refresh()
	for r.shard.Busy() {
		n.startCall(r)
		n.finishCall(r, callOK)
	}
}

// settleAtOthers makes the other routers settle the open records of a router that
// crashed or is suspected.
func (n node) settleAtOthers(lost int) {
	for i, r := range n.routers {
		if i != lost {
			n.settleOpenRecords(r)
		}
	}
}

// scenario is the initial state of an exploration, with two routers. Faults are
// crashes, lost or late platform writes, lost or late dispatches and false
// suspicions.
type scenario struct {
	orders [][]string // keys that callers send to each router
	faults int
}

var scenarios = []scenario{
	{orders: [][]string{{"k0"}, {"k0"}}, faults: 2},
	{orders: [][]string{{"k0", "k1"}, {"k0"}}, faults: 1},
}

// explore visits all states that a scenario can reach, until it finds a
// violation.
func explore(m mutant, capabilities order.Capabilities, s scenario) *explorer {
	e := &explorer{seen: map[uint64]bool{}, seed: maphash.MakeSeed()}
	sim := newSimulation(nil, m, capabilities, order.Config{}, len(s.orders))
	n := node{simulation: sim, faultsLeft: s.faults}
	for i, r := range sim.routers {
		n.loadShard(r)
		for _, key := range s.orders[i] {
			sim.placeOrder(r, key)
		}
	}
	e.visit(n)
	return e
}

// TestAtMostOnceInEveryReachableState guards against an order that is executed
// twice, or reported as not executed although it was, in a rare sequence of steps
// that random histories may miss. It visits all states of two routers that
// receive the same key, with two faults; for endpoints without fence one router
// receives a second key too, and there is one fault.
func TestAtMostOnceInEveryReachableState(t *testing.T) {
	cases := []struct {
		capabilities order.Capabilities
		scenario     scenario
	}{
		{order.Capabilities{}, scenarios[1]},
		{order.Capabilities{Lookup: true}, scenarios[1]},
		{order.Capabilities{Lookup: true, Fence: true}, scenarios[0]},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("lookup %v, fence %v, %d faults", c.capabilities.Lookup, c.capabilities.Fence, c.scenario.faults), func(t *testing.T) {
			t.Parallel()
			e := explore(noMutation, c.capabilities, c.scenario)
			t.Logf("%d states, %d final states", len(e.seen), e.finalStates)
			if e.violation != "" {
				t.Error(e.violation)
			}
		})
	}
}

// TestExplorationFindsMutants guards against an exploration that passes because it
// reaches too few states: it must find a violation for each of these mutants.
func TestExplorationFindsMutants(t *testing.T) {
	t.Parallel()
	for _, m := range []mutant{noVersionCheck, dispatchBeforeCommit, takeOverClaim, trustUncertain, noRaisedFence, uncertainIsNotExecuted} {
		violation := ""
		for _, s := range scenarios {
			if violation == "" {
				violation = explore(m, order.Capabilities{Lookup: true, Fence: true}, s).violation
			}
		}
		t.Logf("%s: %s", m, violation)
		if violation == "" {
			t.Errorf("mutant survives: %s", m)
		}
	}
}
