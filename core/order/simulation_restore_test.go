package order_test

import (
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/order"
)

// oldestCopy is the age of the oldest copy that is restored; records are remembered
// for a little longer.
const oldestCopy = 50 * time.Second

// beginEras makes the platform one that can be restored.
func (sim *simulation) beginEras() {
	sim.era = 1
	sim.copied, sim.copiedAt = map[string]order.CallResult{}, sim.now
	sim.cfg.Era, sim.cfg.RestoreHold = 1, time.Millisecond
	for _, r := range sim.routers {
		r.era = 1
		r.shard = order.NewShard(sim.cfg)
	}
}

// copyOrRestore sometimes copies the platform, or restores the last copy.
func (sim *simulation) copyOrRestore() {
	switch sim.choose(20, "copy") {
	case 0:
		sim.copied, sim.copiedAt = maps.Clone(sim.objects), sim.now
	case 1:
		if sim.now.Sub(sim.copiedAt) < oldestCopy {
			sim.restore()
		}
	}
}

// restore restores the platform. All routers learn of it within the hold.
func (sim *simulation) restore() {
	sim.era++
	sim.objects = map[string]order.CallResult{}
	for key, o := range sim.copied {
		sim.version++
		o.Version = sim.version
		sim.objects[key] = o
	}
	for _, r := range sim.routers {
		r.shard.Refresh()
	}
	for range 1000 {
		for _, r := range sim.routers {
			if r.call != nil {
				sim.finishCall(r, callOK)
			}
			sim.startCall(r)
		}
	}
}

// TestAtMostOnceWhilePlatformIsRestored guards against an order that is executed
// twice, or has no record, because the platform lost its record, as long as the
// routers that knew it go on.
func TestAtMostOnceWhilePlatformIsRestored(t *testing.T) {
	t.Parallel()
	seeds := []uint64{261} // a read that was pending at the restoration
	for seed := range uint64(60) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		rng := rand.New(rand.NewPCG(seed, 3))
		for _, p := range plans() {
			if p.retention > 0 {
				continue
			}
			p.restores = true
			if violation := runHistory(func(n int, _ string) int { return rng.IntN(n) }, noMutation, p); violation != "" {
				t.Fatalf("seed %d, %+v: %s", seed, p, violation)
			}
		}
	}
}
