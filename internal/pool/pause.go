package pool

import (
	"sync"
	"time"
)

// pauseLimit is how long this process may stand still without doubt about
// what it believes.
const pauseLimit = 10 * stepEvery

// pauses counts how often this process has stood still, stopped or starved of
// processor time. After a pause an owner must not go on with the pools that it
// had, and a router must not use what it was granted before: others may have
// taken their place meanwhile, and endpoints may have turned cold unseen. It
// is safe for concurrent use.
type pauses struct {
	mu    sync.Mutex
	last  time.Time
	count int
}

// seen notes that the process runs now and returns how often it has stood
// still. The pause is counted by whoever comes first after it, so nobody acts
// on a belief from before it. The process must come here every stepEvery.
func (p *pauses) seen(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.last.IsZero() && now.Sub(p.last) > pauseLimit {
		p.count++
	}
	if now.After(p.last) {
		p.last = now
	}
	return p.count
}
