package admission_test

import (
	"flag"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// fixSeed makes every run draw the same cases unless a seed is asked for.
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

func TestWorldKeepsTheInvariants(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(r *rapid.T) {
		w := newWorld(rapid.IntRange(2, 4).Draw(r, "routers"), rapid.IntRange(1, 3).Draw(r, "endpoints"), rapid.IntRange(1, 2).Draw(r, "cold slots"))
		busy := rapid.IntRange(0, 3).Draw(r, "busy")
		for range rapid.IntRange(50, 500).Draw(r, "ticks") {
			w.faults(r)
			for range rapid.IntRange(0, busy).Draw(r, "arrivals") {
				x := rapid.SampledFrom(w.routers).Draw(r, "at")
				var avoid []string
				if rapid.IntRange(0, 9).Draw(r, "retry") == 9 {
					avoid = []string{w.endpoints[0].cfg.Name}
				}
				w.arrive(x, rapid.SampledFrom([]string{"a", "b"}).Draw(r, "account"), rapid.IntRange(1, 20).Draw(r, "needed"), avoid)
			}
			w.run()
			if fault := w.fault(); fault != "" {
				r.Fatalf("tick %d: %s", w.tick, fault)
			}
		}
	})
}

// fault names an invariant that does not hold, or is empty.
func (w *world) fault() string {
	for _, e := range w.endpoints {
		if e.upAt <= w.tick && e.cold() && e.running > e.cfg.ColdSlots {
			return "a cold endpoint is overloaded: " + e.cfg.Name
		}
	}
	for i, p := range w.owners {
		for _, s := range p.Endpoints() {
			e := w.backend(s.Name)
			if s.Busy < s.Limit && w.couldUse(i, e) {
				return "a free slot while work waits: " + s.Name
			}
			if !e.cfg.Open && s.Limit > 0 {
				return "a closed endpoint may get work: " + s.Name
			}
		}
		if fault := w.waitFault(i); fault != "" {
			return fault
		}
	}
	return ""
}

// waitFault checks that what waits at an owner is what its routers wait for,
// bounded in number and time.
func (w *world) waitFault(owner int) string {
	waiting := 0
	for _, r := range w.routers {
		for _, k := range r.wants {
			if r.owner != owner {
				continue
			}
			waiting++
			if w.now.Sub(k.queued) > maxWait+tickTime {
				return "a request waits longer than its account's time"
			}
		}
	}
	if waiting != w.owners[owner].Waiting() {
		return "the owner's queue differs from what its routers wait for"
	}
	if waiting > 2*maxQueue {
		return "the queue is over its bound"
	}
	return ""
}

// couldUse reports whether a request that may use e waits at the owner.
func (w *world) couldUse(owner int, e *backend) bool {
	for _, r := range w.routers {
		for _, k := range r.wants {
			if r.owner == owner && !slices.Contains(k.want.Avoid, e.cfg.Name) {
				return true
			}
		}
	}
	return false
}

// start gives a request a slot without asking an owner.
func (w *world) start(r *router, e *backend) {
	k := r.wants[0]
	r.wants = r.wants[1:]
	k.at = e
	r.running = append(r.running, k)
	e.running++
}

// idle counts the slots of warm endpoints that nothing uses.
func (w *world) idle() int {
	n := 0
	for _, e := range w.endpoints {
		if !e.cold() {
			n += e.cfg.Slots - e.running
		}
	}
	return n
}

var _ = Describe("naive admission", func() {
	var w *world

	BeforeEach(func() { w = newWorld(2, 1, 1) })

	It("overloads a cold endpoint: each router on its own guess of the load", func() {
		for _, r := range w.routers {
			w.disconnect(r)
			w.arrive(r, "a", 5, nil)
			w.start(r, w.endpoints[0])
		}
		Expect(w.fault()).To(ContainSubstring("a cold endpoint is overloaded"))
	})

	It("leaves slots idle while work waits: slots divided among the routers", func() {
		w.endpoints[0].answers = warmAnswers
		for range 4 {
			w.arrive(w.routers[0], "a", 5, nil)
		}
		for range w.endpoints[0].cfg.Slots / len(w.routers) {
			w.start(w.routers[0], w.endpoints[0])
		}
		Expect(w.routers[0].wants).NotTo(BeEmpty())
		Expect(w.idle()).To(BeNumerically(">", 0))
	})

	It("is beaten by the owner in the same scene", func() {
		for range 40 {
			w.arrive(w.routers[0], "a", 1, nil)
			w.run()
			w.run()
		}
		for range 10 {
			w.arrive(w.routers[0], "a", 5, nil)
			w.run()
		}
		Expect(w.fault()).To(BeEmpty())
		Expect(w.endpoints[0].cold()).To(BeFalse())
		Expect(w.idle() == 0 || len(w.routers[0].wants) == 0).To(BeTrue())
	})
})
