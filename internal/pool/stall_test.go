package pool_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/admission"
	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/internal/pool"
)

var _ = Describe("a router that stalled while it held a slot", func() {
	const responses = 12 // enough to prove an endpoint warm

	var r *region
	var held *pool.Slot

	BeforeEach(func() {
		r = newRegion(8*time.Second, newEndpoint("e", 8, 1))
		router := r.nodes[2]
		for range responses {
			slot, err := router.acquire(0)
			Expect(err).NotTo(HaveOccurred())
			slot.Release(admission.Completed, 1, 0)
		}
		var err error
		held, err = router.acquire(0)
		Expect(err).NotTo(HaveOccurred())
		router.host.SimulateStall()
	})

	It("knows it", func() { Expect(held.Stalled()).To(BeTrue()) })

	It("does not keep the endpoint warm by that slot", func() {
		Eventually(func() int {
			for _, s := range r.nodes[0].host.State() {
				return s.Endpoints[0].ProvenSlots
			}
			return -1
		}, eventualTimeout).Should(BeZero())
	})

	It("releases the slot in its next session", func() {
		held.Release(admission.Completed, 1, 0)
		Eventually(r.usage, eventualTimeout).Should(Equal(fair.Cost(responses + 1)))
	})
})
