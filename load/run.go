package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
	"github.com/cyclamenwinch/cyclamenwinch/internal/submit"
)

const (
	progressEvery = 10 * time.Second
	endTimeout    = 60 * time.Second // for the requests open when arrivals end
	orderTimeout  = 45 * time.Second // callers don't leave an order
	submitTries   = 5
)

// Result is everything that a run saw.
type Result struct {
	Plan    *Plan
	Policy  Policy
	Records []Record
	Samples []Sample
	Health  []Health
	Before  Counters
	After   Counters
	Elapsed time.Duration
	OutAt   time.Duration // when the zone's leaving was accepted; 0: never
	BackAt  time.Duration
}

// Counters are the fleet's own counts at one moment.
type Counters struct {
	At       time.Time
	Routers  map[string]Metrics
	Platform struct{ Reads, Writes, Watches int64 }
	Runners  map[string]int // answers of each runner
}

// run is one open-loop run under way.
type run struct {
	plan   *Plan
	target Target
	keys   map[string]string // API key by account
	start  time.Time
	log    Log
	meter  *meter
	open   atomic.Int64
	wait   sync.WaitGroup
}

// Run sends the plan's arrivals at their times, whether or not earlier ones
// were answered, and returns when the last has ended. Progress lines go to
// progress.
func Run(ctx context.Context, p *Plan, policy Policy, progress io.Writer) (*Result, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	if policy != Routers {
		if err := Warm(ctx, p.Model, p.Fleet.Models); err != nil {
			return nil, err
		}
	}
	r := &run{plan: p, target: targetOf(p.Fleet, policy), keys: map[string]string{}, meter: newMeter(), start: time.Now()}
	for _, a := range p.Accounts {
		r.keys[a.Name] = a.APIKey
	}
	result := &Result{Plan: p, Policy: policy, Before: readCounters(ctx, p.Fleet)}
	watching, stop := context.WithCancel(ctx)
	defer stop()
	o := &observer{plan: p, meter: r.meter, start: r.start}
	var helpers sync.WaitGroup
	helpers.Go(func() { o.run(watching) })
	helpers.Go(func() { o.watchHealth(watching) })
	helpers.Go(func() { r.report(watching, progress) })
	var moveErr error
	if policy == Routers && p.Move != nil {
		helpers.Go(func() { moveErr = r.moveZone(watching, result) })
	}
	r.sendAll(ctx)
	stop()
	helpers.Wait()
	result.Elapsed = time.Since(r.start)
	result.Health = o.health
	result.Records, result.Samples, result.After = r.log.Records(), o.all(), readCounters(ctx, p.Fleet)
	return result, moveErr
}

func targetOf(f Fleet, policy Policy) Target {
	if policy == Routers {
		return NewRoutersTarget(f)
	}
	return NewNaiveTarget(f, policy)
}

func (r *run) sendAll(ctx context.Context) {
	for i, a := range r.plan.Arrivals() {
		if !sleepUntil(ctx, r.start.Add(a.At)) {
			break
		}
		r.send(ctx, i, a)
		if a.Resend {
			first := a
			first.Resend = false
			r.send(ctx, i, first)
		}
	}
	done := make(chan struct{})
	go func() {
		r.wait.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(endTimeout):
	}
}

func (r *run) send(ctx context.Context, id int, a Arrival) {
	r.open.Add(1)
	r.wait.Go(func() {
		defer r.open.Add(-1)
		if a.Key != "" {
			r.order(ctx, a)
			return
		}
		r.model(ctx, id, a)
	})
}

// model sends a model request; its caller leaves if no token comes within
// its patience.
func (r *run) model(ctx context.Context, id int, a Arrival) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	impatient := time.AfterFunc(a.Patience, cancel)
	r.meter.sent(a.Account, id)
	defer r.meter.ended(a.Account, id)
	first := true
	request := ModelRequest(r.plan.Model, r.keys[a.Account], a)
	request.OnToken = func() {
		tokens := 1.0
		if first {
			first = false
			impatient.Stop()
			tokens += float64(promptTokens(a.Prompt))
		}
		r.meter.served(a.Account, id, tokens)
	}
	sent := time.Now()
	router, reply, err := r.target.Send(ctx, a, request)
	if reply.Total == 0 {
		reply.Total = time.Since(sent)
	}
	r.keep(a, sent, router, reply, err, ctx.Err() != nil)
}

func (r *run) order(ctx context.Context, a Arrival) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	sent := time.Now()
	router, reply, err := r.target.Send(ctx, a, OrderRequest(r.keys[a.Account], a))
	r.keep(a, sent, router, reply, err, ctx.Err() != nil)
}

func (r *run) keep(a Arrival, sent time.Time, router string, reply Reply, err error, left bool) {
	r.log.Add(NewRecord(a, sent.Sub(r.start), router, reply, err, left))
}

func (r *run) report(ctx context.Context, w io.Writer) {
	ticker := time.NewTicker(progressEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			fmt.Fprintf(w, "%4.0f s: %d ended, %d open\n", time.Since(r.start).Seconds(), len(r.log.Records()), r.open.Load())
		}
	}
}

// moveZone takes the plan's zone out and back through the platform, as
// operators do.
func (r *run) moveZone(ctx context.Context, result *Result) error {
	m := r.plan.Move
	if !sleepUntil(ctx, r.start.Add(time.Duration(m.OutAtSecs)*time.Second)) {
		return nil
	}
	if err := SetZone(ctx, r.plan.Fleet.Platform, m.Zone, manifest.Out); err != nil {
		return err
	}
	result.OutAt = time.Since(r.start)
	if !sleepUntil(ctx, r.start.Add(time.Duration(m.BackAtSecs)*time.Second)) {
		return nil
	}
	if err := SetZone(ctx, r.plan.Fleet.Platform, m.Zone, manifest.In); err != nil {
		return err
	}
	result.BackAt = time.Since(r.start)
	return nil
}

// SetZone submits the stored manifest with another state of a zone.
func SetZone(ctx context.Context, base, zone string, state manifest.State) error {
	p := platform.New(base)
	var err error
	for range submitTries {
		var m *manifest.Manifest
		m, _, err = submit.Current(ctx, p)
		if err != nil {
			continue
		}
		for i := range m.Zones {
			if m.Zones[i].Name == zone {
				m.Zones[i].State = state
			}
		}
		if _, err = submit.Submit(ctx, p, m); err == nil {
			return nil
		}
	}
	return errors.Wrap(err, "zone not moved")
}

func readCounters(ctx context.Context, f Fleet) Counters {
	c := Counters{At: time.Now(), Routers: map[string]Metrics{}, Runners: map[string]int{}}
	for _, router := range f.Routers {
		if m, err := RouterMetrics(ctx, router.OpsURL, f.OpsToken); err == nil {
			c.Routers[router.Name] = m
		}
	}
	for name, s := range RunnerStats(ctx, f.Models) {
		c.Runners[name] = s.Responses
	}
	if counts, err := PlatformCounts(ctx, f.Platform); err == nil {
		c.Platform.Reads, c.Platform.Writes, c.Platform.Watches = counts.Reads, counts.Writes, counts.Watches
	}
	return c
}

func promptTokens(prompt string) int {
	n := 1
	for _, c := range prompt {
		if c == ' ' {
			n++
		}
	}
	return n
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(t)):
		return true
	}
}
