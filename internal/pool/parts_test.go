package pool_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/admission"
	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/core/route"
	"github.com/cyclamenwinch/cyclamenwinch/internal/pool"
)

var _ = Describe("prompt parts", func() {
	const sound, deadly = 1, 2
	var r *region
	BeforeEach(func() {
		var endpoints []manifest.Endpoint
		for i := range 8 {
			endpoints = append(endpoints, newEndpoint(fmt.Sprint("e", i), 4, 4))
		}
		r = newRegion(time.Minute, endpoints...)
	})
	acquire := func(n *node, parts ...uint64) (*pool.Slot, error) {
		return n.client.Acquire(context.Background(), "drafting", pool.Request{Account: "hotels", Estimate: 10, Parts: parts})
	}
	refused := func(n *node, parts ...uint64) bool {
		slot, err := acquire(n, parts...)
		if err == nil {
			slot.Release(admission.Canceled, 0, 0)
			return false
		}
		Expect(code.As(err).Code).To(Equal(code.Quarantined))
		return true
	}
	// crash sends requests with the deadly part from one router after the other.
	crash := func(times int) {
		for i := range times {
			slot, err := acquire(r.nodes[i%len(r.nodes)], sound, deadly)
			Expect(err).NotTo(HaveOccurred())
			beside, err := acquire(r.nodes[0], sound)
			Expect(err).NotTo(HaveOccurred())
			beside.RecordBegun()
			slot.Release(admission.Crashed, 0, 0)
			beside.Release(admission.Completed, 5, time.Millisecond)
		}
	}

	It("that crash endpoints are held back at all routers, and others are not", func() {
		crash(route.PartSuspectCrashes)
		for _, n := range r.nodes {
			Eventually(func() bool { return refused(n, sound, deadly) }, eventualTimeout).Should(BeTrue())
			Eventually(func() bool { return refused(n, sound) }, eventualTimeout).Should(BeFalse())
		}
	})

	It("that a router has seen in a response are sent again by all routers", func() {
		slot, err := acquire(r.nodes[1], deadly)
		Expect(err).NotTo(HaveOccurred())
		crash(route.PartSuspectCrashes)
		Eventually(func() bool { return refused(r.nodes[2], deadly) }, eventualTimeout).Should(BeTrue())
		slot.RecordBegun()
		for _, n := range r.nodes {
			Eventually(func() bool { return refused(n, deadly) }, eventualTimeout).Should(BeFalse())
		}
		slot.Release(admission.Completed, 5, time.Millisecond)
	})
})
