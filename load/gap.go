package load

import "sort"

// Sample is what the callers and the runners showed at one moment.
type Sample struct {
	AtMillis   int64              `json:"at_ms"`
	Service    map[string]float64 `json:"service"`    // tokens received so far
	Backlogged map[string]bool    `json:"backlogged"` // accounts with waiting work
	Running    map[string]int     `json:"running"`    // requests at each runner
}

// Gap is the largest difference of service over share that grew between two
// accounts in a window in which both were backlogged.
type Gap struct {
	Cost       float64 `json:"cost"` // cost units over share
	Accounts   string  `json:"accounts"`
	FromMillis int64   `json:"from_ms"`
	ToMillis   int64   `json:"to_ms"`
	// PairSeconds is the time over which pairs were compared.
	PairSeconds float64    `json:"pair_seconds"`
	Series      []GapPoint `json:"series"`
	Pairs       []PairGap  `json:"pairs"`
}

// PairGap is the gap of one pair of accounts, with the bound of the fairness
// note's theorem 1: 3 M (n_a/w_a + n_b/w_b).
type PairGap struct {
	A     string  `json:"a"`
	B     string  `json:"b"`
	Cost  float64 `json:"cost"`
	Bound float64 `json:"bound"`
}

// GapPoint is the largest gap of any window that is open at a moment.
type GapPoint struct {
	AtMillis int64   `json:"at_ms"`
	Cost     float64 `json:"cost"`
}

// FairnessGap measures the gap over samples. For a pair, the largest change
// of the difference in any window within a joint backlog is the range of the
// difference over that backlog.
func FairnessGap(samples []Sample, shares map[string]float64) Gap {
	var gap Gap
	names := sortedNames(shares)
	open := map[[2]string]*span{}
	widest := map[[2]string]float64{}
	for _, s := range samples {
		point := GapPoint{AtMillis: s.AtMillis}
		for i, a := range names {
			for _, b := range names[i+1:] {
				pair := [2]string{a, b}
				if !s.Backlogged[a] || !s.Backlogged[b] {
					delete(open, pair)
					continue
				}
				w := open[pair]
				if w == nil {
					w = &span{}
					open[pair] = w
				}
				gap.PairSeconds += w.add(s.AtMillis, s.Service[a]/shares[a]-s.Service[b]/shares[b])
				point.Cost = max(point.Cost, w.width())
				gap.take(w, a+" and "+b)
				widest[pair] = max(widest[pair], w.width())
			}
		}
		gap.Series = append(gap.Series, point)
	}
	for i, a := range names {
		for _, b := range names[i+1:] {
			if cost, ok := widest[[2]string{a, b}]; ok {
				gap.Pairs = append(gap.Pairs, PairGap{A: a, B: b, Cost: cost})
			}
		}
	}
	return gap
}

// SetBounds fills in the bound of each pair: largest is M, the most that a
// request costs; running is n, the most requests of each account in progress
// at once. It returns the largest part of its bound that a pair's gap took.
func (g *Gap) SetBounds(largest float64, running map[string]int, shares map[string]float64) float64 {
	worst := 0.0
	part := func(account string) float64 {
		return float64(max(1, running[account])) / shares[account]
	}
	for i := range g.Pairs {
		p := &g.Pairs[i]
		p.Bound = boundFactor * largest * (part(p.A) + part(p.B))
		worst = max(worst, p.Cost/p.Bound)
	}
	return worst
}

const boundFactor = 3 // of theorem 1

func (g *Gap) take(w *span, accounts string) {
	if w.width() <= g.Cost {
		return
	}
	g.Cost, g.Accounts = w.width(), accounts
	g.FromMillis, g.ToMillis = min(w.lowAt, w.highAt), max(w.lowAt, w.highAt)
}

// span is the range of a difference over one joint backlog.
type span struct {
	begun         bool
	low, high     float64
	lowAt, highAt int64
	last          int64
}

// add widens the range and returns the seconds since the last value.
func (w *span) add(at int64, difference float64) float64 {
	if !w.begun {
		*w = span{begun: true, low: difference, high: difference, lowAt: at, highAt: at, last: at}
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

func (w *span) width() float64 { return w.high - w.low }

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
