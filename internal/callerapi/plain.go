package callerapi

import (
	"fmt"
	"net/http"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/endpoint"
	"github.com/cyclamenwinch/cyclamenwinch/internal/pool"
)

// plain serves a request to a plain service. Such requests may be run more
// than once and are therefore retried.
func (a *API) plain(w http.ResponseWriter, r *http.Request, c call, p manifest.Pool) {
	var avoid []string
	var err error
	for attempt := range maxAttempts {
		name, resp, last := a.attemptPlain(r, c, p, avoid)
		if last == nil {
			a.recordSuccess(p.Name)
			writeResponse(w, resp.Status, resp.ContentType, resp.Body)
			return
		}
		silentTwice := bothSilent(err, last)
		err = combineErrors(err, last)
		if silentTwice || !retryable(last) || r.Context().Err() != nil {
			break
		}
		if attempt+1 < maxAttempts && !a.mayRetry(c, p.Name, last) {
			err = retryBudgetExhausted(err)
			break
		}
		avoid = append(avoid, name)
	}
	a.refuse(w, c, err)
}

// attemptPlain acquires a slot and sends the request to its endpoint, whose
// name it returns too.
func (a *API) attemptPlain(r *http.Request, c call, p manifest.Pool, avoid []string) (string, endpoint.Response, error) {
	req := pool.Request{Account: c.account.Name, Estimate: 1, Avoid: avoid}
	identity := fingerprint([]byte(r.Method), []byte(r.URL.RequestURI()), []byte(c.account.Name), c.body)
	if len(c.body) > 0 {
		req.Fingerprint = identity
	} else {
		req.Parts = []uint64{identity} // unrelated requests may look the same
	}
	slot, err := a.opts.Pools.Acquire(r.Context(), p.Name, req)
	if err != nil {
		return "", endpoint.Response{}, addFingerprint(err, identity)
	}
	a.recordGrant(c, slot.Endpoint)
	url, _ := a.endpointURL(slot.Endpoint)
	resp, err := a.opts.Endpoints.Do(r.Context(), endpoint.Call{
		URL:           url + r.URL.RequestURI(),
		Method:        r.Method,
		RequestID:     c.id,
		ContentType:   r.Header.Get("Content-Type"),
		Body:          c.body,
		NewConnection: len(avoid) > 0,
		Memory:        c.reserveResponse(slot.Endpoint),
	})
	if err == nil {
		slot.RecordBegun()
	}
	if err == nil && code.PromisesNotRun(resp.Status) {
		err = code.Fail(code.EndpointError, fmt.Sprintf("the endpoint responded with status %d", resp.Status))
	}
	slot.Release(a.outcome(err), 1, 0)
	a.recordAttempt(c, slot.Endpoint, err, "")
	return slot.Endpoint, resp, err
}
