package admission

import "time"

// Thresholds of the time to first token (TTFT), relative to the account's others at
// warm endpoints. The first token is the first event of a response; core/dispatch
// calls it the first event.
const (
	normalFactor = 1.5                    // up to this multiple of the shortest: normal for a warm endpoint,
	minSamples   = 16                     // if there have been as many
	slowFactor   = 4                      // above this multiple of the mean: a sign of a cold endpoint,
	slowMargin   = 250 * time.Millisecond // if it also exceeds the mean by this
	ttftWeight   = 0.125                  // weight of the newest sample in the mean
)

// isSlow reports whether a time to first token is so far above the account's
// mean that the endpoint may be cold.
func (a *account) isSlow(ttft time.Duration) bool {
	return a.meanTTFT > 0 && ttft > slowFactor*a.meanTTFT && ttft > a.meanTTFT+slowMargin
}

// isNormal reports whether a time to first token is normal for a warm endpoint. It
// is compared with the shortest: load and the network only lengthen the times, so
// that their mean may exceed that of a cold endpoint.
func (a *account) isNormal(ttft time.Duration) bool {
	return a.ttftSamples >= minSamples && float64(ttft) <= normalFactor*float64(a.shortestTTFT)
}

// recordTTFT records a time to first token at a warm endpoint.
func (a *account) recordTTFT(ttft time.Duration) {
	if a.ttftSamples++; a.ttftSamples == 1 {
		a.meanTTFT, a.shortestTTFT = ttft, ttft
		return
	}
	a.meanTTFT += time.Duration(ttftWeight * float64(ttft-a.meanTTFT))
	a.shortestTTFT = min(a.shortestTTFT, ttft)
}
