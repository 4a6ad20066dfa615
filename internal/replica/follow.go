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
	"github.com/cyclamenwinch/cyclamenwinch/internal/wake"
)

const (
	// watchWait is how long one watch waits for changes. A stalled connection
	// is detected shortly after it.
	watchWait = 2500 * time.Millisecond
	// storeTimeout limits a call, in addition to its wait. A slow store takes
	// some hundred milliseconds.
	storeTimeout = 700 * time.Millisecond
	// startJitter spreads the first reads of routers that start at the same
	// time. The first one to read sends the records to the others.
	startJitter = 400 * time.Millisecond
	// standbyInterval is how often a router that is not a reader checks whether
	// it has to become one.
	standbyInterval = 100 * time.Millisecond
	// expiryInterval is how often retained records are checked for expiry, and
	// whether any router reads the store.
	expiryInterval = 100 * time.Millisecond
)

// storeBackoff limits the fleet's calls while the store is unavailable: at the
// longest delay, 12 routers with three collections each make under 80 calls a
// second.
var storeBackoff = retry.Backoff{Initial: 100 * time.Millisecond, Max: 600 * time.Millisecond}

// Follow keeps one collection up to date from the store until the context ends.
// It reads the store only while reads returns true.
func (r *Replica) Follow(ctx context.Context, source Source, kind Kind, reads func() bool, log *oplog.Logger) error {
	f := follower{replica: r, source: source, kind: kind, log: log}
	f.pause(ctx, r.startDelay)
	for ctx.Err() == nil {
		if f.updateRole(reads()) {
			f.step(ctx)
		} else {
			f.standby(ctx)
		}
	}
	return ctx.Err()
}

// updateRole logs a change of whether this router reads the store, and returns
// its argument.
func (f *follower) updateRole(reads bool) bool {
	if reads != f.isReader {
		f.isReader = reads
		f.log.Log(oplog.StateChange, "store.reader", slog.String("collection", string(f.kind)), slog.Bool("reads", reads),
			slog.Int64("revision", f.replica.Positions()[f.kind].Revision))
	}
	return reads
}

// standby leaves reading to other routers for standbyInterval.
func (f *follower) standby(ctx context.Context) {
	f.since, f.failures = Position{}, 0
	f.replica.setReading(f.kind, false)
	f.pause(ctx, wake.Until(time.Now(), standbyInterval))
}

// follower is the state of Follow for one collection.
type follower struct {
	replica   *Replica
	source    Source
	kind      Kind
	log       *oplog.Logger
	since     Position // from which the next watch continues; revision 0: not read yet
	needsList bool     // the store lacks the history after the known position
	failures  int
	isReader  bool // whether this router reads the store, as last logged
}

func (f *follower) step(ctx context.Context) {
	err := f.read(ctx)
	switch {
	case err == nil:
		f.readSucceeded()
	case ctx.Err() != nil:
	case errors.Is(err, ErrCompacted):
		f.log.Log(oplog.StateChange, "store.history_dropped", f.attrs()...)
		f.since, f.needsList = Position{}, true
	case errors.Is(err, ErrWatchInterrupted):
		f.log.Log(oplog.StateChange, "store.watch_cut", f.attrs()...)
		f.pause(ctx, storeBackoff.Delay(1, rand.Float64()))
	default:
		f.readFailed(ctx, err)
	}
}

// attrs returns the log attributes that all events of a collection have.
func (f *follower) attrs(more ...slog.Attr) []slog.Attr {
	return append([]slog.Attr{slog.String("collection", string(f.kind)), slog.Int64("era", f.since.Era), slog.Int64("revision", f.since.Revision)}, more...)
}

// read makes one call: a list if the whole collection has to be read, otherwise a
// watch.
func (f *follower) read(ctx context.Context) error {
	if own := f.replica.Positions()[f.kind]; !f.needsList && (f.since.Revision == 0 || f.since.Era < own.Era) {
		f.since = own // received from other routers
	}
	if f.since.Revision == 0 {
		return f.list(ctx)
	}
	limit, cancel := context.WithTimeout(ctx, watchWait+storeTimeout)
	defer cancel()
	changes, err := f.source.Watch(limit, f.kind, f.since.Revision, watchWait)
	if err != nil {
		return err
	}
	if err := f.checkEra(changes.Era); err != nil {
		return err
	}
	if changes.Era > f.since.Era { // the revision that was asked for is another one in this era
		f.since, f.needsList = Position{}, true
		return nil
	}
	f.since = changes.Position
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
	if err := f.checkEra(s.Era); err != nil {
		return err
	}
	own, known := f.replica.Positions()[f.kind]
	switch {
	case known && own.Era < s.Era:
		f.log.Log(oplog.StateChange, "store.restored", slog.String("collection", string(f.kind)), slog.Int64("era", s.Era), slog.Int64("revision", s.Revision),
			slog.Int64("known_era", own.Era), slog.Int64("known_revision", own.Revision))
	case known && s.Position.Before(own): // a peer had newer records, or the store has lost some without a new era
		f.log.Log(oplog.StateChange, "store.list_outdated", slog.String("collection", string(f.kind)), slog.Int64("era", s.Era), slog.Int64("revision", s.Revision),
			slog.Int64("known_revision", own.Revision))
	}
	f.since, f.needsList = s.Position, false
	f.replica.ApplySnapshot(time.Now(), f.kind, s, OriginStore)
	return nil
}

// checkEra returns an error if a response is of an older era than the copy: it was
// delayed, or another store uses the address.
func (f *follower) checkEra(era int64) error {
	if own := f.replica.Positions()[f.kind]; era < own.Era {
		return errors.Newf("the store's response is of era %d, and the records that this router has are of era %d", era, own.Era)
	}
	return nil
}

func (f *follower) readFailed(ctx context.Context, err error) {
	f.replica.setReading(f.kind, false)
	f.failures++
	metrics.GetOrCreateCounter(`cyclamenwinch_store_failures_total{collection="` + string(f.kind) + `"}`).Inc()
	if f.failures == 1 {
		f.log.Log(oplog.StateChange, "store.lost", f.attrs(slog.String("error", err.Error()))...)
	}
	f.pause(ctx, storeBackoff.Delay(f.failures, rand.Float64()))
}

func (f *follower) readSucceeded() {
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

// RunExpiry calls Expire and RecordReadable regularly until the context ends.
// peersRead reports whether another router reads the store successfully.
func (r *Replica) RunExpiry(ctx context.Context, peersRead func() bool) error {
	ticks := wake.NewTicker(expiryInterval)
	defer ticks.Stop()
	for {
		if err := ticks.Wait(ctx); err != nil {
			return err
		}
		now := time.Now()
		r.RecordReadable(now, r.ReadsStore() || peersRead())
		r.Expire(now)
	}
}
