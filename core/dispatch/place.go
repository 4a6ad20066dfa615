package dispatch

import (
	"math"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/grid"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

const (
	// recomputePenaltyMs is the cost in milliseconds of prefilling one shared
	// token again, in addition to the time the prefill takes. Prefilling
	// delays every request at the endpoint, so avoiding it for a long shared
	// part is worth a second of waiting.
	recomputePenaltyMs = 0.25
	// minCacheWaitTokens is the number of shared tokens that a request must
	// save to wait for an endpoint that has them cached. Prefilling fewer takes
	// only a few milliseconds.
	minCacheWaitTokens = 400
	// cacheWaitFactor limits that wait, as a multiple of the objective. A
	// response that is slightly late still counts, while prefilling everything
	// again makes other requests miss their objectives.
	cacheWaitFactor = 1.5
	// objectiveMargin is the time of a few polls of the queue. A request that
	// waits for a cached prefix goes to another endpoint instead when it could
	// meet its objective there, but no longer after this time.
	objectiveMargin = 50 * time.Millisecond
	// prefixAffinityBonusMs is how many milliseconds the score of the preferred
	// endpoint of a prefix is lowered by. It exceeds the difference between two
	// routers' views of the load.
	prefixAffinityBonusMs = 40.0
	// crossZonePenalty is the cost of an endpoint in another availability zone:
	// the network round trip and the price of traffic between zones.
	crossZonePenalty = 6 * time.Millisecond
	// plainRequestTime is the typical duration of a plain request.
	plainRequestTime = 20 * time.Millisecond
	// errorPenalty is the cost of an endpoint that fails every request: about
	// the deadline of short requests.
	errorPenalty = 2 * time.Second

	// activeConnectionFraction is the fraction of an endpoint's connections
	// that requests in progress may use. The rest is for idle connections that
	// are kept open.
	activeConnectionFraction = 0.8
	// minRouterSlotFraction is the fraction of an endpoint's slots that one
	// router may always use. In a large fleet an even share of the connections
	// is small, and all requests of an account may arrive at one router.
	minRouterSlotFraction = 0.5
	// maxPreferredCached limits the prefixes whose preferred endpoint is
	// cached.
	maxPreferredCached = 8192
	// defaultSlots is used for an endpoint that does not state its slots.
	defaultSlots = 8
)

// hasEligibleEndpoint reports whether any endpoint of the service may receive
// the request, now or after a wait, and if not, when to ask again.
func (d *Dispatcher) hasEligibleEndpoint(now time.Time, t *Ticket) (bool, time.Duration) {
	d.requireKnownWeights(&t.Request)
	var firstPauseEnd time.Time
	for _, ep := range d.sortedEndpoints {
		if !d.eligible(ep, &t.Request) {
			continue
		}
		end := d.pauseEnd(ep)
		if end.Before(t.waitDeadline()) {
			return true, 0
		}
		if firstPauseEnd.IsZero() || end.Before(firstPauseEnd) {
			firstPauseEnd = end
		}
	}
	return false, max(noEndpointRetryAfter, firstPauseEnd.Sub(now))
}

// noEndpointReason returns the reason for which no endpoint may receive a request.
func (d *Dispatcher) noEndpointReason(r *Request) Reason {
	if r.Weights.Version != "" && !d.anyEligible(r) {
		return NoWeights
	}
	return NoEndpoint
}

// eligible reports whether an endpoint may receive a request once it has room.
func (d *Dispatcher) eligible(ep *endpointState, r *Request) bool {
	if ep.Service != r.Service || ep.Draining || ep.misdirected || d.zonesOut[ep.Zone] || d.saysLeaving(ep) || !ep.mayHaveWeights(r) || !d.versionAllowed(ep, r) {
		return false
	}
	for _, id := range r.ExcludedEndpoints {
		if id == ep.ID {
			return false
		}
	}
	return true
}

// placeAmong grants a request to the endpoint with the lowest score among those that
// have room. It returns false if no endpoint has room, or if the request should
// wait for an endpoint that has more of its prompt cached.
//
// Its callers depend on what it records besides: t.deadlineUnreachable;
// t.awaitsCache, with a reservation in reservedSlots of the endpoint that the
// request waits for, which lasts until the next Poll; and, by limitsFor, the
// account's share and t.ObjectiveMissed.
func (d *Dispatcher) placeAmong(now time.Time, s *serviceState, t *Ticket) bool {
	d.requireKnownWeights(&t.Request)
	d.refreshProfiles(now)
	engine := d.engine(t.Request.Service)
	preferred := d.preferredEndpoint(t.Request.Service, sharedPrefix(t.Request.Parts))
	limits := d.limitsFor(now, s, t)
	var best, cacheHolder *endpointState // cacheHolder has the fewest uncached tokens and may be full
	var bestScore, bestUncached = math.Inf(1), 0
	unshared := unsharedTokens(t.Request.Parts, t.Request.PromptTokens)
	t.deadlineUnreachable = t.Request.OutputTokens > 0
	t.Blocked = BlockedEndpoints{}
	end := d.endOf(&t.Request)
	fastest := time.Duration(math.MaxInt64)
	defer func() {
		if fastest < math.MaxInt64 {
			t.fastestFirstEvent = fastest
		}
	}()
	fewestSharedUncached := math.MaxInt // shared tokens that cacheHolder has to prefill
	for _, ep := range d.sortedEndpoints {
		if !d.eligible(ep, &t.Request) {
			continue
		}
		if now.Before(ep.pausedUntil) || now.Before(d.pauseEnd(ep)) || ep.ownLoad.Active >= d.maxActiveRequests(t.Request.Service, ep) {
			t.Blocked.Unavailable++
			t.deadlineUnreachable = false // it may be free again in time
			continue
		}
		uncached := ep.uncachedTokens(engine, t.Request.Parts, t.Request.PromptTokens)
		fastest = min(fastest, ep.predictFirstEvent(uncached))
		if uncached-unshared < fewestSharedUncached {
			fewestSharedUncached, cacheHolder = uncached-unshared, ep
		}
		if t.Request.OutputTokens > 0 && !ep.canMeetDeadline(now, &t.Request, end, uncached) {
			t.Blocked.TooLate++
			continue
		}
		t.deadlineUnreachable = false
		if !limits.hasRoom(ep, engine, t, uncached) {
			continue
		}
		if !d.coldAllows(ep, now) {
			t.Blocked.Cold++
			continue
		}
		score := d.score(now, s, ep, t, uncached)
		if ep == preferred {
			score -= prefixAffinityBonusMs
		}
		if score < bestScore {
			best, bestScore, bestUncached = ep, score, uncached
		}
	}
	recomputed := bestUncached - unshared
	if best == nil {
		recomputed = t.Request.PromptTokens - unshared
	}
	t.awaitsCache = recomputed-fewestSharedUncached >= minCacheWaitTokens && (t.OverShare || now.Sub(t.Request.Arrived) < maxCacheWait(t) && (s.overloaded || !barelyMeetsObjective(now, t, best, bestUncached)))
	if t.awaitsCache {
		cacheHolder.reservedSlots++
		return false
	}
	if best == nil {
		return false
	}
	d.grant(now, s, t, best, bestUncached)
	t.RecomputedTokens = max(recomputed, 0)
	return true
}

// barelyMeetsObjective reports whether the request can meet its objective at
// the endpoint, but no longer could after objectiveMargin. It is consulted only
// while the service is not overloaded: under overload, prefilling the shared
// tokens again would only make other requests late.
func barelyMeetsObjective(now time.Time, t *Ticket, ep *endpointState, uncached int) bool {
	if ep == nil {
		return false
	}
	spare := t.Request.Objective.Sub(now) - ep.predictFirstEvent(uncached)
	return spare >= 0 && spare < objectiveMargin
}

// maxCacheWait returns how long a request waits for an endpoint that has its
// shared parts cached. A request beyond its account's share is not bound by it
// and waits until it is refused: prefilling many tokens again takes capacity
// from accounts that are within their shares.
func maxCacheWait(t *Ticket) time.Duration {
	return time.Duration(cacheWaitFactor * float64(t.Request.Objective.Sub(t.Request.Arrived)))
}

func (d *Dispatcher) grant(now time.Time, s *serviceState, t *Ticket, ep *endpointState, uncached int) {
	t.State, t.GrantedAt, t.UncachedTokens = Granted, now, uncached
	t.Endpoint = ep.Endpoint
	t.EndpointWeights = ep.weights.versions[t.Request.Weights.Model]
	t.PredictedFirstEvent = ep.predictFirstEvent(uncached)
	t.readTokens = ep.totalLoad().Pending + uncached
	d.recordColdGrant(ep, now)
	d.recordRolloutGrant(now, t, ep)
	ep.addRequest(t)
	d.recordPlacement(now, t)
	if !t.Request.Retry {
		s.addGranted(now, t.Request.Account, t.Request.cost())
	}
	s.throughput.add(now, t.Request.cost(), throughputWindow)
}

// score returns the cost of sending the request to the endpoint, in
// milliseconds. For a model request it is the predicted time to the first event,
// one millisecond times the latency factor for each request in progress there,
// and the penalties.
func (d *Dispatcher) score(now time.Time, s *serviceState, ep *endpointState, t *Ticket, uncached int) float64 {
	load := ep.totalLoad()
	var cost float64
	if t.Request.PromptTokens > 0 {
		shared := uncached - unsharedTokens(t.Request.Parts, t.Request.PromptTokens)
		cost = ms(ep.predictFirstEvent(uncached)) + float64(max(0, shared))*recomputePenaltyMs
		cost += float64(load.Active) * ep.latencyFactor
	} else {
		cost = ms(plainRequestTime) * float64(load.Active+1) / float64(slotsOf(ep)) * ep.latencyFactor
	}
	if ep.Zone != d.opts.Zone {
		cost += ms(crossZonePenalty)
	}
	return cost + max(0, ep.errors.failureRatio(now)-s.errors.failureRatio(now))*ms(errorPenalty)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// maxActiveRequests returns how many requests this router may have in progress
// at one endpoint. Each uses a connection, and an endpoint resets connections
// beyond a limit that all routers share.
func (d *Dispatcher) maxActiveRequests(service string, ep *endpointState) int {
	s := d.table.Service(service)
	if s == nil || s.MaxConnections <= 0 {
		return math.MaxInt
	}
	evenShare := activeConnectionFraction * float64(s.MaxConnections) / float64(len(d.routers))
	return max(1, int(evenShare), int(minRouterSlotFraction*float64(slotsOf(ep))))
}

// IdleConnections returns how many idle connections this router may keep to one
// endpoint: its share of those that are not reserved for requests in progress.
func (d *Dispatcher) IdleConnections() int {
	idle := math.MaxInt
	for _, s := range d.table.Config.Services {
		if s.MaxConnections > 0 {
			idle = min(idle, int((1-activeConnectionFraction)*float64(s.MaxConnections)/float64(len(d.routers))))
		}
	}
	return max(1, idle)
}

func slotsOf(ep *endpointState) int {
	if ep.Slots > 0 {
		return ep.Slots
	}
	return defaultSlots
}

// engine returns the engine of a service, or nil for a plain service.
func (d *Dispatcher) engine(service string) *topology.Engine {
	if s := d.table.Service(service); s != nil {
		return s.Engine
	}
	return nil
}

// tokensPerSecond returns the capacity that the accounts of a service share, or
// 0 if it is unknown or the service is plain. It is the capacity of all model
// runners together, also if several services have model runners.
func (d *Dispatcher) tokensPerSecond(service string) float64 {
	if d.engine(service) == nil {
		return 0
	}
	return d.table.Config.Limits.TokensPerSec
}

// sharedPrefix returns the ID of the last part of a prompt that other requests
// may share, or 0 if there is none.
func sharedPrefix(parts []PromptPart) uint64 {
	if len(parts) < 2 {
		return 0
	}
	return parts[len(parts)-2].ID
}

// unsharedTokens returns the number of tokens in the request's own part of the
// prompt.
func unsharedTokens(parts []PromptPart, promptTokens int) int {
	if len(parts) < 2 {
		return promptTokens
	}
	return parts[len(parts)-1].Tokens
}

// prefixKey identifies a shared prompt prefix of a service.
type prefixKey struct {
	service string
	prefix  uint64
}

// preferredEndpoint returns the endpoint that all routers prefer for a shared
// prefix, chosen by rendezvous hashing among the usable endpoints, or nil if
// there is none.
func (d *Dispatcher) preferredEndpoint(service string, prefix uint64) *endpointState {
	if prefix == 0 {
		return nil
	}
	key := prefixKey{service, prefix}
	if best, ok := d.preferred[key]; ok {
		return best
	}
	var best *endpointState
	var bestWeight uint64
	for _, ep := range d.sortedEndpoints {
		if ep.Service != service || ep.Draining || ep.misdirected || d.zonesOut[ep.Zone] || ep.connectFailures > 0 || d.saysLeaving(ep) || !d.mainVersion(ep) {
			continue
		}
		if w := grid.Weight(prefix, ep.ID); best == nil || w > bestWeight {
			best, bestWeight = ep, w
		}
	}
	if len(d.preferred) >= maxPreferredCached {
		clear(d.preferred)
	}
	d.preferred[key] = best
	return best
}
