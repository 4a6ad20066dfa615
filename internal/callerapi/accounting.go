package callerapi

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
)

// tooManyRequestsRetryAfter is the Retry-After of a request that is refused
// because its client account has too many open requests.
const tooManyRequestsRetryAfter = time.Second

// startRequest counts an open request of a client account. It returns false
// if the account has reached its limit of open requests at this router.
func (a *API) startRequest(account string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.openByAccount[account] >= a.opts.MaxAccountRequests {
		return false
	}
	a.openByAccount[account]++
	return true
}

func (a *API) endRequest(account string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.openByAccount[account]--
	if a.openByAccount[account] == 0 {
		delete(a.openByAccount, account)
	}
}

func tooManyRequests() error {
	failure := code.Refuse(code.TooManyRequests, "")
	failure.RetryAfter = tooManyRequestsRetryAfter
	return failure
}

// recordGrant adds to the events that a request was granted a slot.
func (a *API) recordGrant(c call, endpoint string) {
	a.opts.Events.Add(eventlog.Event{Kind: eventlog.RequestGranted, Request: c.id, Account: c.account.Name, Endpoint: endpoint})
}

// recordAttempt logs the end of an attempt at an endpoint and adds it to the
// events. A successful attempt completes its request and is counted here.
func (a *API) recordAttempt(c call, endpoint string, err error, detail string) {
	resultCode := codeOf(err)
	klog.V(2).InfoS("caller: Attempt ended", "request", c.id, "account", c.account.Name, "endpoint", endpoint, "code", resultCode, "detail", detail)
	if err == nil {
		countResult(code.OK)
	}
	a.opts.Events.Add(eventlog.Event{Kind: eventlog.RequestEnded, Request: c.id, Account: c.account.Name, Endpoint: endpoint, Code: resultCode, Detail: detail})
}

// countResult counts a request that has ended by its result code.
func countResult(c code.Code) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`cyclamenwinch_answers_total{code="%d"}`, int(c))).Inc()
}

func codeOf(err error) int {
	if err == nil {
		return 0
	}
	return int(code.As(err).Code)
}
