// Package estimate predicts the cost of requests. The caller's hint in advance
// (prompt length and maximum response length) is rough, but the ratio of cost to
// hint is steady for one client account and model. The table therefore learns
// that ratio as an exponentially weighted moving average.
package estimate

import "github.com/cyclamenwinch/cyclamenwinch/core/fair"

const (
	newestWeight = 0.125 // of the newest ratio in the moving average
	// minRatio and maxRatio bound an observed ratio of cost to hint.
	minRatio = 1.0 / 64
	maxRatio = 64.0
)

// Key identifies a separately learned ratio.
type Key struct {
	Account string
	Model   string
}

// Table holds the learned ratios. It is not safe for concurrent use.
type Table struct {
	ratios map[Key]float64
	size   int
}

// NewTable returns an empty table that holds at most size keys. A new key evicts
// an arbitrary one when the table is full.
func NewTable(size int) *Table {
	return &Table{ratios: map[Key]float64{}, size: size}
}

// Cost returns the expected cost of a request with the given hint. Without a
// learned ratio this is the hint.
func (t *Table) Cost(k Key, hint fair.Cost) fair.Cost {
	ratio, ok := t.ratios[k]
	if !ok {
		return hint
	}
	return hint * fair.Cost(ratio)
}

// Learn updates the ratio with the cost of a request that was completed in full.
// The moving average of a new key starts from 1, the ratio that Cost assumes.
func (t *Table) Learn(k Key, hint, cost fair.Cost) {
	if hint <= 0 || cost <= 0 {
		return
	}
	observed := min(maxRatio, max(minRatio, float64(cost/hint)))
	ratio, ok := t.ratios[k]
	if !ok {
		t.evictIfFull()
		ratio = 1
	}
	t.ratios[k] = ratio + newestWeight*(observed-ratio)
}

func (t *Table) evictIfFull() {
	if len(t.ratios) < t.size {
		return
	}
	for k := range t.ratios {
		delete(t.ratios, k)
		return
	}
}
