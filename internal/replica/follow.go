package replica

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/retry"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
)

const (
	// watchWait is how long one watch waits. A connection that has gone
	// silent is found out soon after it.
	watchWait = 2500 * time.Millisecond
	// storeTimeout bounds a call beside its wait: a slow store takes some
	// hundred milliseconds.
	storeTimeout = 700 * time.Millisecond
	// startSpread spreads the first reads of routers that start together: the
	// first to read tells the others.
	startSpread = 400 * time.Millisecond
	// standByEvery is how often a router that leaves reading to others looks
	// whether they still do.
	standByEvery = 100 * time.Millisecond
	// expireEvery is how often lapsed records are looked at.
	expireEvery = 100 * time.Millisecond
)

// storeBackoff keeps the fleet's calls few while the store is away: twelve
// routers with three collections each make under eighty calls a second at its
// longest.
var storeBackoff = retry.Backoff{Initial: 100 * time.Millisecond, Max: 600 * time.Millisecond}

// Follow keeps one collection up to date from the store until the context
// ends, while reads says that this router is to read it.
func (r *Replica) Follow(ctx context.Context, source Source, kind Kind, reads func() bool, log *oplog.Logger) error {
	f := follower{replica: r, source: source, kind: kind, log: log}
	f.pause(ctx, r.startDelay)
	for ctx.Err() == nil {
		if f.turn(reads()) {
			f.step(ctx)
		} else {
			f.standBy(ctx)
		}
	}
	return ctx.Err()
}

// turn notes whether this router is to read, and returns it.
func (f *follower) turn(reads bool) bool {
	if reads != f.reads {
		f.reads = reads
		f.log.Log(oplog.StateChange, "store.reader", slog.String("collection", string(f.kind)), slog.Bool("reads", reads),
			slog.Int64("revision", f.replica.Revisions()[f.kind]))
	}
	return reads
}

// standBy leaves reading to other routers for a moment.
func (f *follower) standBy(ctx context.Context) {
	f.since, f.failures = 0, 0
	f.replica.setReading(f.kind, false)
	f.pause(ctx, standByEvery)
}

// follower is the state of following one collection.
type follower struct {
	replica  *Replica
	source   Source
	kind     Kind
	log      *oplog.Logger
	since    int64 // 0: not read yet
	dropped  bool  // the store has no history from what is known on: a list is needed
	failures int
	reads    bool // this router reads, as last logged
}

func (f *follower) step(ctx context.Context) {
	err := f.read(ctx)
	switch {
	case err == nil:
		f.regained()
	case ctx.Err() != nil:
	case errors.Is(err, ErrCompacted):
		f.log.Log(oplog.StateChange, "store.history_dropped", slog.String("collection", string(f.kind)), slog.Int64("revision", f.since))
		f.since, f.dropped = 0, true
	case errors.Is(err, ErrWatchInterrupted):
		f.log.Log(oplog.StateChange, "store.watch_cut", slog.String("collection", string(f.kind)), slog.Int64("revision", f.since))
		f.pause(ctx, storeBackoff.Delay(1, rand.Float64()))
	default:
		f.lost(ctx, err)
	}
}

// read makes one call: a list if the collection has to be read anew, a watch
// otherwise.
func (f *follower) read(ctx context.Context) error {
	if f.since == 0 && !f.dropped {
		f.since = f.replica.Revisions()[f.kind] // what other routers told
	}
	if f.since == 0 {
		return f.list(ctx)
	}
	limit, cancel := context.WithTimeout(ctx, watchWait+storeTimeout)
	defer cancel()
	changes, err := f.source.Watch(limit, f.kind, f.since, watchWait)
	if err != nil {
		return err
	}
	f.since = changes.Revision
	f.replica.ApplyChanges(time.Now(), f.kind, changes, OriginStore)
	return nil
}

func (f *follower) list(ctx context.Context) error {
	limit, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	s, err := f.source.List(limit, f.kind)
	if err != nil {
		return err
	}
	f.since, f.dropped = s.Revision, false
	f.replica.ApplySnapshot(time.Now(), f.kind, s, OriginStore)
	return nil
}

func (f *follower) lost(ctx context.Context, err error) {
	f.replica.RecordStoreFailure(time.Now())
	f.replica.setReading(f.kind, false)
	f.failures++
	metrics.GetOrCreateCounter(`cyclamenwinch_store_failures_total{collection="` + string(f.kind) + `"}`).Inc()
	if f.failures == 1 {
		f.log.Log(oplog.StateChange, "store.lost", slog.String("collection", string(f.kind)), slog.Int64("revision", f.since), slog.String("error", err.Error()))
	}
	f.pause(ctx, storeBackoff.Delay(f.failures, rand.Float64()))
}

func (f *follower) regained() {
	f.replica.setReading(f.kind, true)
	if f.failures > 0 {
		f.log.Log(oplog.StateChange, "store.regained", slog.String("collection", string(f.kind)), slog.Int("failures", f.failures))
		f.failures = 0
	}
}

func (f *follower) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// RunExpiry drops lapsed records in time until the context ends.
func (r *Replica) RunExpiry(ctx context.Context) error {
	ticks := time.NewTicker(expireEvery)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticks.C:
			r.Expire(now)
		}
	}
}
