package member

import (
	"cmp"
	"math"
	"slices"
)

const (
	// zoneWeight, regionWeight and remoteWeight prefer routers in the caller's
	// zone, then those in its region. They are weights instead of a strict order,
	// so that an overloaded zone spills over.
	zoneWeight   = 16
	regionWeight = 1
	remoteWeight = 1.0 / 256
)

// Location is the zone and region of a caller; an empty field means unknown.
type Location struct {
	Zone   string
	Region string
}

// Pick returns at most n routers for a caller to use, in order of preference.
// Each call makes a new random draw with weights that decrease with load.
// Routers therefore receive callers in proportion to their weights, and not even
// an outdated load figure directs all callers to one router. The result spans two
// zones if possible, so that a caller that keeps it survives the loss of a zone.
// random returns numbers in [0, 1).
func Pick(routers []Router, from Location, n int, random func() float64) []Router {
	mean := meanLoad(routers)
	type draw struct {
		router Router
		key    float64
	}
	draws := make([]draw, 0, len(routers))
	for _, r := range routers {
		// The probability that a router has the smallest of these exponential
		// variates is proportional to its weight.
		key := -math.Log(1-random()) / weightFor(r, from, mean)
		draws = append(draws, draw{router: r, key: key})
	}
	slices.SortFunc(draws, func(a, b draw) int { return cmp.Compare(a.key, b.key) })
	ranked := make([]Router, 0, len(draws))
	for _, d := range draws {
		ranked = append(ranked, d.router)
	}
	return spanZones(ranked, min(n, len(ranked)))
}

func weightFor(r Router, from Location, mean float64) float64 {
	w := (1 + mean) / (1 + float64(r.Load))
	switch {
	case from.Zone != "" && r.Zone == from.Zone:
		return w * zoneWeight
	case from.Region == "" || r.Region == from.Region:
		return w * regionWeight
	}
	return w * remoteWeight
}

func meanLoad(routers []Router) float64 {
	sum := 0
	for _, r := range routers {
		sum += r.Load
	}
	return float64(sum) / float64(max(1, len(routers)))
}

// spanZones returns the first n of ranked. If all of these are in one zone, it
// replaces the last by the first router of another zone.
func spanZones(ranked []Router, n int) []Router {
	if n < 2 {
		return ranked[:n]
	}
	first := ranked[0].Zone
	other := slices.IndexFunc(ranked, func(r Router) bool { return r.Zone != first })
	if other >= n {
		ranked[n-1] = ranked[other]
	}
	return ranked[:n]
}
