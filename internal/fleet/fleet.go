// Package fleet maintains a router's state of the fleet: its own lease, the
// view of the other routers, the manifest in force and the usage totals of
// client accounts. The manifest is stored as a root object, whose write commits
// a generation, and immutable parts that the root refers to.
//
// It reads the platform and exchanges heartbeats with peers, and applies a
// change from whichever reports it first. While the platform is down, the last
// view and manifest stay in force. The decisions are made by core/member,
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
	fullMeshMax = 16 // up to this many other routers, each router exchanges heartbeats with all
	ringFanout  = 2  // ring successors to exchange heartbeats with in a larger fleet
)

// Options configure a Fleet.
type Options struct {
	Self      member.Router
	Platform  *platform.Client
	Dialer    *peer.Dialer
	Events    *eventlog.Log
	Lease     time.Duration // silence after which a router may be removed
	Heartbeat time.Duration // period of the heartbeats and timeout of each exchange
	// Usage returns the cost that this router has charged to each account since
	// its start. Load returns the number of its open requests.
	Usage func() map[string]fair.Cost
	Load  func() int
}

// Fleet is one router's state of the fleet. It is safe for concurrent use.
type Fleet struct {
	peerpb.UnimplementedFleetServer
	opts     Options
	changed  chan struct{} // holds a token while a call of the subscribers is pending
	renewNow chan struct{} // holds a token while an immediate lease renewal is pending
	config   *config
	syncing  atomic.Bool

	mu             sync.Mutex
	tracker        *member.Tracker
	incarnation    int64 // for which usage was created
	leaseVersion   int64
	platformDown   bool
	platformEra    int64 // at the last renewal; 0: none yet
	viewMismatches int   // consecutive replies from peers with another view
	usage          *usage.Aggregator
	remoteUsage    map[string]fair.Cost // copy of usage.Remote at remoteUsageSeq
	remoteUsageSeq uint64
	usageProgress  map[string]usageProgress // by router
	inFlight       map[string]bool          // routers with a heartbeat exchange in progress
	knownBy        map[string]int64         // incarnations of the routers that know this one
	subscribers    []func()
}

// New returns a Fleet whose view contains only its own router.
func New(opts Options) *Fleet {
	limits := member.Limits{SilenceTimeout: opts.Lease, FullMeshMax: fullMeshMax, Fanout: ringFanout}
	return &Fleet{
		opts:          opts,
		changed:       make(chan struct{}, 1),
		renewNow:      make(chan struct{}, 1),
		config:        &config{joiner: manifest.NewJoiner()},
		tracker:       member.NewTracker(opts.Self, limits, time.Now()),
		incarnation:   opts.Self.Incarnation,
		usage:         usage.NewAggregator(opts.Self.Name, opts.Self.Incarnation),
		usageProgress: map[string]usageProgress{},
		inFlight:      map[string]bool{},
		knownBy:       map[string]int64{},
	}
}

// Subscribe registers fn to be called after changes of the view or the manifest.
// RunNotifier calls it from its own goroutine, possibly once for several changes
// in quick succession.
func (f *Fleet) Subscribe(fn func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers = append(f.subscribers, fn)
}

// RunNotifier calls the subscribers after changes until the context ends. Slow
// subscribers delay neither heartbeats nor requests.
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

// Self returns this router as it is announced to others.
func (f *Fleet) Self() member.Router {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.Self()
}

// View returns the member routers, including this one.
func (f *Fleet) View() member.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.View()
}

// Manifest returns the manifest in force, or nil if there is none yet. The
// caller must not change it.
func (f *Fleet) Manifest() *manifest.Manifest { return f.config.manifest() }

// Generations returns the manifest generation that each router last reported.
func (f *Fleet) Generations() map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	generations := f.tracker.Generations()
	generations[f.tracker.Self().Name] = f.config.generation()
	return generations
}

// RemoteUsage returns the cost that other routers and earlier incarnations of
// this one charged to each account. The caller must not change the map.
func (f *Fleet) RemoteUsage() map[string]fair.Cost {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.remoteUsage == nil || f.remoteUsageSeq != f.usage.Seq() {
		f.remoteUsage, f.remoteUsageSeq = maps.Clone(f.usage.Remote()), f.usage.Seq()
	}
	return f.remoteUsage
}

// SetLeaving sets whether this router is announced as leaving.
func (f *Fleet) SetLeaving(leaving bool) {
	f.mu.Lock()
	f.tracker.SetLeaving(leaving)
	f.mu.Unlock()
	signal(f.renewNow)
	f.notify()
}

// ApplyManifest puts a manifest in force if its generation is higher than the
// current one, and reports whether it did.
func (f *Fleet) ApplyManifest(m *manifest.Manifest) bool {
	if !f.config.apply(m, nil, nil) {
		return false
	}
	f.manifestApplied(m)
	return true
}

// manifestApplied passes the zones of a newly applied manifest to the tracker and
// records the event.
func (f *Fleet) manifestApplied(m *manifest.Manifest) {
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

// publishChanges records the tracker's pending changes in the event log, cleans up
// after removed routers and notifies the subscribers. It must be called after each
// input to the tracker.
func (f *Fleet) publishChanges() {
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
			f.dropRouterState(c.Router)
			f.deleteLeaseOf(c, view)
		}
	}
	if len(changes) > 0 {
		f.notify()
	}
}

// dropRouterState closes the connection to a removed router and drops the state
// of its heartbeat exchanges.
func (f *Fleet) dropRouterState(r member.Router) {
	f.opts.Dialer.CloseConn(r)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.usageProgress, r.Name)
	delete(f.knownBy, r.Name)
}

func (f *Fleet) notify() { signal(f.changed) }

// signal puts a token into a channel of capacity one unless it already holds one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
