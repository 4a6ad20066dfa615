package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

const (
	contact    = 3 * time.Second // within which news reach all routers
	restart    = 3 * time.Second // of a crashed endpoint
	deadlyPart = 7777
)

// partLoad is a load of streams whose prompts share parts, with endpoints that crash.
type partLoad struct {
	name                 string
	endpoints, templates int
	soundPerS, deadlyPerS,
	crashesPerS float64 // of endpoints, for other reasons
	stream      time.Duration // from the first event to the last
	zoneCrashes bool          // all endpoints of a zone crash together every 5 s
	begins      float64       // share of deadly requests whose endpoint crashes after the first event
}

var partLoads = []partLoad{
	{name: "many templates", endpoints: 9, templates: 40, soundPerS: 60, deadlyPerS: 1, stream: 630 * time.Millisecond, begins: 1},
	{name: "many templates, crash before the first event", endpoints: 9, templates: 40, soundPerS: 60, deadlyPerS: 1, stream: 630 * time.Millisecond},
	{name: "many templates, crash before the first event or after it", endpoints: 9, templates: 40, soundPerS: 60, deadlyPerS: 1, stream: 630 * time.Millisecond, begins: 0.5},
	{name: "one template", endpoints: 9, templates: 1, soundPerS: 60, deadlyPerS: 1, stream: 630 * time.Millisecond, begins: 1},
	{name: "many deadly requests", endpoints: 9, templates: 40, soundPerS: 60, deadlyPerS: 10, stream: 630 * time.Millisecond, begins: 1},
	{name: "long streams", endpoints: 9, templates: 40, soundPerS: 60, deadlyPerS: 1, stream: 6 * time.Second, begins: 1},
	{name: "long streams, one template", endpoints: 9, templates: 1, soundPerS: 60, deadlyPerS: 1, stream: 6 * time.Second, begins: 1},
	{name: "other crashes", endpoints: 9, templates: 40, soundPerS: 60, crashesPerS: 1, stream: 630 * time.Millisecond},
	{name: "other crashes, long streams", endpoints: 9, templates: 40, soundPerS: 60, crashesPerS: 1, stream: 6 * time.Second},
	{name: "other crashes beside deadly requests", endpoints: 30, templates: 40, soundPerS: 60, deadlyPerS: 1, crashesPerS: 2, stream: 2 * time.Second, begins: 1},
	{name: "zones crash", endpoints: 24, templates: 40, soundPerS: 60, stream: 2 * time.Second, zoneCrashes: true},
}

// run is a request at an endpoint.
type run struct {
	router   *dispatch.Dispatcher
	ticket   *dispatch.Ticket
	endpoint int
	begins   time.Time
	ends     time.Time // zero: the endpoint crashes with its first event
	begun    bool
	deadly   bool
}

// partSim plays a partLoad in virtual time.
type partSim struct {
	partLoad
	rng     *rand.Rand
	routers []*dispatch.Dispatcher
	upAt    []time.Time
	runs    []*run
	sent    uint64
	fifth   time.Time // crash by a deadly request

	deadlyCrashes, lateDeadly          int
	sound, refused, interrupted        int
	soundLater, refusedLater           int         // from 2 * contact after the fifth crash
	soundByTemplate, refusedByTemplate map[int]int // of these
}

func (s *partSim) crash(now time.Time, endpoint int) {
	s.upAt[endpoint] = now.Add(restart)
	kept := s.runs[:0]
	for _, r := range s.runs {
		if r.endpoint != endpoint {
			kept = append(kept, r)
			continue
		}
		r.router.RecordPartCrash(now, r.ticket, r.begun)
		if !r.deadly {
			s.interrupted++
		}
	}
	s.runs = kept
}

// arrive sends a request to a random router, which may refuse it.
func (s *partSim) arrive(now time.Time, deadly bool) {
	s.sent++
	template := s.rng.IntN(s.templates)
	r := chatRequest(now, "x", 1_000_000+s.sent)
	r.Parts = []dispatch.PromptPart{{ID: uint64(100 + template), Tokens: 100}, {ID: uint64(10_000 + s.rng.IntN(411)), Tokens: 100}, r.Parts[1]}
	if deadly {
		r.Parts[0].ID = deadlyPart
	}
	later := !s.fifth.IsZero() && now.Sub(s.fifth) > 2*contact || s.deadlyPerS == 0
	router := s.routers[s.rng.IntN(len(s.routers))]
	_, blocked := router.PartBlocked(now, r.Parts)
	if !deadly {
		s.sound++
		if later {
			s.soundLater++
			s.soundByTemplate[template]++
		}
		if blocked {
			s.refused++
			if later {
				s.refusedLater++
				s.refusedByTemplate[template]++
			}
		}
	}
	endpoint := s.rng.IntN(s.endpoints)
	if blocked || s.upAt[endpoint].After(now) {
		return
	}
	if deadly && !s.fifth.IsZero() && now.Sub(s.fifth) > contact {
		s.lateDeadly++
	}
	e := topology.Endpoint{ID: fmt.Sprint("e", endpoint), Service: model, StartMillis: s.upAt[endpoint].UnixMilli()}
	begins := now.Add(50*time.Millisecond + time.Duration(s.rng.IntN(150))*time.Millisecond)
	ran := &run{router: router, ticket: &dispatch.Ticket{Request: r, Endpoint: e}, endpoint: endpoint, begins: begins, deadly: deadly}
	if !deadly {
		ran.ends = begins.Add(s.stream)
	}
	s.runs = append(s.runs, ran)
}

// step lets responses begin, end or crash their endpoint.
func (s *partSim) step(now time.Time) {
	var crashed []int
	kept := s.runs[:0]
	for _, r := range s.runs {
		if !r.begun && !now.Before(r.begins) && (!r.deadly || s.rng.Float64() < s.begins) {
			r.begun = true
			r.router.RecordBegun(now, r.ticket)
		}
		if !r.deadly && !now.Before(r.ends) {
			r.router.RecordCompleted(now, r.ticket)
			continue
		}
		if r.deadly && !now.Before(r.begins) {
			crashed = append(crashed, r.endpoint)
		}
		kept = append(kept, r)
	}
	s.runs = kept
	for _, e := range crashed {
		if s.upAt[e].After(now) {
			continue
		}
		s.crash(now, e)
		if s.deadlyCrashes++; s.deadlyCrashes == 5 {
			s.fifth = now
		}
	}
}

func (s *partSim) play(d time.Duration) {
	const tick = 5 * time.Millisecond
	happens := func(perS float64) bool { return s.rng.Float64() < perS*tick.Seconds() }
	for now := start; now.Before(start.Add(d)); now = now.Add(tick) {
		since := now.Sub(start)
		if happens(s.soundPerS) {
			s.arrive(now, false)
		}
		if since > 3*time.Second && happens(s.deadlyPerS) {
			s.arrive(now, true)
		}
		s.step(now)
		if e := s.rng.IntN(s.endpoints); happens(s.crashesPerS) && !s.upAt[e].After(now) {
			s.crash(now, e)
		}
		if s.zoneCrashes && since > 0 && since%(5*time.Second) == 0 {
			for e := range s.endpoints / 3 {
				s.crash(now.Add(time.Duration(e)*time.Millisecond), 3*e)
			}
		}
		if since%(100*time.Millisecond) == 0 {
			s.report(now)
		}
	}
}

func (s *partSim) report(now time.Time) {
	var reports []dispatch.Report
	for _, d := range s.routers {
		reports = append(reports, d.Report(now))
	}
	for i, d := range s.routers {
		for j, r := range reports {
			if i != j {
				d.SetPeerReport(now, fmt.Sprint("r", j), r)
			}
		}
	}
}

// TestDeadlyPartIsFoundAndSoundOnesServed guards against a part that crashes endpoints for
// good, and against refusing sound parts that were interrupted beside it or by other
// crashes.
func TestDeadlyPartIsFoundAndSoundOnesServed(t *testing.T) {
	for _, load := range partLoads {
		t.Run(load.name, func(t *testing.T) {
			for _, seed := range []uint64{0, 1, 2, 3, 6, 7} {
				s := &partSim{partLoad: load, rng: rand.New(rand.NewPCG(seed, 1)), routers: newRouters(6), upAt: make([]time.Time, load.endpoints),
					soundByTemplate: map[int]int{}, refusedByTemplate: map[int]int{}}
				for e := range s.upAt {
					s.upAt[e] = start
				}
				s.play(30 * time.Second)
				t.Logf("seed %d: %d crashes by the part, %d requests with it sent late; of %d sound ones %d interrupted, %d refused, later %d of %d",
					seed, s.deadlyCrashes, s.lateDeadly, s.sound, s.interrupted, s.refused, s.refusedLater, s.soundLater)
				if s.lateDeadly > 3 {
					t.Errorf("seed %d: %d requests with the part sent over %s after the fifth crash", seed, s.lateDeadly, contact)
				}
				for template, n := range s.soundByTemplate {
					if refused := s.refusedByTemplate[template]; n >= 20 && 2*refused > n {
						t.Errorf("seed %d: %d of %d sound requests with template %d refused", seed, refused, n, template)
					}
				}
			}
		})
	}
}
