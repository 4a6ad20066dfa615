package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/grid"
)

// maxColdRouters is the number of routers that may use one cold endpoint. Each
// may send one request at once in addition to its share of the rate, so more
// routers could exceed what the endpoint handles in one second.
const maxColdRouters = 8

// coldMargin covers the network transit time of a request and the age of an
// endpoint record.
const coldMargin = 300 * time.Millisecond

// markCold marks an endpoint as cold for the given time.
func (d *Dispatcher) markCold(ep *endpointState, now time.Time, remaining time.Duration) {
	if remaining > 0 {
		ep.coldUntil = later(ep.coldUntil, now.Add(remaining+coldMargin))
	}
}

// coldDuration returns how long the endpoint is cold after a start.
func (d *Dispatcher) coldDuration(ep *endpointState) time.Duration {
	if s := d.table.Service(ep.Service); s != nil {
		return s.ColdFor
	}
	return 0
}

// coldRate returns the requests per second that this router may send to the
// endpoint while it is cold. The rates of all routers add up to what the
// endpoint handles.
func (d *Dispatcher) coldRate(ep *endpointState) float64 {
	s := d.table.Service(ep.Service)
	if s == nil || s.ColdPerSecond <= 0 {
		return 0
	}
	users := min(len(d.routers), maxColdRouters)
	if ep.coldRank < 0 {
		ep.coldRank = d.coldRank(ep.ID)
	}
	if ep.coldRank >= users {
		return 0
	}
	return s.ColdPerSecond / float64(users)
}

// coldRank returns the rank of this router among all routers for an endpoint,
// by rendezvous hashing. The first ranks may use the endpoint while it is cold.
func (d *Dispatcher) coldRank(id string) int {
	key := xxhash.Sum64String(id)
	own := grid.Weight(key, d.opts.Self)
	rank := 0
	for _, name := range d.routers {
		if name != d.opts.Self && grid.Weight(key, name) > own {
			rank++
		}
	}
	return rank
}

func (ep *endpointState) isCold(now time.Time) bool { return now.Before(ep.coldUntil) }

// coldLimited reports whether the endpoint is cold and its service limits cold
// endpoints.
func (d *Dispatcher) coldLimited(ep *endpointState, now time.Time) bool {
	s := d.table.Service(ep.Service)
	return ep.isCold(now) && s != nil && s.ColdPerSecond > 0
}

// coldAllows reports whether the cold limit allows a request now.
func (d *Dispatcher) coldAllows(ep *endpointState, now time.Time) bool {
	if !d.coldLimited(ep, now) {
		return true
	}
	return d.coldRate(ep) > 0 && !now.Before(ep.nextColdGrant)
}

// recordColdGrant counts a request against the cold limit.
func (d *Dispatcher) recordColdGrant(ep *endpointState, now time.Time) {
	if !d.coldLimited(ep, now) {
		return
	}
	ep.nextColdGrant = now.Add(time.Duration(float64(time.Second) / d.coldRate(ep)))
}

// coldEndpoints returns the cold endpoints with the remaining time, for the
// report to the other routers.
func (d *Dispatcher) coldEndpoints(now time.Time) []ColdReport {
	var out []ColdReport
	for id, ep := range d.endpoints {
		if ep.isCold(now) {
			out = append(out, ColdReport{Endpoint: id, Remaining: ep.coldUntil.Sub(now) - coldMargin, StartMillis: ep.StartMillis})
		}
	}
	slices.SortFunc(out, func(a, b ColdReport) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return out
}
