// Package usage sums the costs that the routers of a fleet charge to client
// accounts.
//
// Every router reports cumulative totals, one counter for each of its
// incarnations and accounts. A counter only increases, so counters are merged by
// their maximum, as in a grow-only counter (G-Counter): duplicated, delayed or
// relayed messages can't falsify the sum. A router that restarts counts from
// zero in a new incarnation, which adds to the totals of its earlier ones.
package usage

import (
	"slices"

	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
)

// maxIncarnations is the number of incarnations of a router that are counted
// separately. Older ones are folded into one sum.
const maxIncarnations = 4

// Counter is the cost that one incarnation of a router charged to an account. If
// Folded is set, it is the sum of all incarnations up to this one.
type Counter struct {
	Router      string
	Incarnation int64
	Account     string
	Cost        fair.Cost
	Folded      bool
}

// Aggregator holds the counters known to one router and their sums.
type Aggregator struct {
	self        string
	incarnation int64
	records     map[key]*record
	remote      map[string]fair.Cost // by account; all costs that this incarnation did not charge
	seq         uint64               // of the last change
}

type key struct{ router, account string }

// record holds the counters of one router and account. Those of incarnations up
// to foldedThrough are summed in folded.
type record struct {
	costs         map[int64]fair.Cost // by incarnation
	folded        fair.Cost
	foldedThrough int64
	seq           uint64 // of the last change
}

// NewAggregator returns an empty aggregator for the given incarnation of the
// named router.
func NewAggregator(self string, incarnation int64) *Aggregator {
	return &Aggregator{self: self, incarnation: incarnation, records: map[key]*record{}, remote: map[string]fair.Cost{}}
}

// SetLocal updates the cumulative totals of this incarnation.
func (a *Aggregator) SetLocal(totals map[string]fair.Cost) {
	for account, cost := range totals {
		if cost == 0 {
			continue
		}
		a.Merge(Counter{Router: a.self, Incarnation: a.incarnation, Account: account, Cost: cost})
	}
}

// Merge merges a counter and reports whether it changed anything.
func (a *Aggregator) Merge(p Counter) bool {
	k := key{p.Router, p.Account}
	r := a.records[k]
	if r == nil {
		r = &record{costs: map[int64]fair.Cost{}}
		a.records[k] = r
	}
	before := a.remoteCost(k, r)
	if !r.merge(p) {
		return false
	}
	r.fold(maxIncarnations)
	a.remote[p.Account] += a.remoteCost(k, r) - before
	a.seq++
	r.seq = a.seq
	return true
}

// Remote returns, by account, the cost charged by other routers and by earlier
// incarnations of this router. The caller must not change the map.
func (a *Aggregator) Remote() map[string]fair.Cost { return a.remote }

// Seq returns the sequence number of the last change.
func (a *Aggregator) Seq() uint64 { return a.seq }

// RecordCount returns the number of records, one for each router and account.
func (a *Aggregator) RecordCount() int { return len(a.records) }

// ChangesSince returns the counters of up to limit records that changed after
// the sequence number after, oldest change first, and the sequence number up to
// which changes are included. Records of other routers are included only if
// they last changed at or before the sequence number relayThrough: newer changes
// are sent by those routers themselves.
func (a *Aggregator) ChangesSince(after, relayThrough uint64, limit int) ([]Counter, uint64) {
	var changed []key
	for k, r := range a.records {
		if r.seq > after && (k.router == a.self || r.seq <= relayThrough) {
			changed = append(changed, k)
		}
	}
	slices.SortFunc(changed, func(x, y key) int {
		return int(a.records[x].seq) - int(a.records[y].seq)
	})
	through := a.seq
	if len(changed) > limit {
		changed = changed[:limit]
		through = a.records[changed[limit-1]].seq
	}
	var counters []Counter
	for _, k := range changed {
		counters = append(counters, a.records[k].counters(k)...)
	}
	return counters, through
}

// remoteCost returns the cost in a record that this incarnation did not charge.
func (a *Aggregator) remoteCost(k key, r *record) fair.Cost {
	total := r.folded
	for incarnation, cost := range r.costs {
		if k.router != a.self || incarnation != a.incarnation {
			total += cost
		}
	}
	return total
}

func (r *record) merge(p Counter) bool {
	if p.Folded {
		return r.mergeFolded(p)
	}
	if p.Incarnation <= r.foldedThrough || p.Cost <= r.costs[p.Incarnation] {
		return false
	}
	r.costs[p.Incarnation] = p.Cost
	return true
}

// mergeFolded keeps the larger of two sums over the same incarnations, since
// each is a lower bound of the cost that they charged.
func (r *record) mergeFolded(p Counter) bool {
	if p.Incarnation < r.foldedThrough {
		return false
	}
	known := r.folded
	for incarnation, cost := range r.costs {
		if incarnation <= p.Incarnation {
			known += cost
		}
	}
	if p.Incarnation == r.foldedThrough && p.Cost <= known {
		return false
	}
	for incarnation := range r.costs {
		if incarnation <= p.Incarnation {
			delete(r.costs, incarnation)
		}
	}
	r.folded, r.foldedThrough = max(known, p.Cost), p.Incarnation
	return true
}

// fold adds all but the latest keep incarnations to the folded sum.
func (r *record) fold(keep int) {
	for len(r.costs) > keep {
		oldest := int64(0)
		for incarnation := range r.costs {
			if oldest == 0 || incarnation < oldest {
				oldest = incarnation
			}
		}
		r.folded += r.costs[oldest]
		r.foldedThrough = oldest
		delete(r.costs, oldest)
	}
}

func (r *record) counters(k key) []Counter {
	var counters []Counter
	if r.foldedThrough > 0 {
		counters = append(counters, Counter{Router: k.router, Incarnation: r.foldedThrough, Account: k.account, Cost: r.folded, Folded: true})
	}
	for incarnation, cost := range r.costs {
		counters = append(counters, Counter{Router: k.router, Incarnation: incarnation, Account: k.account, Cost: cost})
	}
	return counters
}
