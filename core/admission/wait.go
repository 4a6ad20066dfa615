package admission

import (
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
)

const (
	minRetryAfter = time.Second // what Retry-After can express
	rateSamples   = 8           // answers before the rate is believed
	rateWeight    = 0.0625      // of the newest answer in the means
)

// rate learns how much cost one slot serves a second.
type rate struct {
	samples int
	cost    float64 // mean, in cost units
	seconds float64 // mean
}

func (r *rate) add(cost fair.Cost, d time.Duration) {
	r.samples++
	w := max(rateWeight, 1/float64(r.samples))
	r.cost += w * (float64(cost) - r.cost)
	r.seconds += w * (d.Seconds() - r.seconds)
}

// capacity returns the cost that the pool serves a second with every slot
// that it may use now in use, and false if that is not known.
func (p *Pool) capacity() (float64, bool) {
	if p.usable == 0 || p.rate.samples < rateSamples || p.rate.seconds <= 0 || p.rate.cost <= 0 {
		return 0, false
	}
	return float64(p.usable) * p.rate.cost / p.rate.seconds, true
}

// expectedWait returns how long a new request will wait: until virtual time,
// which moves by the capacity over the backlogged shares, has passed the
// account's lead and what it has queued.
func (p *Pool) expectedWait(r *request) (time.Duration, bool) {
	capacity, known := p.capacity()
	if !known {
		return 0, false
	}
	a := r.account
	shares := p.scheduler.BackloggedShares()
	if a.waiting() == 0 {
		shares += a.cfg.Share
	}
	virtual := p.scheduler.Lead(a.cfg.Name) + float64(a.queued)/a.cfg.Share
	return time.Duration(virtual * shares / capacity * float64(time.Second)), true
}

// retryAfter is the advice for a request whose wait ran out: when a new one
// would be served within the account's wait.
func (p *Pool) retryAfter(r *request) time.Duration {
	wait, known := p.expectedWait(r)
	if !known {
		return atLeast(r.account.cfg.MaxWait)
	}
	return atLeast(wait - r.account.cfg.MaxWait)
}

// untilPlace is the time until one of the account's requests leaves its
// queue.
func (p *Pool) untilPlace(a *account) time.Duration {
	capacity, known := p.capacity()
	if !known || a.waiting() == 0 {
		return minRetryAfter
	}
	mean := float64(a.queued) / float64(a.waiting())
	seconds := mean / a.cfg.Share * p.scheduler.BackloggedShares() / capacity
	return atLeast(time.Duration(seconds * float64(time.Second)))
}

func atLeast(d time.Duration) time.Duration { return max(minRetryAfter, d) }
