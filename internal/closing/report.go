package closing

import (
	"sync"
	"time"
)

// Limited sums up what the limits of connections have done.
type Limited struct {
	Refused int // new connections that were reset
	Evicted int // connections without a request that were closed for new ones
	Heads   int // heads of requests that were refused for memory
	Open    int // connections that were open when the latest new one was refused or made room for
}

// limitedInterval is the time between two reports.
const limitedInterval = time.Second

// limitReport passes on sums, at most one in limitedInterval. What comes later goes with
// the next. It is safe for concurrent use.
type limitReport struct {
	to func(Limited) // nil: none

	mu     sync.Mutex
	sentAt time.Time
	sum    Limited
}

// add adds to the sums, and reports them if a report is due.
func (r *limitReport) add(change func(*Limited)) {
	if r.to == nil {
		return
	}
	r.mu.Lock()
	change(&r.sum)
	now := time.Now()
	due := now.Sub(r.sentAt) >= limitedInterval
	sum := r.sum
	if due {
		r.sentAt, r.sum = now, Limited{}
	}
	r.mu.Unlock()
	if due {
		r.to(sum)
	}
}
