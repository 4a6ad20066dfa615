package prepared_test

import (
	"math/rand/v2"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/standin/prepared"
)

const (
	// coldOverage and coldSlack say how many requests a cold endpoint bears in one
	// second: its rate times the former, and the latter beyond.
	coldOverage = 1.5
	coldSlack   = 5
	// storeLossNoticed is longer than routers need to notice that the store is down:
	// they wait for a response that it owes them.
	storeLossNoticed = 3 * time.Second
)

// compoundFaults returns the kinds of faults of which one hides another.
func (s *soak) compoundFaults() []fault {
	return enabled([]fault{
		{"cold-while-store-away", func(rng *rand.Rand, duration time.Duration) {
			zone := string("ab"[rng.IntN(2)])
			s.store.SetFaults(prepared.Faults{Down: true})
			time.Sleep(storeLossNoticed)
			for _, r := range s.allRunners() {
				if r.record["zone"] == zone {
					r.TurnCold(coldDuration + duration)
					s.publish(r) // another fault may have ended the outage
				}
			}
			time.Sleep(duration)
			s.store.SetFaults(prepared.Faults{})
		}},
	})
}

// checkColdEndpoints records a violation for each endpoint of a model that got more
// requests while it was cold than it bears.
func (s *soak) checkColdEndpoints() {
	for _, r := range s.allRunners() {
		if r.record["service"] != "model" {
			continue
		}
		for _, span := range r.ColdSpans() {
			if most := r.MostWithinSecond(span); float64(most) > coldPerSecond*coldOverage+coldSlack {
				s.results.addViolation("%s got %d requests in one second, cold from %v until %v", r.ID, most, span.From, span.Until)
			}
		}
	}
}
