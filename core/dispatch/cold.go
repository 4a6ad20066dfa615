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

// coldWindow is the time over which the requests to a cold endpoint add up.
const coldWindow = time.Second

// coldMark says until when an endpoint is cold, by who observed it. A report does
// not account for its time in transit, so every router that passes a mark on
// lengthens it. Each router therefore reports only what it observed itself, or to
// other rows what its row observed, and never what it heard from another row.
type coldMark struct {
	observed time.Time // by this router
	row      time.Time // by another router of its row
	other    time.Time // by a router of another row
	// suspected is set by this router while the endpoint may have started again.
	suspected time.Time
}

func (m coldMark) until() time.Time {
	return later(later(m.observed, m.suspected), later(m.row, m.other))
}

// markCold records that this router observed an endpoint to be cold for the given
// time.
func (d *Dispatcher) markCold(ep *endpointState, now time.Time, remaining time.Duration) {
	if remaining > 0 {
		ep.cold.observed = later(ep.cold.observed, now.Add(remaining+coldMargin))
	}
}

// mergeCold applies the cold endpoints that another router or row reported.
func (d *Dispatcher) mergeCold(now time.Time, reports []ColdReport, fromRow bool) {
	for _, c := range reports {
		ep, ok := d.endpoints[c.Endpoint]
		if !ok || ep.StartMillis != c.StartMillis || c.Remaining <= 0 {
			continue
		}
		until := now.Add(c.Remaining + coldMargin)
		if fromRow {
			ep.cold.row = later(ep.cold.row, until)
		} else {
			ep.cold.other = later(ep.cold.other, until)
		}
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

func (ep *endpointState) isCold(now time.Time) bool { return now.Before(ep.cold.until()) }

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

// recordColdGrant counts a request against the cold limit. Those to an endpoint that is
// not known to be cold count too, up to coldWindow: it may have turned cold before.
func (d *Dispatcher) recordColdGrant(ep *endpointState, now time.Time) {
	rate := d.coldRate(ep)
	if rate <= 0 {
		return
	}
	gap := time.Duration(float64(time.Second) / rate)
	if d.coldLimited(ep, now) {
		ep.nextColdGrant = now.Add(gap)
		return
	}
	ep.nextColdGrant = earlier(later(ep.nextColdGrant, now).Add(gap), now.Add(max(gap, coldWindow)))
}

// coldEndpoints returns the endpoints that this router observed to be cold, with
// the remaining time, for the report to the other routers. A report to other rows
// includes what the whole row observed.
func (d *Dispatcher) coldEndpoints(now time.Time, forOtherRows bool) []ColdReport {
	var out []ColdReport
	for id, ep := range d.endpoints {
		until := ep.cold.observed
		if now.Sub(ep.breaks.allBrokenAt) > breakWindow { // no longer withdrawn
			until = later(until, ep.cold.suspected)
		}
		if forOtherRows {
			until = later(until, ep.cold.row)
		}
		if now.Add(coldMargin).Before(until) {
			out = append(out, ColdReport{Endpoint: id, Remaining: until.Sub(now) - coldMargin, StartMillis: ep.StartMillis})
		}
	}
	slices.SortFunc(out, func(a, b ColdReport) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return out
}
