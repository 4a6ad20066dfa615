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
	longFaultDuration = 4 * time.Second // longer than the leases and progress timeouts of the tests
	faultDuration     = 2 * time.Second
	lossRate          = 0.3
	failureInterval   = 300 * time.Millisecond
	longRounds        = 6
)

// failureMode is one kind of failure; inject causes it and returns when the
// failure is over.
type failureMode struct {
	name   string
	inject func(*rand.Rand)
}

// injectFailures injects overlapping failures: each of two workers injects all
// modes one after the other, in an order that depends on the seed, so that
// failures of one worker coincide with those of the other.
func (c *cluster) injectFailures(seed uint64, rounds int, modes []failureMode) {
	var wait sync.WaitGroup
	for worker := range 2 {
		rng := rand.New(rand.NewPCG(seed, uint64(worker)))
		wait.Go(func() {
			defer GinkgoRecover()
			for range rounds {
				for _, i := range rng.Perm(len(modes)) {
					GinkgoWriter.Printf("injecting failure: %s\n", modes[i].name)
					modes[i].inject(rng)
					time.Sleep(failureInterval)
				}
			}
		})
	}
	wait.Wait()
}

// failureRounds returns how many times each worker injects every failure mode.
func failureRounds() int {
	if os.Getenv(longEnv) == "1" {
		return longRounds
	}
	return 1
}

// exclusive hands out processes so that no two failures affect the same process
// at the same time.
type exclusive struct{ free chan *process }

func newExclusive(processes []*process) exclusive {
	e := exclusive{free: make(chan *process, len(processes))}
	for _, p := range processes {
		e.free <- p
	}
	return e
}

func (e exclusive) with(inject func(*process)) {
	p := <-e.free
	defer func() { e.free <- p }()
	inject(p)
}

// routerFailures kills and suspends router processes.
func (c *cluster) routerFailures() []failureMode {
	routers := newExclusive(c.routers)
	return []failureMode{
		{"router killed", func(*rand.Rand) {
			routers.with(func(p *process) { p.kill(); p.restart() })
		}},
		{"router suspended past every timeout", func(*rand.Rand) {
			routers.with(func(p *process) { p.suspend(); time.Sleep(longFaultDuration); p.resume() })
		}},
	}
}

// platformFailures makes the platform unavailable, loses its responses and
// delays them.
func (c *cluster) platformFailures() []failureMode {
	var mu sync.Mutex // one platform fault at a time
	withFaults := func(name string, f objects.Faults) failureMode {
		return failureMode{name, func(*rand.Rand) {
			mu.Lock()
			defer mu.Unlock()
			c.setPlatformFaults(f)
			time.Sleep(faultDuration)
			c.setPlatformFaults(objects.Faults{})
		}}
	}
	return []failureMode{
		withFaults("platform down", objects.Faults{Down: true}),
		withFaults("platform loses responses", objects.Faults{LoseResponse: lossRate}),
		withFaults("platform slow", objects.Faults{DelayMs: 200}),
	}
}

// orderFailures makes order runners execute an order and lose its response,
// stop responding, or refuse orders.
func (c *cluster) orderFailures() []failureMode {
	runners := newExclusive(c.orders)
	withFaults := func(name string, f orders.Faults) failureMode {
		return failureMode{name, func(*rand.Rand) {
			runners.with(func(p *process) {
				setFaults("http://"+p.address, f)
				time.Sleep(faultDuration)
				setFaults("http://"+p.address, orders.Faults{})
			})
		}}
	}
	return []failureMode{
		withFaults("order runner loses responses", orders.Faults{LoseResponse: true}),
		withFaults("order runner silent", orders.Faults{Silent: true}),
		withFaults("order runner refuses orders", orders.Faults{Refuse: true}),
	}
}
