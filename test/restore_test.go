package test_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
)

const (
	restorations    = 3
	ordersBetween   = 40 // orders between a copy, the restoration and the next copy
	lostGenerations = 3
)

// controlPlatform makes one of the control calls of the platform's stand-in.
func (c *cluster) controlPlatform(path string) {
	GinkgoHelper()
	req, err := http.NewRequest(http.MethodPut, c.Platform+path, nil)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.Body.Close()).To(Succeed())
}

// awaitOrders waits until further orders have a final outcome.
func (o *orderSender) awaitOrders(further int64) {
	GinkgoHelper()
	until := o.finished.Load() + further
	Eventually(o.finished.Load).Should(BeNumerically(">=", until))
}

var _ = Describe("a platform that is restored from older copies", func() {
	It("makes no order run twice and no accepted configuration fail or revert", func() {
		s := smallSize()
		s.routers, s.orders, s.models, s.orderMillis = 5, 3, 1, 50
		c := startCluster(s)
		c.awaitFullMembership()
		watch := c.watchGenerations()
		o := newOrderSender(c)
		restored, ended := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(ended)
			o.placeAll(ordersBetween, restored)
		}()
		for range restorations {
			o.awaitOrders(ordersBetween)
			c.controlPlatform("/copy")
			var lost int64
			for n := range lostGenerations {
				lost = c.setZone(c.manifest.Zones[0].Name, []manifest.State{manifest.Out, manifest.In}[n%2])
			}
			c.awaitGeneration(lost)
			o.awaitOrders(ordersBetween)
			c.controlPlatform("/restore")
			accepted := c.setZone(c.manifest.Zones[0].Name, manifest.In)
			Expect(accepted).To(BeNumerically(">", lost))
			c.awaitGeneration(accepted)
			o.awaitOrders(ordersBetween)
		}
		close(restored)
		Eventually(ended).Should(BeClosed())
		Expect(watch.stop()).To(BeEmpty())
		Expect(o.unknown.Load()).To(BeZero())
		c.checkGuarantees(o.log.Records())
	})
})
