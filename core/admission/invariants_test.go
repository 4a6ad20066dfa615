package admission_test

import (
	"flag"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// fixSeed makes every run draw the same cases unless a seed is given.
func fixSeed(t *testing.T) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": "4", "rapid.checks": "1000"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := flag.Set(name, value); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// TestInvariantsUnderFaults guards against admission that breaks its invariants
// when routers, owners or endpoints fail, for instance two owners that together
// overload a cold endpoint. It injects random faults and checks after every tick:
//   - A cold endpoint runs at most as many requests as its cold limit.
//   - No usable slot is free while a request that may use it waits.
//   - An endpoint that accepts no work gets no requests.
//   - An owner's queue holds exactly the requests that its routers wait for, and
//     their number and waiting time are bounded.
func TestInvariantsUnderFaults(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(r *rapid.T) {
		sim := newSimulation(rapid.IntRange(2, 4).Draw(r, "routers"), rapid.IntRange(1, 3).Draw(r, "endpoints"), rapid.IntRange(1, 2).Draw(r, "cold slots"))
		busy := rapid.IntRange(0, 3).Draw(r, "busy")
		for range rapid.IntRange(50, 500).Draw(r, "ticks") {
			sim.injectFault(r)
			for range rapid.IntRange(0, busy).Draw(r, "arrivals") {
				x := rapid.SampledFrom(sim.routers).Draw(r, "at")
				var avoid []string
				if rapid.IntRange(0, 9).Draw(r, "retry") == 9 {
					avoid = []string{sim.endpoints[0].cfg.Name}
				}
				sim.submit(x, rapid.SampledFrom([]string{"a", "b"}).Draw(r, "account"), rapid.IntRange(1, 20).Draw(r, "needed"), avoid)
			}
			sim.runTick()
			if violation := sim.violation(); violation != "" {
				r.Fatalf("tick %d: %s", sim.tick, violation)
			}
		}
	})
}

// violation describes an invariant that does not hold; it is empty if all hold.
func (sim *simulation) violation() string {
	for _, e := range sim.endpoints {
		if e.upAtTick <= sim.tick && e.cold() && e.running > e.cfg.ColdSlots {
			return "a cold endpoint is overloaded: " + e.cfg.Name
		}
	}
	for i, p := range sim.owners {
		for _, s := range p.Endpoints() {
			e := sim.endpointByName(s.Name)
			if s.Busy < s.Limit && sim.canUse(i, e) {
				return "an endpoint has a free slot while a request waits: " + s.Name
			}
			if !e.cfg.AcceptsWork && s.Limit > 0 {
				return "an endpoint that accepts no work may get requests: " + s.Name
			}
		}
		if violation := sim.queueViolation(i); violation != "" {
			return violation
		}
	}
	return ""
}

// queueViolation checks that the requests queued at an owner are those that its
// routers wait for, and that their number and waiting time are bounded.
func (sim *simulation) queueViolation(owner int) string {
	waiting := 0
	for _, r := range sim.routers {
		for _, k := range r.waiting {
			if r.owner != owner {
				continue
			}
			waiting++
			if sim.now.Sub(k.queuedAt) > maxWait+tickInterval {
				return "a request waits longer than its account's limit"
			}
		}
	}
	if waiting != sim.owners[owner].Waiting() {
		return "the owner's queue differs from the waiting requests of its routers"
	}
	if waiting > 2*maxQueue {
		return "the queue exceeds its limit"
	}
	return ""
}

// canUse reports whether a request that may run at e waits at the owner.
func (sim *simulation) canUse(owner int, e *simEndpoint) bool {
	for _, r := range sim.routers {
		for _, k := range r.waiting {
			if r.owner == owner && !slices.Contains(k.req.Avoid, e.cfg.Name) {
				return true
			}
		}
	}
	return false
}

// startDirectly runs a router's first waiting request without asking an owner.
func (sim *simulation) startDirectly(r *simRouter, e *simEndpoint) {
	k := r.waiting[0]
	r.waiting = r.waiting[1:]
	k.endpoint = e
	r.running = append(r.running, k)
	e.running++
}

// idleWarmSlots returns the number of unused slots of warm endpoints.
func (sim *simulation) idleWarmSlots() int {
	n := 0
	for _, e := range sim.endpoints {
		if !e.cold() {
			n += e.cfg.Slots - e.running
		}
	}
	return n
}

var _ = Describe("admission", func() {
	var sim *simulation

	BeforeEach(func() { sim = newSimulation(2, 1, 1) })

	It("without an owner overloads a cold endpoint if each router estimates the load by itself", func() {
		for _, r := range sim.routers {
			sim.disconnect(r)
			sim.submit(r, "a", 5, nil)
			sim.startDirectly(r, sim.endpoints[0])
		}
		Expect(sim.violation()).To(ContainSubstring("a cold endpoint is overloaded"))
	})

	It("without an owner leaves slots idle while requests wait if slots are divided among the routers", func() {
		sim.endpoints[0].responses = warmResponses
		for range 4 {
			sim.submit(sim.routers[0], "a", 5, nil)
		}
		for range sim.endpoints[0].cfg.Slots / len(sim.routers) {
			sim.startDirectly(sim.routers[0], sim.endpoints[0])
		}
		Expect(sim.routers[0].waiting).NotTo(BeEmpty())
		Expect(sim.idleWarmSlots()).To(BeNumerically(">", 0))
	})

	It("by an owner keeps a cold endpoint within its limit and leaves no slot idle while requests wait", func() {
		for range 40 {
			sim.submit(sim.routers[0], "a", 1, nil)
			sim.runTick()
			sim.runTick()
		}
		for range 10 {
			sim.submit(sim.routers[0], "a", 5, nil)
			sim.runTick()
		}
		Expect(sim.violation()).To(BeEmpty())
		Expect(sim.endpoints[0].cold()).To(BeFalse())
		Expect(sim.idleWarmSlots() == 0 || len(sim.routers[0].waiting) == 0).To(BeTrue())
	})
})
