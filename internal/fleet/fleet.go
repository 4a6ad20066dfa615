// Package fleet keeps a router's knowledge of the fleet: its own lease, the
// view of the other routers, the manifest in force and the usage totals of
// client accounts.
//
// It reads the platform and exchanges heartbeats with peers; whichever
// brings news first is believed. While the platform is down the last view
// and manifest stay in force. The decisions are those of core/member,
// core/manifest and core/usage.
package fleet

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/core/usage"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peer"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
)

const (
	meshSize   = 16 // up to so many other routers all exchange heartbeats
	ringFanout = 2  // successors in a larger fleet
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
	opts    Options
	changed chan struct{} // holds one token while subscribers are to be called
	renewal chan struct{} // holds one token while the lease is to be written at once
	config  *config
	syncing atomic.Bool

	mu           sync.Mutex
	tracker      *member.Tracker
	incarnation  int64 // of the book
	leaseVersion int64
	platformDown bool
	differing    int // exchanges in a row that showed another view
	book         *usage.Aggregator
	remote       map[string]fair.Cost // copy of the book's, at remoteSeq
	remoteSeq    uint64
	sent         map[string]progress
	inFlight     map[string]bool
	knownTo      map[string]int64 // incarnations of routers that know this one
	subscribers  []func()
}

// New returns a fleet that knows only itself.
func New(opts Options) *Fleet {
	limits := member.Limits{SilenceTimeout: opts.Lease, FullMeshMax: meshSize, Fanout: ringFanout}
	return &Fleet{
		opts:        opts,
		changed:     make(chan struct{}, 1),
		renewal:     make(chan struct{}, 1),
		config:      &config{joiner: manifest.NewJoiner()},
		tracker:     member.NewTracker(opts.Self, limits, time.Now()),
		incarnation: opts.Self.Incarnation,
		book:        usage.NewAggregator(opts.Self.Name, opts.Self.Incarnation),
		sent:        map[string]progress{},
		inFlight:    map[string]bool{},
		knownTo:     map[string]int64{},
	}
}

// Subscribe calls fn after changes of view or manifest, from KeepNotifying's
// goroutine. Changes that come close together lead to one call.
func (f *Fleet) Subscribe(fn func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers = append(f.subscribers, fn)
}

// RunNotifier calls the subscribers after changes until the context ends.
// Heartbeats and requests never wait for them.
func (f *Fleet) RunNotifier(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.changed:
		}
		f.mu.Lock()
		subscribers := f.subscribers
		f.mu.Unlock()
		for _, fn := range subscribers {
			fn()
		}
	}
}

// Self returns this router as others see it.
func (f *Fleet) Self() member.Router {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.Self()
}

// View returns the live routers, this one among them.
func (f *Fleet) View() member.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.View()
}

// Manifest returns the manifest in force, or nil before there is one. The
// caller must not change it.
func (f *Fleet) Manifest() *manifest.Manifest { return f.config.manifest() }

// Generations returns the generation that each router last reported.
func (f *Fleet) Generations() map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	generations := f.tracker.Generations()
	generations[f.tracker.Self().Name] = f.config.generation()
	return generations
}

// RemoteUsage returns the cost that other routers, and former runs of this
// one, charged to each account. The caller must not change it.
func (f *Fleet) RemoteUsage() map[string]fair.Cost {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.remote == nil || f.remoteSeq != f.book.Seq() {
		f.remote, f.remoteSeq = maps.Clone(f.book.Remote()), f.book.Seq()
	}
	return f.remote
}

// SetLeaving marks this router as leaving, or not.
func (f *Fleet) SetLeaving(leaving bool) {
	f.mu.Lock()
	f.tracker.SetLeaving(leaving)
	f.mu.Unlock()
	signal(f.renewal)
	f.notify()
}

// Adopt puts a manifest in force if its generation is higher than that of
// the one in force. It reports whether it did.
func (f *Fleet) Adopt(m *manifest.Manifest) bool {
	if !f.config.adopt(m, nil, nil) {
		return false
	}
	f.inForce(m)
	return true
}

func (f *Fleet) inForce(m *manifest.Manifest) {
	out := map[string]bool{}
	for _, z := range m.Zones {
		out[z.Name] = z.State == manifest.Out
	}
	f.mu.Lock()
	f.tracker.SetZonesOut(out)
	f.mu.Unlock()
	f.opts.Events.Add(eventlog.Event{Kind: eventlog.ManifestInForce, Detail: detail("generation", m.Generation)})
	f.notify()
}

// publish reports the tracker's changes. It must run after each input.
func (f *Fleet) publish() {
	f.mu.Lock()
	changes := f.tracker.Changes()
	view := f.tracker.View()
	f.mu.Unlock()
	for _, c := range changes {
		switch c.Kind {
		case member.Joined:
			f.opts.Events.Add(eventlog.Event{Kind: eventlog.MemberJoined, Detail: c.Router.Name})
		case member.Left:
			f.opts.Events.Add(eventlog.Event{Kind: eventlog.MemberLeft, Detail: c.Router.Name})
			f.forget(c.Router)
			f.cleanUp(c, view)
		}
	}
	if len(changes) > 0 {
		f.notify()
	}
}

// forget drops what is kept for exchanges with a router that is gone.
func (f *Fleet) forget(r member.Router) {
	f.opts.Dialer.Forget(r)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.sent, r.Name)
	delete(f.knownTo, r.Name)
}

func (f *Fleet) notify() { signal(f.changed) }

// signal puts a token into a channel that holds one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
