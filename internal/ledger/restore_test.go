package ledger_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/order"
	"github.com/cyclamenwinch/cyclamenwinch/internal/ledger"
	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
	"github.com/cyclamenwinch/cyclamenwinch/standin/objects"
	"github.com/cyclamenwinch/cyclamenwinch/standin/orders"
)

// restorableRig is a rig whose platform can be restored from an older copy.
type restorableRig struct {
	*rig
	server  *httptest.Server
	clients []*platform.Client // by router
}

func newRestorableRig(options orders.Options, lookup bool, routers ...string) *restorableRig {
	r := &restorableRig{rig: newRig(options, lookup), server: httptest.NewServer(objects.NewServer(1).Handler())}
	DeferCleanup(r.server.Close)
	r.serve = true
	r.platform = func() ledger.Store {
		r.clients = append(r.clients, platform.New(r.server.URL))
		return r.clients[len(r.clients)-1]
	}
	for _, name := range routers {
		r.add(name)
	}
	return r
}

// control makes one of the stand-in's control calls.
func (r *restorableRig) control(path string) {
	GinkgoHelper()
	req, err := http.NewRequest(http.MethodPut, r.server.URL+path, nil)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.Body.Close()).To(Succeed())
}

// restore restores the platform. It returns once the routers have noticed that, as
// they do when they renew their leases, and once the named orders are recorded.
func (r *restorableRig) restore(ctx context.Context, recorded ...string) {
	GinkgoHelper()
	r.control("/restore")
	for _, c := range r.clients {
		_, err := c.List(ctx, "leases/")
		Expect(err).NotTo(HaveOccurred())
	}
	for _, key := range recorded {
		Eventually(ctx, r.storedOrders).Should(ContainSubstring(`"key":"` + key + `"`))
	}
}

// storedOrders returns the values of all ledger objects.
func (r *restorableRig) storedOrders(ctx context.Context) (string, error) {
	list, err := platform.New(r.server.URL).List(ctx, "orders/")
	var all strings.Builder
	for _, o := range list.Items {
		all.Write(o.Value)
	}
	return all.String(), err
}

func (r *restorableRig) run(ctx context.Context, router int, key string) ledger.Result {
	GinkgoHelper()
	result, err := r.routers[router].Run(ctx, testOrder(key))
	Expect(err).NotTo(HaveOccurred())
	return result
}

var _ = Describe("the ledger of a platform that is restored from an older copy", func() {
	It("runs new orders", func(ctx SpecContext) {
		r := newRestorableRig(orders.Options{}, false, "a", "b")
		r.run(ctx, 0, "before")
		r.control("/copy")
		for i := range 5 {
			r.run(ctx, i%2, fmt.Sprintf("lost%d", i))
		}
		r.control("/restore")
		for router := range r.routers {
			Expect(r.run(ctx, router, fmt.Sprintf("after%d", router)).Replayed).To(BeFalse())
		}
	}, SpecTimeout(time.Minute))

	DescribeTable("does not run an order again whose record is gone, if the router that ran it remembers it",
		func(ctx SpecContext, resendTo int) {
			r := newRestorableRig(orders.Options{}, false, "a", "b")
			r.run(ctx, 1, "before")
			r.control("/copy")
			first := r.run(ctx, 0, "k")
			r.restore(ctx, "k")
			again := r.run(ctx, resendTo, "k")
			Expect(again.Replayed).To(BeTrue())
			Expect(again.Response.Body).To(Equal(first.Response.Body))
			Expect(r.stats().MaxByKey).To(Equal(1))
			record, err := r.routers[resendTo].Lookup(ctx, "hotels", "k")
			Expect(err).NotTo(HaveOccurred())
			Expect(record.State).To(Equal(order.Done))
		},
		Entry("resent to that router", SpecTimeout(time.Minute), 0),
		Entry("resent to another router", SpecTimeout(time.Minute), 1),
	)

	It("writes the records again that routers know, also of orders that nobody resends", func(ctx SpecContext) {
		r := newRestorableRig(orders.Options{}, false, "a", "b")
		r.run(ctx, 1, "before")
		r.control("/copy")
		r.run(ctx, 0, "k1")
		r.run(ctx, 1, "k2")
		r.restore(ctx, "k1", "k2")
		r.restore(ctx, "k1", "k2")
	}, SpecTimeout(time.Minute))

	It("records the outcome of an order whose claim is lost while it runs", func(ctx SpecContext) {
		r := newRestorableRig(orders.Options{}, false, "a", "b")
		r.run(ctx, 1, "before")
		r.control("/copy")
		r.onOrder = func() { r.control("/restore") }
		r.run(ctx, 0, "k")
		r.onOrder = func() {}
		r.routers[0].Wait()
		Expect(r.run(ctx, 1, "k").Replayed).To(BeTrue())
		Expect(r.stats().MaxByKey).To(Equal(1))
	}, SpecTimeout(time.Minute))

	It("gives out no fencing number again", func(ctx SpecContext) {
		r := newRestorableRig(orders.Options{CheckFence: true}, true, "a")
		r.run(ctx, 0, "before")
		r.control("/copy")
		r.run(ctx, 0, "k")
		lost := r.lastFence()
		r.routers[0].Close()
		r.control("/restore")
		r.add("c")
		r.run(ctx, 1, "k")
		Expect(r.lastFence()).To(BeNumerically(">", lost), "the claim that nobody remembers has a lower number")
		Expect(r.dispatch("k", lost)).To(Equal(412))
	}, SpecTimeout(time.Minute))
})
