package opsapi

import (
	"net/http"

	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/core/member"
)

// Status is the state of one router, and of the fleet as this router knows
// it.
type Status struct {
	Router      member.Router    `json:"router"`
	Generation  int64            `json:"generation"`  // in force here; 0: none yet
	Generations map[string]int64 `json:"generations"` // last heard of each router
	Members     []member.Router  `json:"members"`
	OpenRequests        int              `json:"open"` // open requests
	Service     []AccountService `json:"service"`
	Zones       []ZoneState      `json:"zones"`
	Endpoints   []EndpointState  `json:"endpoints"` // as declared
	Pools       []PoolState      `json:"pools"`     // owned by this router
}

// AccountService is the service of one client account over the fleet, as
// this router knows it.
type AccountService struct {
	Account string    `json:"account"`
	Share   float64   `json:"share"`
	Cost    fair.Cost `json:"cost"` // cost units
}

// ZoneState is the declared state of an availability zone.
type ZoneState struct {
	Zone   string         `json:"zone"`
	Region string         `json:"region"`
	State  manifest.State `json:"state"`
}

// EndpointState is the declared state of an endpoint.
type EndpointState struct {
	Endpoint string `json:"endpoint"`
	Pool     string `json:"pool"`
	Zone     string `json:"zone"`
	AcceptsWork     bool   `json:"open"` // neither it nor its zone is out
}

// PoolState is the state of a pool at the router that owns it.
type PoolState struct {
	Scope     string         `json:"scope"` // pool and region
	Endpoints []EndpointLoad `json:"endpoints"`
	Accounts  []AccountQueue `json:"accounts"`
}

// ServingState says how much of its slots an endpoint may get.
type ServingState string

// The states of an endpoint at its owner.
const (
	Warm   ServingState = "warm"   // proved to bear more than after a start
	Cold   ServingState = "cold"   // gets no more than it bears after a start
	Paused ServingState = "paused" // gets nothing for a while: it broke, or not all routers have reported
	Out    ServingState = "out"    // it or its zone is out
)

// EndpointLoad is the use of an endpoint as its owner knows it.
type EndpointLoad struct {
	Endpoint string `json:"endpoint"`
	State    ServingState `json:"state"`
	Busy     int    `json:"busy"`  // slots in use
	Limit    int    `json:"limit"` // slots that may be used now
}

// AccountQueue is a client account's use of a pool.
type AccountQueue struct {
	Account string `json:"account"`
	Waiting int    `json:"waiting"` // requests that wait for a slot
}

func (a *API) status(w http.ResponseWriter, r *http.Request) {
	s := Status{
		Router:      a.opts.Fleet.Self(),
		Generations: a.opts.Fleet.Generations(),
		Members:     a.opts.Fleet.View().Routers,
		OpenRequests:        a.opts.OpenRequests(),
		Service:     []AccountService{},
		Zones:       []ZoneState{},
		Endpoints:   []EndpointState{},
		Pools:       []PoolState{},
	}
	if a.opts.Pools != nil {
		s.Pools = append(s.Pools, a.opts.Pools()...)
	}
	if m := a.opts.Fleet.Manifest(); m != nil {
		a.declared(&s, m)
	}
	writeJSON(w, s)
}

// declared adds what the manifest in force says.
func (a *API) declared(s *Status, m *manifest.Manifest) {
	s.Generation = m.Generation
	local, remote := a.opts.Usage(), a.opts.Fleet.RemoteUsage()
	for _, account := range m.Accounts {
		cost := local[account.Name] + remote[account.Name]
		s.Service = append(s.Service, AccountService{Account: account.Name, Share: account.Share, Cost: cost})
	}
	for _, z := range m.Zones {
		s.Zones = append(s.Zones, ZoneState{Zone: z.Name, Region: z.Region, State: z.State})
	}
	for _, e := range m.Endpoints {
		s.Endpoints = append(s.Endpoints, EndpointState{Endpoint: e.Name, Pool: e.Pool, Zone: e.Zone, AcceptsWork: m.AcceptsWork(e)})
	}
}
