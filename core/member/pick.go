package member

import (
	"cmp"
	"math"
	"slices"
)

const (
	// nearWeight and regionWeight prefer routers of the caller's zone and
	// region. They are weights and no strict order, so that an overloaded
	// zone spills over.
	nearWeight   = 16
	regionWeight = 1
	farWeight    = 1.0 / 256
)

// Location is where a caller stands; empty fields are not known.
type Location struct {
	Zone   string
	Region string
}

// Pick returns at most n routers for a caller to use, the first one first.
// Each call draws anew, by weights that fall with load: routers share the
// callers in proportion, and no load figure, however old, sends all of them
// to one router. The answer spans two zones if it can, so that a caller that
// keeps it survives the loss of one. random returns numbers in [0, 1).
func Pick(routers []Router, from Location, n int, random func() float64) []Router {
	mean := meanLoad(routers)
	type draw struct {
		router Router
		key    float64
	}
	draws := make([]draw, 0, len(routers))
	for _, r := range routers {
		// The smallest of exponential draws falls to each router in
		// proportion to its weight.
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
		return w * nearWeight
	case from.Region == "" || r.Region == from.Region:
		return w * regionWeight
	}
	return w * farWeight
}

func meanLoad(routers []Router) float64 {
	sum := 0
	for _, r := range routers {
		sum += r.Load
	}
	return float64(sum) / float64(max(1, len(routers)))
}

// spanZones returns the first n of ranked; if all are in one zone, the last
// gives way to the first of another.
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
