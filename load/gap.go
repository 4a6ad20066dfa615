package load

import "sort"

// Sample is a snapshot of the callers' and runners' measures.
type Sample struct {
	AtMillis   int64              `json:"at_ms"`
	Service    map[string]float64 `json:"service"`    // tokens received so far, prompt tokens included
	Backlogged map[string]bool    `json:"backlogged"` // accounts with waiting requests
	Running    map[string]int     `json:"running"`    // running requests by runner
}

// Gap is the fairness gap: the largest change, over any window in which two
// accounts were both backlogged, of the difference of their service divided by
// share.
type Gap struct {
	Cost       float64 `json:"cost"` // cost units divided by share
	Accounts   string  `json:"accounts"`
	FromMillis int64   `json:"from_ms"`
	ToMillis   int64   `json:"to_ms"`
	// PairSeconds is the time in which both accounts of a pair were backlogged,
	// summed over all pairs.
	PairSeconds float64    `json:"pair_seconds"`
	Series      []GapPoint `json:"series"`
	Pairs       []PairGap  `json:"pairs"`
}

// PairGap is the fairness gap of one pair of accounts and its upper bound by
// theorem 1 of the fairness note: 3 M (n_a/w_a + n_b/w_b), where M is the
// largest cost of a request, n the most concurrent requests of an account and w
// its share.
type PairGap struct {
	A     string  `json:"a"`
	B     string  `json:"b"`
	Cost  float64 `json:"cost"`
	Bound float64 `json:"bound"`
}

// GapPoint is the largest gap among the pairs that are backlogged at a given
// time, each measured since its joint backlog began.
type GapPoint struct {
	AtMillis int64   `json:"at_ms"`
	Cost     float64 `json:"cost"`
}

// FairnessGap computes the gap over samples. For a pair, the largest change of
// the difference over all windows within a joint backlog equals the difference's
// range (maximum minus minimum) over that backlog, so one pass is enough.
func FairnessGap(samples []Sample, shares map[string]float64) Gap {
	var gap Gap
	names := sortedNames(shares)
	ranges := map[[2]string]*diffRange{}
	largestByPair := map[[2]string]float64{}
	for _, s := range samples {
		point := GapPoint{AtMillis: s.AtMillis}
		for i, a := range names {
			for _, b := range names[i+1:] {
				pair := [2]string{a, b}
				if !s.Backlogged[a] || !s.Backlogged[b] {
					delete(ranges, pair)
					continue
				}
				w := ranges[pair]
				if w == nil {
					w = &diffRange{}
					ranges[pair] = w
				}
				gap.PairSeconds += w.add(s.AtMillis, s.Service[a]/shares[a]-s.Service[b]/shares[b])
				point.Cost = max(point.Cost, w.width())
				gap.update(w, a+" and "+b)
				largestByPair[pair] = max(largestByPair[pair], w.width())
			}
		}
		gap.Series = append(gap.Series, point)
	}
	for i, a := range names {
		for _, b := range names[i+1:] {
			if cost, ok := largestByPair[[2]string{a, b}]; ok {
				gap.Pairs = append(gap.Pairs, PairGap{A: a, B: b, Cost: cost})
			}
		}
	}
	return gap
}

// SetBounds sets the bound of each pair. The parameter largest is M, the largest
// cost of a request; running is n, each account's maximum of concurrent requests
// (at least 1 is used). It returns the largest ratio of a pair's gap to its
// bound.
func (g *Gap) SetBounds(largest float64, running map[string]int, shares map[string]float64) float64 {
	worst := 0.0
	term := func(account string) float64 {
		return float64(max(1, running[account])) / shares[account]
	}
	for i := range g.Pairs {
		p := &g.Pairs[i]
		p.Bound = boundFactor * largest * (term(p.A) + term(p.B))
		worst = max(worst, p.Cost/p.Bound)
	}
	return worst
}

const boundFactor = 3 // the constant in the bound of theorem 1

func (g *Gap) update(w *diffRange, accounts string) {
	if w.width() <= g.Cost {
		return
	}
	g.Cost, g.Accounts = w.width(), accounts
	g.FromMillis, g.ToMillis = min(w.lowAt, w.highAt), max(w.lowAt, w.highAt)
}

// diffRange is the range of the difference of a pair over one joint backlog.
type diffRange struct {
	started       bool
	low, high     float64
	lowAt, highAt int64
	last          int64
}

// add extends the range to include the difference at time at (in milliseconds).
// It returns the seconds since the previous value.
func (w *diffRange) add(at int64, difference float64) float64 {
	if !w.started {
		*w = diffRange{started: true, low: difference, high: difference, lowAt: at, highAt: at, last: at}
		return 0
	}
	if difference < w.low {
		w.low, w.lowAt = difference, at
	}
	if difference > w.high {
		w.high, w.highAt = difference, at
	}
	seconds := float64(at-w.last) / 1000
	w.last = at
	return seconds
}

func (w *diffRange) width() float64 { return w.high - w.low }

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
