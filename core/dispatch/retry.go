package dispatch

import "time"

const (
	// retryBuckets divide the window of the retry budget.
	retryBuckets = 20
	// retryBudgetFraction is the part of the fleet's budget that is used: requests
	// that an endpoint turned away count too.
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

// RecordRequest counts a client's request for the budget of its service.
func (d *Dispatcher) RecordRequest(now time.Time, service string) {
	w := &d.service(service).retries
	w.advance(now, d.opts.RetryWindow)
	w.requests[w.at%retryBuckets]++
}

// TakeRetry counts one more send of a request that was sent before, and
// reports whether the budget allows it. Each router uses its own requests'
// part and an even part of the slack, so the sum holds under any partition.
func (d *Dispatcher) TakeRetry(now time.Time, service string) bool {
	w := &d.service(service).retries
	w.advance(now, d.opts.RetryWindow)
	allowed := retryBudgetFraction * (d.opts.RetryRatio*sumBuckets(w.requests) + d.opts.RetrySlack/float64(len(d.routers)))
	if sumBuckets(w.retries)+1 > allowed {
		return false
	}
	w.retries[w.at%retryBuckets]++
	return true
}

// SetRetryBudget changes the budget of retries: a part of the requests, and a
// number beyond it in each window, of all routers together.
func (d *Dispatcher) SetRetryBudget(ratio, slack float64, window time.Duration) {
	d.opts.RetryRatio, d.opts.RetrySlack = ratio, slack
	if window != d.opts.RetryWindow {
		d.opts.RetryWindow = window
		for _, s := range d.services {
			s.retries = retryWindow{}
		}
	}
}
