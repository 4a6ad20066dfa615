package dispatch

import (
	"slices"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/route"
)

// crashAnnouncement is a crash that is told to the other routers for some beats.
type crashAnnouncement struct {
	route.Crash
	at       time.Time // when this router noted it
	fromPeer bool      // from another router of this router's row
}

// RecordCrash notes that an endpoint broke off while it ran a request. It reports
// whether the request, one that crashes what runs it, is refused from now on.
func (d *Dispatcher) RecordCrash(now time.Time, fingerprint uint64, endpoint string) bool {
	return d.addCrash(now, route.Crash{Fingerprint: fingerprint, Endpoint: endpoint}, false)
}

// Quarantined reports whether a request has crashed several endpoints.
func (d *Dispatcher) Quarantined(now time.Time, fingerprint uint64) bool {
	return d.quarantine.Quarantined(now, fingerprint)
}

func (d *Dispatcher) addCrash(now time.Time, c route.Crash, heard bool) bool {
	if c.Fingerprint == 0 {
		return false
	}
	d.crashes = append(d.crashes, crashAnnouncement{Crash: c, at: now, fromPeer: heard})
	return d.quarantine.RecordCrash(now, c)
}

// mergeCrashes takes over what another router noted; tell says that the other
// rows have to hear of it from this one.
func (d *Dispatcher) mergeCrashes(now time.Time, crashes []route.Crash, tell bool) {
	for _, c := range crashes {
		if d.quarantine.HasCrash(c) {
			continue
		}
		if tell {
			d.addCrash(now, c, true)
		} else {
			d.quarantine.RecordCrash(now, c)
		}
	}
}

// recentCrashes returns the crashes that the other routers may not know: those
// noted here, or by the whole row.
func (d *Dispatcher) recentCrashes(now time.Time, row bool) []route.Crash {
	d.crashes = slices.DeleteFunc(d.crashes, func(c crashAnnouncement) bool { return now.Sub(c.at) > d.announceDuration })
	var out []route.Crash
	for _, c := range d.crashes {
		if row || !c.fromPeer {
			c.Age += now.Sub(c.at)
			out = append(out, c.Crash)
		}
	}
	return out
}
