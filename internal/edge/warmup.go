package edge

import (
	"context"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/internal/mesh"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/wake"
)

const (
	// warmUpTick is the time between two looks at whether this router knows enough of
	// the fleet to ask for what endpoints have cached.
	warmUpTick = 50 * time.Millisecond
	// peersHeardAfter is the time after the start by which a router has heard of the
	// others: a few heartbeats of a large fleet.
	peersHeardAfter = 700 * time.Millisecond
	// warmUpTimeout is the time after the start from which placements have reported most of
	// what is to be learned.
	warmUpTimeout = 10 * time.Second
)

// learnCachedParts learns at the start of the router what endpoints have cached. Requests
// are served meanwhile. A small fleet's routers see most placements themselves, so this is
// for a grid only.
func (e *Edge) learnCachedParts(ctx context.Context) error {
	ticks := wake.NewTicker(warmUpTick)
	defer ticks.Stop()
	for time.Since(e.startedAt) < warmUpTimeout {
		if err := ticks.Wait(ctx); err != nil {
			return err
		}
		if !e.mesh.IsGrid() || len(e.endpointIDs()) == 0 {
			continue
		}
		uptime := time.Since(e.startedAt)
		peers, inZone := e.peersToAsk(uptime)
		if uptime < peersHeardAfter && !inZone {
			continue
		}
		if e.askPeers(ctx, peers, e.mesh.FetchEstimates) {
			e.askEndpoints(ctx)
		}
		break
	}
	<-ctx.Done()
	return ctx.Err()
}

// peersToAsk returns the routers to ask for their estimates, and whether the first one is
// of this router's availability zone.
func (e *Edge) peersToAsk(uptime time.Duration) (names []string, inZone bool) {
	now := time.Now()
	var live []dispatch.RunningRouter
	zones := map[string]string{}
	for _, r := range e.mesh.Alive() {
		if !r.Leaving {
			live = append(live, dispatch.RunningRouter{Name: r.Name, Zone: r.Zone, Uptime: now.Sub(time.Unix(0, r.Incarnation))})
			zones[r.Name] = r.Zone
		}
	}
	names = dispatch.PeersToAsk(e.settings.Name, e.settings.Zone, uptime, live)
	return names, len(names) > 0 && zones[names[0]] == e.settings.Zone
}

// fetchEstimates fetches the estimates of the router with a name. The uptime is that of
// this one.
type fetchEstimates func(ctx context.Context, name string, uptime time.Duration) (mesh.Estimates, error)

// askPeers asks routers for their estimates, one after the other, until one passes them
// on. It reports whether all those asked have been running for too short a time.
func (e *Edge) askPeers(ctx context.Context, peers []string, fetch fetchEstimates) (noneLonger bool) {
	noneLonger = true
	for _, name := range peers {
		asked := time.Now()
		uptime := asked.Sub(e.startedAt)
		est, err := fetch(ctx, name, uptime)
		if ctx.Err() != nil {
			return false
		}
		result := "adopted"
		switch {
		case errors.Is(err, mesh.ErrNoEstimates):
			result, noneLonger = "unimplemented", false
		case err != nil:
			result, noneLonger = "failed", false
		case !est.Longer:
			result = "not_longer"
		}
		metrics.GetOrCreateCounter(`cyclamenwinch_cache_estimates_total{result="` + result + `"}`).Inc()
		attrs := []slog.Attr{slog.String("peer", name), slog.String("result", result), slog.Duration("uptime", uptime), slog.Duration("peer_uptime", est.Uptime)}
		if err != nil {
			attrs = append(attrs, slog.String("error", err.Error()))
		}
		if result != "adopted" {
			e.log.Log(oplog.StateChange, "cache.estimates_asked", append(attrs, slog.Duration("took", time.Since(asked)))...)
			continue
		}
		parts, added, dropped := e.mergeEstimates(est)
		e.log.Log(oplog.StateChange, "cache.estimates_asked", append(attrs, slog.Duration("took", time.Since(asked)),
			slog.Int("endpoints", len(est.Endpoints)), slog.Int("dropped", dropped), slog.Int("parts", parts), slog.Int("added", added))...)
		return false
	}
	return noneLonger
}

// mergeEstimates applies estimates, one endpoint at a time so that requests don't wait for
// all of them. It returns the number of parts, of those that were not known, and of
// endpoints that run in another incarnation here.
func (e *Edge) mergeEstimates(est mesh.Estimates) (parts, added, dropped int) {
	for _, cache := range est.Endpoints {
		e.dispatcher.Update(func(_ time.Time, d *dispatch.Dispatcher) {
			n, ok := d.MergeCache(cache)
			if !ok {
				dropped++
				return
			}
			parts += len(cache.Parts)
			added += n
		})
	}
	return parts, added, dropped
}

func (e *Edge) endpointIDs() (ids []string) {
	e.dispatcher.Update(func(_ time.Time, d *dispatch.Dispatcher) { ids = d.EndpointIDs() })
	return ids
}

// cacheSource returns what this router passes on to routers that have started.
func (e *Edge) cacheSource() mesh.CacheSource {
	return mesh.CacheSource{
		Uptime:    func() time.Duration { return time.Since(e.startedAt) },
		Endpoints: e.endpointIDs,
		Cache: func(id string) (c dispatch.EndpointCache) {
			e.dispatcher.Update(func(_ time.Time, d *dispatch.Dispatcher) { c = d.SharedCache(id) })
			return c
		},
	}
}
