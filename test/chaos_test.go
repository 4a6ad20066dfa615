package test_test

import (
	"math/rand/v2"
	"os"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/cyclamenwinch/cyclamenwinch/standin/objects"
	"github.com/cyclamenwinch/cyclamenwinch/standin/orders"
)

const (
	freezeTime = 4 * time.Second // past leases and progress time-outs of the tests
	outageTime = 2 * time.Second
	lossyPart  = 0.3
	pauseTime  = 300 * time.Millisecond
	longDecks  = 6
)

// mischief is one kind of failure: it begins and is over when it returns.
type mischief struct {
	name string
	do   func(*rand.Rand)
}

// chaos makes failures fall one upon the other: each of two hands deals all
// kinds, in an order drawn by seed, so that failures also fall together.
func (c *cluster) chaos(seed uint64, decks int, kinds []mischief) {
	var wait sync.WaitGroup
	for hand := range 2 {
		rng := rand.New(rand.NewPCG(seed, uint64(hand)))
		wait.Go(func() {
			defer GinkgoRecover()
			for range decks {
				for _, i := range rng.Perm(len(kinds)) {
					GinkgoWriter.Printf("%s begins\n", kinds[i].name)
					kinds[i].do(rng)
					time.Sleep(pauseTime)
				}
			}
		})
	}
	wait.Wait()
}

// decks is how often each hand deals all kinds.
func decks() int {
	if os.Getenv(longEnv) == "1" {
		return longDecks
	}
	return 1
}

// one hands out processes so that two failures never fight over one.
type one struct{ free chan *process }

func oneOf(processes []*process) one {
	o := one{free: make(chan *process, len(processes))}
	for _, p := range processes {
		o.free <- p
	}
	return o
}

func (o one) with(do func(*process)) {
	p := <-o.free
	defer func() { o.free <- p }()
	do(p)
}

// routerMischief kills and freezes routers.
func (c *cluster) routerMischief() []mischief {
	routers := oneOf(c.routers)
	return []mischief{
		{"router killed", func(*rand.Rand) {
			routers.with(func(p *process) { p.kill(); p.restart() })
		}},
		{"router frozen past every time-out", func(*rand.Rand) {
			routers.with(func(p *process) { p.freeze(); time.Sleep(freezeTime); p.thaw() })
		}},
	}
}

// platformMischief takes the platform down, loses its answers and slows it.
func (c *cluster) platformMischief() []mischief {
	var mu sync.Mutex // one platform fault at a time
	fall := func(name string, f objects.Faults) mischief {
		return mischief{name, func(*rand.Rand) {
			mu.Lock()
			defer mu.Unlock()
			c.platformFault(f)
			time.Sleep(outageTime)
			c.platformFault(objects.Faults{})
		}}
	}
	return []mischief{
		fall("platform down", objects.Faults{Down: true}),
		fall("platform loses answers", objects.Faults{LoseResponse: lossyPart}),
		fall("platform slow", objects.Faults{DelayMs: 200}),
	}
}

// orderMischief makes order runners execute and lose the answer.
func (c *cluster) orderMischief() []mischief {
	runners := oneOf(c.orders)
	fall := func(name string, f orders.Faults) mischief {
		return mischief{name, func(*rand.Rand) {
			runners.with(func(p *process) {
				fault("http://"+p.address, f)
				time.Sleep(outageTime)
				fault("http://"+p.address, orders.Faults{})
			})
		}}
	}
	return []mischief{
		fall("order runner loses answers", orders.Faults{LoseResponse: true}),
		fall("order runner silent", orders.Faults{Silent: true}),
		fall("order runner refuses", orders.Faults{Refuse: true}),
	}
}
