package prepared_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/standin/netproxy"
	"github.com/cyclamenwinch/cyclamenwinch/standin/prepared"
)

// operator writes the configuration and takes a zone out of service.
type operator struct {
	store *prepared.Store

	mu      sync.Mutex
	version int // of the newest configuration
	zoneOut bool
}

// changeConfig writes a new version of the configuration.
func (o *operator) changeConfig() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	o.putConfig()
}

// setZoneOut takes zone b out of service or back.
func (o *operator) setZoneOut(out bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.zoneOut = out
	o.putZone()
}

// writeAgain writes again what the store may have lost.
func (o *operator) writeAgain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.putConfig()
	o.putZone()
}

func (o *operator) putConfig() {
	c := config(o.version, []string{"key-1", o.key()})
	c["limits"].(map[string]any)["max-body-bytes"] = soakMaxBodyBytes
	o.store.Put("config", "main", c)
}

func (o *operator) putZone() {
	if o.zoneOut {
		o.store.Put("evacuations", "b", map[string]any{})
	} else {
		o.store.Delete("evacuations", "b")
	}
}

// key returns an API key that only the newest version has.
func (o *operator) key() string { return fmt.Sprint("key-of-version-", o.version) }

// newestKey returns the API key that only the newest version has.
func (o *operator) newestKey() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.key()
}

// fault is a kind of failure; run injects it and returns when it is over.
type fault struct {
	name string
	run  func(rng *rand.Rand, duration time.Duration)
}

func (s *soak) faults() []fault {
	atRouter := func(inject func(r *router, storeProxy *netproxy.Proxy, duration time.Duration)) func(*rand.Rand, time.Duration) {
		return func(rng *rand.Rand, duration time.Duration) {
			i := rng.IntN(len(s.routers))
			s.faultLocks[i].Lock()
			defer s.faultLocks[i].Unlock()
			s.checkProcess(s.routers[i])
			inject(s.routers[i], s.storeProxies[i], duration)
		}
	}
	atEndpoint := func(inject func(r *runner, p *netproxy.Proxy, duration time.Duration)) func(*rand.Rand, time.Duration) {
		return func(rng *rand.Rand, duration time.Duration) {
			i := rng.IntN(len(s.endpointProxies))
			inject(s.runners[i], s.endpointProxies[i], duration)
		}
	}
	storeFault := func(f prepared.Faults) func(*rand.Rand, time.Duration) {
		return func(_ *rand.Rand, duration time.Duration) {
			s.store.SetFaults(f)
			time.Sleep(duration)
			s.store.SetFaults(prepared.Faults{})
		}
	}
	return []fault{
		{"router killed", atRouter(func(r *router, _ *netproxy.Proxy, duration time.Duration) {
			r.session.Kill().Wait(hangTimeout)
			time.Sleep(duration / 4)
			r.start()
		})},
		{"router restarted gracefully", atRouter(func(r *router, _ *netproxy.Proxy, _ time.Duration) {
			awaitFirstOutput(r)
			r.session.Terminate()
			s.awaitStop(r)
			r.start()
		})},
		{"router suspended", atRouter(func(r *router, _ *netproxy.Proxy, duration time.Duration) {
			r.session.Signal(syscall.SIGSTOP)
			time.Sleep(duration)
			r.session.Signal(syscall.SIGCONT)
		})},
		{"settings reloaded", atRouter(func(r *router, _ *netproxy.Proxy, _ time.Duration) {
			awaitFirstOutput(r)
			r.session.Signal(syscall.SIGHUP)
		})},
		{"router disconnected from the store", atRouter(func(_ *router, storeProxy *netproxy.Proxy, duration time.Duration) {
			storeProxy.Disconnect()
			time.Sleep(duration)
			storeProxy.Restore()
		})},
		{"router's calls to the store lost", atRouter(func(_ *router, storeProxy *netproxy.Proxy, duration time.Duration) {
			storeProxy.DropClientData()
			time.Sleep(duration)
			storeProxy.Restore()
		})},
		{"router's connections to the store go silent", atRouter(func(_ *router, storeProxy *netproxy.Proxy, _ time.Duration) { storeProxy.Stall() })},
		{"store down", storeFault(prepared.Faults{Down: true})},
		{"store silent", storeFault(prepared.Faults{Silent: true})},
		{"store slow", storeFault(prepared.Faults{Delay: 300 * time.Millisecond})},
		{"store's responses lost", storeFault(prepared.Faults{LoseResponse: true})},
		{"store's history dropped", func(*rand.Rand, time.Duration) { s.store.Compact() }},
		{"endpoint's connections reset", atEndpoint(func(_ *runner, p *netproxy.Proxy, _ time.Duration) { p.CloseConns() })},
		{"endpoint's connections go silent", atEndpoint(func(_ *runner, p *netproxy.Proxy, _ time.Duration) { p.Stall() })},
		{"endpoint slow to reach", atEndpoint(func(_ *runner, p *netproxy.Proxy, duration time.Duration) {
			p.SetDelay(50 * time.Millisecond)
			time.Sleep(duration)
			p.Restore()
		})},
		{"endpoint unreachable and back", atEndpoint(func(r *runner, p *netproxy.Proxy, duration time.Duration) {
			p.Disconnect()
			time.Sleep(duration)
			p.Restore()
		})},
		{"stream interrupted inside an event", atEndpoint(func(r *runner, _ *netproxy.Proxy, _ time.Duration) { r.BreakNextStream(4) })},
		{"configuration changed", func(*rand.Rand, time.Duration) { s.operator.changeConfig() }},
		{"zone out and back", func(_ *rand.Rand, duration time.Duration) {
			s.operator.setZoneOut(true)
			time.Sleep(duration)
			s.operator.setZoneOut(false)
		}},
	}
}

// laterFaults returns the kinds of faults that have been added to those of faults.
func (s *soak) laterFaults() []fault {
	const pause = 500 * time.Millisecond
	return []fault{
		{"store restored from an older copy", func(rng *rand.Rand, duration time.Duration) {
			older := s.store.Copy()
			time.Sleep(duration)
			s.operator.changeConfig()
			time.Sleep(pause / 2)
			s.store.SetFaults(prepared.Faults{Down: true})
			time.Sleep(time.Duration(rng.Int64N(int64(2 * pause))))
			s.store.Restore(older)
			s.store.SetFaults(prepared.Faults{})
			time.Sleep(time.Duration(rng.Int64N(int64(pause))))
			s.operator.writeAgain()
			s.operator.changeConfig()
		}},
		{"sound endpoint silent for a second", func(rng *rand.Rand, duration time.Duration) {
			p := s.endpointProxies[rng.IntN(len(s.endpointProxies))]
			p.Pause()
			time.Sleep(pause + duration/2)
			p.Resume()
		}},
	}
}
