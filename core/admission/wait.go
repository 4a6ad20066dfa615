package admission

import (
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
)

const (
	minRetryAfter  = time.Second // Retry-After is in whole seconds
	minRateSamples = 8           // responses needed before the rate is used
	rateWeight     = 0.0625      // weight of the newest response in the means
)

// serviceRate measures the cost that one slot serves per second, with
// exponentially weighted means.
type serviceRate struct {
	samples     int
	meanCost    float64 // per request, in cost units
	meanSeconds float64 // per request
}

func (r *serviceRate) add(cost fair.Cost, d time.Duration) {
	r.samples++
	w := max(rateWeight, 1/float64(r.samples))
	r.meanCost += w * (float64(cost) - r.meanCost)
	r.meanSeconds += w * (d.Seconds() - r.meanSeconds)
}

// capacity returns the cost per second that the pool serves when all slots that
// it may use are busy, and false if that is not known yet.
func (p *Pool) capacity() (float64, bool) {
	if p.usableSlots == 0 || p.rate.samples < minRateSamples || p.rate.meanSeconds <= 0 || p.rate.meanCost <= 0 {
		return 0, false
	}
	return float64(p.usableSlots) * p.rate.meanCost / p.rate.meanSeconds, true
}

// expectedWait returns how long a new request is expected to wait, and false if
// that is not known yet. Virtual time advances by the capacity divided by the
// backlogged shares; the request waits until it has passed the account's lead
// and the requests that the account has queued.
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
	virtual := p.scheduler.Lead(a.cfg.Name) + float64(a.queuedCost)/a.cfg.Share
	return time.Duration(virtual * shares / capacity * float64(time.Second)), true
}

// retryAfter returns the Retry-After of a request that has waited too long: the
// time after which a new one would be served within the account's wait limit.
func (p *Pool) retryAfter(r *request) time.Duration {
	wait, known := p.expectedWait(r)
	if !known {
		return clampRetryAfter(r.account.cfg.MaxWait)
	}
	return clampRetryAfter(wait - r.account.cfg.MaxWait)
}

// untilQueueSpace returns the expected time until one of the account's requests
// leaves its queue.
func (p *Pool) untilQueueSpace(a *account) time.Duration {
	capacity, known := p.capacity()
	if !known || a.waiting() == 0 {
		return minRetryAfter
	}
	mean := float64(a.queuedCost) / float64(a.waiting())
	seconds := mean / a.cfg.Share * p.scheduler.BackloggedShares() / capacity
	return clampRetryAfter(time.Duration(seconds * float64(time.Second)))
}

func clampRetryAfter(d time.Duration) time.Duration { return max(minRetryAfter, d) }
