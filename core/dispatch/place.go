package dispatch

import (
	"math"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/grid"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

const (
	// rereadPenalty is what reading a shared token again counts beside the
	// time that it takes, in milliseconds: a long shared part is worth a
	// second of waiting, since reading it delays everybody at the endpoint.
	rereadPenalty = 0.25
	// holdTokens is how many shared tokens a request must save for it to wait
	// for an endpoint that holds them: reading fewer takes some milliseconds.
	holdTokens = 400
	// holdShare is how long it waits, in objectives: an answer that is a
	// little late still counts, one that reads all again costs others theirs.
	holdShare = 1.5
	// chanceMargin is how long before the last moment a request goes elsewhere:
	// some looks at the queue.
	chanceMargin = 50 * time.Millisecond
	// homeBonus is the preference for a prefix's home, in milliseconds: more
	// than two routers' views of the load differ by.
	homeBonus = 40.0
	// otherZone is what another availability zone counts: the way there and
	// back, and the price of bytes between zones.
	otherZone = 6 * time.Millisecond
	// plainWork is the usual time of a plain request.
	plainWork = 20 * time.Millisecond
	// errorPenalty is what failing every request counts: about the deadline of
	// short requests.
	errorPenalty = 2 * time.Second

	// fullSlots, spareSlots and cachedSlots are the parts of an engine's slots
	// that requests may fill: those within their account's share all of them;
	// those beyond it half, so that the others find room at once; and those
	// whose prompt is cached there more, since they cost less.
	fullSlots   = 1.0
	spareSlots  = 0.5
	cachedSlots = 0.8
	// fullWait, spareWait and cachedWait are the parts of the objective after
	// which an engine must begin to read a prompt, in the same three cases.
	// Reading and the first steps take up to half of an objective.
	fullWait   = 0.35
	spareWait  = 0.2
	cachedWait = 0.4
	// memoryShare is the part of an engine's memory that running requests may
	// fill: estimates of their output are rough, and an engine that runs out
	// of memory puts a request back.
	memoryShare = 0.92
	// plainQueue is how many requests may wait inside a plain endpoint, as a
	// part of its slots.
	plainQueue = 1.0

	// connectionShare is the part of an endpoint's connections that requests in
	// progress may take; idle ones that are kept need the rest.
	connectionShare = 0.8
	// burstSlots is the part of an endpoint's slots that one router may always
	// use: in a large fleet an even part of the connections is few, and the
	// requests of one account may all come to one router.
	burstSlots = 0.5
	// homesKept bounds the prefixes whose home is remembered.
	homesKept = 8192
	// defaultSlots stands for an endpoint that states no slots.
	defaultSlots = 8
)

// usable reports whether the service has an endpoint that may get the
// request at all, now or soon.
func (d *Dispatcher) usable(r Request) bool {
	for _, b := range d.order {
		if d.allowed(b, &r) {
			return true
		}
	}
	return false
}

// allowed reports whether an endpoint may get a request when it has room.
func (d *Dispatcher) allowed(b *book, r *Request) bool {
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
	home := d.home(t.Request.Service, sharedPrefix(t.Request.Parts))
	limits := d.limits(now, s, t)
	var best, holder *book // holder: the one that misses least, if it is full
	var bestScore, bestMissing = math.Inf(1), 0
	unshared := unsharedTokens(t.Request.Parts, t.Request.PromptTokens)
	t.hopeless = t.Request.OutputTokens > 0
	least := math.MaxInt // shared tokens missing at the best of all endpoints, full ones too
	for _, b := range d.order {
		if !d.allowed(b, &t.Request) || now.Before(b.pausedUntil) || b.own.Active >= d.connections(t.Request.Service, b) {
			continue
		}
		missing := b.missing(engine, t.Request.Parts, t.Request.PromptTokens)
		if missing-unshared < least {
			least, holder = missing-unshared, b
		}
		if t.Request.OutputTokens > 0 && !b.canFinish(now, &t.Request, missing) {
			continue
		}
		t.hopeless = false
		if !limits.room(b, engine, t, missing) || !d.coldAllows(b, now) {
			continue
		}
		score := d.score(now, s, b, t, missing)
		if b == home {
			score -= homeBonus
		}
		if score < bestScore {
			best, bestScore, bestMissing = b, score, missing
		}
	}
	again := bestMissing - unshared
	if best == nil {
		again = t.Request.PromptTokens - unshared
	}
	t.holding = again-least >= holdTokens && (t.OverShare || now.Sub(t.Request.Arrived) < holdFor(t) && (s.contended || !lastChance(now, t, best, bestMissing)))
	if t.holding {
		holder.wanted++
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
func lastChance(now time.Time, t *Ticket, b *book, missing int) bool {
	if b == nil {
		return false
	}
	spare := t.Request.Objective.Sub(now) - b.predict(missing)
	return spare >= 0 && spare < chanceMargin
}

// holdFor is how long a request waits for an endpoint that holds its parts.
// Beyond its account's share it waits for as long as it may: reading much
// again takes from those within theirs.
func holdFor(t *Ticket) time.Duration {
	return time.Duration(holdShare * float64(t.Request.Objective.Sub(t.Request.Arrived)))
}

func (d *Dispatcher) grant(now time.Time, s *serviceState, t *Ticket, b *book, missing int) {
	t.State, t.GrantedAt, t.UncachedTokens = Granted, now, missing
	t.Endpoint = b.Endpoint
	t.PredictedFirstEvent = b.predict(missing)
	d.coldTake(b, now)
	b.take(t)
	d.placed(now, t)
	if !t.Request.Retry {
		s.serve(now, t.Request.Account, t.Request.cost())
	}
	s.throughput.add(now, t.Request.cost(), throughputWindow)
}

// score is what a placement costs, in milliseconds.
func (d *Dispatcher) score(now time.Time, s *serviceState, b *book, t *Ticket, missing int) float64 {
	load := b.load()
	var wait float64
	if t.Request.PromptTokens > 0 {
		shared := missing - unsharedTokens(t.Request.Parts, t.Request.PromptTokens)
		wait = ms(b.predict(missing)) + float64(max(0, shared))*rereadPenalty
		wait += float64(load.Active) * b.slowness
	} else {
		wait = ms(plainWork) * float64(load.Active+1) / float64(slotsOf(b)) * b.slowness
	}
	if b.Zone != d.opts.Zone {
		wait += ms(otherZone)
	}
	return wait + max(0, b.errors.share(now)-s.errors.share(now))*ms(errorPenalty)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// limits bound how full an endpoint may get by one request.
type limits struct {
	slots  float64       // part of the slots
	wait   time.Duration // until the endpoint begins to read the prompt
	cached time.Duration // the same, where the endpoint holds much of the prompt
}

// limits returns the bounds for a request: narrower for what is late or
// beyond the share of its account.
func (d *Dispatcher) limits(now time.Time, s *serviceState, t *Ticket) limits {
	objective := t.Request.Objective.Sub(t.Request.Arrived)
	left := t.Request.Objective.Sub(now)
	t.ObjectiveMissed = left < firstStep
	cached := time.Duration(cachedWait * float64(objective))
	d.compareShare(now, s, t)
	if t.OverShare && s.contended {
		part := t.FairShare / t.RecentUsage // the further beyond, the less it finds room
		return limits{slots: spareSlots * part, wait: time.Duration(spareWait * part * float64(objective)), cached: time.Duration(part * float64(cached))}
	}
	if t.ObjectiveMissed || t.OverShare {
		return limits{slots: spareSlots, wait: time.Duration(spareWait * float64(objective)), cached: cached}
	}
	wait := time.Duration(fullWait * (1 + d.deficit(s, t)) * float64(objective))
	return limits{slots: fullSlots, wait: wait, cached: max(cached, wait)}
}

// deficit is the part of its share that an account has not got, while more is
// asked for than can be done. Reports are some tens of milliseconds old, so
// endpoints look full to the router of a small account although others there
// are beyond their shares: such an account may wait inside them for longer.
func (d *Dispatcher) deficit(s *serviceState, t *Ticket) float64 {
	if !s.contended || math.IsInf(t.FairShare, 1) || t.FairShare <= 0 {
		return 0
	}
	return max(0, 1-t.RecentUsage/t.FairShare)
}

// room reports whether the endpoint has room for the request. An endpoint
// with nothing to read takes any request, however long its prompt is.
func (l limits) room(b *book, engine *topology.Engine, t *Ticket, missing int) bool {
	load := b.load()
	wait, part := l.wait, l.slots
	if t.Request.PromptTokens-missing >= holdTokens {
		wait, part = max(wait, l.cached), max(part, cachedSlots)
	} else {
		load.Active += b.wanted
	}
	slots := float64(slotsOf(b))
	if t.Request.PromptTokens == 0 || engine == nil {
		return float64(load.Active) < slots*(1+plainQueue)
	}
	if float64(load.Active) >= slots*part {
		return false
	}
	if need := load.Resident + t.Request.PromptTokens + t.Request.OutputTokens; engine.MemoryTokens > 0 &&
		load.Active > 0 && float64(need) > memoryShare*float64(engine.MemoryTokens) {
		return false
	}
	return load.Pending == 0 || b.predict(0) <= wait
}

// connections is how many requests this router may have in progress at one
// endpoint: each takes a connection, and endpoints reset those beyond a number
// for all routers together.
func (d *Dispatcher) connections(service string, b *book) int {
	s := d.table.Service(service)
	if s == nil || s.MaxConnections <= 0 {
		return math.MaxInt
	}
	even := connectionShare * float64(s.MaxConnections) / float64(len(d.routers))
	return max(1, int(even), int(burstSlots*float64(slotsOf(b))))
}

// IdleConnections returns how many idle connections this router may keep to
// one endpoint: its part of those that requests in progress leave.
func (d *Dispatcher) IdleConnections() int {
	least := math.MaxInt
	for _, s := range d.table.Config.Services {
		if s.MaxConnections > 0 {
			least = min(least, int((1-connectionShare)*float64(s.MaxConnections)/float64(len(d.routers))))
		}
	}
	return max(1, least)
}

func slotsOf(b *book) int {
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

// homeKey names a shared prefix of a service's requests.
type homeKey struct {
	service string
	prefix  uint64
}

// home returns the endpoint that all routers prefer for a shared prefix, by
// rendezvous over the endpoints that can be used; nil: none.
func (d *Dispatcher) home(service string, prefix uint64) *book {
	if prefix == 0 {
		return nil
	}
	key := homeKey{service, prefix}
	if best, ok := d.homes[key]; ok {
		return best
	}
	var best *book
	var bestWeight uint64
	for _, b := range d.order {
		if b.Service != service || b.Draining || b.misdirected || d.zonesOut[b.Zone] || b.failures > 0 {
			continue
		}
		if w := grid.Weight(prefix, b.ID); best == nil || w > bestWeight {
			best, bestWeight = b, w
		}
	}
	if len(d.homes) >= homesKept {
		clear(d.homes)
	}
	d.homes[key] = best
	return best
}
