package test_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/load"
	"github.com/cyclamenwinch/cyclamenwinch/standin/runner"
)

const (
	busyCallers     = 24
	warmupResponses = 60 // responses after which a small cluster is warm
	moreResponses   = 60
	poison          = "poisoned-cloth"
	poisonAttempts  = 6
	// maxCrashes is the number of endpoints that one request may crash: a
	// request that crashed two endpoints is quarantined.
	maxCrashes = 2
)

// awaitCompleted waits until the callers have received n more complete
// responses.
func (s *callers) awaitCompleted(n int64) {
	GinkgoHelper()
	from := s.completed.Load()
	Eventually(s.completed.Load).Should(BeNumerically(">=", from+n), s.describe)
}

// describe counts the requests so far by outcome and result code, for failure
// messages.
func (s *callers) describe() string {
	counts := map[string]int{}
	for _, r := range s.log.Records() {
		counts[fmt.Sprintf("%s %d", r.Outcome, r.Code)]++
	}
	return fmt.Sprintf("callers receive complete responses; requests so far by outcome and code: %v; runners: %+v", counts, s.cluster.stats())
}

var _ = Describe("a zone that is taken out under load", func() {
	It("receives no new requests, completes those in progress and returns", func() {
		c := startCluster(smallSize())
		callers := c.startCallers(busyCallers, 1)
		callers.awaitCompleted(warmupResponses)
		zone := c.Models[0].Zone
		c.awaitGeneration(c.setZone(zone, manifest.Out))
		Eventually(func() int { return c.zoneStats(zone).Running }).Should(BeZero(), "requests in progress end")
		started := c.zoneStats(zone).Started
		callers.awaitCompleted(moreResponses)
		Expect(c.zoneStats(zone).Started).To(Equal(started), "no new requests once the change is in force")
		c.awaitGeneration(c.setZone(zone, manifest.In))
		Eventually(func() int { return c.zoneStats(zone).Started }).Should(BeNumerically(">", started), "the zone returns")
		callers.awaitCompleted(moreResponses)
		records := callers.stop()
		Expect(withOutcome(records, load.Truncated, load.ConnectionFailed, load.WrongResponse)).To(BeEmpty())
	})
})

// zoneStats sums the counters of the model runners in a zone.
func (c *cluster) zoneStats(zone string) runner.Stats {
	var sum runner.Stats
	stats := c.stats()
	for _, r := range c.Models {
		if r.Zone == zone {
			sum.Running += stats[r.Name].Running
			sum.Started += stats[r.Name].Started
		}
	}
	return sum
}

var _ = Describe("a cold endpoint", func() {
	It("never handles more requests than its cold limit while routers and a runner are killed", func() {
		c := startCluster(smallSize())
		callers := c.startCallers(busyCallers, 2)
		callers.awaitCompleted(warmupResponses)
		for _, p := range c.routers {
			p.kill()
			callers.awaitCompleted(moreResponses)
			p.restart()
			c.awaitFullMembership()
		}
		c.models[0].kill()
		callers.awaitCompleted(moreResponses)
		c.models[0].restart()
		Eventually(func() int { return c.stats()[c.Models[0].Name].Responses }).Should(BeNumerically(">", 10), "the runner returns")
		Expect(withOutcome(callers.stop(), load.WrongResponse)).To(BeEmpty())
		for _, e := range c.manifest.Endpoints {
			Expect(c.stats()[e.Name].MaxWhenCold).To(BeNumerically("<=", e.ColdSlots), e.Name)
		}
	})
})

var _ = Describe("a request that crashes endpoints", func() {
	It("crashes at most two and is then refused as quarantined", func() {
		c := startCluster(smallSize())
		callers := c.startCallers(1, 3)
		callers.awaitCompleted(10)
		c.setModelFaults(runner.Faults{CrashOn: poison})
		before := c.crashCount()
		var last load.Record
		for i := range poisonAttempts {
			zone := c.manifest.Zones[i%len(c.manifest.Zones)].Name
			last = callers.send(load.Arrival{Account: c.manifest.Accounts[0].Name, Zone: zone, Prompt: poison + " for the band", Tokens: 4})
			Expect(last.Outcome).NotTo(Equal(load.Completed))
			AddReportEntry("poisoned request", fmt.Sprintf("code %d not run %v, runners %+v", last.Code, last.NotRun, c.stats()))
		}
		Expect(c.crashCount() - before).To(BeNumerically("<=", maxCrashes))
		Expect(isCode(last, code.Quarantined)).To(BeTrue(), "code %d", last.Code)
		callers.awaitCompleted(10)
		Expect(withOutcome(callers.stop(), load.WrongResponse)).To(BeEmpty())
	})
})

func (c *cluster) crashCount() int {
	n := 0
	for _, s := range c.stats() {
		n += s.Crashes
	}
	return n
}

var _ = DescribeTable("a faulty endpoint never makes a caller take a wrong or incomplete response for complete",
	func(f runner.Faults) {
		c := startCluster(smallSize())
		callers := c.startCallers(busyCallers, 4)
		callers.awaitCompleted(warmupResponses)
		setFaults(c.Models[0].URL, f)
		callers.awaitCompleted(moreResponses)
		setFaults(c.Models[0].URL, runner.Faults{})
		callers.awaitCompleted(moreResponses)
		records := callers.stop()
		Expect(withOutcome(records, load.WrongResponse)).To(BeEmpty())
		c.setModelFaults(f)
		r := callers.send(load.Arrival{Account: c.manifest.Accounts[0].Name, Zone: c.manifest.Zones[0].Name, Prompt: "all runners fail", Tokens: 9})
		Expect(r.Outcome).NotTo(BeElementOf(load.Completed, load.WrongResponse), fmt.Sprintf("%+v", r))
	},
	Entry("silent", runner.Faults{Silent: true}),
	Entry("incomplete responses", runner.Faults{Truncate: true}),
	Entry("responses with another request's ID", runner.Faults{WrongID: true}),
	Entry("crashing", runner.Faults{Crash: true}),
)

var _ = Describe("a rolling replacement of all routers", func() {
	It("interrupts no request and loses none", func() {
		c := startCluster(smallSize())
		callers := c.startCallers(busyCallers, 5)
		callers.awaitCompleted(warmupResponses)
		for _, p := range c.routers {
			Expect(p.stop()).To(BeZero(), p.name+" stops gracefully")
			callers.awaitCompleted(moreResponses)
			p.restart()
			c.awaitFullMembership()
			callers.awaitCompleted(moreResponses)
		}
		Expect(withOutcome(callers.stop(), load.Truncated, load.ConnectionFailed, load.WrongResponse)).To(BeEmpty())
	})
})

var _ = Describe("an account that floods the fleet", func() {
	It("keeps no other account from complete responses, and is refused without running the request", func() {
		c := startCluster(smallSize())
		flooding, other := c.manifest.Accounts[0].Name, c.manifest.Accounts[1].Name
		flood := c.startCallers(300, 6, flooding)
		callers := c.startCallers(4, 7, other)
		callers.awaitCompleted(200)
		records := callers.stop()
		Expect(withOutcome(records, load.Completed)).To(HaveLen(len(records)), "%v", withOutcome(records, load.Refused, load.ConnectionFailed, load.Canceled, load.Truncated))
		refused := withOutcome(flood.stop(), load.Refused)
		Expect(refused).NotTo(BeEmpty())
		for _, r := range refused {
			Expect(r.NotRun || r.Code >= int(code.EndpointError)).To(BeTrue(), "%+v", r)
		}
	})
})
