package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/admission"
	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/route"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Admission")
}

// fixture drives one pool on a virtual clock.
type fixture struct {
	*admission.Pool
	now time.Time
	seq uint64
}

func newFixture(members ...string) *fixture {
	b := &fixture{Pool: admission.NewPool(route.NewQuarantine()), now: time.Unix(1000, 0)}
	b.SetMembers(b.now, members)
	return b
}

func (b *fixture) configure(endpoints ...admission.Endpoint) {
	b.Configure(b.now, []admission.Account{
		{Name: "hotels", Share: 1, MaxQueue: 10, MaxWait: time.Second},
		{Name: "cafes", Share: 1, MaxQueue: 10, MaxWait: time.Second},
	}, endpoints)
}

func (b *fixture) submit(req admission.Request) admission.RequestID {
	b.seq++
	req.ID = admission.RequestID{Router: "a", Seq: b.seq}
	if req.Account == "" {
		req.Account = "hotels"
	}
	if req.CostHint == 0 {
		req.CostHint = 10
	}
	b.Submit(b.now, req)
	return req.ID
}

func (b *fixture) step() admission.Decisions { return b.Step(b.now) }

// serve runs n requests in turn, each taking twice the given time to first token.
func (b *fixture) serve(n int, ttft time.Duration) {
	for range n {
		b.submit(admission.Request{})
		for _, g := range b.step().Grants {
			b.now = b.now.Add(2 * ttft)
			b.Release(b.now, admission.Release{ID: g.ID, Cost: 10, TimeToFirstToken: ttft})
		}
	}
}

func (b *fixture) release(id admission.RequestID, o admission.Outcome) {
	b.now = b.now.Add(time.Millisecond)
	b.Release(b.now, admission.Release{ID: id, Outcome: o})
}

func openEndpoint(name string, slots, cold int) admission.Endpoint {
	return admission.Endpoint{Name: name, Zone: "z", Slots: slots, ColdSlots: cold, AcceptsWork: true}
}

var _ = Describe("an owner that has just started", func() {
	var b *fixture

	BeforeEach(func() {
		b = newFixture("a", "b")
		b.configure(openEndpoint("e", 4, 1))
		b.Sync(b.now, admission.SyncReport{Router: "a"})
		b.submit(admission.Request{})
	})

	It("gives a cold endpoint nothing before every member has reported", func() {
		Expect(b.step().Grants).To(BeEmpty())
		b.Sync(b.now, admission.SyncReport{Router: "b"})
		Expect(b.step().Grants).To(HaveLen(1))
	})

	It("counts what members report as held", func() {
		b.Sync(b.now, admission.SyncReport{Router: "b", Held: []admission.HeldSlot{{ID: admission.RequestID{Router: "b", Seq: 9}, Endpoint: "e", Account: "hotels"}}})
		Expect(b.step().Grants).To(BeEmpty())
	})

	It("accepts a report of warmth unless a newer connection failure is known", func() {
		warm := admission.Warmth{Endpoint: "e", ProvenSlots: 4, Age: time.Second}
		b.Sync(b.now, admission.SyncReport{Router: "b", Warmth: []admission.Warmth{warm}})
		Expect(b.Endpoints()[0].ProvenSlots).To(Equal(4))
		b.Sync(b.now, admission.SyncReport{Router: "a", Warmth: []admission.Warmth{{Endpoint: "e", Age: time.Millisecond}}})
		Expect(b.Endpoints()[0].ProvenSlots).To(BeZero())
		b.Sync(b.now, admission.SyncReport{Router: "b", Warmth: []admission.Warmth{warm}})
		Expect(b.Endpoints()[0].ProvenSlots).To(BeZero())
	})

	It("learns from other members that one was removed before it started", func() {
		b.Sync(b.now, admission.SyncReport{Router: "b", LastRemoval: b.now.Add(-10 * time.Second)})
		Expect(b.step().Grants).To(BeEmpty())
		b.now = b.now.Add(21 * time.Second)
		b.submit(admission.Request{})
		Expect(b.step().Grants).To(HaveLen(1))
	})

	It("holds the unknown slots of a member that was removed before it reported", func() {
		b.SetMembers(b.now, []string{"a"})
		Expect(b.step().Grants).To(BeEmpty())
		b.now = b.now.Add(31 * time.Second)
		b.submit(admission.Request{})
		Expect(b.step().Grants).To(HaveLen(1))
	})
})

var _ = Describe("an owner that has lost a member", func() {
	var b *fixture
	var held admission.RequestID

	BeforeEach(func() {
		b = newFixture("a", "b")
		b.configure(openEndpoint("e", 4, 2))
		b.Sync(b.now, admission.SyncReport{Router: "a"})
		b.Sync(b.now, admission.SyncReport{Router: "b"})
		held = admission.RequestID{Router: "b", Seq: 1}
		b.Submit(b.now, admission.Request{ID: held, Account: "hotels"})
		Expect(b.step().Grants).To(HaveLen(1))
		b.SessionClosed(b.now, "b")
	})

	// limit returns the endpoint's limit after the given time has passed.
	limit := func(elapsed time.Duration) int {
		b.now = b.now.Add(elapsed)
		b.step()
		return b.Endpoints()[0].Limit
	}

	It("relies on the member's last report for 15 s, then leaves cold endpoints unused", func() {
		Expect(limit(14 * time.Second)).To(Equal(1))
		Expect(limit(time.Second)).To(BeZero())
	})

	It("counts a removed member's slots for 30 s", func() {
		b.SetMembers(b.now, []string{"a"})
		Expect(limit(29 * time.Second)).To(Equal(2))
		Expect(b.Endpoints()[0].Busy).To(Equal(1))
		limit(time.Second)
		Expect(b.Endpoints()[0].Busy).To(BeZero())
	})

	It("frees the member's slots at once if it stopped gracefully", func() {
		b.MemberStopped("b")
		b.SetMembers(b.now, []string{"a"})
		Expect(b.Endpoints()[0].Busy).To(BeZero())
	})

	It("doubts the warmth of an idle endpoint well before it could have restarted", func() {
		// With all failures together, seed 21, the update that an endpoint was in
		// use came late: the endpoint had restarted before its warmth expired.
		const start, delay = 2 * time.Second, 500 * time.Millisecond
		b.Sync(b.now, admission.SyncReport{Router: "a", Warmth: []admission.Warmth{{Endpoint: "e", ProvenSlots: 4, Age: time.Second}}})
		limit(start - delay - time.Second)
		Expect(b.Endpoints()[0].ProvenSlots).To(BeZero())
	})

	It("doubts the warmth of an endpoint that only the lost member uses", func() {
		b.Sync(b.now, admission.SyncReport{Router: "a", Warmth: []admission.Warmth{{Endpoint: "e", ProvenSlots: 4, Age: time.Second}}})
		Expect(limit(0)).To(Equal(2))
		Expect(b.Endpoints()[0].ProvenSlots).To(Equal(4))
		limit(3 * time.Second)
		Expect(b.Endpoints()[0].ProvenSlots).To(BeZero())
	})
})

var _ = Describe("a pool in use", func() {
	var b *fixture

	BeforeEach(func() {
		b = newFixture("a")
		b.configure(openEndpoint("e", 8, 1), openEndpoint("f", 8, 1))
		b.Sync(b.now, admission.SyncReport{Router: "a"})
	})

	It("lets a request without a usable endpoint block neither its account nor the step", func() {
		b.submit(admission.Request{Avoid: []string{"e"}})
		b.step()
		b.submit(admission.Request{Avoid: []string{"f"}})
		b.step()
		b.submit(admission.Request{Avoid: []string{"e", "f"}})
		Expect(b.step().Refusals).To(HaveExactElements(HaveField("Code", code.NoEndpoint)))
		held := b.submit(admission.Request{})
		Expect(b.step().Grants).To(BeEmpty())
		b.Cancel(held)
		Expect(b.Waiting()).To(BeZero())
	})

	It("skips an account's first request if that can't use the free slot", func() {
		b.submit(admission.Request{})
		b.submit(admission.Request{})
		held := b.step().Grants
		Expect(held).To(HaveLen(2))
		b.submit(admission.Request{Avoid: []string{held[0].Endpoint}})
		unrestricted := b.submit(admission.Request{})
		b.release(held[0].ID, admission.Completed)
		Expect(b.step().Grants).To(HaveExactElements(HaveField("ID", unrestricted)))
	})

	It("gives an endpoint that accepts no work nothing and lets its running requests end", func() {
		id := b.submit(admission.Request{})
		name := b.step().Grants[0].Endpoint
		b.configure(openEndpoint("e", 8, 1), admission.Endpoint{Name: "f", Zone: "z", Slots: 8, ColdSlots: 1})
		if name == "e" {
			b.configure(admission.Endpoint{Name: "e", Zone: "z", Slots: 8, ColdSlots: 1}, openEndpoint("f", 8, 1))
		}
		b.submit(admission.Request{})
		b.submit(admission.Request{})
		Expect(b.step().Grants).To(HaveExactElements(HaveField("Endpoint", Not(Equal(name)))))
		b.release(id, admission.Completed)
		Expect(b.step().Grants).To(BeEmpty())
	})

	It("refuses a request at once if it can't be served in time, and says when it can", func() {
		b.configure(openEndpoint("e", 1, 1))
		b.serve(10, 400*time.Millisecond)
		b.submit(admission.Request{})
		b.submit(admission.Request{})
		b.submit(admission.Request{})
		Expect(b.step().Refusals).To(BeEmpty())
		b.submit(admission.Request{})
		Expect(b.step().Refusals).To(HaveExactElements(And(
			HaveField("Code", code.WaitTooLong),
			HaveField("RetryAfter", BeNumerically("~", 1400*time.Millisecond, 500*time.Millisecond)))))
	})

	It("quarantines a request that crashed two endpoints, not one that ran beside it", func() {
		b.configure(openEndpoint("e", 8, 8), openEndpoint("f", 8, 8), openEndpoint("g", 8, 8), openEndpoint("h", 8, 8))
		crasher := b.submit(admission.Request{Fingerprint: 1, Account: "cafes"})
		harmless := b.submit(admission.Request{Fingerprint: 2, Avoid: []string{"f", "g", "h"}})
		grants := b.step().Grants
		b.release(crasher, admission.Crashed)
		b.release(harmless, admission.Crashed)
		avoid := []string{grants[0].Endpoint}
		crasher = b.submit(admission.Request{Fingerprint: 1, Account: "cafes", Avoid: avoid})
		harmless = b.submit(admission.Request{Fingerprint: 2, Avoid: avoid})
		grants = b.step().Grants
		Expect(grants).To(HaveLen(2))
		Expect(grants[0].Endpoint).NotTo(Equal(grants[1].Endpoint))
		b.release(crasher, admission.Crashed)
		b.release(harmless, admission.Completed)
		Expect(b.step().Crashes).To(HaveExactElements(HaveField("Fingerprint", uint64(1))))
		b.submit(admission.Request{Fingerprint: 1})
		b.submit(admission.Request{Fingerprint: 2})
		d := b.step()
		Expect(d.Refusals).To(HaveExactElements(HaveField("Code", code.Quarantined)))
		Expect(d.Grants).To(HaveLen(1))
	})

	It("counts a crash that breaks many connections once", func() {
		b.configure(openEndpoint("e", 8, 8))
		var ids []admission.RequestID
		for range 8 {
			ids = append(ids, b.submit(admission.Request{}))
		}
		b.step()
		b.now = b.now.Add(time.Millisecond)
		for _, id := range ids {
			b.Release(b.now, admission.Release{ID: id, Outcome: admission.Crashed})
		}
		Expect(b.step().Paused).To(HaveExactElements("e"))
		b.now = b.now.Add(1100 * time.Millisecond)
		b.submit(admission.Request{})
		Expect(b.step().Grants).To(HaveLen(1))
	})

	It("treats an endpoint as cold after two slow first tokens in a row", func() {
		b.configure(openEndpoint("e", 8, 1))
		b.serve(12, 100*time.Millisecond)
		Expect(b.Endpoints()[0].ProvenSlots).To(BeNumerically(">", 1))
		b.serve(2, time.Second)
		Expect(b.Endpoints()[0].ProvenSlots).To(BeZero())
	})

	It("does not reduce the capacity because of one account's failing requests", func() {
		b.configure(openEndpoint("e", 8, 1))
		b.serve(12, 100*time.Millisecond)
		for range 5 {
			id := b.submit(admission.Request{})
			b.step()
			b.release(id, admission.Failed)
		}
		Expect(b.Endpoints()[0].ProvenSlots).NotTo(BeZero())
		id := b.submit(admission.Request{Account: "cafes"})
		b.step()
		b.release(id, admission.Failed)
		Expect(b.Endpoints()[0].ProvenSlots).To(BeZero())
	})

	It("holds the slot of a cancelled request for 200 ms at a cold endpoint, not at a warm one", func() {
		b.configure(openEndpoint("e", 4, 1))
		cancelled := b.submit(admission.Request{})
		b.step()
		b.release(cancelled, admission.Canceled)
		b.submit(admission.Request{})
		Expect(b.step().Grants).To(BeEmpty())
		b.now = b.now.Add(200 * time.Millisecond)
		granted := b.step().Grants
		Expect(granted).To(HaveLen(1))
		b.release(granted[0].ID, admission.Completed)
		b.serve(20, 10*time.Millisecond)
		cancelled = b.submit(admission.Request{})
		b.step()
		b.release(cancelled, admission.Canceled)
		for range 4 {
			b.submit(admission.Request{})
		}
		Expect(b.step().Grants).To(HaveLen(b.Endpoints()[0].Limit))
	})

	It("restarts the count of complete responses of a cold endpoint that was idle", func() {
		b.configure(openEndpoint("e", 8, 1))
		b.serve(7, 100*time.Millisecond)
		b.now = b.now.Add(10 * time.Second)
		b.serve(1, 100*time.Millisecond)
		Expect(b.Endpoints()[0].ProvenSlots).To(BeZero())
		b.serve(7, 100*time.Millisecond)
		Expect(b.Endpoints()[0].ProvenSlots).NotTo(BeZero())
	})

	It("doubts the warmth of an endpoint that only a silent router uses", func() {
		b.configure(openEndpoint("e", 8, 1))
		b.serve(30, 100*time.Millisecond)
		b.submit(admission.Request{})
		Expect(b.step().Grants).To(HaveLen(1))
		b.SetResponsive(b.now, "a", false)
		b.now = b.now.Add(3 * time.Second)
		b.submit(admission.Request{})
		Expect(b.step().Grants).To(BeEmpty(), "it may have restarted unnoticed")
		b.SetResponsive(b.now, "a", true)
		Expect(b.Endpoints()[0].ProvenSlots).To(BeZero())
	})

	It("doubts the warmth of an endpoint that was idle until one first token at normal speed", func() {
		b.configure(openEndpoint("e", 8, 1))
		b.serve(30, 100*time.Millisecond)
		proven := b.Endpoints()[0].ProvenSlots
		b.now = b.now.Add(10 * time.Second)
		b.submit(admission.Request{})
		b.submit(admission.Request{})
		grants := b.step().Grants
		Expect(grants).To(HaveLen(1))
		b.UpdateProgress(b.now.Add(100*time.Millisecond), grants[0].ID, 1, 100*time.Millisecond)
		Expect(b.step().Grants).To(HaveLen(1))
		Expect(b.Endpoints()[0].ProvenSlots).To(Equal(proven))
	})
})

// fullPool returns a pool of warm endpoints with all slots in use and the given
// number of waiting requests.
func fullPool(endpoints, accounts, waiting int) (*fixture, []admission.RequestID) {
	b := newFixture("a")
	var es []admission.Endpoint
	for i := range endpoints {
		e := openEndpoint(fmt.Sprintf("e-%05d", i), 8, 8)
		e.Zone = fmt.Sprintf("z-%d", i%3)
		es = append(es, e)
	}
	var as []admission.Account
	for i := range accounts {
		as = append(as, admission.Account{Name: fmt.Sprintf("account-%04d", i), Share: 1, MaxQueue: waiting, MaxWait: time.Hour})
	}
	b.Configure(b.now, as, es)
	b.Sync(b.now, admission.SyncReport{Router: "a"})
	var held []admission.RequestID
	for i := range waiting + 8*endpoints {
		id := b.submit(admission.Request{Account: as[i%accounts].Name, Zone: "z-0", Prefix: uint64(i%5000 + 1)})
		if i < 8*endpoints {
			held = append(held, id)
		}
	}
	b.step()
	return b, held
}

// BenchmarkGrant measures the work of an owner per request: releasing a slot,
// granting it to the next request and queueing a new request.
func BenchmarkGrant(b *testing.B) {
	for _, size := range []struct{ endpoints, accounts, waiting int }{
		{15, 16, 1000}, {70, 16, 4000}, {70, 220, 4000}, {70, 2200, 4400}, {12_000, 2200, 4400},
	} {
		b.Run(fmt.Sprintf("endpoints=%d/accounts=%d/waiting=%d", size.endpoints, size.accounts, size.waiting), func(b *testing.B) {
			p, held := fullPool(size.endpoints, size.accounts, size.waiting)
			b.ReportAllocs()
			i := 0
			names := make([]string, size.accounts)
			for i := range names {
				names[i] = fmt.Sprintf("account-%04d", i)
			}
			for b.Loop() {
				p.Release(p.now, admission.Release{ID: held[i%len(held)], Cost: fair.Cost(i%17 + 1)})
				for _, g := range p.step().Grants {
					held[i%len(held)] = g.ID
				}
				p.submit(admission.Request{Account: names[i%len(names)], Zone: "z-0", Prefix: uint64(i%5000 + 1)})
				i++
			}
		})
	}
}
