package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/admission"
)

var _ = Describe("an owner that a router reports unattended slots to", func() {
	const age = 4 * time.Second // of the router's knowledge, for which it stalled

	var b *fixture
	var held admission.RequestID

	report := func(unattended bool) {
		b.Sync(b.now, admission.SyncReport{
			Router: "a",
			Held:   []admission.HeldSlot{{ID: held, Endpoint: "e", Account: "hotels", Unattended: unattended}},
			Warmth: []admission.Warmth{{Endpoint: "e", ProvenSlots: 8, Age: age}},
		})
	}
	// grants returns how many of two new requests get a slot.
	grants := func() int {
		b.submit(admission.Request{})
		b.submit(admission.Request{})
		return len(b.step().Grants)
	}

	BeforeEach(func() {
		b = newFixture("a")
		b.configure(openEndpoint("e", 8, 1))
		held = admission.RequestID{Router: "a", Seq: 1000}
	})

	It("doubts the warmth of their endpoint, which may have restarted", func() {
		report(true)
		Expect(grants()).To(BeZero(), "the slot in use is the only one of a cold endpoint")
	})

	It("takes their complete responses for no evidence of warmth", func() {
		report(true)
		b.Release(b.now, admission.Release{ID: held, Cost: 10, TimeToFirstToken: time.Millisecond})
		Expect(grants()).To(Equal(1))
		Expect(b.Endpoints()[0].ProvenSlots).To(BeZero())
	})

	It("takes their progress for no evidence of warmth", func() {
		report(true)
		b.UpdateProgress(b.now, held, 5, time.Millisecond)
		Expect(grants()).To(BeZero())
	})

	It("trusts the warmth of an endpoint whose slots the router attends", func() {
		report(false)
		Expect(grants()).To(Equal(2))
	})

	It("doubts an endpoint that it granted the slots of itself", func() {
		b.Sync(b.now, admission.SyncReport{Router: "a"})
		b.serve(30, 100*time.Millisecond)
		id := b.submit(admission.Request{})
		Expect(b.step().Grants).To(HaveLen(1))
		b.now = b.now.Add(age)
		b.Sync(b.now, admission.SyncReport{Router: "a", Resumed: true, Held: []admission.HeldSlot{{ID: id, Endpoint: "e", Account: "hotels", Unattended: true}}})
		b.Release(b.now, admission.Release{ID: id, Cost: 10, TimeToFirstToken: 100 * time.Millisecond})
		Expect(grants()).To(Equal(1))
	})
})
