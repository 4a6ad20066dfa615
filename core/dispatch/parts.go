package dispatch

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/route"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

const (
	// partReportDuration is how long a crash or a sound part is reported. It spans
	// several heartbeats, also of a large fleet.
	partReportDuration = 2 * time.Second
	// maxReportedParts limits the crashes, and the sound parts, in one report.
	maxReportedParts = 64
)

// soundAnnouncement is a prompt part that other routers may suspect without reason.
type soundAnnouncement struct {
	begun    time.Time // when a response with the part began
	at       time.Time // when this router had reason to report it
	fromPeer bool      // reported by another router of the same row
}

// sharedPartIDs returns the parts of a prompt that other requests may have.
func sharedPartIDs(parts []PromptPart) []uint64 {
	if len(parts) < 2 {
		return nil
	}
	ids := make([]uint64, 0, len(parts)-1)
	for _, p := range parts[:len(parts)-1] {
		ids = append(ids, p.ID)
	}
	return ids
}

// incarnationKey identifies an incarnation of an endpoint in reports.
func incarnationKey(e topology.Endpoint) uint64 {
	return xxhash.Sum64String(e.ID + "@" + strconv.FormatInt(e.StartMillis, 10))
}

// RecordBegun records that the response to the request of a ticket has begun, so
// none of the parts that it shares with others crashes endpoints before.
func (d *Dispatcher) RecordBegun(now time.Time, t *Ticket) {
	for _, p := range sharedPartIDs(t.Request.Parts) {
		d.recordSound(now, p)
	}
}

// RecordCompleted records that the response to the request of a ticket is complete, so
// neither a part that it shares with others nor, without a body, the request itself
// crashes endpoints.
func (d *Dispatcher) RecordCompleted(now time.Time, t *Ticket) {
	shared := sharedPartIDs(t.Request.Parts)
	if len(shared) > 0 {
		d.parts.CountResponse(now, false)
	}
	for _, p := range shared {
		d.recordSound(now, route.AfterBegin(p))
	}
	if t.Request.Resource != 0 {
		d.recordSound(now, t.Request.Resource)
	}
}

func (d *Dispatcher) recordSound(now time.Time, part uint64) {
	if d.parts.RecordBegun(now, part) {
		d.soundParts[part] = soundAnnouncement{begun: now, at: now}
	}
}

// RecordResourceCrash records that an endpoint crashed while it ran a request without a
// body, whose response was not complete.
func (d *Dispatcher) RecordResourceCrash(now time.Time, t *Ticket) {
	if t.Request.Resource != 0 {
		d.parts.RecordCrash(now, route.PartCrash{Part: t.Request.Resource, Endpoint: incarnationKey(t.Endpoint)})
	}
}

// ResourceBlocked reports whether requests without a body that ask for the resource may
// not be sent now because they crashed several endpoints.
func (d *Dispatcher) ResourceBlocked(now time.Time, resource uint64) bool {
	return resource != 0 && d.parts.ResourceBlocked(now, resource)
}

// ResourceQuarantined reports whether no request without a body that asks for the
// resource is sent.
func (d *Dispatcher) ResourceQuarantined(now time.Time, resource uint64) bool {
	return resource != 0 && d.parts.ResourceQuarantined(now, resource)
}

// RecordPartCrash records that the endpoint of a ticket crashed before or, if the
// response had begun, while it wrote the rest. A crash before the response counts among
// those after it began too, once there is one: the responses that began since clear
// nothing then. It returns the parts of the prompt that may be the cause.
func (d *Dispatcher) RecordPartCrash(now time.Time, t *Ticket, begun bool) (suspects []uint64) {
	shared := sharedPartIDs(t.Request.Parts)
	if begun && len(shared) > 0 {
		d.parts.CountResponse(now, true)
	}
	for _, p := range shared {
		later := route.AfterBegin(p)
		counts := false
		if !begun {
			counts = d.parts.RecordCrash(now, route.PartCrash{Part: p, Endpoint: incarnationKey(t.Endpoint)})
		}
		if begun || d.parts.HasCrashes(later) {
			counts = d.parts.RecordCrash(now, route.PartCrash{Part: later, Endpoint: incarnationKey(t.Endpoint)}) || counts
		}
		if counts {
			suspects = append(suspects, p)
		}
	}
	return suspects
}

// PartBlocked returns a part of the prompt that seems to crash endpoints, because of
// which a request may not be sent now.
func (d *Dispatcher) PartBlocked(now time.Time, parts []PromptPart) (part uint64, blocked bool) {
	return d.parts.Blocked(now, sharedPartIDs(parts))
}

// hasQuarantinedPart reports whether no request like this one, or with one of its shared
// parts, is sent.
func (d *Dispatcher) hasQuarantinedPart(now time.Time, r *Request) bool {
	if d.ResourceQuarantined(now, r.Resource) {
		return true
	}
	for i := 0; i+1 < len(r.Parts); i++ {
		if d.parts.Quarantined(now, r.Parts[i].ID) {
			return true
		}
	}
	return false
}

// recentSoundParts returns the parts that this router knows to be sound and others
// may suspect or, for a report to other rows, those that its row knows. What it
// heard from another row is not passed on: each hop would make it seem newer.
func (d *Dispatcher) recentSoundParts(now time.Time, forOtherRows bool) []route.SoundPart {
	var out []route.SoundPart
	for p, a := range d.soundParts {
		if now.Sub(a.at) >= partReportDuration {
			delete(d.soundParts, p)
		} else if forOtherRows || !a.fromPeer {
			out = append(out, route.SoundPart{Part: p, Age: max(0, now.Sub(a.begun))})
		}
	}
	slices.SortFunc(out, func(a, b route.SoundPart) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Part, b.Part))
	})
	return out[:min(len(out), maxReportedParts)]
}

// mergeParts applies the crashes and sound parts of another router's or row's
// report. Where this router has seen a response that is newer than a crash, its next
// reports say so.
func (d *Dispatcher) mergeParts(now time.Time, r Report, forward bool) {
	for _, s := range r.SoundParts {
		d.parts.RecordSound(now, s)
		if a, ok := d.soundParts[s.Part]; forward && (!ok || a.fromPeer) {
			d.soundParts[s.Part] = soundAnnouncement{begun: now.Add(-s.Age), at: now, fromPeer: true}
		}
	}
	for _, c := range r.PartCrashes {
		if age, ok := d.parts.Refutes(now, c); ok {
			d.soundParts[c.Part] = soundAnnouncement{begun: now.Add(-age), at: now}
			continue
		}
		d.parts.RecordCrash(now, c)
	}
}
