// Package route chooses the endpoint of a pool for a request and quarantines
// requests that crash endpoints. Which service or pool handles a path is decided
// earlier, by topology.Route or package manifest.
//
// Endpoints in the availability zone of the router that will connect are
// preferred, then those with the least load. Within a zone, the endpoint that
// probably has the prompt prefix cached is chosen if its load exceeds the
// least load by no more than the table's slack.
package route

// DefaultSlack is the fraction of its limit by which the load of the endpoint
// that holds the prefix may exceed the least load.
const DefaultSlack = 0.5

// Endpoint is the state of an endpoint that routing depends on. Call
// Table.Update after a change of Busy or Limit.
type Endpoint struct {
	Name  string
	Zone  string
	Busy  int // slots in use
	Limit int // slots that may be in use now

	pos int // index in the heap of its zone, or notInHeap
}

// load returns the fraction of the limit that is in use.
func (e *Endpoint) load() float64 { return float64(e.Busy) / float64(e.Limit) }

func (e *Endpoint) free() bool { return e.Busy < e.Limit }

// Request holds the properties of a request that routing depends on.
type Request struct {
	Zone   string // of the router that will connect
	Prefix uint64 // hash of the prompt prefix; 0: none
}

// Table indexes the endpoints of a pool that have a free slot. It is not safe
// for concurrent use.
type Table struct {
	zones    []*zoneHeap
	free     int // endpoints with a free slot
	prefixes *prefixCache
	slack    float64
}

// NewTable returns an empty table that caches the holders of the given number
// of prefixes. slack is described at DefaultSlack.
func NewTable(prefixes int, slack float64) *Table {
	return &Table{prefixes: newPrefixCache(prefixes), slack: slack}
}

// Add inserts an endpoint.
func (t *Table) Add(e *Endpoint) {
	e.pos = notInHeap
	t.Update(e)
}

// Update applies a change of Busy or Limit.
func (t *Table) Update(e *Endpoint) {
	z := t.zone(e.Zone)
	switch {
	case e.free() && e.pos == notInHeap:
		z.push(e)
		t.free++
	case e.free():
		z.fix(e)
	case e.pos != notInHeap:
		z.remove(e)
		t.free--
	}
}

// Remove removes an endpoint but keeps its prefixes in case it is added
// again. If it won't be, call ForgetPrefixes too.
func (t *Table) Remove(e *Endpoint) {
	if e.pos != notInHeap {
		t.zone(e.Zone).remove(e)
		t.free--
	}
}

// Free returns the number of endpoints with a free slot.
func (t *Table) Free() int { return t.free }

// Choose returns the best endpoint with a free slot, or nil if there is none.
func (t *Table) Choose(req Request) *Endpoint {
	best := t.leastLoaded(req.Zone)
	if best == nil || req.Prefix == 0 {
		return best
	}
	if e := t.prefixes.get(req.Prefix); e != nil && t.hasAffinity(e, best) {
		return e
	}
	return best
}

// ChooseFunc returns the best endpoint with a free slot for which eligible
// returns true, or nil if there is none. It ignores prefixes and scans all
// endpoints, so it is meant for the few requests that can't use every
// endpoint.
func (t *Table) ChooseFunc(req Request, eligible func(*Endpoint) bool) *Endpoint {
	var best *Endpoint
	for _, z := range t.zones {
		for _, e := range z.endpoints {
			if eligible(e) && (best == nil || better(req, e, best)) {
				best = e
			}
		}
	}
	return best
}

// RecordPrefix records that the endpoint computes a request with the prefix
// and therefore will have it cached.
func (t *Table) RecordPrefix(prefix uint64, e *Endpoint) {
	if prefix != 0 {
		t.prefixes.put(prefix, e)
	}
}

// ForgetPrefix handles a notification that an endpoint evicted a prefix from
// its cache. Such notifications may arrive late or not at all: a stale entry
// only costs a slower first token.
func (t *Table) ForgetPrefix(prefix uint64, e *Endpoint) { t.prefixes.clearHolder(prefix, e) }

// ForgetPrefixes records that an endpoint has lost its whole cache.
func (t *Table) ForgetPrefixes(e *Endpoint) { t.prefixes.clearAll(e) }

// leastLoaded returns the least loaded endpoint with a free slot of the zone
// or, if the zone has none, of all zones.
func (t *Table) leastLoaded(zone string) *Endpoint {
	var best *Endpoint
	for _, z := range t.zones {
		if len(z.endpoints) == 0 {
			continue
		}
		if z.zone == zone {
			return z.endpoints[0]
		}
		if best == nil || less(z.endpoints[0], best) {
			best = z.endpoints[0]
		}
	}
	return best
}

// hasAffinity reports whether e, which holds the prefix, is preferred to the
// least loaded endpoint.
func (t *Table) hasAffinity(e, best *Endpoint) bool {
	return e.pos != notInHeap && e.Zone == best.Zone && e.load() <= best.load()+t.slack
}

func better(req Request, a, b *Endpoint) bool {
	if aLocal, bLocal := a.Zone == req.Zone, b.Zone == req.Zone; aLocal != bLocal {
		return aLocal
	}
	return less(a, b)
}

func (t *Table) zone(name string) *zoneHeap {
	for _, z := range t.zones {
		if z.zone == name {
			return z
		}
	}
	z := &zoneHeap{zone: name}
	t.zones = append(t.zones, z)
	return z
}
