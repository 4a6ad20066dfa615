package rollout

import (
	"maps"
	"slices"
	"time"
)

// Figure is an index of Counts.
type Figure int

// The figures of the evidence. Those of the time take a response as slow against the
// mean of the old endpoints' responses on the same route, as the same router observes
// it, relative to what the load predicts.
const (
	Responses   Figure = iota // that ended, failures among them
	Failures                  // error responses, and responses cut off
	Lost                      // requests lost when the connections of an endpoint broke at once
	TimedFirst                // first events that were timed
	SlowFirst                 // of these, slow ones
	TimedTokens               // responses whose time per token was observed
	SlowTokens                // of these, slow ones
	NumFigures
)

// Counts is the evidence of a version on a route. Counts only increase.
type Counts [NumFigures]uint64

func (c *Counts) add(o Counts) {
	for i, n := range o {
		c[i] += n
	}
}

// since returns what was counted after an earlier state. It is zero if a count has
// decreased: the router has started again, or the sum is of other routers.
func (c Counts) since(before Counts) (out Counts) {
	for i, n := range c {
		if n < before[i] {
			return Counts{}
		}
		out[i] = n - before[i]
	}
	return out
}

// RouteEvidence is what was observed on one route since the order.
type RouteEvidence struct {
	Route    string
	Old, New Counts // of endpoints of other versions, and of the target
}

// Evidence is what a router, or a row of routers, reports of a roll-out.
type Evidence struct {
	Service, Target string
	Created         int64 // of the order
	Stage           Stage
	Age             time.Duration // of the order; 0: not known
	Behind          int           // routers that may still send requests to old endpoints
	Routes          []RouteEvidence
}

// of reports whether the evidence is of an order. A store that has been restored may have
// given the order another creation.
func (e Evidence) of(o Order) bool {
	return e.Service == o.Service && e.Target == o.Target && e.Created == o.Created
}

// Add adds the evidence of another router on the same order.
func (e *Evidence) Add(o Evidence) {
	e.Stage, e.Age, e.Behind = max(e.Stage, o.Stage), max(e.Age, o.Age), e.Behind+o.Behind
	for _, route := range o.Routes {
		i := slices.IndexFunc(e.Routes, func(r RouteEvidence) bool { return r.Route == route.Route })
		if i < 0 {
			e.Routes = append(e.Routes, route)
			continue
		}
		e.Routes[i].Old.add(route.Old)
		e.Routes[i].New.add(route.New)
	}
}

// Same reports whether two reports are of the same order.
func (e Evidence) Same(o Evidence) bool {
	return e.Service == o.Service && e.Target == o.Target && e.Created == o.Created
}

// peerAge is how long a peer's report of its stage counts.
const peerAge = 2 * time.Second

// peerEvidence is the newest report of a peer.
type peerEvidence struct {
	at     time.Time
	behind int
	routes map[string]RouteEvidence
}

// Evidence returns this router's report.
func (r *Rollout) Evidence(now time.Time) Evidence {
	e := Evidence{Service: r.Service, Target: r.Target, Created: r.Created, Stage: r.Stage}
	if r.ageKnown {
		e.Age = r.Age(now)
	}
	if r.Stage < Draining {
		e.Behind = 1
	}
	if r.Stage >= RolledBack {
		return e // decided
	}
	for _, name := range slices.Sorted(maps.Keys(r.routes)) {
		if route := r.routes[name]; route.own.Old != (Counts{}) || route.own.New != (Counts{}) {
			e.Routes = append(e.Routes, route.own)
		}
	}
	return e
}

// Merge applies the report of a peer, or of a row under its name. It reports whether the
// stage has changed.
func (r *Rollout) Merge(now time.Time, peer string, e Evidence) bool {
	if !e.of(r.Order) {
		return false
	}
	p := r.peers[peer]
	if p == nil {
		p = &peerEvidence{routes: map[string]RouteEvidence{}}
		r.peers[peer] = p
	}
	p.at, p.behind = now, e.Behind
	for _, route := range e.Routes {
		before := p.routes[route.Route]
		p.routes[route.Route] = route
		r.route(route.Route).addFleet(route.Old.since(before.Old), route.New.since(before.New))
	}
	if e.Age > 0 && e.Age <= r.Duration && (!r.ageKnown || e.Age > r.Age(now)) {
		r.startedAt, r.ageKnown = now.Add(-e.Age), true
	}
	if e.Stage <= r.Stage || r.Stage == Completed || e.Stage > Completed {
		return false
	}
	if r.Stage == Canary && e.Stage == Shifting {
		r.setShare(shiftShares[0])
	}
	r.advance(now, e.Stage, "reported by "+peer)
	r.busyAt = now
	return true
}

// reporters returns the number of routers whose evidence is known, this one among them.
// Before the shift each one that reports is behind.
func (r *Rollout) reporters(now time.Time) int {
	n := 1
	for _, p := range r.peers {
		if now.Sub(p.at) < peerAge {
			n += p.behind
		}
	}
	return n
}

// peersBehind reports whether another router may still send requests to old endpoints, or
// run some there. One that has fallen silent may be alive, and is waited for.
func (r *Rollout) peersBehind(now time.Time) bool {
	for _, p := range r.peers {
		if p.behind > 0 || now.Sub(p.at) >= peerAge {
			return true
		}
	}
	return false
}

func (r *Rollout) route(name string) *routeEvidence {
	e := r.routes[name]
	if e == nil {
		e = &routeEvidence{own: RouteEvidence{Route: name}}
		r.routes[name] = e
	}
	return e
}

// RecordEnd records a response that has ended. One that was lost went down with other
// requests of the same endpoint.
func (r *Rollout) RecordEnd(route string, target, failed, lost bool) {
	c := Counts{Responses: 1}
	if failed {
		c[Failures] = 1
	}
	if lost {
		c[Lost] = 1
	}
	r.record(r.route(route), target, c)
}

// RecordFirstEvent records the time to a first event, relative to what the load predicts.
// r is the roll-out for which it is evidence, or nil.
func (s *Service) RecordFirstEvent(r *Rollout, route string, target bool, relative float64) {
	slow, known := s.meansOf(route).first.isSlow(relative, s.usual(r, target))
	if known && r != nil {
		r.record(r.route(route), target, Counts{TimedFirst: 1, SlowFirst: slow})
	}
}

// RecordTokens records the time per token of a response, once for each response.
func (s *Service) RecordTokens(r *Rollout, route string, target bool, perToken time.Duration) {
	slow, known := s.meansOf(route).token.isSlow(float64(perToken), s.usual(r, target))
	if known && r != nil {
		r.record(r.route(route), target, Counts{TimedTokens: 1, SlowTokens: slow})
	}
}

// usual reports whether a response is one to compare others with. Without a roll-out all
// are: in a large fleet a router gets few responses during one.
func (s *Service) usual(r *Rollout, target bool) bool {
	return r == nil || !target || r.Stage == Completed
}

func (s *Service) meansOf(route string) *means {
	if s.means[route] == nil {
		s.means[route] = &means{}
	}
	return s.means[route]
}

func (r *Rollout) record(e *routeEvidence, target bool, c Counts) {
	if target {
		e.own.New.add(c)
		e.addFleet(Counts{}, c)
		return
	}
	e.own.Old.add(c)
	e.addFleet(c, Counts{})
}

const (
	// slowFactor is how many times the mean of the old endpoints' responses a slow one
	// takes. Bad versions are several times slower; endpoints of one service differ by
	// less than two.
	slowFactor = 2.2
	// minMeanSamples is how many responses of old endpoints make a mean. With four, sound
	// versions were now and then taken for slow ones.
	minMeanSamples = 12
	// meanWeight is the weight of the newest sample in the moving mean.
	meanWeight = 0.05
)

// means are those of a route.
type means struct {
	first mean // of the observed over the predicted time to the first event
	token mean // of the time per token
}

// mean is the moving mean of the old endpoints' responses.
type mean struct {
	value float64
	n     int
}

// isSlow reports whether a sample is slow (1 or 0), and whether that is known. A sample of
// an old endpoint becomes part of the mean.
func (m *mean) isSlow(x float64, old bool) (slow uint64, known bool) {
	known = m.n >= minMeanSamples
	if known && x > slowFactor*m.value {
		slow = 1
	}
	if old {
		m.n++
		// A slow sample counts as at most the factor, so that a few don't hide others.
		if known {
			x = min(x, 2*slowFactor*m.value)
		}
		m.value += max(meanWeight, 1/float64(m.n)) * (x - m.value)
	}
	return slow, known
}
