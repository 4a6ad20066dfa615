package dispatch

import (
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

// Notice is what an endpoint says about itself in a response.
type Notice struct {
	Leaving bool          // it leaves; it wants no further requests
	Pause   time.Duration // it wants no requests of this router for so long; 0: no pause
}

// noticeRetention is how long a notice is kept while the endpoint has no record.
// Records return within seconds of an outage of the store, which may last.
const noticeRetention = time.Hour

// notice is what one incarnation of an endpoint has said. It is kept when the
// endpoint's record lapses, since the record may return while the notice holds.
type notice struct {
	startMillis int64
	leaving     bool
	pausedUntil time.Time
	listedAt    time.Time // last time that the endpoint had a record
}

// RecordNotice applies what the endpoint of a ticket says about itself. It reports
// whether that is new.
func (d *Dispatcher) RecordNotice(now time.Time, t *Ticket, n Notice) bool {
	return d.recordNotice(now, t.Endpoint, n)
}

func (d *Dispatcher) recordNotice(now time.Time, e topology.Endpoint, n Notice) bool {
	old, known := d.notices[e.ID]
	if known && old.startMillis > e.StartMillis {
		return false // of an earlier incarnation
	}
	next := notice{startMillis: e.StartMillis, leaving: n.Leaving, listedAt: now}
	if n.Pause > 0 {
		next.pausedUntil = now.Add(n.Pause)
	}
	if known && old.startMillis == next.startMillis {
		next.leaving = next.leaving || old.leaving
		next.pausedUntil = later(next.pausedUntil, old.pausedUntil)
	}
	d.notices[e.ID] = next
	if next.leaving != old.leaving {
		clear(d.preferred)
	}
	return next.leaving != old.leaving || !now.Before(old.pausedUntil) && n.Pause > 0
}

// saysLeaving reports whether the endpoint has said that it leaves.
func (d *Dispatcher) saysLeaving(ep *endpointState) bool {
	n, ok := d.notices[ep.ID]
	return ok && n.startMillis == ep.StartMillis && n.leaving
}

// pauseEnd returns the end of the pause that the endpoint asked for, or the zero
// time.
func (d *Dispatcher) pauseEnd(ep *endpointState) time.Time {
	if n, ok := d.notices[ep.ID]; ok && n.startMillis == ep.StartMillis {
		return n.pausedUntil
	}
	return time.Time{}
}

// dropNotices drops what endpoints have said that have started again or are gone.
func (d *Dispatcher) dropNotices(now time.Time) {
	for id, n := range d.notices {
		ep, listed := d.endpoints[id]
		switch {
		case listed && ep.StartMillis != n.startMillis, !listed && now.Sub(n.listedAt) >= noticeRetention:
			delete(d.notices, id)
		case listed:
			n.listedAt = now
			d.notices[id] = n
		}
	}
}
