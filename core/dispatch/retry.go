package dispatch

import "time"

const (
	// retryBuckets is the number of buckets in the window of the retry budget.
	retryBuckets = 20
	// retryBudgetFraction is the fraction of the fleet's budget that is used.
	// The rest is a reserve, since requests that an endpoint rejected count as
	// well.
	retryBudgetFraction = 0.8
)

// retryWindow counts the requests and retries of one service in a sliding
// window.
type retryWindow struct {
	requests, retries [retryBuckets]float64
	at                int64 // number of the newest bucket
}

func (w *retryWindow) advance(now time.Time, window time.Duration) {
	at := now.UnixNano() / int64(window/retryBuckets)
	for i := max(w.at+1, at-retryBuckets+1); i <= at; i++ {
		w.requests[i%retryBuckets], w.retries[i%retryBuckets] = 0, 0
	}
	w.at = max(w.at, at)
}

func sumBuckets(a [retryBuckets]float64) float64 {
	total := 0.0
	for _, x := range a {
		total += x
	}
	return total
}

// RecordRequest counts a client request towards the retry budget of its
// service, and the exposure of a version that is brought in.
func (d *Dispatcher) RecordRequest(now time.Time, service, route string) {
	w := &d.service(service).retries
	w.advance(now, d.opts.RetryWindow)
	w.requests[w.at%retryBuckets]++
	if r := d.currentRollout(service); r != nil {
		r.RecordRequest(route)
	}
}

// TakeRetry reports whether the budget allows one more retry, and counts it if
// so. Each router uses the budget that its own requests earn and an even share
// of the slack, so the total holds under any network partition. It differs from
// retry.Budget, which bounds the retries of a single router by its successes:
// this budget is declared in the settings for the whole fleet, as a ratio of all
// requests in a window plus the slack.
func (d *Dispatcher) TakeRetry(now time.Time, service string) bool {
	if !d.RetryAllowed(now, service) {
		return false
	}
	w := &d.service(service).retries
	w.retries[w.at%retryBuckets]++
	return true
}

// RetryAllowed reports whether TakeRetry would allow a retry.
func (d *Dispatcher) RetryAllowed(now time.Time, service string) bool {
	w := &d.service(service).retries
	w.advance(now, d.opts.RetryWindow)
	allowed := retryBudgetFraction * (d.opts.RetryRatio*sumBuckets(w.requests) + d.opts.RetrySlack/float64(len(d.routers)))
	return sumBuckets(w.retries)+1 <= allowed
}

// SetRetryBudget changes the retry budget of all routers together: a ratio of
// the requests, plus a fixed slack in each window.
func (d *Dispatcher) SetRetryBudget(ratio, slack float64, window time.Duration) {
	d.opts.RetryRatio, d.opts.RetrySlack = ratio, slack
	if window != d.opts.RetryWindow {
		d.opts.RetryWindow = window
		for _, s := range d.services {
			s.retries = retryWindow{}
		}
	}
}
