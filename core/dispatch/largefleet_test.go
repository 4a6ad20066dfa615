package dispatch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/route"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

var _ = Describe("A large fleet", func() {
	// newLargeFleet returns a dispatcher that knows 90 other routers.
	newLargeFleet := func(endpoints ...topology.Endpoint) *dispatch.Dispatcher {
		d := newDispatcher("r0", endpoints...)
		names := []string{"r0"}
		for i := 1; i < 91; i++ {
			names = append(names, fmt.Sprint("r", i))
		}
		d.SetRouters(names)
		return d
	}

	It("lets a router flooded by one account use half of an endpoint's slots", func() {
		// An even share of the connections is below one request in a fleet of 91
		// routers, and one account may send everything to one router.
		c := config()
		c.Services[0].MaxConnections = 30
		d := newLargeFleet(endpoint("e1", model, "a"))
		d.SetTable(topology.NewTable(c))
		granted := 0
		for i := range 2 * slots {
			if t := d.Submit(start, chatRequest(start, "flood", uint64(100+i))); t.State == dispatch.Granted {
				granted++
			}
			d.SetPeerReport(start, "r1", dispatch.Report{})
		}
		Expect(granted).To(BeNumerically(">", 1))
		Expect(granted).To(BeNumerically("<=", slots/2))
	})

	It("does not refuse requests for a long queue while the rest of the fleet is idle", func() {
		// Guards against a flooded router that assumes only its even share of the
		// capacity and refuses requests while all endpoints are idle.
		d := newLargeFleet(endpoint("e1", model, "a"))
		for i := range 40 {
			t := d.Submit(start, chatRequest(start, "flood", uint64(100+i)))
			Expect(t.State).NotTo(Equal(dispatch.Refused), "request %d: expected wait %v", i, t.ExpectedWait)
		}
	})

	It("lets accounts beyond their shares yield to one that gets much less than its share at another router", func() {
		// state returns what a request of the account gets beside 2 of 8 slots in use.
		state := func(account string, poorGranted float64) dispatch.State {
			d := newLargeFleet(endpoint("e1", model, "a"))
			d.SetPeerReport(start, "r1", dispatch.Report{
				Endpoints: []dispatch.EndpointReport{{Endpoint: "e1", Load: dispatch.Load{Active: 2}}},
				Accounts: []dispatch.AccountReport{
					{Service: model, Account: "rich", Demand: 400_000, Granted: 110_000},
					{Service: model, Account: "poor", Demand: 400_000, Granted: poorGranted},
				},
			})
			return d.Submit(start, chatRequest(start, account, 100)).State
		}
		Expect(state("rich", 100_000)).To(Equal(dispatch.Granted), "no account gets much less than its share")
		Expect(state("rich", 40_000)).NotTo(Equal(dispatch.Granted))
		Expect(state("other", 40_000)).To(Equal(dispatch.Granted), "within its share")
	})

	It("does not wait for prompts that an endpoint has read since peers reported them", func() {
		state := func(delay time.Duration) dispatch.State {
			d := newLargeFleet(endpoint("e1", model, "a"))
			d.SetReportDelay(delay)
			d.SetPeerReport(start, "r1", dispatch.Report{Endpoints: []dispatch.EndpointReport{{Endpoint: "e1", Load: dispatch.Load{Active: 2, Pending: 11_000}}}})
			return d.Submit(start, chatRequest(start, "a", 100)).State
		}
		Expect(state(0)).To(Equal(dispatch.Waiting), "the endpoint needs 137 ms for these prompts")
		Expect(state(100 * time.Millisecond)).To(Equal(dispatch.Granted))
	})

	It("counts the prompts that this router has sent itself in full", func() {
		d := newLargeFleet(endpoint("e1", model, "a"))
		d.SetReportDelay(160 * time.Millisecond)
		for i := range 2 {
			Expect(d.Submit(start, longChatRequest(start, "a", uint64(10+i), uint64(20+i))).State).To(Equal(dispatch.Granted))
		}
		Expect(d.Submit(start, chatRequest(start, "a", 100)).State).To(Equal(dispatch.Waiting))
	})

	It("keeps slots free for accounts within their share when slots are what a service lacks", func() {
		// Guards against an account that gets a third of its share although the
		// configured capacity, in tokens, is not used up.
		c := config()
		c.Limits.TokensPerSec = 10_000_000
		state := func(account string, granted float64) dispatch.State {
			d := newLargeFleet(endpoint("e1", model, "a"))
			d.SetTable(topology.NewTable(c))
			d.SetPeerReport(start, "r1", dispatch.Report{
				Endpoints: []dispatch.EndpointReport{{Endpoint: "e1", Load: dispatch.Load{Active: slots - 1}}},
				Accounts: []dispatch.AccountReport{
					{Service: model, Account: "rich", Demand: 400_000, Granted: granted},
					{Service: model, Account: "poor", Demand: 100_000, Granted: 30_000},
				},
			})
			return d.Submit(start, chatRequest(start, account, 100)).State
		}
		Expect(state("rich", 200_000)).NotTo(Equal(dispatch.Granted))
		Expect(state("poor", 200_000)).To(Equal(dispatch.Granted))
		Expect(state("rich", 390_000)).To(Equal(dispatch.Granted), "nearly all that is asked for is granted")
	})

	It("orders requests that can still begin in time before those that can't", func() {
		// Guards against slots that go to requests which are late at any endpoint.
		d := newLargeFleet(endpoint("e1", model, "a"))
		full := func(active, pending int) {
			d.SetPeerReport(start, "r1", dispatch.Report{Endpoints: []dispatch.EndpointReport{{Endpoint: "e1", Load: dispatch.Load{Active: active, Pending: pending}}}})
		}
		full(slots, 0)
		waiting := d.Submit(start, chatRequest(start, "first", 100))
		Expect(waiting.State).To(Equal(dispatch.Waiting))
		d.Poll(start.Add(time.Millisecond))
		objective := waiting.Request.Objective
		at := objective.Add(-16 * time.Millisecond) // the endpoint needs more than that for the prompt
		fresh := d.Submit(at, chatRequest(at, "second", 200))
		full(slots-1, 0)
		d.Poll(at)
		Expect(fresh.State).To(Equal(dispatch.Granted))
		Expect(waiting.State).To(Equal(dispatch.Waiting))
		Expect(waiting.ObjectiveMissed).To(BeTrue())
	})

	It("grants an account with little usage room in endpoints filled by accounts beyond their shares", func() {
		// Guards against an account at one router that gets a third of its share,
		// since endpoints look full to that router.
		d := newLargeFleet(endpoint("e1", model, "a"))
		others := dispatch.Report{
			Endpoints: []dispatch.EndpointReport{{Endpoint: "e1", Load: dispatch.Load{Active: slots / 2, Pending: 9000}}},
			Accounts: []dispatch.AccountReport{
				{Service: model, Account: "large", Demand: 400_000, Granted: 300_000},
				{Service: model, Account: "half", Demand: 400_000, Granted: 240_000},
			},
		}
		d.SetPeerReport(start, "r1", others)
		placed := func(account string, own uint64) dispatch.State {
			return d.Submit(start, chatRequest(start, account, own)).State
		}
		Expect(placed("large", 100)).NotTo(Equal(dispatch.Granted), "beyond its share")
		d = newLargeFleet(endpoint("e1", model, "a"))
		d.SetPeerReport(start, "r1", others)
		Expect(placed("half", 101)).NotTo(Equal(dispatch.Granted), "near its share")
		d = newLargeFleet(endpoint("e1", model, "a"))
		d.SetPeerReport(start, "r1", others)
		Expect(placed("poor", 102)).To(Equal(dispatch.Granted))
	})

	It("lets no account get much more than twice as much as one that asks for as much", func() {
		// share is what accounts may use in two seconds while two others share 200,000.
		share := func(poor, poorGranted float64) float64 {
			d := newLargeFleet(endpoint("e1", model, "a"))
			d.SetPeerReport(start, "r1", dispatch.Report{Accounts: []dispatch.AccountReport{
				{Service: model, Account: "rich", Demand: 400_000, Granted: 100_000},
				{Service: model, Account: "poor", Demand: poor, Granted: poorGranted},
			}})
			return d.Submit(start, chatRequest(start, "rich", 100)).FairShare
		}
		Expect(share(90_000, 30_000)).To(BeNumerically("~", 110_000, 1_000), "the other account asks for less than half")
		Expect(share(400_000, 80_000)).To(BeNumerically("~", 100_000, 1_000), "not much less")
		Expect(share(400_000, 45_000)).To(BeNumerically("~", 1.7*45_000, 1_000))
		Expect(share(400_000, 5_000)).To(BeNumerically("~", 0.6*100_000, 1_000), "which may lack CPU time of its router")
	})

	It("reports the demand of clients that it has no CPU time for", func() {
		d := newLargeFleet(endpoint("e1", model, "a"))
		d.SetDemandFactor(4)
		d.Submit(start, chatRequest(start, "x", 100))
		Expect(d.Report(start.Add(200 * time.Millisecond)).Accounts[0].Demand).To(BeNumerically("~", 4*1100*0.9, 50))
	})

	It("lets an account that gets much less than its share wait inside full endpoints", func() {
		full := func(granted float64) dispatch.State {
			d := newLargeFleet(endpoint("e1", model, "a"))
			d.SetPeerReport(start, "r1", dispatch.Report{
				Endpoints: []dispatch.EndpointReport{{Endpoint: "e1", Load: dispatch.Load{Active: slots / 2, Pending: 18_000}}},
				Accounts: []dispatch.AccountReport{
					{Service: model, Account: "large", Demand: 400_000, Granted: 300_000},
					{Service: model, Account: "poor", Demand: 400_000, Granted: granted},
				},
			})
			return d.Submit(start, chatRequest(start, "poor", 100)).State
		}
		Expect(full(140_000)).NotTo(Equal(dispatch.Granted))
		Expect(full(50_000)).To(Equal(dispatch.Granted))
	})

	It("sums the reports of a row, and forwards placements and crashes of all its routers", func() {
		d := newLargeFleet(endpoint("e1", model, "a"), endpoint("e2", model, "a"))
		d.Submit(start, chatRequest(start, "a", 100))
		own := d.Report(start).Endpoints[0]
		d.SetPeerReport(start, "r1", dispatch.Report{
			Incarnation: 1,
			Endpoints:   []dispatch.EndpointReport{{Endpoint: own.Endpoint, Load: dispatch.Load{Active: 2, Pending: 3, Resident: 4}}},
			Accounts:    []dispatch.AccountReport{{Service: model, Account: "a", Demand: 5, Granted: 6}, {Service: model, Account: "b", Demand: 7, Granted: 8}},
			Placements:  []dispatch.Placement{{Sequence: 9, Endpoint: "e2", Parts: []uint64{7}, NewTokens: 10}},
			Crashes:     []route.Crash{{Fingerprint: 11, Endpoint: "e1"}},
		})
		row := d.RowReport(start, []string{"r1", "silent"})
		Expect(row.Endpoints).To(ConsistOf(dispatch.EndpointReport{Endpoint: own.Endpoint,
			Load: dispatch.Load{Active: own.Active + 2, Pending: own.Pending + 3, Resident: own.Resident + 4}}))
		Expect(row.Accounts).To(ConsistOf(
			dispatch.AccountReport{Service: model, Account: "a", Demand: 1105, Granted: 1106},
			dispatch.AccountReport{Service: model, Account: "b", Demand: 7, Granted: 8}))
		Expect(row.Placements).To(HaveLen(2))
		Expect(row.Crashes).To(HaveLen(1))
		Expect(d.Report(start).Placements).To(HaveLen(1))
		Expect(d.Report(start).Crashes).To(BeEmpty())

		By("not forwarding what another row reported")
		d.SetRowReport(start, "row", dispatch.Report{Incarnation: 1, Placements: []dispatch.Placement{{Sequence: 1, Endpoint: "e1", Parts: []uint64{8}}}, Crashes: []route.Crash{{Fingerprint: 12, Endpoint: "e1"}}})
		Expect(d.RowReport(start, nil).Placements).To(HaveLen(2))
		Expect(d.RowReport(start, nil).Crashes).To(HaveLen(1))
	})

	It("quarantines a request that crashed endpoints used by different routers", func() {
		d := newLargeFleet(endpoint("e1", model, "a"))
		d.RecordCrash(start, 5, endpoint("e1", model, "a"))
		Expect(d.Quarantined(start, 5)).To(BeFalse())
		same := d.RowReport(start, nil).Crashes
		Expect(same).To(HaveLen(1))
		for range 3 { // several heartbeats repeat the same crash
			d.SetRowReport(start, "row", dispatch.Report{Crashes: same})
		}
		Expect(d.Quarantined(start, 5)).To(BeFalse(), "the same crash counts once")
		d.SetRowReport(start, "row", dispatch.Report{Crashes: []route.Crash{{Fingerprint: 5, Endpoint: "e2"}}})
		Expect(d.Quarantined(start, 5)).To(BeTrue())
		Expect(d.Quarantined(start, 6)).To(BeFalse())
	})
})
