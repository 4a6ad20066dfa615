package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// A version is judged by sequential tests: of its responses on a route, as many fail as
// of those of the old endpoints, or more by a margin. Each response changes the log of
// the likelihood ratio of the two.
const (
	// rejectAt is the log likelihood ratio at which a version is bad. A sound version
	// reaches it by chance once in some 160,000 responses (9.0: 8,000, which took two of
	// 50 sound versions of an overloaded service for bad).
	rejectAt = 12.0
	// rejectSlowAt is the same for slow responses. They come in series where an endpoint is
	// slow for itself: at 12.0 one of 100 sound versions with endpoints of different speeds
	// was taken for a slow one.
	rejectSlowAt = 18.0
	// acceptAt is the ratio that no route of a trusted version exceeds. It allows one
	// failure among few responses: sound endpoints fail now and then.
	acceptAt = 2.2
	// failureMargin is the share of failures beyond that of the old endpoints that makes a
	// version bad.
	failureMargin = 0.1
	// marginGrowth lengthens the margins by a part of the old endpoints' share: where much
	// fails anyway, small differences take too many responses to tell.
	marginGrowth = 0.8
	// slowMargin is the same for slow responses. It is larger since some endpoints of a
	// version are slow at times.
	slowMargin = 0.4
	// Of a service without evidence, this share of responses is taken to fail or to be
	// slow, with the weight of priorWeight responses. The least share is that of a service
	// without any failure: single failures have other causes than the version.
	priorFailures, leastFailures = 0.02, 0.015
	priorSlow, leastSlow         = 0.1, 0.06
	priorWeight                  = 20
	// maxBaseline bounds the shares of the old endpoints: a service that fails most
	// requests says nothing about a version.
	maxBaseline = 0.6
	// maxLost is how many requests a version may lose in crashes of its endpoints while
	// they are a fifth of its responses: more than a few crashes take.
	maxLost      = 24
	maxLostShare = 0.2
	// A route needs enough responses of the target: coverage of those of the old
	// endpoints, but at least minCoverage and no more than maxCoverage.
	coverage    = 0.04
	minCoverage = 4
	maxCoverage = 22
	// minBaseline is how many responses of old endpoints a route needs until those of the
	// target are judged, and baselineFraction the part of the duration after which they are
	// anyway. With fewer, a version was held to account for the failures of an overloaded
	// service.
	minBaseline      = 200
	baselineFraction = 0.25
	// rareRoute is the number of requests below which a route needs no evidence.
	rareRoute = 40
)

// routeEvidence is what is known of one route.
type routeEvidence struct {
	due      float64       // requests of this router that the target should have had, less those it had
	own      RouteEvidence // observed by this router
	old, new Counts        // observed by the fleet
	unjudged Counts        // part of new that the tests have not counted
	failures test
	late     test // first events
	slow     test // times per token
}

// test is a sequential test.
type test struct {
	recent float64 // log likelihood ratio since it was last at its minimum
	all    float64 // of all responses
}

func (t *test) add(n, bad uint64, usual, margin float64) {
	if n == 0 {
		return
	}
	poor := min(usual+margin+marginGrowth*usual, 0.95)
	bad = min(bad, n)
	x := float64(bad)*math.Log(poor/usual) + float64(n-bad)*math.Log((1-poor)/(1-usual))
	t.all += x
	t.recent = max(0, t.recent+x)
}

func baseline(bad, n uint64, prior, least float64) float64 {
	return max(least, min((float64(bad)+prior*priorWeight)/(float64(n)+priorWeight), maxBaseline))
}

// addFleet adds newly observed responses, to be judged with the next step.
func (e *routeEvidence) addFleet(old, target Counts) {
	e.old.add(old)
	e.new.add(target)
	e.unjudged.add(target)
}

// judge tests the responses of the target since the last step. Those of the old endpoints
// must be known first. Times are judged only while the old endpoints still get requests:
// after that all load is at endpoints without cached prompts, and nothing tells what the
// old ones would take under it.
func (e *routeEvidence) judge(age, duration time.Duration, timed bool) {
	if e.old[Responses] < minBaseline && age < fraction(duration, baselineFraction) {
		return
	}
	target := e.unjudged
	e.unjudged = Counts{}
	e.failures.add(target[Responses], target[Failures], baseline(e.old[Failures], e.old[Responses], priorFailures, leastFailures), failureMargin)
	if !timed {
		return
	}
	e.late.add(target[TimedFirst], target[SlowFirst], baseline(e.old[SlowFirst], e.old[TimedFirst], priorSlow, leastSlow), slowMargin)
	e.slow.add(target[TimedTokens], target[SlowTokens], baseline(e.old[SlowTokens], e.old[TimedTokens], priorSlow, leastSlow), slowMargin)
}

// bad reports whether the evidence says that the version is bad, and why.
func (r *Rollout) bad() (bool, string) {
	var all Counts
	for _, name := range slices.Sorted(maps.Keys(r.routes)) {
		e := r.routes[name]
		switch {
		case e.failures.recent >= rejectAt:
			return true, "failures on route " + name
		case e.late.recent >= rejectSlowAt:
			return true, "late first events on route " + name
		case e.slow.recent >= rejectSlowAt:
			return true, "slow tokens on route " + name
		}
		all.add(e.new)
	}
	if all[Lost] >= maxLost && float64(all[Lost]) >= maxLostShare*float64(all[Responses]) {
		return true, "endpoints crash"
	}
	return false, ""
}

// lacks returns what is missing for trust, or "".
func (r *Rollout) lacks() string {
	responses := uint64(0)
	for _, name := range slices.Sorted(maps.Keys(r.routes)) {
		e := r.routes[name]
		responses += e.new[Responses]
		if e.old[Responses] < rareRoute && e.new[Responses] == 0 {
			continue
		}
		if need := required(e.old[Responses]); e.new[Responses] < need {
			return fmt.Sprintf("%d of %d responses on route %s", e.new[Responses], need, name)
		}
		// Routers that are short of CPU time, or have too few responses to compare with,
		// time none.
		if need := required(e.old[TimedFirst]) / 2; e.old[TimedFirst] >= rareRoute && e.new[TimedFirst] < need {
			return fmt.Sprintf("%d of %d timed responses on route %s", e.new[TimedFirst], need, name)
		}
		if e.failures.all > acceptAt {
			return "failures on route " + name
		}
		if e.late.all > acceptAt || e.slow.all > acceptAt {
			return "slow responses on route " + name
		}
	}
	if responses < minCoverage {
		return "responses"
	}
	return ""
}

func required(old uint64) uint64 {
	return uint64(min(max(coverage*float64(old), minCoverage), maxCoverage))
}

// Sums returns the fleet's evidence over all routes.
func (r *Rollout) Sums() (old, target Counts) {
	for _, e := range r.routes {
		old.add(e.old)
		target.add(e.new)
	}
	return old, target
}
