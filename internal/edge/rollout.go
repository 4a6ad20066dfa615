package edge

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/grid"
	"github.com/cyclamenwinch/cyclamenwinch/core/retry"
	"github.com/cyclamenwinch/cyclamenwinch/core/rollout"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/replica"
	"github.com/cyclamenwinch/cyclamenwinch/internal/wake"
)

// RolloutStore writes the status of the operators' orders to move services to other
// versions.
type RolloutStore interface {
	// Orders returns all orders and the store's era.
	Orders(ctx context.Context) ([]rollout.Order, int64, error)
	// WriteStatus writes a status if the stored order has not changed since it was read.
	// It returns the order as it is stored then, and the store's era. After an error the
	// write may have been done, or may still be.
	WriteStatus(ctx context.Context, w rollout.Write) (rollout.Order, int64, error)
}

const (
	// rolloutTick is the time between two looks at the roll-outs: about the age of the
	// evidence of other routers.
	rolloutTick = 50 * time.Millisecond
	// rolloutTakeover is how long the routers that rank first may take for a write before
	// the next one tries. It exceeds a call to a slow store, and leaves time for two more
	// routers before the deadline.
	rolloutTakeover = 500 * time.Millisecond
	// rolloutCallTimeout limits a call.
	rolloutCallTimeout = 700 * time.Millisecond
)

var rolloutBackoff = retry.Backoff{Initial: 100 * time.Millisecond, Max: time.Second}

// applyRollouts applies the orders in the store.
func (e *Edge) applyRollouts(v replica.View) {
	var orders []rollout.Order
	for _, r := range v.Records {
		o, err := e.platform.Decoder.Rollout(r)
		if err != nil {
			e.log.Log(oplog.StateChange, "rollout.unreadable", slog.String("record", r.Name), slog.Int64("revision", r.Revision), slog.String("error", err.Error()))
			continue
		}
		orders = append(orders, o)
	}
	e.dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) { d.SetOrders(now, v.Era, orders) })
}

// rolloutWriter makes the writes of this router, one at a time for each service.
type rolloutWriter struct {
	edge *Edge

	mu    sync.Mutex
	calls map[string]*rolloutCalls // by service
}

type rolloutCalls struct {
	busy     bool
	failures int       // in a row
	next     time.Time // not before
}

// driveRollouts advances the roll-outs and writes their states until the context ends.
func (e *Edge) driveRollouts(ctx context.Context) error {
	w := &rolloutWriter{edge: e, calls: map[string]*rolloutCalls{}}
	ticks := wake.NewTicker(rolloutTick)
	defer ticks.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		if err := ticks.Wait(ctx); err != nil {
			return err
		}
		var changes []rollout.Change
		var writes []rollout.Write
		e.dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) {
			d.StepRollouts(now)
			changes, writes = d.RolloutChanges(now), d.RolloutWrites()
		})
		if len(changes) > 0 {
			e.mesh.TriggerSend()
		}
		for _, c := range changes {
			e.logRollout(c)
		}
		if len(writes) == 0 {
			continue
		}
		live := e.liveRouters()
		for _, write := range writes {
			if e.writesRollout(time.Now(), write, live) && w.begin(time.Now(), write.Service) {
				running.Go(func() { w.write(ctx, write) })
			}
		}
	}
}

// logRollout logs and counts a change of a roll-out's stage, with the evidence for it.
func (e *Edge) logRollout(c rollout.Change) {
	stage := c.Stage.String()
	if c.Withdrawn {
		stage = "withdrawn"
	}
	metrics.GetOrCreateCounter(`cyclamenwinch_rollout_stages_total{stage="` + stage + `"}`).Inc()
	e.log.Log(oplog.StateChange, "rollout.stage", slog.String("service", c.Service), slog.String("target", c.Target), slog.String("stage", stage), slog.String("reason", c.Reason),
		slog.Duration("age", c.Age), slog.Int64("created", c.Created), slog.Int64("revision", c.Revision), slog.Int("requests", c.Requests), slog.Int("sent", c.Sent),
		countsAttr("others", c.Old), countsAttr("version", c.New))
}

func countsAttr(name string, c rollout.Counts) slog.Attr {
	return slog.Group(name, slog.Uint64("responses", c[rollout.Responses]), slog.Uint64("failures", c[rollout.Failures]), slog.Uint64("lost", c[rollout.Lost]),
		slog.Uint64("timed", c[rollout.TimedFirst]), slog.Uint64("late", c[rollout.SlowFirst]), slog.Uint64("paced", c[rollout.TimedTokens]), slog.Uint64("slow", c[rollout.SlowTokens]))
}

// writesRollout reports whether this router writes a state now: the first of the live
// ones by rendezvous hashing at once, each further one if those before have not done so
// in time.
func (e *Edge) writesRollout(now time.Time, w rollout.Write, live []string) bool {
	key := xxhash.Sum64String(w.Service + "\n" + strconv.FormatInt(w.Created, 10))
	own := grid.Weight(key, e.settings.Name)
	rank := 0
	for _, name := range live {
		if grid.Weight(key, name) > own {
			rank++
		}
	}
	return now.Sub(w.Since) >= time.Duration(rank)*rolloutTakeover
}

// begin reserves the next call for a service. It returns false while one is in progress,
// or too soon after a failed one.
func (w *rolloutWriter) begin(now time.Time, service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.calls[service]
	if c == nil {
		c = &rolloutCalls{}
		w.calls[service] = c
	}
	if c.busy || now.Before(c.next) {
		return false
	}
	c.busy = true
	return true
}

func (w *rolloutWriter) end(service string, err error) (failures int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.calls[service]
	c.busy = false
	if err == nil {
		c.failures, c.next = 0, time.Time{}
		return 0
	}
	c.failures++
	c.next = time.Now().Add(rolloutBackoff.Delay(c.failures, rand.Float64()))
	return c.failures
}

// write writes a state and applies what the store holds then. After a failure the write
// may have been done, so the order is read back.
func (w *rolloutWriter) write(ctx context.Context, write rollout.Write) {
	limit, cancel := context.WithTimeout(ctx, rolloutCallTimeout)
	stored, era, err := w.edge.platform.Rollouts.WriteStatus(limit, write)
	cancel()
	failures := w.end(write.Service, err)
	attrs := []slog.Attr{slog.String("service", write.Service), slog.String("target", write.Target), slog.String("state", write.State.String()), slog.Int64("revision", write.Revision)}
	if err != nil {
		metrics.GetOrCreateCounter(`cyclamenwinch_rollout_writes_total{result="failed"}`).Inc()
		w.edge.log.Log(oplog.StateChange, "rollout.write_failed", append(attrs, slog.Int("failures", failures), slog.String("error", err.Error()))...)
		w.readBack(ctx, write)
		return
	}
	result := "written"
	if stored.Status.State != write.State || stored.Status.Target != write.Target {
		result = "conflict"
	}
	metrics.GetOrCreateCounter(`cyclamenwinch_rollout_writes_total{result="` + result + `"}`).Inc()
	w.edge.log.Log(oplog.StateChange, "rollout.written", append(attrs, slog.String("result", result), slog.Int64("era", era), slog.Int64("stored_revision", stored.Revision),
		slog.String("stored", stored.Status.State.String()), slog.String("stored_target", stored.Status.Target))...)
	w.apply(era, stored)
}

func (w *rolloutWriter) readBack(ctx context.Context, write rollout.Write) {
	limit, cancel := context.WithTimeout(ctx, rolloutCallTimeout)
	defer cancel()
	orders, era, err := w.edge.platform.Rollouts.Orders(limit)
	if err != nil {
		w.edge.log.Log(oplog.StateChange, "rollout.read_failed", slog.String("service", write.Service), slog.String("error", err.Error()))
		return
	}
	for _, o := range orders {
		if o.Service == write.Service {
			w.apply(era, o)
		}
	}
}

// apply applies an order as the store holds it, unless this router knows of a newer era.
func (w *rolloutWriter) apply(era int64, o rollout.Order) {
	if era < w.edge.newestEra() {
		return
	}
	w.edge.dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) { d.SetOrder(now, era, o) })
	w.edge.mesh.TriggerSend()
}
