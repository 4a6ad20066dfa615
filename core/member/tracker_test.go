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
		flag.Set("rapid.seed", "1") // the same cases in every run
	}
	RunSpecs(t, "Membership")
}

const (
	silenceTimeout  = 4 * time.Second
	heartbeatPeriod = 500 * time.Millisecond
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simulation runs trackers with a network and a platform that can both fail.
type simulation struct {
	now          time.Time
	rounds       int
	fullMeshMax  int
	trackers     map[string]*member.Tracker
	leases       map[string]member.Lease
	version      int64
	platformDown bool               // platform calls fail
	offline      map[string]bool    // cut off from the platform
	stopped      map[string]bool    // the process has ended or is paused
	blocked      map[[2]string]bool // by sender and recipient: messages are lost
	highest      map[string]int64   // by observer and router: highest incarnation seen
	lastRenewal  map[string]time.Time
}

func newSimulation(n, fullMeshMax int) *simulation {
	s := &simulation{
		now: start, fullMeshMax: fullMeshMax, trackers: map[string]*member.Tracker{}, leases: map[string]member.Lease{},
		stopped: map[string]bool{}, blocked: map[[2]string]bool{}, highest: map[string]int64{}, lastRenewal: map[string]time.Time{},
	}
	for i := range n {
		s.restart(fmt.Sprintf("r%02d", i), 1)
	}
	return s
}

func (s *simulation) names() []string {
	var names []string
	for name := range s.trackers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (s *simulation) restart(name string, incarnation int64) {
	self := member.Router{Name: name, Incarnation: incarnation, Region: "north", PeerAddr: name}
	s.trackers[name] = member.NewTracker(self, member.Limits{SilenceTimeout: silenceTimeout, FullMeshMax: s.fullMeshMax, Fanout: 2}, s.now)
	s.stopped[name] = false
}

// round simulates one heartbeat period.
func (s *simulation) round() {
	s.now = s.now.Add(heartbeatPeriod)
	s.rounds++
	for _, name := range s.names() {
		t := s.trackers[name]
		if s.stopped[name] {
			continue
		}
		t.Tick(s.now)
		s.renewLease(name, t)
		for _, peer := range t.HeartbeatPeers(s.rounds) {
			s.exchange(name, peer)
		}
	}
}

func (s *simulation) renewLease(name string, t *member.Tracker) {
	if s.now.Sub(s.lastRenewal[name]) < t.RenewalInterval() {
		return
	}
	if s.platformDown || s.offline[name] {
		t.PlatformReadFailed()
		return
	}
	s.lastRenewal[name] = s.now
	s.version++
	s.leases[name] = member.Lease{Router: t.Self(), Version: s.version}
	if t.NeedsFullRead() {
		t.HandleLeases(s.now, slices.Collect(maps.Values(s.leases)))
		return
	}
	suspects := t.Suspects(s.now)
	var leases []member.Lease
	for _, name := range suspects {
		leases = append(leases, s.leases[name])
	}
	t.HandleSuspectLeases(s.now, suspects, leases)
}

func (s *simulation) exchange(from, to string) {
	a, b := s.trackers[from], s.trackers[to]
	if b == nil || s.stopped[to] || s.blocked[[2]string{from, to}] {
		return
	}
	knownByA, knownByB := a.Knows(to, b.Self().Incarnation), b.Knows(from, a.Self().Incarnation)
	b.HandleHeartbeat(s.now, a.NextHeartbeat(0, 0))
	b.HandleReply(knownByA)
	b.HandleNotices(s.now, a.PendingNotices())
	if s.blocked[[2]string{to, from}] {
		return
	}
	a.HandleHeartbeat(s.now, b.NextHeartbeat(0, 0))
	a.HandleNotices(s.now, b.PendingNotices())
	a.HandleReply(knownByB)
	if a.Digest() != b.Digest() {
		fromA, fromB := a.DiffNotices(s.now, b.Digest()), b.DiffNotices(s.now, a.Digest())
		b.HandleNotices(s.now, fromA)
		a.HandleNotices(s.now, fromB)
	}
}

func (s *simulation) run(d time.Duration) {
	for range int(d / heartbeatPeriod) {
		s.round()
	}
}

func (s *simulation) views() map[string]member.View {
	views := map[string]member.View{}
	for name, t := range s.trackers {
		views[name] = t.View()
	}
	return views
}

// agreedView returns the members in the views of all running trackers, and false
// if these views differ.
func (s *simulation) agreedView() ([]string, bool) {
	var agreed []string
	for _, name := range s.names() {
		if s.stopped[name] {
			continue
		}
		var view []string
		for _, r := range s.trackers[name].View().Routers {
			view = append(view, fmt.Sprintf("%s/%d/%v", r.Name, r.Incarnation, r.Leaving))
		}
		if agreed != nil && !slices.Equal(agreed, view) {
			return nil, false
		}
		agreed = view
	}
	return agreed, true
}

// checkInvariants asserts that in each view incarnations never decrease and that
// no leaving router owns a key while another router can.
func (s *simulation) checkInvariants(t *rapid.T) {
	for _, tracker := range s.trackers {
		view := tracker.View()
		for _, r := range view.Routers {
			key := tracker.Self().Name + ">" + r.Name
			if r.Incarnation < s.highest[key] {
				t.Fatalf("%s: incarnation decreased from %d to %d", key, s.highest[key], r.Incarnation)
			}
			s.highest[key] = r.Incarnation
		}
		owner, _ := view.Owner("key")
		staying := slices.ContainsFunc(view.Routers, func(r member.Router) bool { return !r.Leaving })
		if owner.Leaving && staying {
			t.Fatalf("%s owns a key although it is leaving", owner.Name)
		}
	}
}

// convergenceProperty returns a property test that applies random faults and
// checks that the invariants hold and that the views converge after the faults
// end.
func convergenceProperty(fullMeshMax int) func(*rapid.T) {
	return func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "routers")
		s := newSimulation(n, fullMeshMax)
		s.run(2 * silenceTimeout)
		names := s.names()
		name := rapid.SampledFrom(names)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "fault") {
			case 0:
				target := name.Draw(t, "restarted")
				s.restart(target, s.trackers[target].Self().Incarnation+1)
				delete(s.highest, target)
			case 1:
				s.blocked[[2]string{name.Draw(t, "from"), name.Draw(t, "to")}] = true
			case 2:
				s.platformDown = !s.platformDown
			case 3:
				target := name.Draw(t, "stopped")
				s.stopped[target] = !s.stopped[target]
			case 4:
				s.trackers[name.Draw(t, "leaving")].SetLeaving(rapid.Bool().Draw(t, "leaves"))
			default:
				s.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "heartbeats")) * heartbeatPeriod)
			}
			s.checkInvariants(t)
		}
		clear(s.blocked)
		clear(s.stopped)
		s.platformDown = false
		s.run(5 * time.Second)
		s.checkInvariants(t)
		if _, ok := s.agreedView(); !ok {
			t.Fatalf("views differ 5 s after all faults ended: %v", s.views())
		}
	}
}

var _ = Describe("the tracker", func() {
	It("converges to the same view and owner on all routers as a full mesh", func() {
		rapid.Check(GinkgoT(), convergenceProperty(16))
	})

	It("converges to the same view and owner on all routers on the ring", func() {
		rapid.Check(GinkgoT(), convergenceProperty(3))
	})

	It("removes a stopped router after a read of the platform", func() {
		s := newSimulation(3, 16)
		s.run(silenceTimeout)
		s.stopped["r00"] = true
		s.run(3 * silenceTimeout / 2)
		Expect(s.trackers["r01"].View().Names()).To(Equal([]string{"r01", "r02"}))
	})

	It("keeps all routers during an hour of platform outage and removes no live router afterwards", func() {
		s := newSimulation(7, 16)
		s.run(silenceTimeout)
		s.platformDown = true
		s.stopped["r00"] = true
		s.blocked[[2]string{"r01", "r02"}], s.blocked[[2]string{"r02", "r01"}] = true, true
		s.run(time.Hour)
		Expect(s.trackers["r01"].View().Routers).To(HaveLen(7))
		s.platformDown = false
		s.run(3 * silenceTimeout / 2)
		Expect(s.trackers["r01"].View().Names()).To(Equal([]string{"r01", "r02", "r03", "r04", "r05", "r06"}))
	})

	It("removes a router whose address refuses connections while the platform is down", func() {
		s := newSimulation(3, 16)
		s.run(silenceTimeout)
		s.platformDown, s.stopped["r00"] = true, true
		s.trackers["r01"].ConnectionRefused("r00", 1)
		s.run(3 * silenceTimeout / 2)
		Expect(s.trackers["r01"].View().Names()).To(Equal([]string{"r01", "r02"}))
		Expect(s.trackers["r02"].View().Names()).To(Equal([]string{"r01", "r02"}), "the removal is passed on")
	})

	It("owns nothing after a pause until a peer or the platform answers", func() {
		s := newSimulation(2, 16)
		s.run(silenceTimeout)
		t := s.trackers["r00"]
		t.Tick(s.now.Add(silenceTimeout + time.Millisecond))
		for i := range 50 {
			owner, _ := t.View().Owner(fmt.Sprint("key", i))
			Expect(owner.Name).To(Equal("r01"))
		}
		t.HandleReply(true)
		Expect(t.Confirmed()).To(BeTrue())
	})

	It("takes a higher incarnation than its previous process after the clock was set back", func() {
		s := newSimulation(2, 16)
		s.run(silenceTimeout)
		s.restart("r00", 0)
		s.run(silenceTimeout)
		Expect(s.trackers["r00"].Self().Incarnation).To(BeNumerically(">", 1))
		Expect(s.trackers["r00"].Replaced()).To(BeFalse())
	})

	It("assigns no keys to routers of an availability zone that is taken out", func() {
		s := newSimulation(2, 16)
		s.run(silenceTimeout)
		s.trackers["r00"].HandleHeartbeat(s.now, member.Heartbeat{Router: member.Router{Name: "r01", Incarnation: 2, Zone: "z"}, Seq: 1})
		s.trackers["r00"].SetZonesOut(map[string]bool{"z": true})
		for i := range 50 {
			owner, _ := s.trackers["r00"].View().Owner(fmt.Sprint("key", i))
			Expect(owner.Name).To(Equal("r00"))
		}
	})

	It("reports that a later process under its name has replaced it", func() {
		s := newSimulation(2, 16)
		s.run(silenceTimeout)
		s.trackers["r00"].HandleHeartbeat(s.now, member.Heartbeat{Router: member.Router{Name: "r00", Incarnation: 9}, Seq: 1})
		Expect(s.trackers["r00"].Replaced()).To(BeTrue())
	})

	It("removes all routers of a lost region in a large fleet", func() {
		s := newSimulation(40, 16)
		for i := range 20 {
			name := fmt.Sprintf("r%02d", i)
			s.trackers[name] = member.NewTracker(member.Router{Name: name, Incarnation: 1, Region: "south"}, member.Limits{SilenceTimeout: silenceTimeout, FullMeshMax: 16, Fanout: 2}, s.now)
		}
		s.run(2 * silenceTimeout)
		for i := range 20 {
			s.stopped[fmt.Sprintf("r%02d", i)] = true
		}
		s.run(4 * silenceTimeout)
		names, ok := s.agreedView()
		Expect(ok).To(BeTrue())
		Expect(names).To(HaveLen(20))
	})

	It("adds a region again within 5 s of its return in a large fleet", func() {
		s := newSimulation(40, 16)
		south, north := s.names()[:20], s.names()[20:]
		for _, name := range south {
			s.trackers[name] = member.NewTracker(member.Router{Name: name, Incarnation: 1, Region: "south"}, member.Limits{SilenceTimeout: silenceTimeout, FullMeshMax: 16, Fanout: 2}, s.now)
		}
		s.run(2 * silenceTimeout)
		s.offline = map[string]bool{}
		for _, x := range south {
			s.offline[x] = true
			for _, y := range north {
				s.blocked[[2]string{x, y}], s.blocked[[2]string{y, x}] = true, true
			}
		}
		s.run(time.Minute)
		Expect(s.trackers[north[0]].View().Routers).To(HaveLen(20), "the northern routers can read the platform")
		Expect(s.trackers[south[0]].View().Routers).To(HaveLen(40), "the southern routers cannot")
		clear(s.offline)
		clear(s.blocked)
		s.run(5 * time.Second)
		names, ok := s.agreedView()
		Expect(ok).To(BeTrue())
		Expect(names).To(HaveLen(40))
	})

	It("exchanges heartbeats with a bounded number of routers in a large fleet", func() {
		s := newSimulation(64, 16)
		s.run(2 * silenceTimeout)
		Expect(s.trackers["r00"].View().Routers).To(HaveLen(64))
		contacted := map[string]bool{}
		for round := range 64 {
			peers := s.trackers["r00"].HeartbeatPeers(round)
			Expect(len(peers)).To(BeNumerically("<=", 3))
			for _, p := range peers {
				contacted[p] = true
			}
		}
		Expect(len(contacted)).To(BeNumerically("<=", 2+6), "the successors and one router at each power of two")
	})
})

func BenchmarkTracker(b *testing.B) {
	for _, n := range []int{7, 50, 450} {
		s := newSimulation(n, 16)
		s.run(4 * heartbeatPeriod)
		t := s.trackers["r00"]
		b.Run(fmt.Sprintf("digest/%d", n), func(b *testing.B) {
			for b.Loop() {
				t.Digest()
			}
		})
		b.Run(fmt.Sprintf("heartbeat-peers/%d", n), func(b *testing.B) {
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
