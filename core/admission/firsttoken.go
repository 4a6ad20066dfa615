package admission

import "time"

const (
	usualFactor = 1.5                    // over the mean: still the usual speed
	slowFactor  = 4                      // over the mean: a sign of cold
	slowMargin  = 250 * time.Millisecond // and over it by this
	firstWeight = 0.125                  // of the newest in the mean
)

// slow reports whether a first token came so late, by the account's own
// mean, that the endpoint may be cold.
func (a *account) slow(first time.Duration) bool {
	return a.firstAvg > 0 && first > slowFactor*a.firstAvg && first > a.firstAvg+slowMargin
}

// usual reports whether a first token came at the usual speed of a warm
// endpoint.
func (a *account) usual(first time.Duration) bool {
	return a.firstAvg > 0 && float64(first) <= usualFactor*float64(a.firstAvg)
}

func (a *account) average(first time.Duration) {
	if a.firstAvg == 0 {
		a.firstAvg = first
		return
	}
	a.firstAvg += time.Duration(firstWeight * float64(first-a.firstAvg))
}
