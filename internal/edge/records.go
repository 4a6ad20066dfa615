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
	endpoints map[string]topology.Endpoint // by ID
	revisions map[string]int64             // of the records of endpoints, by ID
	era       int64                        // of these revisions
	addresses map[string]bool              // of the endpoints; true: not draining
	retained  map[string]bool              // IDs of endpoints that are used although the store has removed them
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

// decodeEndpoints decodes the records that have changed since the last call, and
// returns all endpoints and the revisions of their records. Records of endpoints
// are renewed every few seconds, one by one.
func (e *Edge) decodeEndpoints(v replica.View) (map[string]topology.Endpoint, map[string]int64) {
	e.decoded.mu.Lock()
	previous, known := e.decoded.endpoints, e.decoded.revisions
	if e.decoded.era != v.Era {
		known = nil // revisions of another era
	}
	e.decoded.mu.Unlock()
	current, revisions := make(map[string]topology.Endpoint, len(v.Records)), make(map[string]int64, len(v.Records))
	for _, r := range v.Records {
		if revision, ok := known[r.Name]; ok && revision == r.Revision {
			current[r.Name], revisions[r.Name] = previous[r.Name], revision
			continue
		}
		endpoint, err := e.platform.Decoder.Endpoint(r)
		if err != nil {
			e.log.Log(oplog.StateChange, "endpoint.unreadable", slog.String("endpoint", r.Name), slog.Int64("revision", r.Revision), slog.String("error", err.Error()))
			continue
		}
		current[r.Name], revisions[r.Name] = endpoint, r.Revision
	}
	for _, id := range v.Retained {
		delete(revisions, id) // may be of an older era
	}
	return current, revisions
}

func (e *Edge) applyEndpoints(v replica.View) {
	current, revisions := e.decodeEndpoints(v)
	list := slices.Collect(maps.Values(current))
	e.dispatcher.Update(func(at time.Time, d *dispatch.Dispatcher) { d.SetEndpoints(at, list) })
	e.decoded.mu.Lock()
	previous := e.decoded.endpoints
	e.decoded.endpoints, e.decoded.revisions, e.decoded.era = current, revisions, v.Era
	retainedBefore := e.decoded.retained
	e.decoded.addresses, e.decoded.retained = map[string]bool{}, map[string]bool{}
	for _, id := range v.Retained {
		e.decoded.retained[id] = true
	}
	for _, endpoint := range current {
		e.decoded.addresses[endpoint.Address] = !endpoint.Draining
	}
	e.decoded.mu.Unlock()
	if !maps.EqualFunc(previous, current, func(_, _ topology.Endpoint) bool { return true }) {
		e.setNames()
	}
	e.logEndpoints(previous, current, v)
	for _, id := range v.Retained {
		if !retainedBefore[id] {
			e.log.Log(oplog.StateChange, "endpoint.retained", slog.String("endpoint", id), slog.Int64("revision", v.Revision), slog.String("from", v.Origin))
		}
	}
}

// logEndpoints logs each endpoint that was added, changed or removed.
func (e *Edge) logEndpoints(previous, current map[string]topology.Endpoint, v replica.View) {
	for id, endpoint := range current {
		if before, ok := previous[id]; ok && before == endpoint {
			continue
		}
		e.log.Log(oplog.StateChange, "endpoint.changed", slog.String("endpoint", id), slog.String("address", endpoint.Address), slog.String("service", endpoint.Service),
			slog.String("zone", endpoint.Zone), slog.Bool("draining", endpoint.Draining), slog.Duration("cold_for", endpoint.ColdRemaining),
			slog.Int64("born", endpoint.StartMillis), slog.Int64("revision", v.Revision), slog.String("from", v.Origin))
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
