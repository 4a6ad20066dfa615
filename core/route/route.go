// Package route chooses the endpoint for a request and remembers which
// requests crash endpoints.
//
// The order is: availability zone of the router that will connect, then
// load, then the prompt prefix that an endpoint probably holds. A prefix
// outweighs a difference of load up to the table's slack.
package route

// DefaultSlack is the part of an endpoint's limit by which the load of the
// one that holds the prefix may exceed the least load.
const DefaultSlack = 0.5

// Endpoint is the part of an endpoint's state that the choice reads. After a
// change of Busy or Limit its table must be updated.
type Endpoint struct {
	Name  string
	Zone  string
	Busy  int // slots in use
	Limit int // slots it may use now

	pos int // in its zone's heap, or absent
}

// load is the part of the limit in use.
func (e *Endpoint) load() float64 { return float64(e.Busy) / float64(e.Limit) }

func (e *Endpoint) free() bool { return e.Busy < e.Limit }

// Request is what the choice needs to know of a request.
type Request struct {
	Zone   string // of the router that will connect
	Prefix uint64 // hash of the prompt's start; 0: none
}

// Table holds the endpoints of a pool that have a free slot. It is not safe
// for concurrent use.
type Table struct {
	zones    []*zone
	free     int // endpoints with a free slot
	prefixes *prefixes
	slack    float64
}

// NewTable returns an empty table that remembers the given number of
// prefixes and lets a prefix outweigh slack, a part of an endpoint's limit.
func NewTable(prefixes int, slack float64) *Table {
	return &Table{prefixes: newPrefixes(prefixes), slack: slack}
}

// Add puts an endpoint into the table.
func (t *Table) Add(e *Endpoint) {
	e.pos = absent
	t.Update(e)
}

// Update takes in a changed Busy or Limit.
func (t *Table) Update(e *Endpoint) {
	z := t.zone(e.Zone)
	switch {
	case e.free() && e.pos == absent:
		z.push(e)
		t.free++
	case e.free():
		z.fix(e)
	case e.pos != absent:
		z.remove(e)
		t.free--
	}
}

// Remove takes an endpoint out. Its prefixes stay known in case it is added
// again; otherwise call Cleared.
func (t *Table) Remove(e *Endpoint) {
	if e.pos != absent {
		t.zone(e.Zone).remove(e)
		t.free--
	}
}

// Free returns the number of endpoints with a free slot.
func (t *Table) Free() int { return t.free }

// Choose returns the best endpoint with a free slot, or nil.
func (t *Table) Choose(req Request) *Endpoint {
	best := t.least(req.Zone)
	if best == nil || req.Prefix == 0 {
		return best
	}
	if e := t.prefixes.get(req.Prefix); e != nil && t.affine(e, best) {
		return e
	}
	return best
}

// ChooseFunc returns the best endpoint with a free slot for which may
// holds, or nil. It looks at all of them, so it is for the few requests that
// can't use every endpoint.
func (t *Table) ChooseFunc(req Request, may func(*Endpoint) bool) *Endpoint {
	var best *Endpoint
	for _, z := range t.zones {
		for _, e := range z.heap {
			if may(e) && (best == nil || better(req, e, best)) {
				best = e
			}
		}
	}
	return best
}

// RecordPrefix notes that the endpoint computes a request with the prefix, so
// that it will hold it.
func (t *Table) RecordPrefix(prefix uint64, e *Endpoint) {
	if prefix != 0 {
		t.prefixes.put(prefix, e)
	}
}

// ForgetPrefix takes in an endpoint's word that it dropped a prefix. Such news
// may come late or never; a wrong entry costs a slower first token.
func (t *Table) ForgetPrefix(prefix uint64, e *Endpoint) { t.prefixes.drop(prefix, e) }

// ForgetPrefixes notes that an endpoint has lost its whole cache.
func (t *Table) ForgetPrefixes(e *Endpoint) { t.prefixes.forget(e) }

// least returns the least loaded endpoint of the zone or, if that has none,
// of all zones.
func (t *Table) least(name string) *Endpoint {
	var best *Endpoint
	for _, z := range t.zones {
		if len(z.heap) == 0 {
			continue
		}
		if z.name == name {
			return z.heap[0]
		}
		if best == nil || less(z.heap[0], best) {
			best = z.heap[0]
		}
	}
	return best
}

// affine reports whether the prefix that e holds outweighs best's load.
func (t *Table) affine(e, best *Endpoint) bool {
	return e.pos != absent && e.Zone == best.Zone && e.load() <= best.load()+t.slack
}

func better(req Request, a, b *Endpoint) bool {
	if near, far := a.Zone == req.Zone, b.Zone == req.Zone; near != far {
		return near
	}
	return less(a, b)
}

func (t *Table) zone(name string) *zone {
	for _, z := range t.zones {
		if z.name == name {
			return z
		}
	}
	z := &zone{name: name}
	t.zones = append(t.zones, z)
	return z
}
