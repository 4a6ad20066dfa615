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
	progressInterval = 10 * time.Second
	drainTimeout     = 60 * time.Second // wait for requests in flight when arrivals end
	orderTimeout     = 45 * time.Second // callers don't cancel orders earlier
	submitAttempts   = 5
)

// Result holds the data collected in a run.
type Result struct {
	Plan      *Plan
	Policy    Policy
	Records   []Record
	Samples   []Sample
	Resources []ResourceSample
	Before    Counters
	After     Counters
	Elapsed   time.Duration
	OutAt     time.Duration // when the manifest that takes the zone out was accepted; 0: never
	BackAt    time.Duration // when the manifest that puts it back was accepted; 0: never
}

// Counters is a snapshot of the counters that the fleet reports.
type Counters struct {
	At       time.Time
	Routers  map[string]Metrics
	Platform struct{ Reads, Writes, Watches int64 }
	Runners  map[string]int // responses of each runner
}

// run is an open-loop run in progress.
type run struct {
	plan     *Plan
	target   Target
	keys     map[string]string // API key by account
	start    time.Time
	log      Log
	meter    *meter
	inFlight atomic.Int64
	wg       sync.WaitGroup
}

// Run sends the plan's arrivals at their times, whether or not earlier requests
// have completed. It returns when all requests have ended or drainTimeout after
// the last arrival. Progress lines go to progress.
func Run(ctx context.Context, p *Plan, policy Policy, progress io.Writer) (*Result, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	if policy != Routers {
		if err := WarmUp(ctx, p.Model, p.Fleet.Models); err != nil {
			return nil, err
		}
	}
	r := &run{plan: p, target: targetOf(p.Fleet, policy), keys: map[string]string{}, meter: newMeter(), start: time.Now()}
	for _, a := range p.Accounts {
		r.keys[a.Name] = a.APIKey
	}
	result := &Result{Plan: p, Policy: policy, Before: readCounters(ctx, p.Fleet)}
	observing, stop := context.WithCancel(ctx)
	defer stop()
	o := &observer{plan: p, meter: r.meter, start: r.start}
	var observers sync.WaitGroup
	observers.Go(func() { o.watchSamples(observing) })
	observers.Go(func() { o.watchResources(observing) })
	observers.Go(func() { r.printProgress(observing, progress) })
	var moveErr error
	if policy == Routers && p.Move != nil {
		observers.Go(func() { moveErr = r.moveZone(observing, result) })
	}
	r.sendAll(ctx)
	stop()
	observers.Wait()
	result.Elapsed = time.Since(r.start)
	result.Resources = o.resources
	result.Records, result.Samples, result.After = r.log.Records(), o.snapshot(), readCounters(ctx, p.Fleet)
	return result, moveErr
}

func targetOf(f Fleet, policy Policy) Target {
	if policy == Routers {
		return NewRoutersTarget(f)
	}
	return NewBaselineTarget(f, policy)
}

// sendAll sends all arrivals at their times. A resend is sent together with its
// original. It then waits for the requests in flight.
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
		r.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(drainTimeout):
	}
}

func (r *run) send(ctx context.Context, id int, a Arrival) {
	r.inFlight.Add(1)
	r.wg.Go(func() {
		defer r.inFlight.Add(-1)
		if a.Key != "" {
			r.sendOrder(ctx, a)
			return
		}
		r.sendModelRequest(ctx, id, a)
	})
}

// sendModelRequest sends a model request and cancels it if no token arrives
// within the caller's patience.
func (r *run) sendModelRequest(ctx context.Context, id int, a Arrival) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	patienceTimer := time.AfterFunc(a.Patience, cancel)
	r.meter.recordSent(a.Account, id)
	defer r.meter.recordEnd(a.Account, id)
	first := true
	request := ModelRequest(r.plan.Model, r.keys[a.Account], a)
	request.OnToken = func() {
		tokens := 1.0
		if first {
			first = false
			patienceTimer.Stop()
			tokens += float64(promptTokens(a.Prompt))
		}
		r.meter.recordTokens(a.Account, id, tokens)
	}
	sent := time.Now()
	router, reply, err := r.target.Send(ctx, a, request)
	if reply.Total == 0 {
		reply.Total = time.Since(sent)
	}
	r.recordResult(a, sent, router, reply, err, ctx.Err() != nil)
}

func (r *run) sendOrder(ctx context.Context, a Arrival) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	sent := time.Now()
	router, reply, err := r.target.Send(ctx, a, OrderRequest(r.keys[a.Account], a))
	r.recordResult(a, sent, router, reply, err, ctx.Err() != nil)
}

func (r *run) recordResult(a Arrival, sent time.Time, router string, reply Reply, err error, canceled bool) {
	r.log.Add(NewRecord(a, sent.Sub(r.start), router, reply, err, canceled))
}

func (r *run) printProgress(ctx context.Context, w io.Writer) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			fmt.Fprintf(w, "%4.0f s: %d ended, %d in progress\n", time.Since(r.start).Seconds(), len(r.log.Records()), r.inFlight.Load())
		}
	}
}

// moveZone takes the plan's zone out of service and puts it back, by submitting
// manifests to the platform as operators do.
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

// SetZone sets the state of a zone in the stored manifest and submits it, with
// up to submitAttempts attempts.
func SetZone(ctx context.Context, base, zone string, state manifest.State) error {
	p := platform.New(base)
	var err error
	for range submitAttempts {
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
	return errors.Wrap(err, "change the state of the zone")
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

// promptTokens returns the number of space-separated words of a prompt.
func promptTokens(prompt string) int {
	n := 1
	for _, c := range prompt {
		if c == ' ' {
			n++
		}
	}
	return n
}

// sleepUntil waits until t. It returns false if the context ends first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(t)):
		return true
	}
}
