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

// decodedRecords are the decoded records, kept to log what changes.
type decodedRecords struct {
	mu        sync.Mutex
	version   int64
	endpoints map[string]topology.Endpoint
	addresses map[string]bool
}

// usesAddress reports whether an endpoint that may get requests has the
// address.
func (b *decodedRecords) usesAddress(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addresses[address]
}

// handleChange takes over a collection that has handleChange.
func (e *Edge) handleChange(kind replica.Kind, v replica.View) {
	if v.Origin == replica.OriginStore {
		e.mesh.TriggerSend() // what other routers told, they also tell the rest
	}
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
	c, ok, err := e.platform.Decoder.Config(v.Records)
	if err != nil {
		e.log.Log(oplog.StateChange, "config.unreadable", slog.Int64("revision", v.Revision), slog.String("from", v.Origin), slog.String("error", err.Error()))
		return
	}
	if !ok {
		return
	}
	e.decoded.mu.Lock()
	old := e.decoded.version
	e.decoded.version = max(old, c.Version)
	e.decoded.mu.Unlock()
	if c.Version <= old {
		return
	}
	table := topology.NewTable(c)
	e.dispatcher.Update(func(_ time.Time, core *dispatch.Dispatcher) {
		core.SetTable(table)
		e.pool.SetMaxIdle(core.IdleConnections())
	})
	e.relay.SetTable(table)
	metrics.GetOrCreateGauge("cyclamenwinch_config_version", nil).Set(float64(c.Version))
	e.log.Log(oplog.StateChange, "config.in_force", slog.Int64("version", c.Version), slog.Int64("old_version", old), slog.Int64("revision", v.Revision),
		slog.String("from", v.Origin), slog.Int("routes", len(c.Routes)), slog.Int("accounts", len(c.Accounts)))
}

func (e *Edge) applyEndpoints(v replica.View) {
	now := map[string]topology.Endpoint{}
	for _, r := range v.Records {
		endpoint, err := e.platform.Decoder.Endpoint(r)
		if err != nil {
			e.log.Log(oplog.StateChange, "endpoint.unreadable", slog.String("endpoint", r.Name), slog.Int64("revision", r.Revision), slog.String("error", err.Error()))
			continue
		}
		now[r.Name] = endpoint
	}
	list := slices.Collect(maps.Values(now))
	e.dispatcher.Update(func(at time.Time, core *dispatch.Dispatcher) { core.SetEndpoints(at, list) })
	e.decoded.mu.Lock()
	old := e.decoded.endpoints
	e.decoded.endpoints = now
	e.decoded.addresses = map[string]bool{}
	for _, endpoint := range now {
		e.decoded.addresses[endpoint.Address] = !endpoint.Draining
	}
	e.decoded.mu.Unlock()
	e.logEndpoints(old, now, v)
}

// logEndpoints logs each endpoint that came, changed or went.
func (e *Edge) logEndpoints(old, now map[string]topology.Endpoint, v replica.View) {
	for id, endpoint := range now {
		if was, ok := old[id]; ok && was == endpoint {
			continue
		}
		e.log.Log(oplog.StateChange, "endpoint.changed", slog.String("endpoint", id), slog.String("address", endpoint.Address), slog.String("service", endpoint.Service),
			slog.String("zone", endpoint.Zone), slog.Bool("draining", endpoint.Draining), slog.Duration("cold_for", endpoint.ColdRemaining),
			slog.Int64("born", endpoint.StartMillis), slog.Int64("revision", v.Revision), slog.String("from", v.Origin))
	}
	for id := range old {
		if _, ok := now[id]; !ok {
			e.log.Log(oplog.StateChange, "endpoint.gone", slog.String("endpoint", id), slog.Int64("revision", v.Revision), slog.String("from", v.Origin))
		}
	}
}

func (e *Edge) applyZonesOut(v replica.View) {
	zones := map[string]bool{}
	for _, r := range v.Records {
		zones[e.platform.Decoder.ZoneOut(r)] = true
	}
	e.dispatcher.Update(func(at time.Time, core *dispatch.Dispatcher) { core.SetZonesOut(at, zones) })
	e.log.Log(oplog.StateChange, "zones.out", slog.Any("zones", slices.Sorted(maps.Keys(zones))), slog.Int64("revision", v.Revision), slog.String("from", v.Origin))
}
