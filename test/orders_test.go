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
	orderCallers = 32               // pairs of callers
	orderTry     = 10 * time.Second // a caller of an order gives up and sends it again
	resendPause  = 100 * time.Millisecond
)

func ordersCount() int {
	if os.Getenv(longEnv) == "1" {
		return longOrders
	}
	return shortOrders
}

// ordering sends orders, each by two callers through different routers,
// until its outcome is final.
type ordering struct {
	cluster *cluster
	caller  *load.Caller
	log     load.Log
	begun   time.Time
	final   atomic.Int64
	unknown atomic.Int64
}

func newOrdering(c *cluster) *ordering {
	return &ordering{cluster: c, caller: load.NewCallerWithSeeds(nil, ""), begun: time.Now()}
}

// place sends order n by two callers until both know its outcome.
func (o *ordering) place(n int) {
	accounts := o.cluster.manifest.Accounts
	a := load.Arrival{
		Account: accounts[n%len(accounts)].Name,
		Key:     fmt.Sprintf("order-%d", n),
		Prompt:  "bar stool",
		Tokens:  n,
	}
	var pair sync.WaitGroup
	for side := range 2 {
		pair.Go(func() { o.settle(a, n+side) })
	}
	pair.Wait()
	o.final.Add(1)
}

// settle sends one key through one router after the other until the outcome
// is final: answered, or unknown even to the order runner.
func (o *ordering) settle(a load.Arrival, first int) {
	for try := 0; time.Since(o.begun) < 10*hang; try++ {
		r := o.send(a, o.cluster.Routers[(first+try)%len(o.cluster.Routers)])
		if r.Outcome == load.Completed {
			return
		}
		if isCode(r, code.OutcomeUnknown) && try >= unknownTries {
			o.unknown.Add(1)
			return
		}
		time.Sleep(resendPause)
	}
}

// unknownTries is how often a caller asks again about an unknown outcome.
const unknownTries = 100

func (o *ordering) send(a load.Arrival, router load.Router) load.Record {
	ctx, cancel := context.WithTimeout(context.Background(), orderTry)
	defer cancel()
	at := time.Since(o.begun)
	reply, err := o.caller.Send(ctx, router.CallerURL, load.OrderRequest("demo-"+a.Account, a))
	r := load.NewRecord(a, at, router.CallerURL, reply, err, ctx.Err() != nil)
	o.log.Add(r)
	return r
}

// placeAll places orders 0 to n-1, a bounded number at a time. While more is
// not nil, it goes on after them until more is closed.
func (o *ordering) placeAll(n int, more <-chan struct{}) int {
	var next atomic.Int64
	var wait sync.WaitGroup
	for range orderCallers {
		wait.Go(func() {
			for {
				i := int(next.Add(1) - 1)
				if i >= n && closed(more) {
					return
				}
				o.place(i)
			}
		})
	}
	wait.Wait()
	return int(o.final.Load())
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// promises fails on every promise that the evidence shows broken.
func (c *cluster) promises(records []load.Record) {
	GinkgoHelper()
	Expect(c.evidence(records).Check()).To(BeEmpty())
}

var _ = Describe("orders", func() {
	It("run at most once and are not lost while routers, platform and runners fail", func() {
		s := small()
		s.routers, s.orders, s.models, s.orderMillis = 5, 3, 1, 50
		c := startCluster(s)
		c.fullView()
		o := newOrdering(c)
		over := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(over)
			c.chaos(11, decks(), slices.Concat(c.routerMischief(), c.platformMischief(), c.orderMischief()))
		}()
		placed := o.placeAll(ordersCount(), over)
		Eventually(over).Should(BeClosed())
		records := o.log.Records()
		AddReportEntry("orders", fmt.Sprintf("%d keys, %d tries, %d sides ended with an unknown outcome", placed, len(records), o.unknown.Load()))
		Expect(placed).To(BeNumerically(">=", ordersCount()))
		c.promises(records)
		e := c.evidence(records)
		for n := range placed {
			account := c.manifest.Accounts[n%len(c.manifest.Accounts)].Name
			key := load.EndpointKey(account, fmt.Sprintf("order-%d", n))
			Expect(e.Ledger).To(HaveKey(key), "every order is recorded")
		}
	})
})
