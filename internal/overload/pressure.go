package overload

import (
	"math"
	"sync"
	"time"
)

const (
	// pressureWindow is the time constant over which accepted and reset connections
	// are compared.
	pressureWindow = time.Second
	// maxPressure limits the pressure. Clients that are reset connect again soon and
	// are counted again.
	maxPressure = 8
)

// pressure compares the connections that clients open with those that are accepted.
// It is safe for concurrent use.
type pressure struct {
	mu              sync.Mutex
	at              time.Time // of the last decay
	accepted, reset float64   // recent connections
}

// add counts new connections.
func (p *pressure) add(now time.Time, accepted, reset int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decay(now)
	p.accepted += float64(accepted)
	p.reset += float64(reset)
}

// ratio returns how many times as many connections clients have recently opened as
// were accepted, from 1 to maxPressure.
func (p *pressure) ratio(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decay(now)
	if p.reset < 1 {
		return 1
	}
	return min(maxPressure, (p.accepted+p.reset)/max(1, p.accepted))
}

// decay ages the counts. The caller holds the lock.
func (p *pressure) decay(now time.Time) {
	factor := math.Exp(-max(0, now.Sub(p.at).Seconds()) / pressureWindow.Seconds())
	p.accepted, p.reset, p.at = factor*p.accepted, factor*p.reset, now
}
