package opsapi

import (
	"net/http"

	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/core/member"
)

// Status is the state of a router, and of the fleet as that router knows it.
type Status struct {
	Router       member.Router    `json:"router"`
	Generation   int64            `json:"generation"`  // of the manifest in force at this router; 0: none yet
	Generations  map[string]int64 `json:"generations"` // last reported by each router
	Members      []member.Router  `json:"members"`
	OpenRequests int              `json:"open"` // open requests
	Service      []AccountService `json:"service"`
	Zones        []ZoneState      `json:"zones"`
	Endpoints    []EndpointState  `json:"endpoints"` // as declared
	Pools        []PoolState      `json:"pools"`     // owned by this router
}

// AccountService is the service that a client account received in the whole
// fleet, as this router knows it.
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
	Endpoint    string `json:"endpoint"`
	Pool        string `json:"pool"`
	Zone        string `json:"zone"`
	AcceptsWork bool   `json:"open"` // neither the endpoint nor its zone is out
}

// PoolState is the state of a pool at the router that owns it.
type PoolState struct {
	Scope     string         `json:"scope"` // pool and region
	Endpoints []EndpointLoad `json:"endpoints"`
	Accounts  []AccountQueue `json:"accounts"`
}

// ServingState tells how many of an endpoint's slots its owner may use.
type ServingState string

// The serving states of an endpoint.
const (
	Warm   ServingState = "warm"   // has been shown to handle more requests than right after a start
	Cold   ServingState = "cold"   // gets no more requests than it handles right after a start
	Paused ServingState = "paused" // gets no requests for now: a connection failed, or not all routers have reported
	Out    ServingState = "out"    // the endpoint or its zone is out
)

// EndpointLoad is the load of an endpoint, as the owner of its pool knows it.
type EndpointLoad struct {
	Endpoint string       `json:"endpoint"`
	State    ServingState `json:"state"`
	Busy     int          `json:"busy"`  // slots in use
	Limit    int          `json:"limit"` // slots that may be in use at present
}

// AccountQueue is the queue of a client account at a pool.
type AccountQueue struct {
	Account string `json:"account"`
	Waiting int    `json:"waiting"` // requests that wait for a slot
}

func (a *API) status(w http.ResponseWriter, r *http.Request) {
	s := Status{
		Router:       a.opts.Fleet.Self(),
		Generations:  a.opts.Fleet.Generations(),
		Members:      a.opts.Fleet.View().Routers,
		OpenRequests: a.opts.OpenRequests(),
		Service:      []AccountService{},
		Zones:        []ZoneState{},
		Endpoints:    []EndpointState{},
		Pools:        []PoolState{},
	}
	if a.opts.Pools != nil {
		s.Pools = append(s.Pools, a.opts.Pools()...)
	}
	if m := a.opts.Fleet.Manifest(); m != nil {
		a.addDeclaredState(&s, m)
	}
	writeJSON(w, s)
}

// addDeclaredState adds the state that the manifest in force declares, and the
// service received by each of its client accounts.
func (a *API) addDeclaredState(s *Status, m *manifest.Manifest) {
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
