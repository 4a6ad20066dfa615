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
	for range maxTries {
		var answer endpoint.Answer
		var name string
		name, answer, err = a.plainOnce(r, c, p, avoid)
		if err == nil {
			writeAnswer(w, answer.Status, answer.ContentType, answer.Body)
			return
		}
		if !retryable(err) {
			break
		}
		avoid = append(avoid, name)
	}
	a.refuse(w, c, err)
}

func (a *API) plainOnce(r *http.Request, c call, p manifest.Pool, avoid []string) (string, endpoint.Answer, error) {
	slot, err := a.opts.Pools.Acquire(r.Context(), p.Name, pool.Request{Account: c.account.Name, Estimate: 1, Avoid: avoid})
	if err != nil {
		return "", endpoint.Answer{}, err
	}
	url, _ := a.endpointURL(slot.Endpoint)
	answer, err := a.opts.Endpoints.Do(r.Context(), endpoint.Call{
		URL:         url + r.URL.Path,
		Method:      r.Method,
		RequestID:   c.id,
		ContentType: r.Header.Get("Content-Type"),
		Body:        c.body,
		Fresh:       len(avoid) > 0,
	})
	slot.Release(outcome(err), 1, 0)
	return slot.Endpoint, answer, err
}
