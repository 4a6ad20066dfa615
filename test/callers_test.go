package test_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/load"
)

const (
	callerTimeout = 30 * time.Second // after this a caller gives a request up
	failureDelay  = 20 * time.Millisecond
)

// callers is a group of concurrent callers, each of which sends model requests
// one after the other until the group is stopped.
type callers struct {
	cluster   *cluster
	target    load.Target
	log       load.Log
	startedAt time.Time
	completed atomic.Int64
	stopped   atomic.Bool
	wait      sync.WaitGroup
}

// startCallers starts n callers and assigns them to the accounts in turn, or to
// all accounts of the manifest if none is given. The seed determines the zone
// and length of each request.
func (c *cluster) startCallers(n int, seed uint64, accounts ...string) *callers {
	s := &callers{cluster: c, target: load.NewRoutersTarget(c.Fleet), startedAt: time.Now()}
	if len(accounts) == 0 {
		for _, a := range c.manifest.Accounts {
			accounts = append(accounts, a.Name)
		}
	}
	for i := range n {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		s.wait.Go(func() { s.run(rng, accounts[i%len(accounts)], fmt.Sprintf("caller-%d-%d", seed, i)) })
	}
	DeferCleanup(func() { s.stopped.Store(true) })
	return s
}

func (s *callers) run(rng *rand.Rand, account, name string) {
	for n := 0; !s.stopped.Load(); n++ {
		zones := s.cluster.manifest.Zones
		r := s.send(load.Arrival{
			Account: account,
			Zone:    zones[rng.IntN(len(zones))].Name,
			Prompt:  fmt.Sprintf("%s#%d stools for a grand opening", name, n),
			Tokens:  5 + rng.IntN(25),
		})
		if r.Outcome == load.Completed {
			s.completed.Add(1)
			continue
		}
		time.Sleep(failureDelay)
	}
}

func (s *callers) send(a load.Arrival) load.Record {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	at := time.Since(s.startedAt)
	router, reply, err := s.target.Send(ctx, a, load.ModelRequest(s.cluster.model(), "demo-"+a.Account, a))
	r := load.NewRecord(a, at, router, reply, err, ctx.Err() != nil)
	s.log.Add(r)
	return r
}

// stop waits until each caller has finished its request and returns the log.
func (s *callers) stop() []load.Record {
	s.stopped.Store(true)
	s.wait.Wait()
	return s.log.Records()
}

// model returns the name of the model that the manifest serves.
func (c *cluster) model() string {
	for _, p := range c.manifest.Pools {
		if p.Kind == manifest.Model {
			return p.Models[0]
		}
	}
	return ""
}

// withOutcome returns the records that have one of the given outcomes.
func withOutcome(records []load.Record, outcomes ...load.Outcome) []load.Record {
	var matching []load.Record
	for _, r := range records {
		for _, o := range outcomes {
			if r.Outcome == o {
				matching = append(matching, r)
			}
		}
	}
	return matching
}
