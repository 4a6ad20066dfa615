// Package estimate learns what requests cost. The caller's hint beforehand
// (prompt length and longest answer) is rough; the ratio of cost to hint is
// steady for one client account and model, so the table learns that ratio.
package estimate

import "github.com/cyclamenwinch/cyclamenwinch/core/fair"

const (
	weight   = 0.125 // of the newest ratio in the mean
	minRatio = 1.0 / 64
	maxRatio = 64.0
)

// Key names what is learned apart.
type Key struct {
	Account string
	Model   string
}

// Table holds the learned ratios. It is not safe for concurrent use.
type Table struct {
	ratios map[Key]float64
	size   int
}

// NewTable returns an empty table that holds at most size keys; it forgets
// an arbitrary one for a new one.
func NewTable(size int) *Table {
	return &Table{ratios: map[Key]float64{}, size: size}
}

// Cost returns the cost expected for a request with the given hint.
func (t *Table) Cost(k Key, hint fair.Cost) fair.Cost {
	ratio, ok := t.ratios[k]
	if !ok {
		return hint
	}
	return hint * fair.Cost(ratio)
}

// Learn notes the cost of a request that ended whole.
func (t *Table) Learn(k Key, hint, cost fair.Cost) {
	if hint <= 0 || cost <= 0 {
		return
	}
	seen := min(maxRatio, max(minRatio, float64(cost/hint)))
	ratio, ok := t.ratios[k]
	if !ok {
		t.makeRoom()
		ratio = 1
	}
	t.ratios[k] = ratio + weight*(seen-ratio)
}

func (t *Table) makeRoom() {
	if len(t.ratios) < t.size {
		return
	}
	for k := range t.ratios {
		delete(t.ratios, k)
		return
	}
}
