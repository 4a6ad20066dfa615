package dispatch

import (
	"slices"
	"strconv"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/route"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

// crashAnnouncement is a crash that is reported to the other routers in several
// heartbeats.
type crashAnnouncement struct {
	route.Crash
	at       time.Time // when this router learned of it
	fromPeer bool      // reported by another router of the same row
}

// RecordCrash records that an endpoint crashed while it ran a request. It
// reports whether the crash quarantines the request, so that it is refused from
// now on. Crashes of two incarnations of an endpoint count as those of two endpoints.
func (d *Dispatcher) RecordCrash(now time.Time, fingerprint uint64, endpoint topology.Endpoint) bool {
	return d.addCrash(now, route.Crash{Fingerprint: fingerprint, Endpoint: incarnationName(endpoint)}, false)
}

// incarnationName names an incarnation of an endpoint in reports.
func incarnationName(e topology.Endpoint) string {
	if e.StartMillis == 0 {
		return e.ID
	}
	return e.ID + "@" + strconv.FormatInt(e.StartMillis, 10)
}

// Quarantined reports whether a request is refused because it crashed several
// endpoints.
func (d *Dispatcher) Quarantined(now time.Time, fingerprint uint64) bool {
	return d.quarantine.Quarantined(now, fingerprint)
}

func (d *Dispatcher) addCrash(now time.Time, c route.Crash, fromPeer bool) bool {
	if c.Fingerprint == 0 {
		return false
	}
	d.crashes = append(d.crashes, crashAnnouncement{Crash: c, at: now, fromPeer: fromPeer})
	return d.quarantine.RecordCrash(now, c)
}

// mergeCrashes applies the crashes that another router reported. If forward is
// set, this router also reports them to other rows.
func (d *Dispatcher) mergeCrashes(now time.Time, crashes []route.Crash, forward bool) {
	for _, c := range crashes {
		if d.quarantine.HasCrash(now, c) {
			continue
		}
		if forward {
			d.addCrash(now, c, true)
		} else {
			d.quarantine.RecordCrash(now, c)
		}
	}
}

// recentCrashes returns the crashes that other routers may not know yet: those
// recorded by this router or, for a report to other rows, those recorded by its
// whole row.
func (d *Dispatcher) recentCrashes(now time.Time, forOtherRows bool) []route.Crash {
	d.crashes = slices.DeleteFunc(d.crashes, func(c crashAnnouncement) bool { return now.Sub(c.at) > d.announceDuration })
	var out []route.Crash
	for _, c := range d.crashes {
		if forOtherRows || !c.fromPeer {
			c.Age += now.Sub(c.at)
			out = append(out, c.Crash)
		}
	}
	return out
}
