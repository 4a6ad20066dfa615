package dispatch

import (
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

// unorderedHold is how long endpoints of another version than those of their service get
// no requests. An order to bring it in may be on its way: records of endpoints and orders
// take different ways, and 0.3 s between them would be 5 requests of each router.
const unorderedHold = 1500 * time.Millisecond

// serviceVersion is a version of the software of a service's endpoints.
type serviceVersion struct{ service, version string }

// knownVersions holds back versions that have just appeared beside others.
type knownVersions struct {
	seen      map[serviceVersion]bool
	heldUntil map[serviceVersion]time.Time
	others    map[serviceVersion]bool // versions beside which the service has another one that is not held
}

// update applies the endpoints that exist. A version that was not seen before is held for
// a time if its service has, and had, endpoints of others.
func (k *knownVersions) update(now time.Time, on bool, endpoints []topology.Endpoint) {
	if !on {
		return
	}
	listed, services := map[serviceVersion]bool{}, map[string]bool{}
	for v := range k.seen {
		services[v.service] = true
	}
	for i := range endpoints {
		if e := &endpoints[i]; !e.Draining {
			listed[serviceVersion{e.Service, e.Version}] = true
		}
	}
	if k.seen == nil {
		k.seen, k.heldUntil = map[serviceVersion]bool{}, map[serviceVersion]time.Time{}
	}
	for v := range listed {
		if !k.seen[v] && services[v.service] {
			k.heldUntil[v] = now.Add(unorderedHold)
		}
		k.seen[v] = true
	}
	k.others = map[serviceVersion]bool{}
	for v := range listed {
		for o := range listed {
			if _, held := k.heldUntil[o]; o.service == v.service && o.version != v.version && !held {
				k.others[v] = true
			}
		}
	}
}

// release ends the holds that are over, and reports whether there were any.
func (k *knownVersions) release(now time.Time) (released bool) {
	for v, until := range k.heldUntil {
		if !now.Before(until) {
			delete(k.heldUntil, v)
			released = true
		}
	}
	return released
}

// versionHeld reports whether the version of an endpoint has just appeared, and there is no
// order for it yet.
func (d *Dispatcher) versionHeld(ep *endpointState) bool {
	v := serviceVersion{ep.Service, ep.Version}
	if _, held := d.versions.heldUntil[v]; !held || !d.versions.others[v] {
		return false
	}
	s := d.rollouts.Get(ep.Service)
	return s == nil || s.Current == nil || s.Current.Target != ep.Version
}
