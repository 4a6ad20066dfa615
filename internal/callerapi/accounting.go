package callerapi

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
)

// tooManyRetry is the advice to an account with too many open requests.
const tooManyRetry = time.Second

// enter counts a request of a client account in; false if it has too many
// open requests here.
func (a *API) enter(account string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byAccount[account] >= a.opts.MaxAccountRequests {
		return false
	}
	a.byAccount[account]++
	return true
}

func (a *API) leave(account string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byAccount[account]--
	if a.byAccount[account] == 0 {
		delete(a.byAccount, account)
	}
}

func tooMany() error {
	failure := code.Refuse(code.TooManyRequests, "")
	failure.RetryAfter = tooManyRetry
	return failure
}

// granted notes that a request got a slot.
func (a *API) granted(c call, endpoint string) {
	a.opts.Events.Add(eventlog.Event{Kind: eventlog.RequestGranted, Request: c.id, Account: c.account.Name, Endpoint: endpoint})
}

// tried notes the end of one try at an endpoint.
func (a *API) tried(c call, endpoint string, err error, detail string) {
	number := codeOf(err)
	klog.V(2).InfoS("caller: Try ended", "request", c.id, "account", c.account.Name, "endpoint", endpoint, "code", number, "detail", detail)
	if err == nil {
		countAnswer(code.OK)
	}
	a.opts.Events.Add(eventlog.Event{Kind: eventlog.RequestEnded, Request: c.id, Account: c.account.Name, Endpoint: endpoint, Code: number, Detail: detail})
}

// countAnswer counts the end of a request by its result code.
func countAnswer(c code.Code) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`cyclamenwinch_answers_total{code="%d"}`, int(c))).Inc()
}

func codeOf(err error) int {
	if err == nil {
		return 0
	}
	return int(code.As(err).Code)
}
