package dispatch

import (
	"math"
	"time"
)

// lineSums are the sums of a weighted least-squares fit of y = base + slope*x, in
// milliseconds.
type lineSums struct{ w, wx, wy, wxx, wxy float64 }

func (s *lineSums) add(x, y, w float64) {
	s.w, s.wx, s.wy, s.wxx, s.wxy = s.w+w, s.wx+w*x, s.wy+w*y, s.wxx+w*x*x, s.wxy+w*x*y
}

func (s *lineSums) scale(k float64) {
	s.w, s.wx, s.wy, s.wxx, s.wxy = s.w*k, s.wx*k, s.wy*k, s.wxx*k, s.wxy*k
}

// lineFit is such a fit with two points that are assumed in advance. Observations weigh
// the less the longer the expected time is, so that relative errors count. slackMs is
// added to it, so that small absolute errors don't.
type lineFit struct {
	sums        lineSums
	at          time.Time
	prior       [2]struct{ x, y float64 }
	slackMs     float64
	base, slope float64 // of the last solution

	oldBase, oldSlope float64 // of the one before
}

func (f *lineFit) weight(x float64) float64 {
	expected := f.base + f.slope*x + f.slackMs
	return 1 / (expected * expected)
}

func (f *lineFit) add(now time.Time, x, y, count float64) {
	s := &f.sums
	if dt := now.Sub(f.at); dt > 0 && s.w > 0 {
		k := decayFactor(dt, serviceProfileTime)
		s.scale(k)
	}
	if now.After(f.at) {
		f.at = now
	}
	s.add(x, y, count*f.weight(x))
}

// solve computes the line, with both figures within bounds.
func (f *lineFit) solve(minBase, maxBase, minSlope, maxSlope float64) {
	s := f.sums
	for _, p := range f.prior {
		s.add(p.x, p.y, priorFitWeight*f.weight(p.x))
	}
	det := s.w*s.wxx - s.wx*s.wx
	slope := minSlope
	if det > 0 {
		slope = min(max((s.w*s.wxy-s.wx*s.wy)/det, minSlope), maxSlope)
	}
	base := (s.wy - slope*s.wx) / s.w
	if base < minBase {
		base = minBase
		slope = min(max((s.wxy-base*s.wx)/s.wxx, minSlope), maxSlope)
	}
	base = min(base, maxBase)
	mean := s.wx / s.w
	before := f.weight(mean)
	f.oldBase, f.oldSlope, f.base, f.slope = f.base, f.slope, base, slope
	f.sums.scale(f.weight(mean) / before) // as if all had been weighted by the new line
}

// shift makes deviations from the line before the last solution relative to the newest.
func (f *lineFit) shift(r *logRatio) {
	if r.weight == 0 || f.base == f.oldBase && f.slope == f.oldSlope {
		return
	}
	x := r.sumX / r.weight
	r.sum -= r.weight * math.Log((f.base+f.slope*x)/(f.oldBase+f.oldSlope*x))
}

// logRatio is a mean of logarithms of observed over expected times. With logarithms,
// twice as slow and twice as fast cancel out, and the mean is close to the median of
// such times.
type logRatio struct {
	sum, weight float64
	sumX        float64 // of what the expected times depend on
	at          time.Time
}

func (r *logRatio) add(now time.Time, value, x, weight, maxWeight float64) {
	r.decay(now)
	r.sum, r.sumX, r.weight = r.sum+weight*value, r.sumX+weight*x, r.weight+weight
	if r.weight > maxWeight {
		r.scale(maxWeight / r.weight)
	}
}

func (r *logRatio) scale(k float64) { r.sum, r.sumX, r.weight = r.sum*k, r.sumX*k, r.weight*k }

func (r *logRatio) decay(now time.Time) {
	if dt := now.Sub(r.at); dt > 0 {
		if r.weight > 0 {
			r.scale(decayFactor(dt, endpointProfileTime))
		}
		r.at = now
	}
}

// factor returns the mean factor, near 1 while there are few observations.
func (r *logRatio) factor() float64 { return math.Exp(r.sum / (r.weight + zonePriorWeight)) }
