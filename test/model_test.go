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
	busyCallers  = 24
	warmAnswers  = 60 // answers after which a small cluster is warm
	moreAnswers  = 60
	poison       = "poisoned-cloth"
	poisonResent = 6
	// maxCrashes of one poisoned request: "a request that crashed two
	// endpoints is quarantined".
	maxCrashes = 2
)

// progress waits until callers have got n more whole answers.
func (s *callers) progress(n int64) {
	GinkgoHelper()
	from := s.whole.Load()
	Eventually(s.whole.Load).Should(BeNumerically(">=", from+n), s.describe)
}

// describe says how the requests so far ended.
func (s *callers) describe() string {
	counts := map[string]int{}
	for _, r := range s.log.Records() {
		counts[fmt.Sprintf("%s %d", r.Outcome, r.Code)]++
	}
	return fmt.Sprintf("callers get answers; ends so far: %v; runners: %+v", counts, s.cluster.stats())
}

var _ = Describe("a zone that is taken out under load", func() {
	It("receives no new work, loses none in progress and returns", func() {
		c := startCluster(small())
		callers := c.startCallers(busyCallers, 1)
		callers.progress(warmAnswers)
		zone := c.Models[0].Zone
		c.inForce(c.setZone(zone, manifest.Out))
		Eventually(func() int { return c.inZone(zone).Running }).Should(BeZero(), "work in progress ends")
		started := c.inZone(zone).Started
		callers.progress(moreAnswers)
		Expect(c.inZone(zone).Started).To(Equal(started), "new work after the change was in force")
		c.inForce(c.setZone(zone, manifest.In))
		Eventually(func() int { return c.inZone(zone).Started }).Should(BeNumerically(">", started), "the zone returns")
		callers.progress(moreAnswers)
		records := callers.stop()
		Expect(ended(records, load.Truncated, load.ConnectionFailed, load.WrongResponse)).To(BeEmpty())
	})
})

// inZone adds up the counts of a zone's model runners.
func (c *cluster) inZone(zone string) runner.Stats {
	var sum runner.Stats
	all := c.stats()
	for _, r := range c.Models {
		if r.Zone == zone {
			sum.Running += all[r.Name].Running
			sum.Started += all[r.Name].Started
		}
	}
	return sum
}

var _ = Describe("a cold endpoint", func() {
	It("never bears more than its cold limit, through a kill of each router and of a runner", func() {
		c := startCluster(small())
		callers := c.startCallers(busyCallers, 2)
		callers.progress(warmAnswers)
		for _, p := range c.routers {
			p.kill()
			callers.progress(moreAnswers)
			p.restart()
			c.fullView()
		}
		c.models[0].kill()
		callers.progress(moreAnswers)
		c.models[0].restart()
		Eventually(func() int { return c.stats()[c.Models[0].Name].Responses }).Should(BeNumerically(">", 10), "the runner returns")
		Expect(ended(callers.stop(), load.WrongResponse)).To(BeEmpty())
		for _, e := range c.manifest.Endpoints {
			Expect(c.stats()[e.Name].MaxWhenCold).To(BeNumerically("<=", e.ColdSlots), e.Name)
		}
	})
})

var _ = Describe("a request that crashes endpoints", func() {
	It("crashes at most two and is then refused by its own code", func() {
		c := startCluster(small())
		callers := c.startCallers(1, 3)
		callers.progress(10)
		c.modelFault(runner.Faults{CrashOn: poison})
		before := c.crashes()
		var last load.Record
		for i := range poisonResent {
			zone := c.manifest.Zones[i%len(c.manifest.Zones)].Name
			last = callers.send(load.Arrival{Account: c.manifest.Accounts[0].Name, Zone: zone, Prompt: poison + " for the band", Tokens: 4})
			Expect(last.Outcome).NotTo(Equal(load.Completed))
			AddReportEntry("poisoned request", fmt.Sprintf("code %d not run %v, runners %+v", last.Code, last.NotRun, c.stats()))
		}
		Expect(c.crashes() - before).To(BeNumerically("<=", maxCrashes))
		Expect(isCode(last, code.Quarantined)).To(BeTrue(), "code %d", last.Code)
		callers.progress(10)
		Expect(ended(callers.stop(), load.WrongResponse)).To(BeEmpty())
	})
})

func (c *cluster) crashes() int {
	n := 0
	for _, s := range c.stats() {
		n += s.Crashes
	}
	return n
}

var _ = DescribeTable("an endpoint that answers badly never gives a caller a wrong or short answer as whole",
	func(f runner.Faults) {
		c := startCluster(small())
		callers := c.startCallers(busyCallers, 4)
		callers.progress(warmAnswers)
		fault(c.Models[0].URL, f)
		callers.progress(moreAnswers)
		fault(c.Models[0].URL, runner.Faults{})
		callers.progress(moreAnswers)
		records := callers.stop()
		Expect(ended(records, load.WrongResponse)).To(BeEmpty())
		c.modelFault(f)
		r := callers.send(load.Arrival{Account: c.manifest.Accounts[0].Name, Zone: c.manifest.Zones[0].Name, Prompt: "all runners fail", Tokens: 9})
		Expect(r.Outcome).NotTo(BeElementOf(load.Completed, load.WrongResponse), fmt.Sprintf("%+v", r))
	},
	Entry("silent", runner.Faults{Silent: true}),
	Entry("cut short", runner.Faults{Truncate: true}),
	Entry("crossed", runner.Faults{WrongID: true}),
	Entry("crashing", runner.Faults{Crash: true}),
)

var _ = Describe("a rolling replacement of all routers", func() {
	It("cuts no request and loses none", func() {
		c := startCluster(small())
		callers := c.startCallers(busyCallers, 5)
		callers.progress(warmAnswers)
		for _, p := range c.routers {
			Expect(p.stop()).To(BeZero(), p.name+" stops gracefully")
			callers.progress(moreAnswers)
			p.restart()
			c.fullView()
			callers.progress(moreAnswers)
		}
		Expect(ended(callers.stop(), load.Truncated, load.ConnectionFailed, load.WrongResponse)).To(BeEmpty())
	})
})

var _ = Describe("an account that floods", func() {
	It("keeps no other account from whole answers, and is refused as not run", func() {
		c := startCluster(small())
		flooding, other := c.manifest.Accounts[0].Name, c.manifest.Accounts[1].Name
		flood := c.startCallers(300, 6, flooding)
		callers := c.startCallers(4, 7, other)
		callers.progress(200)
		records := callers.stop()
		Expect(ended(records, load.Completed)).To(HaveLen(len(records)), "%v", ended(records, load.Refused, load.ConnectionFailed, load.Canceled, load.Truncated))
		refused := ended(flood.stop(), load.Refused)
		Expect(refused).NotTo(BeEmpty())
		for _, r := range refused {
			Expect(r.NotRun || r.Code >= int(code.EndpointError)).To(BeTrue(), "%+v", r)
		}
	})
})
