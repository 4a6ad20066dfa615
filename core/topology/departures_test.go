package topology_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

var _ = Describe("An endpoint whose entry comes from a restored store", func() {
	var departures topology.Departures
	var used map[string]topology.Endpoint
	now := time.Unix(1_000_000, 0)
	apply := func(unconfirmed []string, listed ...topology.Endpoint) []topology.Endpoint {
		entries := map[string]topology.Endpoint{}
		for _, e := range listed {
			entries[e.ID] = e
		}
		used = departures.Reconcile(now, used, entries, unconfirmed)
		var out []topology.Endpoint
		for _, e := range used {
			out = append(out, e)
		}
		return out
	}
	ready := topology.Endpoint{ID: "e", Address: "10.0.0.1:80", StartMillis: 5}
	draining := ready
	draining.Draining = true
	restarted := ready
	restarted.StartMillis, restarted.ColdRemaining, restarted.Address = 9, time.Second, "10.0.0.2:80"
	BeforeEach(func() { departures, used = topology.Departures{}, nil })

	It("stays draining while the entry is from before it began to drain", func() {
		apply(nil, draining)
		Expect(apply([]string{"e"}, ready)).To(ConsistOf(draining))
		By("believing the entry once it is confirmed")
		Expect(apply(nil, ready)).To(ConsistOf(ready))
	})

	It("drains if the restored entry says so and this router had missed it", func() {
		apply(nil, ready)
		Expect(apply([]string{"e"}, draining)).To(ConsistOf(draining))
	})

	It("stays away after it has left", func() {
		apply(nil, ready)
		apply(nil)
		Expect(apply([]string{"e"}, ready)).To(BeEmpty())
		Expect(apply([]string{"e"}, ready)).To(BeEmpty(), "also at the next change of another entry")
		Expect(apply(nil, ready)).To(ConsistOf(ready), "it writes again, or the store has kept its entry")
	})

	It("is used if it has started again since it left", func() {
		apply(nil, ready)
		apply(nil)
		Expect(apply([]string{"e"}, restarted)).To(ConsistOf(restarted))
	})

	It("is taken for the process that started last, which may be cold", func() {
		apply(nil, restarted)
		Expect(apply([]string{"e"}, ready)).To(ConsistOf(restarted))
		used = map[string]topology.Endpoint{"e": ready}
		Expect(apply([]string{"e"}, restarted)).To(ConsistOf(restarted))
	})

	It("is cold if the entry says so and this router had missed it", func() {
		cold := ready
		cold.ColdRemaining = time.Second
		apply(nil, ready)
		Expect(apply([]string{"e"}, cold)).To(ConsistOf(cold))
	})

	It("is used if this router never knew it", func() {
		Expect(apply([]string{"e"}, ready)).To(ConsistOf(ready))
	})
})
