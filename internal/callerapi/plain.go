package callerapi

import (
	"net/http"

	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/endpoint"
	"github.com/cyclamenwinch/cyclamenwinch/internal/pool"
)

// plain serves a call of a plain service, which may be repeated.
func (a *API) plain(w http.ResponseWriter, r *http.Request, c call, p manifest.Pool) {
	var avoid []string
	var err error
	for try := range maxTries {
		name, answer, last := a.plainOnce(r, c, p, avoid)
		if last == nil {
			a.succeeded(p.Name)
			writeAnswer(w, answer.Status, answer.ContentType, answer.Body)
			return
		}
		waited := bothSilent(err, last)
		err = joinTries(err, last)
		if waited || !retryable(last) || r.Context().Err() != nil {
			break
		}
		if try+1 < maxTries && !a.mayRetry(c, p.Name, last) {
			err = budgetUsedUp(err)
			break
		}
		avoid = append(avoid, name)
	}
	a.refuse(w, c, err)
}

func (a *API) plainOnce(r *http.Request, c call, p manifest.Pool, avoid []string) (string, endpoint.Response, error) {
	slot, err := a.opts.Pools.Acquire(r.Context(), p.Name, pool.Request{Account: c.account.Name, Estimate: 1, Avoid: avoid})
	if err != nil {
		return "", endpoint.Response{}, err
	}
	a.granted(c, slot.Endpoint)
	url, _ := a.endpointURL(slot.Endpoint)
	answer, err := a.opts.Endpoints.Do(r.Context(), endpoint.Call{
		URL:           url + r.URL.RequestURI(),
		Method:        r.Method,
		RequestID:     c.id,
		ContentType:   r.Header.Get("Content-Type"),
		Body:          c.body,
		NewConnection: len(avoid) > 0,
	})
	slot.Release(outcome(err), 1, 0)
	a.tried(c, slot.Endpoint, err, "")
	return slot.Endpoint, answer, err
}
