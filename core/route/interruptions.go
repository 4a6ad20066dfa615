package route

import (
	"math"
	"time"
)

const (
	// interruptionWindow is the time over which responses are counted.
	interruptionWindow = 10 * time.Second
	// minResponses is the least number that the interrupted responses are compared
	// with. Below it one crash would look like a share.
	minResponses = 30.0
	// chanceOfSoundPart is the probability, at which a part is still held to be sound,
	// that all of its responses were interrupted by chance.
	chanceOfSoundPart = 1e-3
	// maxExtraCrashes limits what a part that does crash endpoints costs: users accept
	// that three requests with it reach endpoints after news of five crashes.
	maxExtraCrashes = 3
	// maxExtraSoundPart is the limit for a part of which responses were complete before.
	maxExtraSoundPart = maxPartCrashes - PartQuarantineCrashes
)

// interruptionShare measures which share of the responses that have begun is
// interrupted by a crash. If it is large, also a sound part has several of its responses
// interrupted one after the other.
type interruptionShare struct {
	interrupted, all float64 // weighted by their age
	at               time.Time
}

func (m *interruptionShare) count(now time.Time, interrupted bool) {
	decay := math.Exp(-now.Sub(m.at).Seconds() / interruptionWindow.Seconds())
	m.interrupted, m.all, m.at = m.interrupted*decay, m.all*decay+1, now
	if interrupted {
		m.interrupted++
	}
}

// extraCrashes returns how many crashes beyond PartQuarantineCrashes it takes until it
// is unlikely that a sound part has them by chance.
func (m *interruptionShare) extraCrashes(now time.Time) int {
	decay := math.Exp(-now.Sub(m.at).Seconds() / interruptionWindow.Seconds())
	share := m.interrupted * decay / max(m.all*decay, minResponses)
	if share <= 0 {
		return 0
	}
	crashes := math.Log(chanceOfSoundPart) / math.Log(min(share, 0.99))
	return max(0, min(int(math.Ceil(crashes))-PartQuarantineCrashes, maxExtraSoundPart))
}
