package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/grid"
)

// maxColdRouters is how many routers may use one cold endpoint. Each of them may
// send one request at once beside its part of the rate, so more of them could
// exceed what the endpoint bears in one second.
const maxColdRouters = 8

// coldMargin covers the way of a request and the age of an entry.
const coldMargin = 300 * time.Millisecond

// markCold notes that an endpoint is cold for some time from now on.
func (d *Dispatcher) markCold(b *endpointState, now time.Time, left time.Duration) {
	if left > 0 {
		b.coldUntil = later(b.coldUntil, now.Add(left+coldMargin))
	}
}

// coldDuration returns how long the endpoint is cold after a start.
func (d *Dispatcher) coldDuration(b *endpointState) time.Duration {
	if s := d.table.Service(b.Service); s != nil {
		return s.ColdFor
	}
	return 0
}

// coldRate returns the requests a second that this router may send to the
// endpoint while it is cold. The routers' rates sum up to what it bears.
func (d *Dispatcher) coldRate(b *endpointState) float64 {
	s := d.table.Service(b.Service)
	if s == nil || s.ColdPerSecond <= 0 {
		return 0
	}
	users := min(len(d.routers), maxColdRouters)
	if b.coldRank < 0 {
		b.coldRank = d.coldRank(b.ID)
	}
	if b.coldRank >= users {
		return 0
	}
	return s.ColdPerSecond / float64(users)
}

// coldRank returns this router's place among all routers for an endpoint.
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

func (b *endpointState) isCold(now time.Time) bool { return now.Before(b.coldUntil) }

// coldLimited reports whether the cold limit of the endpoint's service
// applies to it.
func (d *Dispatcher) coldLimited(b *endpointState, now time.Time) bool {
	s := d.table.Service(b.Service)
	return b.isCold(now) && s != nil && s.ColdPerSecond > 0
}

// coldAllows reports whether the cold limit allows a request now.
func (d *Dispatcher) coldAllows(b *endpointState, now time.Time) bool {
	if !d.coldLimited(b, now) {
		return true
	}
	return d.coldRate(b) > 0 && !now.Before(b.nextColdGrant)
}

// recordColdGrant counts a request against the cold limit.
func (d *Dispatcher) recordColdGrant(b *endpointState, now time.Time) {
	if !d.coldLimited(b, now) {
		return
	}
	b.nextColdGrant = now.Add(time.Duration(float64(time.Second) / d.coldRate(b)))
}

// ColdEndpoints returns the endpoints that are cold, with the time left, for
// the report to the other routers.
func (d *Dispatcher) coldEndpoints(now time.Time) []ColdReport {
	var out []ColdReport
	for id, b := range d.endpoints {
		if b.isCold(now) {
			out = append(out, ColdReport{Endpoint: id, Remaining: b.coldUntil.Sub(now) - coldMargin, StartMillis: b.StartMillis})
		}
	}
	slices.SortFunc(out, func(a, b ColdReport) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return out
}
