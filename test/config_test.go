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
	operators      = 3
	changesOfEach  = 8
	operatorsPause = 50 * time.Millisecond
)

// generations watches the generation in force at each router and keeps every
// fall within one life of its process.
type generations struct {
	stopped atomic.Bool
	wait    sync.WaitGroup
	mu      sync.Mutex
	falls   []string
}

func (c *cluster) watchGenerations() *generations {
	g := &generations{}
	for _, r := range c.Routers {
		g.wait.Go(func() { g.watch(c, r) })
	}
	DeferCleanup(func() { g.stopped.Store(true) })
	return g
}

func (g *generations) watch(c *cluster, r load.Router) {
	life, last := int64(0), int64(0)
	for !g.stopped.Load() {
		s, err := c.status(r)
		if err == nil && s.Router.Incarnation != life {
			life, last = s.Router.Incarnation, 0
		}
		if err == nil && s.Generation < last {
			g.mu.Lock()
			g.falls = append(g.falls, fmt.Sprintf("%s fell from %d to %d", r.Name, last, s.Generation))
			g.mu.Unlock()
		}
		last = max(last, s.Generation)
		time.Sleep(poll)
	}
}

func (g *generations) stop() []string {
	g.stopped.Store(true)
	g.wait.Wait()
	return g.falls
}

// race lets operators submit conflicting changes at once and returns the
// highest generation that was accepted.
func (c *cluster) race(operators, changes int) int64 {
	var highest atomic.Int64
	var wait sync.WaitGroup
	for o := range operators {
		wait.Go(func() {
			for n := range changes {
				if g, ok := c.change(o, n); ok {
					for seen := highest.Load(); g > seen && !highest.CompareAndSwap(seen, g); seen = highest.Load() {
					}
				}
				time.Sleep(operatorsPause)
			}
		})
	}
	wait.Wait()
	return highest.Load()
}

// change submits another queue bound, as one operator; false if it was not
// accepted or the operator could not learn that.
func (c *cluster) change(operator, n int) (int64, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	p := platform.New(c.Platform)
	m, _, err := submit.Current(ctx, p)
	if err != nil || len(m.Accounts) == 0 {
		return 0, false
	}
	m.Accounts[0].MaxQueue = 100 + operator*changesOfEach + n
	g, err := submit.Submit(ctx, p, m)
	return g, err == nil
}

var _ = Describe("configuration", func() {
	It("never falls and reaches every router, with racing operators, outages, restarts and cuts", func() {
		s := small()
		s.routers, s.cuttable = 5, true
		c := startCluster(s)
		c.fullView()
		seen := c.watchGenerations()
		highest := c.race(operators, changesOfEach)
		c.proxies[c.Routers[0].Name].Disconnect()
		highest = max(highest, c.race(operators, changesOfEach))
		c.routers[1].kill()
		c.platformFault(objects.Faults{LoseResponse: lossyPart})
		highest = max(highest, c.race(operators, changesOfEach))
		c.routers[1].restart()
		c.platformFault(objects.Faults{Down: true})
		c.race(1, 1)
		c.routers[2].kill()
		c.routers[2].restart()
		c.platformFault(objects.Faults{})
		for _, p := range c.proxies {
			p.Stall()
		}
		c.proxies[c.Routers[0].Name].Restore()
		highest = max(highest, c.race(operators, changesOfEach))
		c.inForce(highest)
		Expect(seen.stop()).To(BeEmpty())
		e := c.evidence(nil)
		Expect(e.Check()).To(BeEmpty())
		Expect(highest).To(BeNumerically(">", operators))
	})
})
