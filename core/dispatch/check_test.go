package dispatch_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

const healthPath = "/healthz"

// withHealthChecks returns a dispatcher whose services have health checks.
func withHealthChecks(self string, endpoints ...topology.Endpoint) *dispatch.Dispatcher {
	c := config()
	for i := range c.Services {
		c.Services[i].HealthPath = healthPath
	}
	d := newDispatcher(self, endpoints...)
	d.SetTable(topology.NewTable(c))
	d.SetRouters([]string{self})
	return d
}

func checkedIDs(checks []dispatch.Check) (ids []string) {
	for _, c := range checks {
		ids = append(ids, c.ID)
	}
	return ids
}

var _ = Describe("An endpoint whose record may be out of date", func() {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	// grantedWithin submits a request every gap and returns how many are granted.
	grantedWithin := func(d *dispatch.Dispatcher, from time.Time, duration, gap time.Duration, own uint64) (granted int) {
		for now := from; now.Before(from.Add(duration)); now = now.Add(gap) {
			own++
			t := d.Submit(now, chatRequest(now, "x", own))
			if t.State == dispatch.Granted {
				granted++
				d.Finish(now, t, dispatch.Completed)
				continue
			}
			d.Cancel(now, t)
			d.Poll(now)
		}
		return granted
	}

	It("gets no more than its cold rate once a health check has shown that it is cold", func() {
		d := withHealthChecks("r1", endpoint("e1", model, "a"))
		Expect(grantedWithin(d, start, time.Second, 10*time.Millisecond, 0)).To(Equal(100))
		due := d.ChecksDue(at(1000), nil)
		Expect(due).To(ConsistOf(dispatch.Check{Endpoint: endpoint("e1", model, "a"), Path: healthPath}))
		Expect(d.RecordHealth(at(1000), due[0].Endpoint, dispatch.Health{Endpoint: "e1", Cold: 3 * time.Second})).To(BeTrue())
		Expect(grantedWithin(d, at(2000), time.Second, 10*time.Millisecond, 200)).To(BeNumerically("~", 18, 2))
	})

	It("gets next to nothing for a second if it has got more than its cold rate before it was known to be cold", func() {
		d := withHealthChecks("r1", endpoint("e1", model, "a"))
		Expect(grantedWithin(d, start, 300*time.Millisecond, 10*time.Millisecond, 0)).To(Equal(30))
		d.RecordHealth(at(300), endpoint("e1", model, "a"), dispatch.Health{Endpoint: "e1", Cold: 3 * time.Second})
		Expect(grantedWithin(d, at(300), 700*time.Millisecond, 10*time.Millisecond, 100)).To(BeNumerically("<=", 1))
		Expect(grantedWithin(d, at(2000), time.Second, 10*time.Millisecond, 200)).To(BeNumerically("~", 18, 2))
	})

	It("gets the rest of its cold rate at once if it got less before", func() {
		d := withHealthChecks("r1", endpoint("e1", model, "a"))
		Expect(grantedWithin(d, start, time.Second, 200*time.Millisecond, 0)).To(Equal(5))
		d.RecordHealth(at(1000), endpoint("e1", model, "a"), dispatch.Health{Endpoint: "e1", Cold: 3 * time.Second})
		Expect(grantedWithin(d, at(1000), time.Second, 10*time.Millisecond, 100)).To(BeNumerically("~", 18, 2))
	})

	It("is checked by two of the live routers, in turn at most every 200 ms", func() {
		live := []string{"r1", "r2", "r3", "r4", "r5"}
		checkers := map[string]int{}
		for _, self := range live {
			d := withHealthChecks(self, endpoint("e1", model, "a"), endpoint("e2", model, "b"))
			others := slices.DeleteFunc(slices.Clone(live), func(name string) bool { return name == self })
			due := checkedIDs(d.ChecksDue(start, others))
			for _, id := range due {
				checkers[id]++
			}
			Expect(d.ChecksDue(at(100), others)).To(BeEmpty())
			Expect(checkedIDs(d.ChecksDue(at(200), others))).To(Equal(due))
			Expect(checkedIDs(d.ChecksDue(at(400), nil))).To(ConsistOf("e1", "e2"), "the others have gone silent")
		}
		Expect(checkers).To(Equal(map[string]int{"e1": 2, "e2": 2}))
	})

	It("is not checked where that tells nothing", func() {
		draining := endpoint("e1", model, "a")
		draining.Draining = true
		cold := endpoint("e2", model, "a")
		cold.ColdRemaining = time.Second
		d := withHealthChecks("r1", draining, cold, endpoint("e3", model, "out"), endpoint("e4", plain, "a"), endpoint("e5", model, "a"))
		d.SetZonesOut(start, map[string]bool{"out": true})
		Expect(checkedIDs(d.ChecksDue(start, nil))).To(Equal([]string{"e5"}))
		Expect(checkedIDs(d.ChecksDue(at(1500), nil))).To(Equal([]string{"e2", "e5"}), "the cold time has passed")
		Expect(newDispatcher("r1", endpoint("e1", model, "a")).ChecksDue(start, nil)).To(BeEmpty(), "the service has no health path")
	})

	It("gets no requests if another one responds at its address or it says that it leaves", func() {
		d := withHealthChecks("r1", endpoint("e1", model, "a"), endpoint("e2", model, "a"), endpoint("e3", model, "a"))
		Expect(d.RecordHealth(start, endpoint("e1", model, "a"), dispatch.Health{Endpoint: "other", Cold: time.Second})).To(BeTrue())
		Expect(d.RecordHealth(start, endpoint("e2", model, "a"), dispatch.Health{Endpoint: "e2", Notice: dispatch.Notice{Leaving: true}})).To(BeTrue())
		Expect(d.RecordHealth(start, endpoint("e3", model, "a"), dispatch.Health{})).To(BeFalse(), "the response names no endpoint")
		for i := range 3 {
			Expect(d.Submit(start, chatRequest(start, "x", uint64(10+i))).Endpoint.ID).To(Equal("e3"))
		}
	})

	It("is not asked during the pause that it asks for in a response to a health check or to a request", func() {
		d := withHealthChecks("r1", endpoint("e1", model, "a"), endpoint("e2", model, "a"))
		Expect(d.RecordHealth(start, endpoint("e1", model, "a"), dispatch.Health{Notice: dispatch.Notice{Pause: time.Second}})).To(BeTrue())
		d.RecordNotice(start, &dispatch.Ticket{Endpoint: endpoint("e2", model, "a")}, dispatch.Notice{Pause: 2 * time.Second})
		Expect(d.ChecksDue(at(900), nil)).To(BeEmpty())
		Expect(checkedIDs(d.ChecksDue(at(1000), nil))).To(Equal([]string{"e1"}))
		Expect(checkedIDs(d.ChecksDue(at(2000), nil))).To(Equal([]string{"e1", "e2"}))
	})

	It("is another one after a restart, so that an earlier check says nothing", func() {
		d := withHealthChecks("r1", endpoint("e1", model, "a"))
		restarted := endpoint("e1", model, "a")
		restarted.StartMillis++
		d.SetEndpoints(start, []topology.Endpoint{restarted})
		Expect(d.RecordHealth(start, endpoint("e1", model, "a"), dispatch.Health{Endpoint: "e1", Cold: time.Second})).To(BeFalse())
		Expect(grantedWithin(d, start, 100*time.Millisecond, 10*time.Millisecond, 0)).To(Equal(10))
	})
})
