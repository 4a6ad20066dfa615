package member_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cyclamenwinch/cyclamenwinch/core/member"
)

func TestMember(t *testing.T) {
	RegisterFailHandler(Fail)
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		flag.Set("rapid.seed", "1") // the same verdict every run
	}
	RunSpecs(t, "Membership")
}

const (
	lifetime = 4 * time.Second
	beat     = 500 * time.Millisecond
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// world drives trackers over a network and a platform that can fail.
type world struct {
	now      time.Time
	rounds   int
	mesh     int
	trackers map[string]*member.Tracker
	leases   map[string]member.Lease
	version  int64
	down     bool               // the platform fails
	offline  map[string]bool    // cut off from the platform
	stopped  map[string]bool    // dead or paused
	cut      map[[2]string]bool // messages from the first to the second are lost
	highest  map[string]int64   // incarnation seen in any view
	renewed  map[string]time.Time
}

func newWorld(n, mesh int) *world {
	w := &world{
		now: start, mesh: mesh, trackers: map[string]*member.Tracker{}, leases: map[string]member.Lease{},
		stopped: map[string]bool{}, cut: map[[2]string]bool{}, highest: map[string]int64{}, renewed: map[string]time.Time{},
	}
	for i := range n {
		w.restart(fmt.Sprintf("r%02d", i), 1)
	}
	return w
}

func (w *world) names() []string {
	var names []string
	for name := range w.trackers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (w *world) restart(name string, incarnation int64) {
	self := member.Router{Name: name, Incarnation: incarnation, Region: "north", PeerAddr: name}
	w.trackers[name] = member.NewTracker(self, member.Limits{Lifetime: lifetime, FullMeshMax: w.mesh, Fanout: 2}, w.now)
	w.stopped[name] = false
}

// round lets one heartbeat period pass.
func (w *world) round() {
	w.now = w.now.Add(beat)
	w.rounds++
	for _, name := range w.names() {
		t := w.trackers[name]
		if w.stopped[name] {
			continue
		}
		t.Tick(w.now)
		w.platform(name, t)
		for _, peer := range t.HeartbeatPeers(w.rounds) {
			w.exchange(name, peer)
		}
	}
}

func (w *world) platform(name string, t *member.Tracker) {
	if w.now.Sub(w.renewed[name]) < t.RenewalInterval() {
		return
	}
	if w.down || w.offline[name] {
		t.PlatformReadFailed()
		return
	}
	w.renewed[name] = w.now
	w.version++
	w.leases[name] = member.Lease{Router: t.Self(), Version: w.version}
	if t.NeedsFullRead() {
		t.HandleLeases(w.now, slices.Collect(maps.Values(w.leases)))
		return
	}
	suspects := t.Suspects(w.now)
	var leases []member.Lease
	for _, name := range suspects {
		leases = append(leases, w.leases[name])
	}
	t.HandleSuspectLeases(w.now, suspects, leases)
}

func (w *world) exchange(from, to string) {
	a, b := w.trackers[from], w.trackers[to]
	if b == nil || w.stopped[to] || w.cut[[2]string{from, to}] {
		return
	}
	knownByA, knownByB := a.Knows(to, b.Self().Incarnation), b.Knows(from, a.Self().Incarnation)
	b.HandleHeartbeat(w.now, a.NextHeartbeat(0, 0))
	b.HandleReply(knownByA)
	b.HandleNotices(w.now, a.PendingNotices())
	if w.cut[[2]string{to, from}] {
		return
	}
	a.HandleHeartbeat(w.now, b.NextHeartbeat(0, 0))
	a.HandleNotices(w.now, b.PendingNotices())
	a.HandleReply(knownByB)
	if a.Digest() != b.Digest() {
		fromA, fromB := a.DiffNotices(w.now, b.Digest()), b.DiffNotices(w.now, a.Digest())
		b.HandleNotices(w.now, fromA)
		a.HandleNotices(w.now, fromB)
	}
}

func (w *world) run(d time.Duration) {
	for range int(d / beat) {
		w.round()
	}
}

func (w *world) views() map[string]member.View {
	views := map[string]member.View{}
	for name, t := range w.trackers {
		views[name] = t.View()
	}
	return views
}

// agreed returns the members that all running trackers agree on.
func (w *world) agreed() ([]string, bool) {
	var agreed []string
	for _, name := range w.names() {
		if w.stopped[name] {
			continue
		}
		var view []string
		for _, r := range w.trackers[name].View().Routers {
			view = append(view, fmt.Sprintf("%s/%d/%v", r.Name, r.Incarnation, r.Leaving))
		}
		if agreed != nil && !slices.Equal(agreed, view) {
			return nil, false
		}
		agreed = view
	}
	return agreed, true
}

// check asserts what must hold at any moment.
func (w *world) check(t *rapid.T) {
	for _, tracker := range w.trackers {
		view := tracker.View()
		for _, r := range view.Routers {
			key := tracker.Self().Name + ">" + r.Name
			if r.Incarnation < w.highest[key] {
				t.Fatalf("%s: incarnation fell from %d to %d", key, w.highest[key], r.Incarnation)
			}
			w.highest[key] = r.Incarnation
		}
		owner, _ := view.Owner("key")
		staying := slices.ContainsFunc(view.Routers, func(r member.Router) bool { return !r.Leaving })
		if owner.Leaving && staying {
			t.Fatalf("%s leaves and owns a key", owner.Name)
		}
	}
}

func properties(mesh int) func(*rapid.T) {
	return func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "routers")
		w := newWorld(n, mesh)
		w.run(2 * lifetime)
		names := w.names()
		name := rapid.SampledFrom(names)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "fault") {
			case 0:
				who := name.Draw(t, "restarted")
				w.restart(who, w.trackers[who].Self().Incarnation+1)
				delete(w.highest, who)
			case 1:
				w.cut[[2]string{name.Draw(t, "from"), name.Draw(t, "to")}] = true
			case 2:
				w.down = !w.down
			case 3:
				who := name.Draw(t, "stopped")
				w.stopped[who] = !w.stopped[who]
			case 4:
				w.trackers[name.Draw(t, "leaving")].SetLeaving(rapid.Bool().Draw(t, "leaves"))
			default:
				w.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "beats")) * beat)
			}
			w.check(t)
		}
		clear(w.cut)
		clear(w.stopped)
		w.down = false
		w.run(5 * time.Second)
		w.check(t)
		if _, ok := w.agreed(); !ok {
			t.Fatalf("views differ 5 s after all faults ended: %v", w.views())
		}
	}
}

var _ = Describe("the tracker", func() {
	It("converges and has one owner at rest, as a full mesh", func() {
		rapid.Check(GinkgoT(), properties(16))
	})

	It("converges and has one owner at rest, on the ring", func() {
		rapid.Check(GinkgoT(), properties(3))
	})

	It("removes a dead router once the platform was read", func() {
		w := newWorld(3, 16)
		w.run(lifetime)
		w.stopped["r00"] = true
		w.run(3 * lifetime / 2)
		Expect(w.trackers["r01"].View().Names()).To(Equal([]string{"r01", "r02"}))
	})

	It("changes nothing in an hour of platform outage, and removes no live router after it", func() {
		w := newWorld(7, 16)
		w.run(lifetime)
		w.down = true
		w.stopped["r00"] = true
		w.cut[[2]string{"r01", "r02"}], w.cut[[2]string{"r02", "r01"}] = true, true
		w.run(time.Hour)
		Expect(w.trackers["r01"].View().Routers).To(HaveLen(7))
		w.down = false
		w.run(3 * lifetime / 2)
		Expect(w.trackers["r01"].View().Names()).To(Equal([]string{"r01", "r02", "r03", "r04", "r05", "r06"}))
	})

	It("removes a router whose address refuses connections while the platform is down", func() {
		w := newWorld(3, 16)
		w.run(lifetime)
		w.down, w.stopped["r00"] = true, true
		w.trackers["r01"].ConnectionRefused("r00", 1)
		w.run(3 * lifetime / 2)
		Expect(w.trackers["r01"].View().Names()).To(Equal([]string{"r01", "r02"}))
		Expect(w.trackers["r02"].View().Names()).To(Equal([]string{"r01", "r02"}), "the proof is passed on")
	})

	It("owns nothing after a pause until it was answered", func() {
		w := newWorld(2, 16)
		w.run(lifetime)
		t := w.trackers["r00"]
		t.Tick(w.now.Add(lifetime + time.Millisecond))
		for i := range 50 {
			owner, _ := t.View().Owner(fmt.Sprint("key", i))
			Expect(owner.Name).To(Equal("r01"))
		}
		t.HandleReply(true)
		Expect(t.Confirmed()).To(BeTrue())
	})

	It("takes a higher incarnation than its former self, though the clock fell", func() {
		w := newWorld(2, 16)
		w.run(lifetime)
		w.restart("r00", 0)
		w.run(lifetime)
		Expect(w.trackers["r00"].Self().Incarnation).To(BeNumerically(">", 1))
		Expect(w.trackers["r00"].Replaced()).To(BeFalse())
	})

	It("gives nothing to the routers of an availability zone that is out", func() {
		w := newWorld(2, 16)
		w.run(lifetime)
		w.trackers["r00"].HandleHeartbeat(w.now, member.Heartbeat{Router: member.Router{Name: "r01", Incarnation: 2, Zone: "z"}, Seq: 1})
		w.trackers["r00"].SetZonesOut(map[string]bool{"z": true})
		for i := range 50 {
			owner, _ := w.trackers["r00"].View().Owner(fmt.Sprint("key", i))
			Expect(owner.Name).To(Equal("r00"))
		}
	})

	It("steps back for a later process under its name", func() {
		w := newWorld(2, 16)
		w.run(lifetime)
		w.trackers["r00"].HandleHeartbeat(w.now, member.Heartbeat{Router: member.Router{Name: "r00", Incarnation: 9}, Seq: 1})
		Expect(w.trackers["r00"].Replaced()).To(BeTrue())
	})

	It("removes a whole region that was lost, in a large fleet", func() {
		w := newWorld(40, 16)
		for i := range 20 {
			name := fmt.Sprintf("r%02d", i)
			w.trackers[name] = member.NewTracker(member.Router{Name: name, Incarnation: 1, Region: "south"}, member.Limits{Lifetime: lifetime, FullMeshMax: 16, Fanout: 2}, w.now)
		}
		w.run(2 * lifetime)
		for i := range 20 {
			w.stopped[fmt.Sprintf("r%02d", i)] = true
		}
		w.run(4 * lifetime)
		names, ok := w.agreed()
		Expect(ok).To(BeTrue())
		Expect(names).To(HaveLen(20))
	})

	It("takes a region back within 5 s of its return, in a large fleet", func() {
		w := newWorld(40, 16)
		south, north := w.names()[:20], w.names()[20:]
		for _, name := range south {
			w.trackers[name] = member.NewTracker(member.Router{Name: name, Incarnation: 1, Region: "south"}, member.Limits{Lifetime: lifetime, FullMeshMax: 16, Fanout: 2}, w.now)
		}
		w.run(2 * lifetime)
		w.offline = map[string]bool{}
		for _, x := range south {
			w.offline[x] = true
			for _, y := range north {
				w.cut[[2]string{x, y}], w.cut[[2]string{y, x}] = true, true
			}
		}
		w.run(time.Minute)
		Expect(w.trackers[north[0]].View().Routers).To(HaveLen(20), "the north reads the platform")
		Expect(w.trackers[south[0]].View().Routers).To(HaveLen(40), "the south does not")
		clear(w.offline)
		clear(w.cut)
		w.run(5 * time.Second)
		names, ok := w.agreed()
		Expect(ok).To(BeTrue())
		Expect(names).To(HaveLen(40))
	})

	It("talks to a bounded number of routers in a large fleet", func() {
		w := newWorld(64, 16)
		w.run(2 * lifetime)
		Expect(w.trackers["r00"].View().Routers).To(HaveLen(64))
		met := map[string]bool{}
		for round := range 64 {
			partners := w.trackers["r00"].HeartbeatPeers(round)
			Expect(len(partners)).To(BeNumerically("<=", 3))
			for _, p := range partners {
				met[p] = true
			}
		}
		Expect(len(met)).To(BeNumerically("<=", 2+6), "successors and one at each power of two")
	})
})

func BenchmarkTracker(b *testing.B) {
	for _, n := range []int{7, 50, 450} {
		w := newWorld(n, 16)
		w.run(4 * beat)
		t := w.trackers["r00"]
		b.Run(fmt.Sprintf("digest/%d", n), func(b *testing.B) {
			for b.Loop() {
				t.Digest()
			}
		})
		b.Run(fmt.Sprintf("partners/%d", n), func(b *testing.B) {
			for b.Loop() {
				t.HeartbeatPeers(1)
			}
		})
		b.Run(fmt.Sprintf("owner/%d", n), func(b *testing.B) {
			view := t.View()
			for b.Loop() {
				view.Owner("pool/drafting/north")
			}
		})
		b.Run(fmt.Sprintf("pick/%d", n), func(b *testing.B) {
			routers := t.View().Routers
			for b.Loop() {
				member.Pick(routers, member.Location{Region: "north"}, 4, func() float64 { return 0.5 })
			}
		})
	}
}
