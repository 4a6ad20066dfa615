package dispatch

import (
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

const (
	// breakWindow is the time within which the connections of one endpoint, or of
	// several, count as broken by the same event.
	breakWindow = 250 * time.Millisecond
	// minBroken is how many connections of an endpoint must have broken to suspect
	// that it started again. Sound endpoints reset single connections.
	minBroken = 2
)

// connectionBreaks is a series of requests at an endpoint whose connections broke,
// with no sign of life on a connection from before the series.
type connectionBreaks struct {
	series      int // number of the newest series
	broken      int // in the series; 0: it is over
	last        time.Time
	newer       int       // requests in progress that were granted during the series
	allBrokenAt time.Time // when no connection from before a series was left; zero: never
}

// isNewer reports whether a ticket was granted during the series.
func (b *connectionBreaks) isNewer(t *Ticket) bool { return b.broken > 0 && t.breakSeries == b.series }

// grant counts a granted request.
func (b *connectionBreaks) grant(t *Ticket) {
	if b.broken > 0 {
		t.breakSeries = b.series
		b.newer++
	}
}

// release removes a finished request from those in progress.
func (b *connectionBreaks) release(t *Ticket) {
	if b.isNewer(t) {
		b.newer--
	}
}

// alive records a sign of life on the connection of a request.
func (b *connectionBreaks) alive(t *Ticket) {
	if !b.isNewer(t) {
		b.broken, b.newer = 0, 0
	}
}

// add counts a request, released before, whose connection broke. active is the number
// of those in progress. It reports whether none from before the series is left.
func (b *connectionBreaks) add(now time.Time, t *Ticket, active int) bool {
	if b.broken > 0 && now.Sub(b.last) > breakWindow {
		b.broken, b.newer = 0, 0
	}
	if b.isNewer(t) {
		return false
	}
	if b.broken == 0 {
		b.series++
	}
	b.broken++
	b.last = now
	return b.broken >= minBroken && active == b.newer
}

// recordBreak records that the connection of a finished request broke. An endpoint
// that has lost all of them may have started again, and counts as cold before its
// record says so. Breaks in several zones at a time are those of the network or of
// this router.
func (d *Dispatcher) recordBreak(now time.Time, ep *endpointState, t *Ticket) {
	if !ep.breaks.add(now, t, ep.ownLoad.Active) {
		return
	}
	ep.breaks.allBrokenAt = now
	ep.cold.suspected = now.Add(d.coldDuration(ep) + coldMargin)
	ofNetwork := false
	for _, other := range d.endpoints {
		if at := other.breaks.allBrokenAt; other.Zone != ep.Zone && !at.IsZero() && now.Sub(at) <= breakWindow {
			other.cold.suspected, ofNetwork = time.Time{}, true
		}
	}
	if ofNetwork {
		ep.cold.suspected = time.Time{}
	}
}

// succeedIncarnation keeps what still holds of the state of an endpoint that has
// started again at its address. Failed connects may have been to the new process; it has
// started by now, and so is cold for no longer than from now on.
func (d *Dispatcher) succeedIncarnation(now time.Time, ep, old *endpointState) {
	if old.Address != ep.Address || old.Service != ep.Service {
		return
	}
	longest := now.Add(d.coldDuration(ep) + coldMargin)
	ep.cold.observed, ep.nextColdGrant = earlier(old.cold.observed, longest), old.nextColdGrant
}

// restarted reports whether a record describes another process than the state known.
func restarted(known, e *topology.Endpoint) bool {
	return known.Incarnation() != e.Incarnation() || known.Service != e.Service || known.Address != e.Address
}
