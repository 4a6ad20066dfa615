package edge

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
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
	// cleanupInterval is the time between two lists of the entries.
	cleanupInterval = time.Minute
	// registrationJitter spreads the registrations of all routers after the store has
	// been restored.
	registrationJitter = 2 * time.Second
)

var registryBackoff = retry.Backoff{Initial: 200 * time.Millisecond, Max: 2 * time.Second}

// maintainRegistration stores the router's entry and reads those of the other
// routers, again after each restoration of the store, and removes entries of dead
// routers from time to time. A router finds those that registered before it in the
// registry, and they learn of it from its heartbeats, so the entries need no watch.
func (e *Edge) maintainRegistration(ctx context.Context) error {
	// A stale list does for the first attempt: a router that it lacks is learned of by
	// heartbeats, and an outdated revision of the own entry fails the write.
	e.keepRegistering(ctx, true)
	cleanup := time.NewTicker(cleanupInterval)
	defer cleanup.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-cleanup.C:
			e.refreshEntries(ctx)
		case <-e.restored:
			if e.newestEra() > e.registeredEra.Load() && sleep(ctx, time.Duration(rand.Float64()*float64(registrationJitter))) {
				e.keepRegistering(ctx, false)
			}
		}
	}
}

// keepRegistering calls register until it succeeds or the context ends. The first
// list may be stale.
func (e *Edge) keepRegistering(ctx context.Context, stale bool) {
	for failures := 0; ctx.Err() == nil; {
		err := e.register(ctx, stale && failures == 0)
		if err == nil {
			return
		}
		failures++
		e.log.Log(oplog.StateChange, "registration.failed", slog.Int("failures", failures), slog.String("error", err.Error()))
		sleep(ctx, registryBackoff.Delay(failures, rand.Float64()))
	}
}

// registerAfterRestoration has this router register again if a collection is of a newer
// era of the store than its entry: the restored copy may lack it.
func (e *Edge) registerAfterRestoration(era int64) {
	registered := e.registeredEra.Load()
	if registered == notRegistered || era <= registered {
		return
	}
	select {
	case e.restored <- struct{}{}:
	default: // already requested
	}
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
	entries, era, err := e.platform.Registry.Routers(limit, stale)
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
		if entries, _, err = e.platform.Registry.Routers(limit, stale); err != nil {
			return err
		}
	}
	e.registeredEra.Store(era)
	e.setEntries(entries)
	e.log.Log(oplog.StateChange, "registration.done", slog.Int("routers", len(entries)))
	return nil
}

// setEntries adds the routers of all entries as peers. The entries replace those that
// were listed before: some may have been removed since, and revisions may be of an
// older era of the store. It returns the addresses of the routers.
func (e *Edge) setEntries(entries []Entry) map[netip.Addr]bool {
	e.entriesMu.Lock()
	defer e.entriesMu.Unlock()
	clear(e.entries)
	registered := map[netip.Addr]bool{}
	for _, entry := range entries {
		address, err := netip.ParseAddr(entry.Address)
		if err != nil {
			e.log.Log(oplog.StateChange, "registration.unreadable", slog.String("router", entry.Name), slog.String("address", entry.Address))
			continue
		}
		e.entries[entry.Name] = entry
		registered[address] = true
		e.mesh.AddPeer(entry.Name, entry.Zone, address, true)
	}
	return registered
}

// newestEra returns the newest era of the store that a collection of records is of.
func (e *Edge) newestEra() (era int64) {
	for _, at := range e.replica.Positions() {
		era = max(era, at.Era)
	}
	return era
}

// refreshEntries lists the entries again, of which some may have been stored or
// removed since the last time, and removes those of dead routers. Others may have
// removed this router's entry while they could not hear it.
func (e *Edge) refreshEntries(ctx context.Context) {
	limit, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	entries, _, err := e.platform.Registry.Routers(limit, true)
	if err != nil {
		e.log.Log(oplog.StateChange, "registration.failed", slog.Int("failures", 1), slog.String("error", err.Error()))
		return
	}
	if !slices.ContainsFunc(entries, func(entry Entry) bool { return entry.Name == e.settings.Name }) {
		e.keepRegistering(ctx, false)
		return
	}
	e.mesh.SetRegistered(e.setEntries(entries))
	e.removeDeadEntries(ctx)
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
