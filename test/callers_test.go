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
	callerTimeout = 30 * time.Second // a caller of tests is patient
	failurePause  = 20 * time.Millisecond
)

// callers send model requests one after the other until they are stopped.
type callers struct {
	cluster *cluster
	target  load.Target
	log     load.Log
	begun   time.Time
	whole   atomic.Int64
	stopped atomic.Bool
	wait    sync.WaitGroup
}

// startCallers starts n callers, spread over accounts and zones by seed. Of
// the named accounts only; none: of all.
func (c *cluster) startCallers(n int, seed uint64, accounts ...string) *callers {
	s := &callers{cluster: c, target: load.NewRoutersTarget(c.Fleet), begun: time.Now()}
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
			s.whole.Add(1)
			continue
		}
		time.Sleep(failurePause)
	}
}

func (s *callers) send(a load.Arrival) load.Record {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	at := time.Since(s.begun)
	router, reply, err := s.target.Send(ctx, a, load.ModelRequest(s.cluster.model(), "demo-"+a.Account, a))
	r := load.NewRecord(a, at, router, reply, err, ctx.Err() != nil)
	s.log.Add(r)
	return r
}

// stop lets each caller end its request and returns the log.
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

// ended returns the records that ended in one of the given ways.
func ended(records []load.Record, ends ...load.Outcome) []load.Record {
	var kept []load.Record
	for _, r := range records {
		for _, e := range ends {
			if r.Outcome == e {
				kept = append(kept, r)
			}
		}
	}
	return kept
}
