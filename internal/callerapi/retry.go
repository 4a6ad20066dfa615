package callerapi

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/retry"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
)

// The retry budget that each router keeps for each pool.
const (
	retryRatio = 0.2 // retries added by a successful request
	// maxRetryTokens is the size of the budget. It covers the retries when
	// many endpoints fail at once.
	maxRetryTokens   = 100.0
	budgetRetryAfter = time.Second // Retry-After when the budget is exhausted
)

// mayRetry takes a retry from the pool's budget and records that the request
// is retried after the given failure. It returns false if the budget is
// exhausted.
func (a *API) mayRetry(c call, pool string, failure error) bool {
	a.mu.Lock()
	allowed := a.budget(pool).Take()
	a.mu.Unlock()
	if !allowed {
		return false
	}
	metrics.GetOrCreateCounter("cyclamenwinch_request_retries_total").Inc()
	a.opts.Events.Add(eventlog.Event{Kind: eventlog.RequestRetried, Request: c.id, Account: c.account.Name, Code: codeOf(failure), Detail: failure.Error()})
	return true
}

// recordSuccess replenishes the pool's retry budget after a successful
// request.
func (a *API) recordSuccess(pool string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget(pool).Succeeded()
}

// budget returns a pool's retry budget. The caller holds mu.
func (a *API) budget(pool string) *retry.Budget {
	b, ok := a.retries[pool]
	if !ok {
		b = retry.NewBudget(retryRatio, maxRetryTokens)
		a.retries[pool] = b
	}
	return b
}

// retryBudgetExhausted returns the error of a request that failed with err and
// is not retried because the pool's retry budget is exhausted.
func retryBudgetExhausted(err error) error {
	failure := code.As(err)
	return &code.Error{Code: code.RetryBudget, NotRun: failure.NotRun, Detail: failure.Error(), RetryAfter: budgetRetryAfter}
}

// bothSilent reports whether two attempts in a row ended because the endpoint
// sent nothing. The request is then not sent to a third endpoint.
func bothSilent(previous, last error) bool {
	return codeOf(previous) == int(code.Silent) && codeOf(last) == int(code.Silent)
}

// retryable reports whether the request may be sent to another endpoint.
func retryable(err error) bool {
	switch code.Code(codeOf(err)) {
	case code.EndpointError, code.Truncated, code.Silent, code.CrossedAnswer, code.Unreachable:
		return true
	}
	return false
}

// combineErrors returns the error of a request from the error of its earlier
// attempts and that of the last one. If an earlier attempt may have run the
// request and the last one certainly did not, the earlier error is returned,
// so that the request is not reported as not run.
func combineErrors(earlier, last error) error {
	if earlier == nil || last == nil {
		return last
	}
	earlierFailure, refusal := code.As(earlier), code.As(last)
	if earlierFailure.NotRun || !refusal.NotRun {
		return last
	}
	combined := code.Fail(earlierFailure.Code, earlierFailure.Detail+"; no further attempt: "+refusal.Error())
	combined.RetryAfter = refusal.RetryAfter
	return combined
}
