package admission

import "time"

// Thresholds of the time to first token (TTFT), relative to the mean of the
// account. The first token is the first event of a response; core/dispatch calls
// it the first event.
const (
	normalFactor = 1.5                    // up to this multiple: normal for a warm endpoint
	slowFactor   = 4                      // above this multiple: a sign of a cold endpoint,
	slowMargin   = 250 * time.Millisecond // if it also exceeds the mean by this
	ttftWeight   = 0.125                  // weight of the newest sample in the mean
)

// isSlow reports whether a time to first token is so far above the account's
// mean that the endpoint may be cold.
func (a *account) isSlow(ttft time.Duration) bool {
	return a.meanTTFT > 0 && ttft > slowFactor*a.meanTTFT && ttft > a.meanTTFT+slowMargin
}

// isNormal reports whether a time to first token is normal for a warm endpoint.
func (a *account) isNormal(ttft time.Duration) bool {
	return a.meanTTFT > 0 && float64(ttft) <= normalFactor*float64(a.meanTTFT)
}

func (a *account) updateMeanTTFT(ttft time.Duration) {
	if a.meanTTFT == 0 {
		a.meanTTFT = ttft
		return
	}
	a.meanTTFT += time.Duration(ttftWeight * float64(ttft-a.meanTTFT))
}
