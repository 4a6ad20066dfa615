package ledger_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/order"
	"github.com/cyclamenwinch/cyclamenwinch/internal/ledger"
	"github.com/cyclamenwinch/cyclamenwinch/standin/orders"
)

func failure(err error) *code.Error {
	GinkgoHelper()
	var f *code.Error
	Expect(errors.As(err, &f)).To(BeTrue(), "%v", err)
	return f
}

// writeLostClaim writes a claim of a router that is gone.
func (r *rig) writeLostClaim(router, key string) {
	GinkgoHelper()
	shard := order.NewShard(order.Config{})
	o := testOrder(key)
	shard.Claim(order.Record{Account: o.Account, Key: key, Digest: ledger.Digest(o), Token: "lost", Router: router, Incarnation: 7, Endpoint: "e", Fence: 1, AcceptedAt: time.Now()})
	for {
		call, ok := shard.NextCall(time.Now())
		if !ok {
			return
		}
		result := order.CallResult{Status: order.CallOK}
		switch call.Verb {
		case order.Get:
			result.Status = order.CallNotFound
		case order.Put:
			version, err := r.store.Store.Put(call.Object, call.Value, call.Version)
			Expect(err).NotTo(HaveOccurred())
			result.Version = version
		}
		Expect(shard.HandleResult(result)).To(Succeed())
	}
}

var _ = Describe("the ledger", func() {
	It("doesn't take an endpoint's word that an order did not run from its status alone", func(ctx SpecContext) {
		for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
			r := newRig(orders.Options{}, false)
			failing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
			DeferCleanup(failing.Close)
			r.endpoint.URL = failing.URL
			r.add("a")
			_, err := r.routers[0].Run(ctx, testOrder("k"))
			Expect(err).To(HaveOccurred(), "status %d", status)
			Expect(failure(err).NotRun).To(BeFalse(), "status %d", status)
		}
	})

	It("runs an order once and replays its response at every router", func(ctx SpecContext) {
		r := newRig(orders.Options{}, false, "a", "b")
		first, err := r.routers[0].Run(ctx, testOrder("k"))
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Replayed).To(BeFalse())
		for _, l := range r.routers {
			again, err := l.Run(ctx, testOrder("k"))
			Expect(err).NotTo(HaveOccurred())
			Expect(again.Replayed).To(BeTrue())
			Expect(again.Response.Body).To(Equal(first.Response.Body))
		}
		other := testOrder("k")
		other.Body = []byte("another")
		_, err = r.routers[1].Run(ctx, other)
		Expect(failure(err).Code).To(Equal(code.KeyReused))
		Expect(r.stats()).To(Equal(orders.Stats{Keys: 1, Executed: 1, MaxByKey: 1}))
	})

	It("lets a resend wait for the run in progress", func(ctx SpecContext) {
		r := newRig(orders.Options{Delay: 50 * time.Millisecond}, false, "a")
		var wait sync.WaitGroup
		replayed := make(chan bool, 8)
		for range 8 {
			wait.Go(func() {
				defer GinkgoRecover()
				result, err := r.routers[0].Run(ctx, testOrder("k"))
				Expect(err).NotTo(HaveOccurred())
				replayed <- result.Replayed
			})
		}
		wait.Wait()
		close(replayed)
		first := 0
		for again := range replayed {
			if !again {
				first++
			}
		}
		Expect(first).To(Equal(1))
		Expect(r.stats().Executed).To(Equal(1))
	})

	It("executes every order once while the results of platform writes are lost", func(ctx SpecContext) {
		r := newRig(orders.Options{}, true)
		// A hang guard: an order that is given up before it reaches the runner may
		// stay unknown for good, since the runner checks no fencing numbers.
		r.silence = time.Minute
		for _, name := range []string{"a", "b", "c"} {
			r.add(name)
		}
		r.store.lossRate = 0.2
		var wait sync.WaitGroup
		for i := range 120 {
			wait.Go(func() {
				defer GinkgoRecover()
				l := r.routers[i%len(r.routers)]
				Eventually(func() error {
					_, err := l.Run(ctx, testOrder(fmt.Sprintf("k%d", i/2))) // two callers for each key
					return err
				}).WithContext(ctx).Should(Succeed())
			})
		}
		wait.Wait()
		Expect(r.stats()).To(Equal(orders.Stats{Keys: 60, Executed: 60, MaxByKey: 1}))
	}, SpecTimeout(time.Minute))

	It("reports that an order was not run while the platform is down, and runs it only on a resend", func(ctx SpecContext) {
		r := newRig(orders.Options{}, false, "a")
		r.store.setDown(true)
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := r.routers[0].Run(short, testOrder("k"))
		Expect(failure(err).NotRun).To(BeTrue())
		r.store.setDown(false)
		r.routers[0].Wait()
		Expect(r.stats().Executed).To(BeZero())
		again, err := r.routers[0].Run(ctx, testOrder("k"))
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Replayed).To(BeFalse())
	})

	It("returns the response during a platform outage and records it afterwards", func(ctx SpecContext) {
		r := newRig(orders.Options{}, false, "a", "b")
		r.onOrder = func() { r.store.setDown(true) }
		_, err := r.routers[0].Run(ctx, testOrder("k"))
		Expect(err).NotTo(HaveOccurred())
		r.store.setDown(false)
		r.routers[0].Wait()
		record, err := r.routers[1].Lookup(ctx, "hotels", "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(record.State).To(Equal(order.Done))
	})

	It("looks up a response that was lost", func(ctx SpecContext) {
		r := newRig(orders.Options{}, true, "a")
		r.faults(orders.Faults{LoseResponse: true})
		result, err := r.routers[0].Run(ctx, testOrder("k"))
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Response.Status).To(Equal(200))
		Expect(r.stats().Executed).To(Equal(1))
	})

	It("reports an unknown outcome, which an operator can settle once", func(ctx SpecContext) {
		r := newRig(orders.Options{}, false, "a", "b")
		r.faults(orders.Faults{LoseResponse: true})
		_, err := r.routers[0].Run(ctx, testOrder("k"))
		Expect(failure(err).Code).To(Equal(code.OutcomeUnknown))
		Expect(failure(err).NotRun).To(BeFalse())
		unknown, err := r.routers[1].UnknownOrders(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(unknown).To(HaveLen(1))
		record, err := r.routers[1].Settle(ctx, "hotels", "k", order.Done)
		Expect(err).NotTo(HaveOccurred())
		Expect(record.SettledBy).To(Equal("operator"))
		_, err = r.routers[0].Settle(ctx, "hotels", "k", order.NotRun)
		Expect(failure(err).Code).To(Equal(code.Conflict))
		result, err := r.routers[0].Run(ctx, testOrder("k"))
		Expect(err).NotTo(HaveOccurred(), "the first decision of the operator is kept")
		Expect(result.Replayed).To(BeTrue())
	})

	DescribeTable("settles the claim of a lost router on a resend",
		func(ctx SpecContext, fence, lookup bool, want code.Code) {
			r := newRig(orders.Options{CheckFence: fence}, lookup)
			r.writeLostClaim("gone", "k")
			result, err := r.add("a").Run(ctx, testOrder("k"))
			if want == code.OK {
				Expect(err).NotTo(HaveOccurred())
				Expect(result.Replayed).To(BeFalse())
				return
			}
			Expect(failure(err).Code).To(Equal(want))
			Expect(failure(err).NotRun).To(BeFalse())
			Expect(r.stats().Executed).To(BeZero())
		},
		Entry("claim can be fenced off: the order runs", true, true, code.OK),
		Entry("endpoint without fence: outcome unknown", false, true, code.OutcomeUnknown),
		Entry("endpoint without fence and lookup: outcome unknown", false, false, code.OutcomeUnknown),
	)

	It("settles the claim of a lost router without a resend", func(ctx SpecContext) {
		r := newRig(orders.Options{CheckFence: true}, true)
		r.writeLostClaim("gone", "k")
		l := r.add("a")
		serving, stop := context.WithCancel(ctx)
		defer stop()
		go l.Serve(serving)
		Eventually(func() (order.State, error) {
			record, err := l.Lookup(ctx, "hotels", "k")
			return record.State, err
		}).WithContext(ctx).Should(Equal(order.NotRun))
		Expect(r.dispatch("k", 1)).To(Equal(412))
	}, SpecTimeout(time.Minute))

	It("makes the endpoint reject a late dispatch of a router that was fenced off", func(ctx SpecContext) {
		r := newRig(orders.Options{CheckFence: true}, true)
		r.writeLostClaim("gone", "k")
		_, err := r.add("a").Run(ctx, testOrder("k"))
		Expect(err).NotTo(HaveOccurred())
		Expect(r.dispatch("k", 1)).To(Equal(412))
		Expect(r.stats()).To(Equal(orders.Stats{Keys: 1, Executed: 1, MaxByKey: 1, Refused: 1}))
	})
})
