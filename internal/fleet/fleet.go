// Package fleet keeps a router's knowledge of the fleet: its own lease, the
// view of the other routers, the manifest in force and the usage totals of
// client accounts.
//
// It reads the platform and exchanges heartbeats with peers; whichever
// brings news first is believed. While the platform is down the last view
// and manifest stay in force.
package fleet

import (
	"sync"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peer"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
)

// Options configure a Fleet.
type Options struct {
	Self      member.Router
	Platform  *platform.Client
	Dialer    *peer.Dialer
	Events    *eventlog.Log
	Lease     time.Duration
	Heartbeat time.Duration
	// Usage returns the cost that this router charged to each account since
	// its start. Load returns its open requests.
	Usage func() map[string]fair.Cost
	Load  func() int
}

// Fleet is safe for concurrent use.
type Fleet struct {
	peerpb.UnimplementedFleetServer
	opts Options

	mu           sync.Mutex
	self         member.Router
	leaseVersion int64
	seen         map[string]sighting
	usage        map[usageKey]fair.Cost
	manifest     *manifest.Manifest
	subscribers  []func()
}

// sighting is the last news of another router.
type sighting struct {
	router     member.Router
	generation int64
	at         time.Time
}

type usageKey struct {
	router      string
	incarnation int64
	account     string
}

// New returns a fleet that knows only itself.
func New(opts Options) *Fleet {
	return &Fleet{
		opts:  opts,
		self:  opts.Self,
		seen:  map[string]sighting{},
		usage: map[usageKey]fair.Cost{},
	}
}

// Subscribe calls f after each change of view or manifest. f must not block.
func (f *Fleet) Subscribe(fn func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers = append(f.subscribers, fn)
}

// Self returns this router as others see it.
func (f *Fleet) Self() member.Router {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.self
}

// View returns the live routers, this one among them.
func (f *Fleet) View() member.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	routers := []member.Router{f.self}
	for _, s := range f.seen {
		routers = append(routers, s.router)
	}
	return member.NewView(routers)
}

// Manifest returns the manifest in force, or nil before there is one. The
// caller must not change it.
func (f *Fleet) Manifest() *manifest.Manifest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.manifest
}

// Generations returns the generation that each router last reported.
func (f *Fleet) Generations() map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	generations := map[string]int64{f.self.Name: generation(f.manifest)}
	for name, s := range f.seen {
		generations[name] = s.generation
	}
	return generations
}

// RemoteUsage returns the cost that other routers charged to each account.
func (f *Fleet) RemoteUsage() map[string]fair.Cost {
	f.mu.Lock()
	defer f.mu.Unlock()
	totals := map[string]fair.Cost{}
	for key, cost := range f.usage {
		totals[key.account] += cost
	}
	return totals
}

// SetLeaving marks this router as leaving, or not.
func (f *Fleet) SetLeaving(leaving bool) {
	f.mu.Lock()
	f.self.Leaving = leaving
	f.mu.Unlock()
	f.notify()
}

// Adopt puts a manifest in force if its generation is higher than that of
// the one in force. It reports whether it did.
func (f *Fleet) Adopt(m *manifest.Manifest) bool {
	f.mu.Lock()
	if m.Generation <= generation(f.manifest) {
		f.mu.Unlock()
		return false
	}
	f.manifest = m
	f.mu.Unlock()
	f.opts.Events.Add(eventlog.Event{Kind: eventlog.ManifestInForce, Detail: detail("generation", m.Generation)})
	f.notify()
	return true
}

// see notes news of another router. News of an older incarnation is ignored.
func (f *Fleet) see(r member.Router, gen int64, now time.Time) {
	f.mu.Lock()
	if r.Name == f.self.Name || r.Incarnation < f.seen[r.Name].router.Incarnation {
		f.mu.Unlock()
		return
	}
	old, known := f.seen[r.Name]
	f.seen[r.Name] = sighting{router: r, generation: max(gen, old.generation), at: now}
	changed := !known || old.router.Leaving != r.Leaving || old.router.Incarnation != r.Incarnation
	f.mu.Unlock()
	if !known {
		f.opts.Events.Add(eventlog.Event{Kind: eventlog.MemberJoined, Detail: r.Name})
	}
	if changed {
		f.notify()
	}
}

// remove forgets routers.
func (f *Fleet) remove(names []string) {
	if len(names) == 0 {
		return
	}
	f.mu.Lock()
	for _, name := range names {
		delete(f.seen, name)
	}
	f.mu.Unlock()
	for _, name := range names {
		f.opts.Events.Add(eventlog.Event{Kind: eventlog.MemberLeft, Detail: name})
	}
	f.notify()
}

func (f *Fleet) notify() {
	f.mu.Lock()
	subscribers := f.subscribers
	f.mu.Unlock()
	for _, fn := range subscribers {
		fn()
	}
}

func generation(m *manifest.Manifest) int64 {
	if m == nil {
		return 0
	}
	return m.Generation
}
