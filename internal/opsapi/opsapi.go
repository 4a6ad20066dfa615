// Package opsapi serves operators and the command line: state, time line,
// metrics. It listens apart from the callers' listener and has its own
// credential.
package opsapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/core/member"
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

// Options configure an API.
type Options struct {
	Fleet  Fleet
	Events *eventlog.Log
	Token  string
	Open   func() int                  // open requests
	Usage  func() map[string]fair.Cost // charged by this router
}

// API serves operators.
type API struct{ opts Options }

// Status is the state of one router.
type Status struct {
	Router      member.Router    `json:"router"`
	Generation  int64            `json:"generation"`  // in force here
	Generations map[string]int64 `json:"generations"` // last heard of each router
	Members     []member.Router  `json:"members"`
	Open        int              `json:"open"`
	Service     []AccountService `json:"service"`
}

// AccountService is the service of one client account over the fleet, as
// this router knows it.
type AccountService struct {
	Account string    `json:"account"`
	Share   float64   `json:"share"`
	Cost    fair.Cost `json:"cost"` // cost units
}

// New returns an API.
func New(opts Options) *API { return &API{opts: opts} }

// Handler returns the HTTP handler.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", a.guard(a.status))
	mux.HandleFunc("GET /timeline", a.guard(a.timeline))
	mux.HandleFunc("GET /metrics", a.guard(func(w http.ResponseWriter, r *http.Request) {
		metrics.WritePrometheus(w, true)
	}))
	return mux
}

// guard refuses a request without the operators' credential.
func (a *API) guard(next http.HandlerFunc) http.HandlerFunc {
	want := sha256.Sum256([]byte(a.opts.Token))
	return func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")))
		if subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			http.Error(w, code.NotAuthorized.String(), http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

func (a *API) status(w http.ResponseWriter, r *http.Request) {
	s := Status{
		Router:      a.opts.Fleet.Self(),
		Generations: a.opts.Fleet.Generations(),
		Members:     a.opts.Fleet.View().Routers,
		Open:        a.opts.Open(),
		Service:     []AccountService{},
	}
	local, remote := a.opts.Usage(), a.opts.Fleet.RemoteUsage()
	if m := a.opts.Fleet.Manifest(); m != nil {
		s.Generation = m.Generation
		for _, account := range m.Accounts {
			cost := local[account.Name] + remote[account.Name]
			s.Service = append(s.Service, AccountService{Account: account.Name, Share: account.Share, Cost: cost})
		}
	}
	writeJSON(w, s)
}

func (a *API) timeline(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, a.opts.Events.All())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
