package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/grid"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

const (
	// checkInterval is the time between two health checks of an endpoint by one router.
	// It is short against the second in which a cold endpoint's requests add up.
	checkInterval = 200 * time.Millisecond
	// checkingRouters is how many routers check an endpoint, in case one can't reach it.
	checkingRouters = 2
)

// Health is what an endpoint says about itself in the response to a health check.
type Health struct {
	Endpoint string        // ID of the endpoint that responds; empty: not stated
	Cold     time.Duration // how much longer it is cold; 0: it is not
	Notice
}

// answer is a cached decision.
type answer int8

const (
	unknown answer = iota
	yes
	no
)

// Check is a health check to be made.
type Check struct {
	topology.Endpoint
	Path string
}

// ChecksDue returns the health checks that this router has to make now, while endpoints'
// records may be out of date. live holds the sorted names of the other routers that are
// running. An endpoint in a zone that is out of service is not checked: it counts as cold
// when the zone returns.
func (d *Dispatcher) ChecksDue(now time.Time, live []string) (due []Check) {
	if !slices.Equal(live, d.liveRouters) {
		d.liveRouters = live
		for _, ep := range d.endpoints {
			ep.checker = unknown
		}
	}
	for _, ep := range d.sortedEndpoints {
		s := d.table.Service(ep.Service)
		if s == nil || s.ColdPerSecond <= 0 || s.HealthPath == "" || ep.Draining || ep.misdirected || d.zonesOut[ep.Zone] || d.saysLeaving(ep) || !d.mayUse(ep) {
			continue
		}
		if now.Before(ep.pausedUntil) || now.Before(d.pauseEnd(ep)) {
			continue
		}
		if ep.isCold(now) || now.Before(ep.nextCheck) || !d.checks(ep) {
			continue
		}
		ep.nextCheck = now.Add(checkInterval)
		due = append(due, Check{Endpoint: ep.Endpoint, Path: s.HealthPath})
	}
	return due
}

// checks reports whether this router is among the first of the live ones for an
// endpoint, by rendezvous hashing.
func (d *Dispatcher) checks(ep *endpointState) bool {
	if ep.checker == unknown {
		key := xxhash.Sum64String(ep.ID)
		own := grid.Weight(key, d.opts.Self)
		higher := 0
		for _, name := range d.liveRouters {
			if name != d.opts.Self && grid.Weight(key, name) > own {
				higher++
			}
		}
		ep.checker = no
		if higher < checkingRouters {
			ep.checker = yes
		}
	}
	return ep.checker == yes
}

// RecordHealth applies the response to a health check, and reports whether it changes
// where requests may go. A response of another endpoint says that the address has changed
// hands.
func (d *Dispatcher) RecordHealth(now time.Time, checked topology.Endpoint, h Health) (isNew bool) {
	ep, ok := d.endpoints[checked.ID]
	if !ok || ep.Incarnation() != checked.Incarnation() || ep.Address != checked.Address {
		return false
	}
	switch h.Endpoint {
	case "": // rejected; a full endpoint need not say who it is
		h.Cold, h.Leaving = 0, false
	case ep.ID:
	default:
		isNew = !ep.misdirected
		ep.misdirected = true
		clear(d.preferred)
		return isNew
	}
	isNew = h.Cold > 0 && !ep.isCold(now)
	d.markCold(ep, now, h.Cold)
	if h.Leaving || h.Pause > 0 {
		isNew = d.recordNotice(now, ep.Endpoint, h.Notice) || isNew
	}
	return isNew
}
