package opsapi

import (
	"encoding/json"
	"net/http"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/order"
)

// maxSettleBytes limits the body of POST /orders/settle.
const maxSettleBytes = 4096

// SettleRequest is the body of POST /orders/settle.
type SettleRequest struct {
	Account string      `json:"account"`
	Key     string      `json:"key"`
	Outcome order.State `json:"outcome"` // order.Done or order.NotRun
}

func (a *API) getOrder(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	record, err := a.opts.Orders.Lookup(r.Context(), q.Get("account"), q.Get("key"))
	if err != nil {
		writeProblem(w, r, err)
		return
	}
	writeJSON(w, record)
}

func (a *API) listUnknownOrders(w http.ResponseWriter, r *http.Request) {
	records, err := a.opts.Orders.UnknownOrders(r.Context())
	if err != nil {
		writeProblem(w, r, err)
		return
	}
	writeJSON(w, append([]order.Record{}, records...))
}

func (a *API) settleOrder(w http.ResponseWriter, r *http.Request) {
	var s SettleRequest
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSettleBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		writeProblem(w, r, code.Refuse(code.BadRequest, err.Error()))
		return
	}
	if s.Outcome != order.Done && s.Outcome != order.NotRun {
		writeProblem(w, r, code.Refuse(code.BadRequest, `outcome is "`+string(s.Outcome)+`": want "done" or "not_run"`))
		return
	}
	record, err := a.opts.Orders.Settle(r.Context(), s.Account, s.Key, s.Outcome)
	if err != nil {
		writeProblem(w, r, err)
		return
	}
	writeJSON(w, record)
}
