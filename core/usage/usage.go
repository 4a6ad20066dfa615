// Package usage adds up what the routers of a fleet charged to client
// accounts.
//
// Every router reports cumulative totals, one part for each of its
// incarnations and accounts. A part only grows, so parts merge by their
// maximum: a message that comes twice, late or by another way changes
// nothing, and a restarted router, which starts again at zero, adds to what
// its former self had charged.
package usage

import (
	"slices"

	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
)

// incarnationsKept is how many incarnations of a router are kept apart;
// older ones are folded into one sum.
const incarnationsKept = 4

// Part is the cost that one incarnation of a router charged to an account
// or, if Folded, that all incarnations up to this one did.
type Part struct {
	Router      string
	Incarnation int64
	Account     string
	Cost        fair.Cost
	Folded      bool
}

// Aggregator holds the parts known to one router.
type Aggregator struct {
	self        string
	incarnation int64
	records     map[key]*record
	remote      map[string]fair.Cost
	seq         uint64
}

type key struct{ router, account string }

// record is what is known of one router and account. Incarnations up to
// through are in folded.
type record struct {
	costs   map[int64]fair.Cost
	folded  fair.Cost
	through int64
	seq     uint64 // of the last change
}

// NewAggregator returns an empty book of the named router's incarnation.
func NewAggregator(self string, incarnation int64) *Aggregator {
	return &Aggregator{self: self, incarnation: incarnation, records: map[key]*record{}, remote: map[string]fair.Cost{}}
}

// SetLocal takes in this incarnation's own cumulative totals.
func (b *Aggregator) SetLocal(totals map[string]fair.Cost) {
	for account, cost := range totals {
		if cost == 0 {
			continue
		}
		b.Merge(Part{Router: b.self, Incarnation: b.incarnation, Account: account, Cost: cost})
	}
}

// Merge merges a part in and reports whether it was news.
func (b *Aggregator) Merge(p Part) bool {
	k := key{p.Router, p.Account}
	r := b.records[k]
	if r == nil {
		r = &record{costs: map[int64]fair.Cost{}}
		b.records[k] = r
	}
	before := b.elsewhere(k, r)
	if !r.merge(p) {
		return false
	}
	r.fold(incarnationsKept)
	b.remote[p.Account] += b.elsewhere(k, r) - before
	b.seq++
	r.seq = b.seq
	return true
}

// Remote returns the cost of each account that was charged by other routers
// and by this router's earlier incarnations. The caller must not change it.
func (b *Aggregator) Remote() map[string]fair.Cost { return b.remote }

// Seq returns the number of the last change.
func (b *Aggregator) Seq() uint64 { return b.seq }

// RecordCount returns the number of parts held.
func (b *Aggregator) RecordCount() int { return len(b.records) }

// ChangesSince returns at most limit records' parts that changed after a number, the
// longest unsent first, and the number that they reach. Parts of others that
// changed after the number relay are left out: their own routers send them.
func (b *Aggregator) ChangesSince(after, relay uint64, limit int) ([]Part, uint64) {
	var changed []key
	for k, r := range b.records {
		if r.seq > after && (k.router == b.self || r.seq <= relay) {
			changed = append(changed, k)
		}
	}
	slices.SortFunc(changed, func(x, y key) int {
		return int(b.records[x].seq) - int(b.records[y].seq)
	})
	reached := b.seq
	if len(changed) > limit {
		changed = changed[:limit]
		reached = b.records[changed[limit-1]].seq
	}
	var parts []Part
	for _, k := range changed {
		parts = append(parts, b.records[k].parts(k)...)
	}
	return parts, reached
}

// elsewhere is the part of a record that this incarnation did not charge.
func (b *Aggregator) elsewhere(k key, r *record) fair.Cost {
	total := r.folded
	for incarnation, cost := range r.costs {
		if k.router != b.self || incarnation != b.incarnation {
			total += cost
		}
	}
	return total
}

func (r *record) merge(p Part) bool {
	if p.Folded {
		return r.mergeFolded(p)
	}
	if p.Incarnation <= r.through || p.Cost <= r.costs[p.Incarnation] {
		return false
	}
	r.costs[p.Incarnation] = p.Cost
	return true
}

// mergeFolded takes the larger of two sums over the same incarnations: each
// is a lower bound of what they charged.
func (r *record) mergeFolded(p Part) bool {
	if p.Incarnation < r.through {
		return false
	}
	own := r.folded
	for incarnation, cost := range r.costs {
		if incarnation <= p.Incarnation {
			own += cost
		}
	}
	if p.Incarnation == r.through && p.Cost <= own {
		return false
	}
	for incarnation := range r.costs {
		if incarnation <= p.Incarnation {
			delete(r.costs, incarnation)
		}
	}
	r.folded, r.through = max(own, p.Cost), p.Incarnation
	return true
}

// fold moves all but the newest incarnations into the sum.
func (r *record) fold(keep int) {
	for len(r.costs) > keep {
		oldest := int64(0)
		for incarnation := range r.costs {
			if oldest == 0 || incarnation < oldest {
				oldest = incarnation
			}
		}
		r.folded += r.costs[oldest]
		r.through = oldest
		delete(r.costs, oldest)
	}
}

func (r *record) parts(k key) []Part {
	var parts []Part
	if r.through > 0 {
		parts = append(parts, Part{Router: k.router, Incarnation: r.through, Account: k.account, Cost: r.folded, Folded: true})
	}
	for incarnation, cost := range r.costs {
		parts = append(parts, Part{Router: k.router, Incarnation: incarnation, Account: k.account, Cost: cost})
	}
	return parts
}
