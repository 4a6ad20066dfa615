// Package opsapi implements the HTTP API for operators and the command line:
// state, timeline, orders, quarantine and metrics. It has a listener and a
// credential of its own, separate from those of the callers' API.
//
// Every error response is a problem document with a numeric code. Only /health
// and /ready need no credential; they reveal only whether the router serves.
package opsapi

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"

	"k8s.io/klog/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/core/order"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
)

// Fleet provides the state of the fleet as this router knows it.
type Fleet interface {
	Self() member.Router
	View() member.View
	Manifest() *manifest.Manifest
	Generations() map[string]int64
	RemoteUsage() map[string]fair.Cost
}

// Orders looks up and settles the records of orders. Errors are *code.Error.
type Orders interface {
	// Lookup returns the record of an idempotency key of a client account.
	Lookup(ctx context.Context, account, key string) (order.Record, error)
	// UnknownOrders returns the records of orders whose outcome is unknown.
	UnknownOrders(ctx context.Context) ([]order.Record, error)
	// Settle sets the outcome of an order whose outcome is unknown to what the
	// operator found out: order.Done or order.NotRun. If the endpoint reports
	// an outcome itself, that one takes precedence. Settle returns the updated
	// record.
	Settle(ctx context.Context, account, key string, outcome order.State) (order.Record, error)
}

// Options configure an API.
type Options struct {
	Fleet        Fleet
	Events       *eventlog.Log
	Token        string
	OpenRequests func() int                  // open requests
	Usage        func() map[string]fair.Cost // cost per client account charged by this router
	Pools        func() []PoolState          // state of the pools that this router owns; may be nil
	Orders       Orders                      // nil: /orders is not served

	Quarantine Quarantine // nil: /quarantine is not served
}

// API is the operators' API. It is safe for concurrent use.
type API struct{ opts Options }

// New returns an API.
func New(opts Options) *API { return &API{opts: opts} }

// Handler returns the HTTP handler.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /ready", a.ready)
	mux.HandleFunc("GET /status", a.requireToken(a.status))
	mux.HandleFunc("GET /timeline", a.requireToken(a.timeline))
	mux.HandleFunc("GET /metrics", a.requireToken(a.metrics))
	if a.opts.Orders != nil {
		mux.HandleFunc("GET /orders", a.requireToken(a.getOrder))
		mux.HandleFunc("GET /orders/unknown", a.requireToken(a.listUnknownOrders))
		mux.HandleFunc("POST /orders/settle", a.requireToken(a.settleOrder))
	}
	if a.opts.Quarantine != nil {
		mux.HandleFunc("GET /quarantine", a.requireToken(a.listSuspects))
		mux.HandleFunc("POST /quarantine/lift", a.requireToken(a.liftQuarantine))
	}
	mux.HandleFunc("/", a.requireToken(func(w http.ResponseWriter, r *http.Request) {
		writeProblem(w, r, code.Refuse(code.UnknownPath, r.Method+" "+r.URL.Path))
	}))
	return mux
}

// requireToken rejects requests without the operators' bearer token. It compares
// digests in constant time, so that response times reveal nothing about the
// token.
func (a *API) requireToken(next http.HandlerFunc) http.HandlerFunc {
	want := sha256.Sum256([]byte(a.opts.Token))
	return func(w http.ResponseWriter, r *http.Request) {
		token, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare(got[:], want[:]) != 1 || !bearer {
			writeProblem(w, r, code.Refuse(code.NotAuthorized, ""))
			return
		}
		next(w, r)
	}
}

// ready responds with 200 while the router accepts new work.
func (a *API) ready(w http.ResponseWriter, r *http.Request) {
	if err := a.readiness(); err != nil {
		writeProblem(w, r, err)
	}
}

func (a *API) readiness() error {
	if a.opts.Fleet.Self().Leaving {
		return code.Refuse(code.Stopping, "")
	}
	if a.opts.Fleet.Manifest() == nil {
		return code.Refuse(code.NoManifest, "")
	}
	return nil
}

func writeProblem(w http.ResponseWriter, r *http.Request, err error) {
	failure := code.As(err)
	klog.V(2).InfoS("operators: Request rejected", "path", r.URL.Path, "code", int(failure.Code), "detail", failure.Detail)
	w.Header().Set("Content-Type", code.ProblemType)
	w.WriteHeader(failure.Code.Info().Status)
	json.NewEncoder(w).Encode(code.NewProblem(failure, ""))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
