// Package opsapi serves operators and the command line: state, time line,
// orders, metrics. It listens apart from the callers' listener and has its
// own credential.
//
// Every refusal is a problem document with a numbered code. Only /health and
// /ready need no credential; they tell nothing but whether the router serves.
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

// Fleet is what this package needs to know of the fleet.
type Fleet interface {
	Self() member.Router
	View() member.View
	Manifest() *manifest.Manifest
	Generations() map[string]int64
	RemoteUsage() map[string]fair.Cost
}

// Orders reads and settles the records of orders. Errors are *code.Error.
type Orders interface {
	// Lookup returns the record of a client account's key.
	Lookup(ctx context.Context, account, key string) (order.Record, error)
	// UnknownOrders returns the records whose outcome is not known.
	UnknownOrders(ctx context.Context) ([]order.Record, error)
	// Settle gives an order of unknown outcome the outcome that the operator
	// has found: order.Done or order.NotRun. It returns the record as it
	// stands then; if the endpoint knows better, its word counts.
	Settle(ctx context.Context, account, key string, outcome order.State) (order.Record, error)
}

// Options configure an API.
type Options struct {
	Fleet  Fleet
	Events *eventlog.Log
	Token  string
	OpenRequests   func() int                  // open requests
	Usage  func() map[string]fair.Cost // charged by this router
	Pools  func() []PoolState          // owned by this router; nil: none
	Orders Orders                      // nil: /orders is not served

	Quarantine Quarantine // nil: /quarantine is not served
}

// API serves operators. It is safe for concurrent use.
type API struct{ opts Options }

// New returns an API.
func New(opts Options) *API { return &API{opts: opts} }

// Handler returns the HTTP handler.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /ready", a.ready)
	mux.HandleFunc("GET /status", a.guard(a.status))
	mux.HandleFunc("GET /timeline", a.guard(a.timeline))
	mux.HandleFunc("GET /metrics", a.guard(a.metrics))
	if a.opts.Orders != nil {
		mux.HandleFunc("GET /orders", a.guard(a.lookUp))
		mux.HandleFunc("GET /orders/unknown", a.guard(a.unknown))
		mux.HandleFunc("POST /orders/settle", a.guard(a.settle))
	}
	if a.opts.Quarantine != nil {
		mux.HandleFunc("GET /quarantine", a.guard(a.suspects))
		mux.HandleFunc("POST /quarantine/lift", a.guard(a.lift))
	}
	mux.HandleFunc("/", a.guard(func(w http.ResponseWriter, r *http.Request) {
		refuse(w, r, code.Refuse(code.UnknownPath, r.Method+" "+r.URL.Path))
	}))
	return mux
}

// guard refuses a request without the operators' credential. Digests are
// compared in constant time, so the time taken tells nothing about it.
func (a *API) guard(next http.HandlerFunc) http.HandlerFunc {
	want := sha256.Sum256([]byte(a.opts.Token))
	return func(w http.ResponseWriter, r *http.Request) {
		token, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare(got[:], want[:]) != 1 || !bearer {
			refuse(w, r, code.Refuse(code.NotAuthorized, ""))
			return
		}
		next(w, r)
	}
}

// ready answers 200 while the router takes new work.
func (a *API) ready(w http.ResponseWriter, r *http.Request) {
	if err := a.readiness(); err != nil {
		refuse(w, r, err)
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

func refuse(w http.ResponseWriter, r *http.Request, err error) {
	failure := code.As(err)
	klog.V(2).InfoS("operators: Call refused", "path", r.URL.Path, "code", int(failure.Code), "detail", failure.Detail)
	w.Header().Set("Content-Type", code.ProblemType)
	w.WriteHeader(failure.Code.Info().Status)
	json.NewEncoder(w).Encode(code.NewProblem(failure, ""))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
