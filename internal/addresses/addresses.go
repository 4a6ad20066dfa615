// Package addresses answers callers that ask which routers to connect to.
package addresses

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/core/member"
)

// maxAddresses bounds an answer, however large the fleet is.
const maxAddresses = 4

// Fleet is what this package needs to know of the fleet.
type Fleet interface {
	View() member.View
	Manifest() *manifest.Manifest
}

// API answers address requests. It is safe for concurrent use.
type API struct {
	fleet Fleet
	ttl   time.Duration
}

// New returns an API whose answers may be kept for the given time.
func New(fleet Fleet, ttl time.Duration) *API { return &API{fleet: fleet, ttl: ttl} }

// Response is the answer to a caller that asks where to connect.
type Response struct {
	Addresses   []Address `json:"addresses"`    // best first
	LifetimeSec int       `json:"lifetime_sec"` // how long the answer may be kept
}

// Address is one router.
type Address struct {
	URL  string `json:"url"`
	Zone string `json:"zone"`
}

// ServeHTTP answers GET /v1/addresses?zone=NAME.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := Response{Addresses: []Address{}, LifetimeSec: int(a.ttl.Seconds())}
	for _, m := range member.Pick(a.availableRouters(), a.callerLocation(r.URL.Query().Get("zone")), maxAddresses, rand.Float64) {
		answer.Addresses = append(answer.Addresses, Address{URL: m.CallerURL, Zone: m.Zone})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", fmt.Sprintf("max-age=%d", answer.LifetimeSec))
	json.NewEncoder(w).Encode(answer)
}

// availableRouters returns the routers that may be given to callers.
func (a *API) availableRouters() []member.Router {
	return slices.DeleteFunc(slices.Clone(a.fleet.View().Routers), func(m member.Router) bool {
		return m.Leaving || a.zoneOut(m.Zone)
	})
}

// callerLocation returns where a caller of the named zone stands.
func (a *API) callerLocation(zone string) member.Location {
	m := a.fleet.Manifest()
	if m == nil {
		return member.Location{Zone: zone}
	}
	z, _ := m.Zone(zone)
	return member.Location{Zone: zone, Region: z.Region}
}

func (a *API) zoneOut(name string) bool {
	m := a.fleet.Manifest()
	if m == nil {
		return false
	}
	zone, ok := m.Zone(name)
	return ok && zone.State == manifest.Out
}
