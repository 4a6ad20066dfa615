// Package member tracks which routers belong to the fleet and decides, from
// that view alone, which router owns a key.
//
// A Tracker learns that a router is alive in two ways: from the heartbeats that
// routers exchange directly, and from leases, the objects that each router renews
// in the platform. In a fleet of more than Limits.FullMeshMax other routers, a
// router exchanges heartbeats only with some of the routers that follow it on a
// ring of hashed names. Changes of the view spread there by gossip: messages
// carry notices of them.
//
// A Tracker performs no I/O. Its driver
//   - calls Tick several times per Limits.SilenceTimeout;
//   - sends NextHeartbeat and PendingNotices to the HeartbeatPeers, and passes
//     what arrives to HandleHeartbeat, HandleReply and HandleNotices;
//   - every RenewalInterval, renews its own lease and reads others for
//     HandleLeases or HandleSuspectLeases, as NeedsFullRead tells;
//   - takes the resulting Changes.
//
// Ownership is an optimization that avoids duplicate work, not a guarantee: two
// routers with different views may both consider themselves the owner of a key.
// Operations that must not happen twice are protected elsewhere: by object
// versions in the platform, and by core/admission, where an owner uses only the
// slots of members that have a session with it.
package member

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Router is one member of the fleet, as described by its lease and heartbeats.
type Router struct {
	Name        string `json:"name"`
	Incarnation int64  `json:"incarnation"` // increases with each start of the process
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	CallerURL   string `json:"caller_url"` // where callers connect
	PeerAddr    string `json:"peer_addr"`  // host:port of the peer listener
	OpsURL      string `json:"ops_url"`
	Leaving     bool   `json:"leaving"`
	Load        int    `json:"load,omitempty"` // open requests
}

// View is the set of member routers, sorted by name.
type View struct {
	Routers []Router
}

// NewView returns the view of the given routers.
func NewView(routers []Router) View {
	sorted := slices.Clone(routers)
	slices.SortFunc(sorted, func(a, b Router) int { return compare(a.Name, b.Name) })
	return View{Routers: sorted}
}

// Region returns the view of one region's routers.
func (v View) Region(region string) View {
	kept := slices.DeleteFunc(slices.Clone(v.Routers), func(r Router) bool { return r.Region != region })
	return View{Routers: kept}
}

// Get returns the named router.
func (v View) Get(name string) (Router, bool) {
	i, found := slices.BinarySearchFunc(v.Routers, name, func(r Router, name string) int { return compare(r.Name, name) })
	if !found {
		return Router{}, false
	}
	return v.Routers[i], true
}

// Names returns the routers' names in sorted order.
func (v View) Names() []string {
	names := make([]string, 0, len(v.Routers))
	for _, r := range v.Routers {
		names = append(names, r.Name)
	}
	return names
}

// Owner returns the router with the highest rendezvous weight for key among those
// that are not leaving, or among all if all are leaving. It returns false if the
// view is empty.
func (v View) Owner(key string) (Router, bool) {
	if len(v.Routers) == 0 {
		return Router{}, false
	}
	var best Router
	var bestWeight uint64
	for _, r := range v.Routers {
		w := weight(r.Name, key)
		switch {
		case best.Name != "" && r.Leaving && !best.Leaving:
		case best.Name == "", best.Leaving && !r.Leaving, w > bestWeight:
			best, bestWeight = r, w
		}
	}
	return best, true
}

// Rank returns the routers that are not leaving in order of decreasing rendezvous
// weight for key. If all are leaving, it ranks all of them.
func (v View) Rank(key string) []Router {
	staying := slices.DeleteFunc(slices.Clone(v.Routers), func(r Router) bool { return r.Leaving })
	if len(staying) == 0 {
		staying = slices.Clone(v.Routers)
	}
	weights := make(map[string]uint64, len(staying))
	for _, r := range staying {
		weights[r.Name] = weight(r.Name, key)
	}
	slices.SortStableFunc(staying, func(a, b Router) int { return compare(weights[b.Name], weights[a.Name]) })
	return staying
}

// weight returns the rendezvous weight of a router for key.
func weight(router, key string) uint64 {
	return xxhash.Sum64String(router + "\x00" + key)
}

func compare[T string | uint64](a, b T) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}
