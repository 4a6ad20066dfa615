package dispatch

import (
	"math"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/grid"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

const (
	// recomputePenalty is what reading a shared token again counts beside the
	// time that it takes, in milliseconds: a long shared part is worth a
	// second of waiting, since reading it delays everybody at the endpoint.
	recomputePenalty = 0.25
	// minCacheWaitTokens is how many shared tokens a request must save for it to wait
	// for an endpoint that holds them: reading fewer takes some milliseconds.
	minCacheWaitTokens = 400
	// cacheWaitFactor is how long it waits, in objectives: an answer that is a
	// little late still counts, one that reads all again costs others theirs.
	cacheWaitFactor = 1.5
	// lastChanceMargin is how long before the last moment a request goes elsewhere:
	// some looks at the queue.
	lastChanceMargin = 50 * time.Millisecond
	// prefixAffinityBonus is the preference for a prefix's home, in milliseconds: more
	// than two routers' views of the load differ by.
	prefixAffinityBonus = 40.0
	// crossZonePenalty is what another availability zone counts: the way there and
	// back, and the price of bytes between zones.
	crossZonePenalty = 6 * time.Millisecond
	// plainRequestTime is the usual time of a plain request.
	plainRequestTime = 20 * time.Millisecond
	// errorPenalty is what failing every request counts: about the deadline of
	// short requests.
	errorPenalty = 2 * time.Second

	// inShareSlots, spareSlots and cachedSlots are the parts of an engine's slots
	// that requests may fill: those within their account's share all of them;
	// those beyond it half, so that the others find room at once; and those
	// whose prompt is cached there more, since they cost less.
	inShareSlots   = 1.0
	overShareSlots = 0.5
	cachedSlots    = 0.8
	// inShareWait, spareWait and cachedWait are the parts of the objective after
	// which an engine must begin to read a prompt, in the same three cases.
	// Reading and the first steps take up to half of an objective.
	inShareWait   = 0.35
	overShareWait = 0.2
	cachedWait    = 0.4
	// maxMemoryFraction is the part of an engine's memory that running requests may
	// fill: estimates of their output are rough, and an engine that runs out
	// of memory puts a request back.
	maxMemoryFraction = 0.92
	// plainQueueFactor is how many requests may wait inside a plain endpoint, as a
	// part of its slots.
	plainQueueFactor = 1.0

	// activeConnectionFraction is the part of an endpoint's connections that requests in
	// progress may take; idle ones that are kept need the rest.
	activeConnectionFraction = 0.8
	// minRouterSlots is the part of an endpoint's slots that one router may always
	// use: in a large fleet an even part of the connections is few, and the
	// requests of one account may all come to one router.
	minRouterSlots = 0.5
	// maxPreferredCached bounds the prefixes whose home is remembered.
	maxPreferredCached = 8192
	// defaultSlots stands for an endpoint that states no slots.
	defaultSlots = 8
)

// hasEligibleEndpoint reports whether the service has an endpoint that may get the
// request at all, now or soon.
func (d *Dispatcher) hasEligibleEndpoint(r Request) bool {
	for _, b := range d.sortedEndpoints {
		if d.eligible(b, &r) {
			return true
		}
	}
	return false
}

// eligible reports whether an endpoint may get a request when it has room.
func (d *Dispatcher) eligible(b *endpointState, r *Request) bool {
	if b.Service != r.Service || b.Draining || b.misdirected || d.zonesOut[b.Zone] {
		return false
	}
	for _, id := range r.ExcludedEndpoints {
		if id == b.ID {
			return false
		}
	}
	return true
}

// place grants a request to the best endpoint that has room for it.
func (d *Dispatcher) place(now time.Time, s *serviceState, t *Ticket) bool {
	engine := d.engine(t.Request.Service)
	home := d.preferredEndpoint(t.Request.Service, sharedPrefix(t.Request.Parts))
	limits := d.limitsFor(now, s, t)
	var best, holder *endpointState // holder: the one that misses least, if it is full
	var bestScore, bestMissing = math.Inf(1), 0
	unshared := unsharedTokens(t.Request.Parts, t.Request.PromptTokens)
	t.unfinishable = t.Request.OutputTokens > 0
	least := math.MaxInt // shared tokens missing at the best of all endpoints, full ones too
	for _, b := range d.sortedEndpoints {
		if !d.eligible(b, &t.Request) || now.Before(b.pausedUntil) || b.ownLoad.Active >= d.maxActiveRequests(t.Request.Service, b) {
			continue
		}
		missing := b.uncachedTokens(engine, t.Request.Parts, t.Request.PromptTokens)
		if missing-unshared < least {
			least, holder = missing-unshared, b
		}
		if t.Request.OutputTokens > 0 && !b.canMeetDeadline(now, &t.Request, missing) {
			continue
		}
		t.unfinishable = false
		if !limits.hasRoom(b, engine, t, missing) || !d.coldAllows(b, now) {
			continue
		}
		score := d.score(now, s, b, t, missing)
		if b == home {
			score -= prefixAffinityBonus
		}
		if score < bestScore {
			best, bestScore, bestMissing = b, score, missing
		}
	}
	again := bestMissing - unshared
	if best == nil {
		again = t.Request.PromptTokens - unshared
	}
	t.awaitsCache = again-least >= minCacheWaitTokens && (t.OverShare || now.Sub(t.Request.Arrived) < maxCacheWait(t) && (s.overloaded || !lastChance(now, t, best, bestMissing)))
	if t.awaitsCache {
		holder.reservedSlots++
		return false
	}
	if best == nil {
		return false
	}
	d.grant(now, s, t, best, bestMissing)
	t.RecomputedTokens = max(again, 0)
	return true
}

// lastChance matters while the service does all that is asked for: under
// overload, reading again would only make others late. It reports whether a
// request can just still meet its objective at
// an endpoint.
func lastChance(now time.Time, t *Ticket, b *endpointState, missing int) bool {
	if b == nil {
		return false
	}
	spare := t.Request.Objective.Sub(now) - b.predictFirstEvent(missing)
	return spare >= 0 && spare < lastChanceMargin
}

// maxCacheWait is how long a request waits for an endpoint that holds its parts.
// Beyond its account's share it waits for as long as it may: reading much
// again takes from those within theirs.
func maxCacheWait(t *Ticket) time.Duration {
	return time.Duration(cacheWaitFactor * float64(t.Request.Objective.Sub(t.Request.Arrived)))
}

func (d *Dispatcher) grant(now time.Time, s *serviceState, t *Ticket, b *endpointState, missing int) {
	t.State, t.GrantedAt, t.UncachedTokens = Granted, now, missing
	t.Endpoint = b.Endpoint
	t.PredictedFirstEvent = b.predictFirstEvent(missing)
	d.recordColdGrant(b, now)
	b.addRequest(t)
	d.recordPlacement(now, t)
	if !t.Request.Retry {
		s.addServed(now, t.Request.Account, t.Request.cost())
	}
	s.throughput.add(now, t.Request.cost(), throughputWindow)
}

// score is what a placement costs, in milliseconds.
func (d *Dispatcher) score(now time.Time, s *serviceState, b *endpointState, t *Ticket, missing int) float64 {
	load := b.totalLoad()
	var wait float64
	if t.Request.PromptTokens > 0 {
		shared := missing - unsharedTokens(t.Request.Parts, t.Request.PromptTokens)
		wait = ms(b.predictFirstEvent(missing)) + float64(max(0, shared))*recomputePenalty
		wait += float64(load.Active) * b.latencyFactor
	} else {
		wait = ms(plainRequestTime) * float64(load.Active+1) / float64(slotsOf(b)) * b.latencyFactor
	}
	if b.Zone != d.opts.Zone {
		wait += ms(crossZonePenalty)
	}
	return wait + max(0, b.errors.failureRatio(now)-s.errors.failureRatio(now))*ms(errorPenalty)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// occupancyLimits bound how full an endpoint may get by one request.
type occupancyLimits struct {
	slotFraction  float64       // part of the slots
	maxWait       time.Duration // until the endpoint begins to read the prompt
	maxCachedWait time.Duration // the same, where the endpoint holds much of the prompt
}

// limitsFor returns the bounds for a request: narrower for what is late or
// beyond the share of its account.
func (d *Dispatcher) limitsFor(now time.Time, s *serviceState, t *Ticket) occupancyLimits {
	objective := t.Request.Objective.Sub(t.Request.Arrived)
	left := t.Request.Objective.Sub(now)
	t.ObjectiveMissed = left < cachedFirstToken
	cached := time.Duration(cachedWait * float64(objective))
	d.updateShare(now, s, t)
	if t.OverShare && s.overloaded {
		part := t.FairShare / t.RecentUsage // the further beyond, the less it finds room
		return occupancyLimits{slotFraction: overShareSlots * part, maxWait: time.Duration(overShareWait * part * float64(objective)), maxCachedWait: time.Duration(part * float64(cached))}
	}
	if t.ObjectiveMissed || t.OverShare {
		return occupancyLimits{slotFraction: overShareSlots, maxWait: time.Duration(overShareWait * float64(objective)), maxCachedWait: cached}
	}
	wait := time.Duration(inShareWait * (1 + d.shareDeficit(s, t)) * float64(objective))
	return occupancyLimits{slotFraction: inShareSlots, maxWait: wait, maxCachedWait: max(cached, wait)}
}

// shareDeficit is the part of its share that an account has not got, while more is
// asked for than can be done. Reports are some tens of milliseconds old, so
// endpoints look full to the router of a small account although others there
// are beyond their shares: such an account may wait inside them for longer.
func (d *Dispatcher) shareDeficit(s *serviceState, t *Ticket) float64 {
	if !s.overloaded || math.IsInf(t.FairShare, 1) || t.FairShare <= 0 {
		return 0
	}
	return max(0, 1-t.RecentUsage/t.FairShare)
}

// hasRoom reports whether the endpoint has hasRoom for the request. An endpoint
// with nothing to read takes any request, however long its prompt is.
func (l occupancyLimits) hasRoom(b *endpointState, engine *topology.Engine, t *Ticket, missing int) bool {
	load := b.totalLoad()
	wait, part := l.maxWait, l.slotFraction
	if t.Request.PromptTokens-missing >= minCacheWaitTokens {
		wait, part = max(wait, l.maxCachedWait), max(part, cachedSlots)
	} else {
		load.Active += b.reservedSlots
	}
	slots := float64(slotsOf(b))
	if t.Request.PromptTokens == 0 || engine == nil {
		return float64(load.Active) < slots*(1+plainQueueFactor)
	}
	if float64(load.Active) >= slots*part {
		return false
	}
	if need := load.Resident + t.Request.PromptTokens + t.Request.OutputTokens; engine.MemoryTokens > 0 &&
		load.Active > 0 && float64(need) > maxMemoryFraction*float64(engine.MemoryTokens) {
		return false
	}
	return load.Pending == 0 || b.predictFirstEvent(0) <= wait
}

// maxActiveRequests is how many requests this router may have in progress at one
// endpoint: each takes a connection, and endpoints reset those beyond a number
// for all routers together.
func (d *Dispatcher) maxActiveRequests(service string, b *endpointState) int {
	s := d.table.Service(service)
	if s == nil || s.MaxConnections <= 0 {
		return math.MaxInt
	}
	even := activeConnectionFraction * float64(s.MaxConnections) / float64(len(d.routers))
	return max(1, int(even), int(minRouterSlots*float64(slotsOf(b))))
}

// IdleConnections returns how many idle connections this router may keep to
// one endpoint: its part of those that requests in progress leave.
func (d *Dispatcher) IdleConnections() int {
	least := math.MaxInt
	for _, s := range d.table.Config.Services {
		if s.MaxConnections > 0 {
			least = min(least, int((1-activeConnectionFraction)*float64(s.MaxConnections)/float64(len(d.routers))))
		}
	}
	return max(1, least)
}

func slotsOf(b *endpointState) int {
	if b.Slots > 0 {
		return b.Slots
	}
	return defaultSlots
}

// engine returns the engine of a service, or nil.
func (d *Dispatcher) engine(service string) *topology.Engine {
	if s := d.table.Service(service); s != nil {
		return s.Engine
	}
	return nil
}

// tokensPerSecond is what all endpoints of a service do together; 0: not
// known, or a plain service.
func (d *Dispatcher) tokensPerSecond(service string) float64 {
	if d.engine(service) == nil {
		return 0
	}
	return d.table.Config.Limits.TokensPerSec
}

// sharedPrefix returns the last part of a prompt that requests share; 0: none.
func sharedPrefix(parts []PromptPart) uint64 {
	if len(parts) < 2 {
		return 0
	}
	return parts[len(parts)-2].ID
}

// unsharedTokens returns the tokens that no other request has sent.
func unsharedTokens(parts []PromptPart, prompt int) int {
	if len(parts) < 2 {
		return prompt
	}
	return parts[len(parts)-1].Tokens
}

// prefixKey names a shared prefix of a service's requests.
type prefixKey struct {
	service string
	prefix  uint64
}

// preferredEndpoint returns the endpoint that all routers prefer for a shared prefix, by
// rendezvous over the endpoints that can be used; nil: none.
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
	for _, b := range d.sortedEndpoints {
		if b.Service != service || b.Draining || b.misdirected || d.zonesOut[b.Zone] || b.connectFailures > 0 {
			continue
		}
		if w := grid.Weight(prefix, b.ID); best == nil || w > bestWeight {
			best, bestWeight = b, w
		}
	}
	if len(d.preferred) >= maxPreferredCached {
		clear(d.preferred)
	}
	d.preferred[key] = best
	return best
}
