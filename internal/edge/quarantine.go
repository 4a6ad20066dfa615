package edge

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/grid"
	"github.com/cyclamenwinch/cyclamenwinch/core/route"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/wake"
)

// QuarantineStore keeps what routers hold back because it crashed endpoints, so that
// routers that start know it also if none is left that does.
type QuarantineStore interface {
	// Held returns all records and the store's era.
	Held(ctx context.Context) ([]route.Held, int64, error)
	CreateHeld(ctx context.Context, h route.Held) error  // keeps an existing record
	ReplaceHeld(ctx context.Context, h route.Held) error // or creates it
	RemoveHeld(ctx context.Context, h route.Held) error
}

const (
	// quarantineInterval is the time between two comparisons of what is held back with
	// what is stored.
	quarantineInterval = 500 * time.Millisecond
	// quarantineWriters is how many routers store a record, in case one can't reach the
	// store.
	quarantineWriters = 2
	// maxStoredHeld limits the records that a router stores. Each takes some hundred
	// bytes.
	maxStoredHeld = 128
)

// heldKey identifies a record.
type heldKey struct {
	kind route.HeldKind
	id   uint64
}

func (k heldKey) String() string { return fmt.Sprintf("%d-%016x", k.kind, k.id) }

// storedQuarantine is what this router knows to be stored: the number of crashes in
// each record.
type storedQuarantine struct {
	edge   *Edge
	known  map[heldKey]int
	era    int64
	loaded bool
}

// keepQuarantine reads at the start, and after each restoration of the store, what is
// held back, and stores what this fleet holds back until the context ends.
func (e *Edge) keepQuarantine(ctx context.Context) error {
	q := &storedQuarantine{edge: e}
	ticks := wake.NewTicker(quarantineInterval)
	defer ticks.Stop()
	for failures := 0; ; {
		if err := q.update(ctx); err != nil && ctx.Err() == nil {
			failures++
			e.log.Log(oplog.StateChange, "quarantine.store_failed", slog.Int("failures", failures), slog.String("error", err.Error()))
			sleep(ctx, registryBackoff.Delay(failures, rand.Float64()))
		} else {
			failures = 0
		}
		if err := ticks.Wait(ctx); err != nil {
			return err
		}
	}
}

// update makes the calls to the store that are due. It returns the first error.
func (q *storedQuarantine) update(ctx context.Context) error {
	if !q.loaded || q.era < q.edge.newestEra() {
		if err := q.load(ctx); err != nil {
			return err
		}
	}
	var held []route.Held
	q.edge.dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) { held = d.Held(now, maxStoredHeld) })
	if len(held) == 0 && len(q.known) == 0 {
		return nil
	}
	current := map[heldKey]bool{}
	live := q.edge.liveRouters()
	for _, h := range held {
		key := heldKey{h.Kind, h.ID}
		current[key] = true
		if q.known[key] != len(h.Crashes) && q.edge.writes(key, live) {
			if err := q.write(ctx, key, h); err != nil {
				return err
			}
		}
	}
	for key := range q.known {
		if !current[key] && q.edge.writes(key, live) {
			if err := q.remove(ctx, key); err != nil {
				return err
			}
		}
	}
	return nil
}

// load applies the stored records.
func (q *storedQuarantine) load(ctx context.Context) error {
	limit, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	held, era, err := q.edge.platform.Quarantine.Held(limit)
	if err != nil {
		return err
	}
	q.known, q.era, q.loaded = map[heldKey]int{}, max(era, q.edge.newestEra()), true
	for _, h := range held {
		q.known[heldKey{h.Kind, h.ID}] = len(h.Crashes)
	}
	q.edge.dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) { d.RestoreHeld(now, held) })
	if len(held) > 0 {
		q.edge.log.Log(oplog.StateChange, "quarantine.read", slog.Int("records", len(held)), slog.Int64("era", era))
	}
	return nil
}

func (q *storedQuarantine) write(ctx context.Context, key heldKey, h route.Held) error {
	limit, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	store := q.edge.platform.Quarantine.CreateHeld
	if _, ok := q.known[key]; ok {
		store = q.edge.platform.Quarantine.ReplaceHeld
	}
	if err := store(limit, h); err != nil {
		return err
	}
	q.known[key] = len(h.Crashes)
	q.edge.log.Log(oplog.StateChange, "quarantine.stored", slog.String("record", key.String()), slog.Int("crashes", len(h.Crashes)), slog.Bool("was_sound", h.WasSound))
	return nil
}

func (q *storedQuarantine) remove(ctx context.Context, key heldKey) error {
	limit, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	if err := q.edge.platform.Quarantine.RemoveHeld(limit, route.Held{Kind: key.kind, ID: key.id}); err != nil {
		return err
	}
	delete(q.known, key)
	q.edge.log.Log(oplog.StateChange, "quarantine.removed", slog.String("record", key.String()))
	return nil
}

// writes reports whether this router is among the first of the live ones for a record,
// by rendezvous hashing.
func (e *Edge) writes(key heldKey, live []string) bool {
	hash := xxhash.Sum64String(key.String())
	own := grid.Weight(hash, e.settings.Name)
	higher := 0
	for _, name := range live {
		if grid.Weight(hash, name) > own {
			higher++
		}
	}
	return higher < quarantineWriters
}

// liveRouters returns the sorted names of the other routers that are running and don't
// leave.
func (e *Edge) liveRouters() (names []string) {
	for _, r := range e.mesh.Alive() {
		if !r.Leaving {
			names = append(names, r.Name)
		}
	}
	return names
}
