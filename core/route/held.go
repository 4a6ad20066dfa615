package route

import (
	"cmp"
	"slices"
	"time"
)

// HeldKind says what is held back.
type HeldKind int

// The kinds of what is held back.
const (
	HeldRequest HeldKind = iota + 1 // a request, by its fingerprint
	HeldPart                        // a prompt part, by its ID or that of AfterBegin, or a resource
)

// Held is a request or a prompt part that is held back because it crashed endpoints,
// with the evidence. It outlives the routers that found it.
type Held struct {
	Kind     HeldKind
	ID       uint64
	WasSound bool // a response with the part is on record, older than the crashes
	Crashes  []HeldCrash
}

// HeldCrash is one crash of an endpoint: of the endpoint's ID for a request, of the key
// of its incarnation for a part.
type HeldCrash struct {
	Endpoint    string
	EndpointKey uint64
	Age         time.Duration
}

// LastAge returns the time since the newest crash.
func (h Held) LastAge() time.Duration {
	return slices.MinFunc(h.Crashes, func(a, b HeldCrash) int { return cmp.Compare(a.Age, b.Age) }).Age
}

// compareHeld orders by the newest crash, the last one first.
func compareHeld(a, b Held) int {
	return cmp.Or(cmp.Compare(a.LastAge(), b.LastAge()), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID))
}

// Held returns the requests in quarantine.
func (q *Quarantine) Held(now time.Time) (out []Held) {
	for fingerprint, s := range q.suspects {
		if s.second == "" || s.expired(now) {
			continue
		}
		out = append(out, Held{Kind: HeldRequest, ID: fingerprint, Crashes: []HeldCrash{
			{Endpoint: s.first, Age: max(0, now.Sub(s.firstAt))}, {Endpoint: s.second, Age: max(0, now.Sub(s.secondAt))}}})
	}
	slices.SortFunc(out, compareHeld)
	return out
}

// Restore adds the crashes of a request that was held back.
func (q *Quarantine) Restore(now time.Time, h Held) {
	for _, c := range h.Crashes {
		q.RecordCrash(now, Crash{Fingerprint: h.ID, Endpoint: c.Endpoint, Age: c.Age})
	}
}

// Held returns the parts and resources that are held back.
func (q *PartQuarantine) Held(now time.Time) (out []Held) {
	for part, s := range q.suspects {
		if !s.atLeast(min(PartSuspectCrashes, ResourceQuarantineCrashes), now) {
			continue
		}
		h := Held{Kind: HeldPart, ID: part, WasSound: s.wasSound}
		for _, c := range s.crashes {
			h.Crashes = append(h.Crashes, HeldCrash{EndpointKey: c.endpoint, Age: max(0, now.Sub(c.at))})
		}
		out = append(out, h)
	}
	slices.SortFunc(out, compareHeld)
	return out
}

// Restore adds the crashes of a part that was held back, unless a response with it is on
// record since.
func (q *PartQuarantine) Restore(now time.Time, h Held) {
	if h.WasSound {
		oldest := slices.MaxFunc(h.Crashes, func(a, b HeldCrash) int { return cmp.Compare(a.Age, b.Age) }).Age
		q.RecordSound(now, SoundPart{Part: h.ID, Age: oldest + time.Millisecond})
	}
	for _, c := range h.Crashes {
		q.RecordCrash(now, PartCrash{Part: h.ID, Endpoint: c.EndpointKey, Age: c.Age})
	}
}
