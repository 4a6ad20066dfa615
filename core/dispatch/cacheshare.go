package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/grid"
)

const (
	// MinLongerRunning is how much longer than this router another one must have been
	// running to be asked for its estimates. Routers that started together know as
	// little as each other, and a fleet is restarted within seconds.
	MinLongerRunning = 5 * time.Second
	// MaxPeersAsked is how many routers are asked for their estimates, one after the
	// other.
	MaxPeersAsked = 3
	// maxSharedParts limits the parts passed on for one endpoint. The shared parts that
	// requests still use are some hundred.
	maxSharedParts = 512
	// MaxSharedBytes limits the encoded size of the parts passed on. Each endpoint gets an
	// equal share of it.
	MaxSharedBytes = 1 << 20
	// sharedPartBytes is the largest encoded size of a part: 8 bytes, and 5 for its age.
	sharedPartBytes = 13
	// sharedEndpointBytes is the encoded size of an endpoint's ID and start time; IDs have
	// some 20 bytes.
	sharedEndpointBytes = 56
)

// SharedPart is a prompt part that an endpoint probably has cached and other requests
// may have.
type SharedPart struct {
	ID  uint64
	Age int // tokens added to the endpoint's memory since its last use
}

// EndpointCache is what a router knows to be cached at one incarnation of an endpoint.
type EndpointCache struct {
	Endpoint    string
	StartMillis int64
	Parts       []SharedPart
}

// EndpointIDs returns the IDs of all endpoints, sorted.
func (d *Dispatcher) EndpointIDs() []string {
	ids := make([]string, 0, len(d.sortedEndpoints))
	for _, ep := range d.sortedEndpoints {
		ids = append(ids, ep.ID)
	}
	return ids
}

// SharedCache returns the shared parts that an endpoint probably has cached, in no order.
func (d *Dispatcher) SharedCache(id string) EndpointCache {
	ep, ok := d.endpoints[id]
	if !ok {
		return EndpointCache{}
	}
	c := EndpointCache{Endpoint: id, StartMillis: ep.StartMillis}
	memory := retainedTokens(d.engine(ep.Service))
	for part, use := range ep.cache.lastUse {
		if age := ep.cache.insertedTokens - use.at(); use.shared() && age <= memory {
			c.Parts = append(c.Parts, SharedPart{ID: part, Age: age})
		}
	}
	return c
}

// LimitShared sorts the parts by their last use, the newest first, and removes those
// beyond what is passed on for one of that many endpoints.
func (c *EndpointCache) LimitShared(endpoints int) {
	slices.SortFunc(c.Parts, func(a, b SharedPart) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.ID, b.ID)) })
	affordable := (MaxSharedBytes/max(endpoints, 1) - sharedEndpointBytes) / sharedPartBytes
	c.Parts = c.Parts[:max(0, min(len(c.Parts), maxSharedParts, affordable))]
}

// MergeCache adds what another router knows to be cached at an endpoint. A use that this
// router knows and that is newer is kept. It returns the number of parts that were not
// known, and false if the estimates are of another incarnation of the endpoint.
func (d *Dispatcher) MergeCache(c EndpointCache) (added int, ok bool) {
	ep, known := d.endpoints[c.Endpoint]
	if !known || ep.StartMillis != c.StartMillis {
		return 0, false
	}
	for _, p := range c.Parts {
		at := ep.cache.insertedTokens - max(p.Age, 0)
		use, known := ep.cache.lastUse[p.ID]
		switch {
		case !known:
			added++
		case use.at() >= at:
			at = use.at()
		}
		ep.cache.lastUse[p.ID] = newPartUse(at, true)
	}
	d.trimCache(ep)
	return added, true
}

// RunningRouter is another live router, as known from its heartbeats.
type RunningRouter struct {
	Name, Zone string
	Uptime     time.Duration // by this router's clock
}

// PeersToAsk returns the routers that a router which has started asks for their
// estimates, in this order: those that have been running for longer, those of its
// availability zone first. Routers that start together choose different ones.
func PeersToAsk(self, zone string, uptime time.Duration, live []RunningRouter) (names []string) {
	older := slices.DeleteFunc(slices.Clone(live), func(r RunningRouter) bool { return r.Name == self || r.Uptime-uptime <= MinLongerRunning })
	key := xxhash.Sum64String(self)
	slices.SortFunc(older, func(a, b RunningRouter) int {
		if inZone := a.Zone == zone; inZone != (b.Zone == zone) {
			if inZone {
				return -1
			}
			return 1
		}
		return cmp.Compare(grid.Weight(key, b.Name), grid.Weight(key, a.Name))
	})
	for _, r := range older[:min(len(older), MaxPeersAsked)] {
		names = append(names, r.Name)
	}
	return names
}
