// Package addresses serves the API through which callers look up the routers to
// connect to.
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

// maxAddresses limits the addresses in a response, however large the fleet is.
const maxAddresses = 4

// Fleet provides the view of the fleet and the manifest in force.
type Fleet interface {
	View() member.View
	Manifest() *manifest.Manifest
}

// API serves address requests. It is safe for concurrent use.
type API struct {
	fleet Fleet
	ttl   time.Duration
}

// New returns an API whose responses may be cached for the given time.
func New(fleet Fleet, ttl time.Duration) *API { return &API{fleet: fleet, ttl: ttl} }

// Response lists the routers that a caller may connect to.
type Response struct {
	Addresses   []Address `json:"addresses"`    // best first
	LifetimeSec int       `json:"lifetime_sec"` // how long the response may be cached, in seconds
}

// Address is the address of one router.
type Address struct {
	URL  string `json:"url"`
	Zone string `json:"zone"`
}

// ServeHTTP serves GET /v1/addresses?zone=NAME.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	response := Response{Addresses: []Address{}, LifetimeSec: int(a.ttl.Seconds())}
	for _, m := range member.Pick(a.availableRouters(), a.callerLocation(r.URL.Query().Get("zone")), maxAddresses, rand.Float64) {
		response.Addresses = append(response.Addresses, Address{URL: m.CallerURL, Zone: m.Zone})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", fmt.Sprintf("max-age=%d", response.LifetimeSec))
	json.NewEncoder(w).Encode(response)
}

// availableRouters returns the routers that are neither leaving nor in a zone
// that is out.
func (a *API) availableRouters() []member.Router {
	return slices.DeleteFunc(slices.Clone(a.fleet.View().Routers), func(m member.Router) bool {
		return m.Leaving || a.zoneOut(m.Zone)
	})
}

// callerLocation returns the location of a caller in the named zone.
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
