package edge

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/replica"
)

// decodedRecords holds the records as last decoded. Changes are logged against
// it.
type decodedRecords struct {
	mu        sync.Mutex
	config    topology.Config              // in force
	names     []string                     // of services and accounts in the configuration
	endpoints map[string]topology.Endpoint // in use, by ID
	listed    listedEndpoints
	departed  topology.Departures // endpoints that were seen to leave
	withheld  map[string]bool     // IDs of endpoints that a restored copy lists although they have left
	addresses map[string]bool     // of the endpoints; true: not draining
	retained  map[string]bool     // IDs of endpoints that are used although the store has removed them
}

// usesAddress reports whether the address belongs to an endpoint that may
// receive requests.
func (r *decodedRecords) usesAddress(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addresses[address]
}

// handleChange applies a changed collection.
func (e *Edge) handleChange(kind replica.Kind, v replica.View) {
	if v.Origin == replica.OriginStore {
		e.mesh.TriggerSend() // changes learned from a router are announced by that router
	}
	e.registerAfterRestoration(v.Era)
	switch kind {
	case replica.Config:
		e.applyConfig(v)
	case replica.Endpoints:
		e.applyEndpoints(v)
	case replica.ZonesOut:
		e.applyZonesOut(v)
	case replica.Rollouts:
		e.applyRollouts(v)
	}
}

func (e *Edge) applyConfig(v replica.View) {
	config, ok, err := e.platform.Decoder.Config(v.Records)
	if err != nil {
		e.log.Log(oplog.StateChange, "config.unreadable", slog.Int64("revision", v.Revision), slog.String("from", v.Origin), slog.String("error", err.Error()))
		return
	}
	if !ok {
		return
	}
	e.decoded.mu.Lock()
	inForce := e.decoded.config
	accepted := config.Replaces(inForce)
	if accepted {
		e.decoded.config = config
	}
	e.decoded.mu.Unlock()
	if !accepted {
		if config.Version < inForce.Version {
			e.log.Log(oplog.StateChange, "config.outdated", slog.Int64("version", config.Version), slog.Int64("in_force", inForce.Version),
				slog.Int64("era", v.Era), slog.Int64("revision", v.Revision), slog.String("from", v.Origin))
		}
		return
	}
	e.setConfigNames(config)
	table := topology.NewTable(config)
	e.dispatcher.Update(func(_ time.Time, d *dispatch.Dispatcher) {
		d.SetTable(table)
		e.pool.SetMaxIdle(d.IdleConnections())
	})
	e.relay.SetTable(table)
	metrics.GetOrCreateGauge("cyclamenwinch_config_version", nil).Set(float64(config.Version))
	e.log.Log(oplog.StateChange, "config.in_force", slog.Int64("version", config.Version), slog.Int64("old_version", inForce.Version), slog.Int64("era", v.Era), slog.Int64("revision", v.Revision),
		slog.String("from", v.Origin), slog.Int("routes", len(config.Routes)), slog.Int("accounts", len(config.Accounts)))
}

// setConfigNames passes on the names that reports to other routers use.
func (e *Edge) setConfigNames(config topology.Config) {
	var names []string
	for _, s := range config.Services {
		names = append(names, s.Name)
	}
	for _, a := range config.Accounts {
		names = append(names, a.Name)
	}
	e.decoded.mu.Lock()
	e.decoded.names = names
	e.decoded.mu.Unlock()
	e.setNames()
}

func (e *Edge) setNames() {
	e.decoded.mu.Lock()
	names := slices.AppendSeq(slices.Clone(e.decoded.names), maps.Keys(e.decoded.endpoints))
	e.decoded.mu.Unlock()
	e.mesh.SetNames(names)
}

// listedEndpoints are the endpoints as their records describe them.
type listedEndpoints struct {
	era       int64
	byID      map[string]topology.Endpoint
	revisions map[string]int64 // of the records, by ID
}

// decodeEndpoints decodes the records that have changed since the last call, and
// returns all endpoints. Records of endpoints are renewed every few seconds, one by
// one.
func (e *Edge) decodeEndpoints(v replica.View) listedEndpoints {
	e.decoded.mu.Lock()
	known := e.decoded.listed
	e.decoded.mu.Unlock()
	out := listedEndpoints{era: v.Era, byID: make(map[string]topology.Endpoint, len(v.Records)), revisions: make(map[string]int64, len(v.Records))}
	for _, r := range v.Records {
		if revision, ok := known.revisions[r.Name]; ok && revision == r.Revision && known.era == v.Era {
			out.byID[r.Name], out.revisions[r.Name] = known.byID[r.Name], revision
			continue
		}
		endpoint, err := e.platform.Decoder.Endpoint(r)
		if err != nil {
			e.log.Log(oplog.StateChange, "endpoint.unreadable", slog.String("endpoint", r.Name), slog.Int64("revision", r.Revision), slog.String("error", err.Error()))
			continue
		}
		out.byID[r.Name], out.revisions[r.Name] = endpoint, r.Revision
	}
	for _, id := range v.Retained {
		delete(out.revisions, id) // may be of an older era
	}
	return out
}

func (e *Edge) applyEndpoints(v replica.View) {
	c := e.decoded.setEndpoints(time.Now(), v, e.decodeEndpoints(v))
	list := slices.Collect(maps.Values(c.current))
	e.dispatcher.Update(func(at time.Time, d *dispatch.Dispatcher) { d.SetEndpoints(at, list) })
	if !maps.EqualFunc(c.previous, c.current, func(_, _ topology.Endpoint) bool { return true }) {
		e.setNames()
	}
	e.logEndpoints(c.previous, c.current, v)
	for _, id := range c.withheld {
		e.log.Log(oplog.StateChange, "endpoint.withheld", slog.String("endpoint", id), slog.Int64("era", v.Era), slog.Int64("revision", v.Revision), slog.String("from", v.Origin))
	}
	for _, id := range c.retained {
		e.log.Log(oplog.StateChange, "endpoint.retained", slog.String("endpoint", id), slog.Int64("revision", v.Revision), slog.String("from", v.Origin))
	}
}

// endpointsChange is a change of the endpoints in use.
type endpointsChange struct {
	previous, current  map[string]topology.Endpoint // in use, by ID
	withheld, retained []string                     // IDs that were not so before
}

// setEndpoints determines which of the listed endpoints are used.
func (r *decodedRecords) setEndpoints(now time.Time, v replica.View, listed listedEndpoints) endpointsChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := endpointsChange{previous: r.endpoints, current: r.departed.Reconcile(now, r.endpoints, listed.byID, v.Unconfirmed)}
	withheld, retained := map[string]bool{}, map[string]bool{}
	for id := range listed.byID {
		if _, used := c.current[id]; !used {
			withheld[id] = true
		}
	}
	for _, id := range v.Retained {
		retained[id] = true
	}
	c.withheld, c.retained = added(r.withheld, withheld), added(r.retained, retained)
	r.endpoints, r.listed, r.withheld, r.retained = c.current, listed, withheld, retained
	r.addresses = map[string]bool{}
	for _, endpoint := range c.current {
		r.addresses[endpoint.Address] = !endpoint.Draining
	}
	return c
}

// added returns the members of a set that an earlier one lacks.
func added(before, after map[string]bool) (out []string) {
	for id := range after {
		if !before[id] {
			out = append(out, id)
		}
	}
	return out
}

// logEndpoints logs each endpoint that was added, changed or removed.
func (e *Edge) logEndpoints(previous, current map[string]topology.Endpoint, v replica.View) {
	for id, endpoint := range current {
		if before, ok := previous[id]; ok && before.SameState(endpoint) {
			continue
		}
		e.log.Log(oplog.StateChange, "endpoint.changed", slog.String("endpoint", id), slog.String("address", endpoint.Address), slog.String("service", endpoint.Service),
			slog.String("zone", endpoint.Zone), slog.String("version", endpoint.Version), slog.Bool("draining", endpoint.Draining), slog.Duration("cold_for", endpoint.ColdRemaining),
			slog.Int64("born", endpoint.StartMillis), slog.Any("models", endpoint.Models), slog.Int64("revision", v.Revision), slog.String("from", v.Origin))
	}
	for id := range previous {
		if _, ok := current[id]; !ok {
			e.log.Log(oplog.StateChange, "endpoint.gone", slog.String("endpoint", id), slog.Int64("revision", v.Revision), slog.String("from", v.Origin))
		}
	}
}

func (e *Edge) applyZonesOut(v replica.View) {
	zones := map[string]bool{}
	for _, r := range v.Records {
		zones[e.platform.Decoder.ZoneOut(r)] = true
	}
	e.dispatcher.Update(func(at time.Time, d *dispatch.Dispatcher) { d.SetZonesOut(at, zones) })
	e.log.Log(oplog.StateChange, "zones.out", slog.Any("zones", slices.Sorted(maps.Keys(zones))), slog.Int64("revision", v.Revision), slog.String("from", v.Origin))
}
