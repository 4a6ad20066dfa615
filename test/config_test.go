package test_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
	"github.com/cyclamenwinch/cyclamenwinch/internal/submit"
	"github.com/cyclamenwinch/cyclamenwinch/load"
	"github.com/cyclamenwinch/cyclamenwinch/standin/objects"
)

const (
	operators          = 3
	changesPerOperator = 8
	operatorInterval   = 50 * time.Millisecond
)

// generationWatch polls the generation in force at each router and records
// every decrease within one incarnation of the router.
type generationWatch struct {
	stopped   atomic.Bool
	wait      sync.WaitGroup
	mu        sync.Mutex
	decreases []string
}

func (c *cluster) watchGenerations() *generationWatch {
	g := &generationWatch{}
	for _, r := range c.Routers {
		g.wait.Go(func() { g.watch(c, r) })
	}
	DeferCleanup(func() { g.stopped.Store(true) })
	return g
}

func (g *generationWatch) watch(c *cluster, r load.Router) {
	incarnation, last := int64(0), int64(0)
	for !g.stopped.Load() {
		s, err := c.status(r)
		if err == nil && s.Router.Incarnation != incarnation {
			incarnation, last = s.Router.Incarnation, 0
		}
		if err == nil && s.Generation < last {
			g.mu.Lock()
			g.decreases = append(g.decreases, fmt.Sprintf("%s: generation decreased from %d to %d", r.Name, last, s.Generation))
			g.mu.Unlock()
		}
		last = max(last, s.Generation)
		time.Sleep(pollInterval)
	}
}

func (g *generationWatch) stop() []string {
	g.stopped.Store(true)
	g.wait.Wait()
	return g.decreases
}

// submitConcurrently lets operators submit conflicting changes at the same time
// and returns the highest generation that was accepted.
func (c *cluster) submitConcurrently(operators, changes int) int64 {
	var highest atomic.Int64
	var wait sync.WaitGroup
	for o := range operators {
		wait.Go(func() {
			for n := range changes {
				if g, ok := c.submitChange(o, n); ok {
					for seen := highest.Load(); g > seen && !highest.CompareAndSwap(seen, g); seen = highest.Load() {
					}
				}
				time.Sleep(operatorInterval)
			}
		})
	}
	wait.Wait()
	return highest.Load()
}

// submitChange submits another queue limit on behalf of an operator and returns
// the new generation. It returns false if the change was rejected or its outcome
// is unknown.
func (c *cluster) submitChange(operator, n int) (int64, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	p := platform.New(c.Platform)
	m, _, err := submit.Current(ctx, p)
	if err != nil || len(m.Accounts) == 0 {
		return 0, false
	}
	m.Accounts[0].MaxQueue = 100 + operator*changesPerOperator + n
	g, err := submit.Submit(ctx, p, m)
	return g, err == nil
}

var _ = Describe("configuration", func() {
	It("never returns to an older generation and reaches every router, despite concurrent operators, outages, restarts and disconnected routers", func() {
		s := smallSize()
		s.routers, s.peerProxies = 5, true
		c := startCluster(s)
		c.awaitFullMembership()
		watch := c.watchGenerations()
		highest := c.submitConcurrently(operators, changesPerOperator)
		c.proxies[c.Routers[0].Name].Disconnect()
		highest = max(highest, c.submitConcurrently(operators, changesPerOperator))
		c.routers[1].kill()
		c.setPlatformFaults(objects.Faults{LoseResponse: lossRate})
		highest = max(highest, c.submitConcurrently(operators, changesPerOperator))
		c.routers[1].restart()
		c.setPlatformFaults(objects.Faults{Down: true})
		c.submitConcurrently(1, 1)
		c.routers[2].kill()
		c.routers[2].restart()
		c.setPlatformFaults(objects.Faults{})
		for _, p := range c.proxies {
			p.Stall()
		}
		c.proxies[c.Routers[0].Name].Restore()
		highest = max(highest, c.submitConcurrently(operators, changesPerOperator))
		c.awaitGeneration(highest)
		Expect(watch.stop()).To(BeEmpty())
		e := c.evidence(nil)
		Expect(e.Check()).To(BeEmpty())
		Expect(highest).To(BeNumerically(">", operators))
	})
})
