package topology

import (
	"maps"
	"time"
)

// departureMemory is how long an endpoint that has left is remembered. A copy from
// which a store is restored is some seconds old.
const departureMemory = 2 * time.Minute

// Departures remembers the endpoints that were seen to leave. The zero value
// remembers none.
type Departures struct {
	left map[string]departure // by endpoint ID
}

type departure struct {
	startMillis int64 // of the endpoint's process
	at          time.Time
}

// Reconcile returns the endpoints to use, given those used so far and those that the
// store lists. For the unconfirmed ones, whose entries may be older than what was
// known before, what is known binds: an endpoint that has left stays away, one that
// is draining stays so, and the newer of two processes is the one that runs.
func (d *Departures) Reconcile(now time.Time, used, listed map[string]Endpoint, unconfirmed []string) map[string]Endpoint {
	out := maps.Clone(listed)
	for _, id := range unconfirmed {
		entry, ok := listed[id]
		if !ok {
			continue
		}
		if known, ok := used[id]; ok {
			out[id] = merge(known, entry)
		} else if left, ok := d.left[id]; ok && entry.StartMillis <= left.startMillis {
			delete(out, id)
		}
	}
	d.update(now, used, out)
	return out
}

// merge returns the state of an endpoint of which one state was known and an entry
// describes another, in no known order: that of the newer process and, if both are of
// the same one, what is known with all that limits its use.
func merge(known, entry Endpoint) Endpoint {
	switch {
	case entry.StartMillis > known.StartMillis:
		return entry
	case entry.StartMillis < known.StartMillis:
		return known
	}
	known.Draining = known.Draining || entry.Draining
	known.ColdRemaining = max(known.ColdRemaining, entry.ColdRemaining)
	return known
}

// update remembers the endpoints that are no longer used, and forgets those that are
// used again or left long ago.
func (d *Departures) update(now time.Time, before, after map[string]Endpoint) {
	if d.left == nil {
		d.left = map[string]departure{}
	}
	for id, endpoint := range before {
		if _, ok := after[id]; !ok {
			d.left[id] = departure{startMillis: endpoint.StartMillis, at: now}
		}
	}
	maps.DeleteFunc(d.left, func(id string, left departure) bool {
		_, back := after[id]
		return back || now.Sub(left.at) > departureMemory
	})
}
