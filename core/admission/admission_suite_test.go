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

// bench drives one pool on a virtual clock.
type bench struct {
	*admission.Pool
	now time.Time
	seq uint64
}

func newBench(members ...string) *bench {
	b := &bench{Pool: admission.NewPool(route.NewQuarantine()), now: time.Unix(1000, 0)}
	b.SetMembers(b.now, members)
	return b
}

func (b *bench) configure(endpoints ...admission.Endpoint) {
	b.Configure(b.now, []admission.Account{
		{Name: "hotels", Share: 1, MaxQueue: 10, MaxWait: time.Second},
		{Name: "cafes", Share: 1, MaxQueue: 10, MaxWait: time.Second},
	}, endpoints)
}

func (b *bench) want(w admission.Request) admission.RequestID {
	b.seq++
	w.ID = admission.RequestID{Router: "a", Seq: b.seq}
	if w.Account == "" {
		w.Account = "hotels"
	}
	if w.Estimate == 0 {
		w.Estimate = 10
	}
	b.Submit(b.now, w)
	return w.ID
}

func (b *bench) step() admission.Decisions { return b.Step(b.now) }

// serve grants and ends n requests, each after the given time.
func (b *bench) serve(n int, first time.Duration) {
	for range n {
		b.want(admission.Request{})
		for _, g := range b.step().Grants {
			b.now = b.now.Add(2 * first)
			b.Release(b.now, admission.Release{ID: g.ID, Cost: 10, TimeToFirstToken: first})
		}
	}
}

func (b *bench) end(id admission.RequestID, o admission.Outcome) {
	b.now = b.now.Add(time.Millisecond)
	b.Release(b.now, admission.Release{ID: id, Outcome: o})
}

func open(name string, slots, cold int) admission.Endpoint {
	return admission.Endpoint{Name: name, Zone: "z", Slots: slots, ColdSlots: cold, Open: true}
}

var _ = Describe("an owner that has just started", func() {
	var b *bench

	BeforeEach(func() {
		b = newBench("a", "b")
		b.configure(open("e", 4, 1))
		b.Sync(b.now, admission.SyncReport{Router: "a"})
		b.want(admission.Request{})
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

	It("believes a fresh answer but no later break", func() {
		warm := admission.Warmth{Endpoint: "e", ProvenSlots: 4, Age: time.Second}
		b.Sync(b.now, admission.SyncReport{Router: "b", Warmth: []admission.Warmth{warm}})
		Expect(b.Endpoints()[0].ProvenSlots).To(Equal(4))
		b.Sync(b.now, admission.SyncReport{Router: "a", Warmth: []admission.Warmth{{Endpoint: "e", Age: time.Millisecond}}})
		Expect(b.Endpoints()[0].ProvenSlots).To(BeZero())
		b.Sync(b.now, admission.SyncReport{Router: "b", Warmth: []admission.Warmth{warm}})
		Expect(b.Endpoints()[0].ProvenSlots).To(BeZero())
	})

	It("hears from the others of a member that was removed before it started", func() {
		b.Sync(b.now, admission.SyncReport{Router: "b", LastRemoval: b.now.Add(-10 * time.Second)})
		Expect(b.step().Grants).To(BeEmpty())
		b.now = b.now.Add(21 * time.Second)
		b.want(admission.Request{})
		Expect(b.step().Grants).To(HaveLen(1))
	})

	It("waits for the slots of a member that was lost before it reported", func() {
		b.SetMembers(b.now, []string{"a"})
		Expect(b.step().Grants).To(BeEmpty())
		b.now = b.now.Add(31 * time.Second)
		b.want(admission.Request{})
		Expect(b.step().Grants).To(HaveLen(1))
	})
})

var _ = Describe("an owner that has lost a member", func() {
	var b *bench
	var held admission.RequestID

	BeforeEach(func() {
		b = newBench("a", "b")
		b.configure(open("e", 4, 2))
		b.Sync(b.now, admission.SyncReport{Router: "a"})
		b.Sync(b.now, admission.SyncReport{Router: "b"})
		held = admission.RequestID{Router: "b", Seq: 1}
		b.Submit(b.now, admission.Request{ID: held, Account: "hotels"})
		Expect(b.step().Grants).To(HaveLen(1))
		b.SessionClosed(b.now, "b")
	})

	// limit is the endpoint's limit some time later.
	limit := func(later time.Duration) int {
		b.now = b.now.Add(later)
		b.step()
		return b.Endpoints()[0].Limit
	}

	It("trusts for 15 s what the member held, and then leaves cold endpoints alone", func() {
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

	It("takes it at its word that it has stopped gracefully", func() {
		b.MemberStopped("b")
		b.SetMembers(b.now, []string{"a"})
		Expect(b.Endpoints()[0].Busy).To(BeZero())
	})

	It("doubts the warmth of an idle endpoint well before it could have started again", func() {
		// Seen with all failures together, seed 21: the news that an endpoint was
		// in use came late, and it had started again when its warmth lapsed.
		const start, late = 2 * time.Second, 500 * time.Millisecond
		b.Sync(b.now, admission.SyncReport{Router: "a", Warmth: []admission.Warmth{{Endpoint: "e", ProvenSlots: 4, Age: time.Second}}})
		limit(start - late - time.Second)
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
	var b *bench

	BeforeEach(func() {
		b = newBench("a")
		b.configure(open("e", 8, 1), open("f", 8, 1))
		b.Sync(b.now, admission.SyncReport{Router: "a"})
	})

	It("lets a request with nowhere to go stop neither its account nor the loop", func() {
		b.want(admission.Request{Avoid: []string{"e"}})
		b.step()
		b.want(admission.Request{Avoid: []string{"f"}})
		b.step()
		b.want(admission.Request{Avoid: []string{"e", "f"}})
		Expect(b.step().Refusals).To(HaveExactElements(HaveField("Code", code.NoEndpoint)))
		held := b.want(admission.Request{})
		Expect(b.step().Grants).To(BeEmpty())
		b.Cancel(held)
		Expect(b.Waiting()).To(BeZero())
	})

	It("passes over an account's head request that can't use what is free", func() {
		b.want(admission.Request{})
		b.want(admission.Request{})
		held := b.step().Grants
		Expect(held).To(HaveLen(2))
		b.want(admission.Request{Avoid: []string{held[0].Endpoint}})
		plain := b.want(admission.Request{})
		b.end(held[0].ID, admission.Done)
		Expect(b.step().Grants).To(HaveExactElements(HaveField("ID", plain)))
	})

	It("gives a closed endpoint nothing and lets its work end", func() {
		id := b.want(admission.Request{})
		name := b.step().Grants[0].Endpoint
		b.configure(open("e", 8, 1), admission.Endpoint{Name: "f", Zone: "z", Slots: 8, ColdSlots: 1})
		if name == "e" {
			b.configure(admission.Endpoint{Name: "e", Zone: "z", Slots: 8, ColdSlots: 1}, open("f", 8, 1))
		}
		b.want(admission.Request{})
		b.want(admission.Request{})
		Expect(b.step().Grants).To(HaveExactElements(HaveField("Endpoint", Not(Equal(name)))))
		b.end(id, admission.Done)
		Expect(b.step().Grants).To(BeEmpty())
	})

	It("refuses at once what can't be served in time, and says when it can", func() {
		b.configure(open("e", 1, 1))
		b.serve(10, 400*time.Millisecond)
		b.want(admission.Request{})
		b.want(admission.Request{})
		b.want(admission.Request{})
		Expect(b.step().Refusals).To(BeEmpty())
		b.want(admission.Request{})
		Expect(b.step().Refusals).To(HaveExactElements(And(
			HaveField("Code", code.WaitTooLong),
			HaveField("RetryAfter", BeNumerically("~", 1400*time.Millisecond, 500*time.Millisecond)))))
	})

	It("quarantines a request that crashed two endpoints, not its neighbours", func() {
		b.configure(open("e", 8, 8), open("f", 8, 8), open("g", 8, 8), open("h", 8, 8))
		poison := b.want(admission.Request{Fingerprint: 1, Account: "cafes"})
		neighbour := b.want(admission.Request{Fingerprint: 2, Avoid: []string{"f", "g", "h"}})
		grants := b.step().Grants
		b.end(poison, admission.Crashed)
		b.end(neighbour, admission.Crashed)
		avoid := []string{grants[0].Endpoint}
		poison = b.want(admission.Request{Fingerprint: 1, Account: "cafes", Avoid: avoid})
		neighbour = b.want(admission.Request{Fingerprint: 2, Avoid: avoid})
		grants = b.step().Grants
		Expect(grants).To(HaveLen(2))
		Expect(grants[0].Endpoint).NotTo(Equal(grants[1].Endpoint))
		b.end(poison, admission.Crashed)
		b.end(neighbour, admission.Done)
		Expect(b.step().Crashes).To(HaveExactElements(HaveField("Fingerprint", uint64(1))))
		b.want(admission.Request{Fingerprint: 1})
		b.want(admission.Request{Fingerprint: 2})
		d := b.step()
		Expect(d.Refusals).To(HaveExactElements(HaveField("Code", code.Quarantined)))
		Expect(d.Grants).To(HaveLen(1))
	})

	It("counts one break of many connections once", func() {
		b.configure(open("e", 8, 8))
		var ids []admission.RequestID
		for range 8 {
			ids = append(ids, b.want(admission.Request{}))
		}
		b.step()
		b.now = b.now.Add(time.Millisecond)
		for _, id := range ids {
			b.Release(b.now, admission.Release{ID: id, Outcome: admission.Crashed})
		}
		Expect(b.step().Paused).To(HaveExactElements("e"))
		b.now = b.now.Add(1100 * time.Millisecond)
		b.want(admission.Request{})
		Expect(b.step().Grants).To(HaveLen(1))
	})

	It("takes a slow first token twice in a row for a sign of cold", func() {
		b.configure(open("e", 8, 1))
		b.serve(12, 100*time.Millisecond)
		Expect(b.Endpoints()[0].ProvenSlots).To(BeNumerically(">", 1))
		b.serve(2, time.Second)
		Expect(b.Endpoints()[0].ProvenSlots).To(BeZero())
	})

	It("does not let one account's failing requests cost the others capacity", func() {
		b.configure(open("e", 8, 1))
		b.serve(12, 100*time.Millisecond)
		for range 5 {
			id := b.want(admission.Request{})
			b.step()
			b.end(id, admission.Failed)
		}
		Expect(b.Endpoints()[0].ProvenSlots).NotTo(BeZero())
		id := b.want(admission.Request{Account: "cafes"})
		b.step()
		b.end(id, admission.Failed)
		Expect(b.Endpoints()[0].ProvenSlots).To(BeZero())
	})

	It("waits a moment after a caller left a cold endpoint, not a warm one", func() {
		b.configure(open("e", 4, 1))
		left := b.want(admission.Request{})
		b.step()
		b.end(left, admission.Cancelled)
		b.want(admission.Request{})
		Expect(b.step().Grants).To(BeEmpty())
		b.now = b.now.Add(200 * time.Millisecond)
		granted := b.step().Grants
		Expect(granted).To(HaveLen(1))
		b.end(granted[0].ID, admission.Done)
		b.serve(20, 10*time.Millisecond)
		left = b.want(admission.Request{})
		b.step()
		b.end(left, admission.Cancelled)
		for range 4 {
			b.want(admission.Request{})
		}
		Expect(b.step().Grants).To(HaveLen(b.Endpoints()[0].Limit))
	})

	It("starts the proof anew for a cold endpoint that idled", func() {
		b.configure(open("e", 8, 1))
		b.serve(7, 100*time.Millisecond)
		b.now = b.now.Add(10 * time.Second)
		b.serve(1, 100*time.Millisecond)
		Expect(b.Endpoints()[0].ProvenSlots).To(BeZero())
		b.serve(7, 100*time.Millisecond)
		Expect(b.Endpoints()[0].ProvenSlots).NotTo(BeZero())
	})

	It("doubts the warmth of an endpoint that only a silent router uses", func() {
		b.configure(open("e", 8, 1))
		b.serve(30, 100*time.Millisecond)
		b.want(admission.Request{})
		Expect(b.step().Grants).To(HaveLen(1))
		b.SetResponsive(b.now, "a", false)
		b.now = b.now.Add(3 * time.Second)
		b.want(admission.Request{})
		Expect(b.step().Grants).To(BeEmpty(), "it may have restarted unseen")
		b.SetResponsive(b.now, "a", true)
		Expect(b.Endpoints()[0].ProvenSlots).To(BeZero())
	})

	It("doubts the warmth of an endpoint that idled until one answer at the usual speed", func() {
		b.configure(open("e", 8, 1))
		b.serve(30, 100*time.Millisecond)
		proved := b.Endpoints()[0].ProvenSlots
		b.now = b.now.Add(10 * time.Second)
		b.want(admission.Request{})
		b.want(admission.Request{})
		grants := b.step().Grants
		Expect(grants).To(HaveLen(1))
		b.UpdateProgress(b.now.Add(100*time.Millisecond), grants[0].ID, 1, 100*time.Millisecond)
		Expect(b.step().Grants).To(HaveLen(1))
		Expect(b.Endpoints()[0].ProvenSlots).To(Equal(proved))
	})
})

// full returns a pool of warm endpoints, all slots in use and the given
// number of requests waiting.
func full(endpoints, accounts, waiting int) (*bench, []admission.RequestID) {
	b := newBench("a")
	var es []admission.Endpoint
	for i := range endpoints {
		e := open(fmt.Sprintf("e-%05d", i), 8, 8)
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
		id := b.want(admission.Request{Account: as[i%accounts].Name, Zone: "z-0", Prefix: uint64(i%5000 + 1)})
		if i < 8*endpoints {
			held = append(held, id)
		}
	}
	b.step()
	return b, held
}

// One iteration is a released slot, its grant to the next request and a new
// request: what the owner does for each request that it serves.
func BenchmarkGrant(b *testing.B) {
	for _, size := range []struct{ endpoints, accounts, waiting int }{
		{15, 16, 1000}, {70, 16, 4000}, {70, 220, 4000}, {70, 2200, 4400}, {12_000, 2200, 4400},
	} {
		b.Run(fmt.Sprintf("endpoints=%d/accounts=%d/waiting=%d", size.endpoints, size.accounts, size.waiting), func(b *testing.B) {
			p, held := full(size.endpoints, size.accounts, size.waiting)
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
				p.want(admission.Request{Account: names[i%len(names)], Zone: "z-0", Prefix: uint64(i%5000 + 1)})
				i++
			}
		})
	}
}
