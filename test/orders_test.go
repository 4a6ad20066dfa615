package test_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/load"
)

const (
	shortOrders  = 300
	longOrders   = 10_000
	orderCallers = 32               // orders in progress at a time; each has two callers
	orderTimeout = 10 * time.Second // after this a caller gives an order up and sends it again
	resendPause  = 100 * time.Millisecond
)

func ordersCount() int {
	if os.Getenv(longEnv) == "1" {
		return longOrders
	}
	return shortOrders
}

// orderSender sends each order from two callers through different routers until
// its outcome is final.
type orderSender struct {
	cluster   *cluster
	caller    *load.Caller
	log       load.Log
	startedAt time.Time
	finished  atomic.Int64
	unknown   atomic.Int64
}

func newOrderSender(c *cluster) *orderSender {
	return &orderSender{cluster: c, caller: load.NewCallerWithSeeds(nil, ""), startedAt: time.Now()}
}

// place sends order n from two callers until both know its outcome.
func (o *orderSender) place(n int) {
	accounts := o.cluster.manifest.Accounts
	a := load.Arrival{
		Account: accounts[n%len(accounts)].Name,
		Key:     fmt.Sprintf("order-%d", n),
		Prompt:  "bar stool",
		Tokens:  n,
	}
	var pair sync.WaitGroup
	for side := range 2 {
		pair.Go(func() { o.sendUntilFinal(a, n+side) })
	}
	pair.Wait()
	o.finished.Add(1)
}

// sendUntilFinal sends one key through one router after the other until the
// outcome is final: a complete response, or an outcome that is still unknown
// after maxUnknownAttempts, since not even the order runner knows it.
func (o *orderSender) sendUntilFinal(a load.Arrival, first int) {
	for attempt := 0; time.Since(o.startedAt) < 10*hangTimeout; attempt++ {
		r := o.send(a, o.cluster.Routers[(first+attempt)%len(o.cluster.Routers)])
		if r.Outcome == load.Completed {
			return
		}
		if isCode(r, code.OutcomeUnknown) && attempt >= maxUnknownAttempts {
			o.unknown.Add(1)
			return
		}
		time.Sleep(resendPause)
	}
}

// maxUnknownAttempts is the number of attempts after which a caller accepts that
// the outcome is unknown.
const maxUnknownAttempts = 100

func (o *orderSender) send(a load.Arrival, router load.Router) load.Record {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	at := time.Since(o.startedAt)
	reply, err := o.caller.Send(ctx, router.CallerURL, load.OrderRequest("demo-"+a.Account, a))
	r := load.NewRecord(a, at, router.CallerURL, reply, err, ctx.Err() != nil)
	o.log.Add(r)
	return r
}

// placeAll places orders 0 to n-1, a bounded number at a time, and continues
// with further orders until done is closed. It returns the number of orders
// whose outcome is final.
func (o *orderSender) placeAll(n int, done <-chan struct{}) int {
	var next atomic.Int64
	var wait sync.WaitGroup
	for range orderCallers {
		wait.Go(func() {
			for {
				i := int(next.Add(1) - 1)
				if i >= n && closed(done) {
					return
				}
				o.place(i)
			}
		})
	}
	wait.Wait()
	return int(o.finished.Load())
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// checkGuarantees fails if the evidence shows that a guarantee was violated.
func (c *cluster) checkGuarantees(records []load.Record) {
	GinkgoHelper()
	Expect(c.evidence(records).Check()).To(BeEmpty())
}

var _ = Describe("orders", func() {
	It("run at most once and are not lost while routers, platform and runners fail", func() {
		s := smallSize()
		s.routers, s.orders, s.models, s.orderMillis = 5, 3, 1, 50
		c := startCluster(s)
		c.awaitFullMembership()
		o := newOrderSender(c)
		failuresDone := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(failuresDone)
			c.injectFailures(11, failureRounds(), slices.Concat(c.routerFailures(), c.platformFailures(), c.orderFailures()))
		}()
		placed := o.placeAll(ordersCount(), failuresDone)
		Eventually(failuresDone).Should(BeClosed())
		records := o.log.Records()
		AddReportEntry("orders", fmt.Sprintf("%d keys, %d attempts, %d callers ended with an unknown outcome", placed, len(records), o.unknown.Load()))
		Expect(placed).To(BeNumerically(">=", ordersCount()))
		c.checkGuarantees(records)
		e := c.evidence(records)
		for n := range placed {
			account := c.manifest.Accounts[n%len(c.manifest.Accounts)].Name
			key := load.EndpointKey(account, fmt.Sprintf("order-%d", n))
			Expect(e.Ledger).To(HaveKey(key), "every order is recorded")
		}
	})
})
