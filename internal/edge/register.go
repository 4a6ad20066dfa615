package edge

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/retry"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
)

const (
	// registryTimeout limits one call to the registry.
	registryTimeout = time.Second
	// deadRouterTimeout is the time without a heartbeat after which the entry of a
	// registered router is removed.
	deadRouterTimeout = 2 * time.Minute
	// cleanupInterval is the time between two searches for entries of dead routers.
	cleanupInterval = time.Minute
)

var registryBackoff = retry.Backoff{Initial: 200 * time.Millisecond, Max: 2 * time.Second}

// maintainRegistration stores the router's entry and reads those of the other
// routers, then removes entries of dead routers from time to time. A router finds
// those that registered before it in the registry, and they learn of it from its
// heartbeats, so the entries need no watch.
func (e *Edge) maintainRegistration(ctx context.Context) error {
	for failures := 0; ; {
		// A stale list does for the first attempt: a router that it lacks is learned of by
		// heartbeats, and an outdated revision of the own entry fails the write.
		err := e.register(ctx, failures == 0)
		if err == nil {
			break
		}
		failures++
		e.log.Log(oplog.StateChange, "registration.failed", slog.Int("failures", failures), slog.String("error", err.Error()))
		if !sleep(ctx, registryBackoff.Delay(failures, rand.Float64())) {
			return ctx.Err()
		}
	}
	for sleep(ctx, cleanupInterval) {
		e.removeDeadEntries(ctx)
	}
	return ctx.Err()
}

// sleep waits for the duration; false: the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// register stores this router's entry, unless it is stored already, and adds the
// routers of all entries as peers. The lists that it reads may be stale.
func (e *Edge) register(ctx context.Context, stale bool) error {
	limit, cancel := context.WithTimeout(ctx, 2*registryTimeout)
	defer cancel()
	own := Entry{Name: e.settings.Name, Address: e.settings.Address.String(), Zone: e.settings.Zone}
	entries, err := e.platform.Registry.Routers(limit, stale)
	if err != nil {
		return err
	}
	stored := false
	for _, entry := range entries {
		if entry.Name == own.Name {
			own.Revision = entry.Revision
			stored = entry.Address == own.Address && entry.Zone == own.Zone
		}
	}
	if !stored {
		if err := e.platform.Registry.Register(limit, own); err != nil {
			return err
		}
		if entries, err = e.platform.Registry.Routers(limit, stale); err != nil {
			return err
		}
	}
	e.addPeers(entries)
	e.log.Log(oplog.StateChange, "registration.done", slog.Int("routers", len(entries)))
	return nil
}

func (e *Edge) addPeers(entries []Entry) {
	e.entriesMu.Lock()
	defer e.entriesMu.Unlock()
	for _, entry := range entries {
		address, err := netip.ParseAddr(entry.Address)
		if err != nil {
			e.log.Log(oplog.StateChange, "registration.unreadable", slog.String("router", entry.Name), slog.String("address", entry.Address))
			continue
		}
		e.entries[entry.Name] = entry
		e.mesh.AddPeer(entry.Name, entry.Zone, address, true)
	}
}

// removeDeadEntries removes the entries of routers that have been unresponsive
// for deadRouterTimeout. Only the first of the live routers by name does so.
func (e *Edge) removeDeadEntries(ctx context.Context) {
	alive := e.mesh.Alive()
	if len(alive) > 0 && alive[0].Name < e.settings.Name {
		return
	}
	for _, r := range e.mesh.Unresponsive(deadRouterTimeout) {
		e.entriesMu.Lock()
		entry, ok := e.entries[r.Name]
		delete(e.entries, r.Name)
		e.entriesMu.Unlock()
		if !ok {
			continue
		}
		limit, cancel := context.WithTimeout(ctx, registryTimeout)
		err := e.platform.Registry.Unregister(limit, entry)
		cancel()
		e.log.Log(oplog.StateChange, "registration.removed", slog.String("router", r.Name), slog.Any("error", err))
	}
}
