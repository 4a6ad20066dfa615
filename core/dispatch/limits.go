package dispatch

import (
	"math"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

const (
	// inShareSlotFraction, overShareSlotFraction and cachedSlotFraction are the
	// fractions of an endpoint's slots that model requests may fill. Requests
	// within their account's share may fill all of them. Requests beyond it may
	// fill half, so that others find a free slot at once, and more if much of
	// their prompt is cached at the endpoint, since they cost less.
	inShareSlotFraction   = 1.0
	overShareSlotFraction = 0.5
	cachedSlotFraction    = 0.8
	// saturatedSlotFraction is the same for requests beyond the share in a service
	// that is saturated below its configured capacity: slots are what it lacks, and
	// each one left free is lost.
	saturatedSlotFraction = 0.8
	// yieldingSlotFraction is the same for requests beyond the share while another
	// account is underserved, which may wait at a router that sees free slots later.
	yieldingSlotFraction = 0.2
	// inShareWaitFraction, overShareWaitFraction and cachedWaitFraction are the
	// fractions of the objective within which an endpoint must start to prefill
	// a prompt, in the same three cases. The prefill and the first decode steps
	// take up to half of the objective.
	inShareWaitFraction   = 0.35
	overShareWaitFraction = 0.2
	cachedWaitFraction    = 0.4
	// underservedWaitFactor lengthens the wait further for an underserved account.
	// Its requests are rather late than refused while other routers, which see free
	// slots sooner, fill the endpoints.
	underservedWaitFactor = 4.0
	// maxMemoryFraction is the fraction of an endpoint's memory that running
	// requests may fill. Estimates of their output length are rough, and a model
	// runner that runs out of memory preempts a request.
	maxMemoryFraction = 0.92
	// plainQueueFactor is the number of requests that may queue inside a plain
	// endpoint, as a multiple of its slots.
	plainQueueFactor = 1.0
	// plainOverShareFraction is the fraction of a plain endpoint's slots that requests
	// beyond their account's share may fill, so that others find one free at once.
	plainOverShareFraction = 0.8
)

// occupancyLimits bound the load of an endpoint at which it may still receive a
// request.
type occupancyLimits struct {
	slotFraction  float64       // of the slots
	maxWait       time.Duration // until the endpoint starts to prefill the prompt
	maxCachedWait time.Duration // the same, if the endpoint has much of the prompt cached
	// maxCachedSlots is the fraction of the slots if the endpoint has much of the
	// prompt cached.
	maxCachedSlots float64
}

// limitsFor returns the limits for a request. They are tighter if the request
// has missed its objective or its account is beyond its share. It updates both
// on the ticket.
func (d *Dispatcher) limitsFor(now time.Time, s *serviceState, t *Ticket) occupancyLimits {
	objective := t.Request.Objective.Sub(t.Request.Arrived)
	t.ObjectiveMissed = t.missesObjective(now, s)
	cached := time.Duration(cachedWaitFraction * float64(objective))
	d.updateShare(now, s, t)
	if t.OverShare && s.underserved {
		return occupancyLimits{slotFraction: yieldingSlotFraction, maxCachedSlots: yieldingSlotFraction}
	}
	if t.OverShare && s.overloaded {
		ratio := t.FairShare / t.RecentUsage // the further beyond its share, the tighter the limits
		return occupancyLimits{slotFraction: overShareSlotFraction * ratio, maxWait: time.Duration(overShareWaitFraction * ratio * float64(objective)), maxCachedWait: time.Duration(ratio * float64(cached)), maxCachedSlots: cachedSlotFraction}
	}
	if t.OverShare && s.saturated && !t.ObjectiveMissed {
		return occupancyLimits{slotFraction: saturatedSlotFraction, maxWait: time.Duration(inShareWaitFraction * float64(objective)), maxCachedWait: cached, maxCachedSlots: saturatedSlotFraction}
	}
	if t.ObjectiveMissed || t.OverShare {
		return occupancyLimits{slotFraction: overShareSlotFraction, maxWait: time.Duration(overShareWaitFraction * float64(objective)), maxCachedWait: cached, maxCachedSlots: cachedSlotFraction}
	}
	deficit := d.shareDeficit(s, t)
	longer := 1 + deficit + underservedWaitFactor*max(0, deficit-(1-underservedFraction))
	wait := time.Duration(inShareWaitFraction * longer * float64(objective))
	return occupancyLimits{slotFraction: inShareSlotFraction, maxWait: wait, maxCachedWait: max(cached, wait), maxCachedSlots: cachedSlotFraction}
}

// shareDeficit returns the fraction of its share that an account has not
// received, or 0 if the service is not overloaded. Peer reports are some tens
// of milliseconds old, so endpoints look full to the router of a small account
// although accounts beyond their shares fill them. Requests of such an account
// may therefore wait longer inside an endpoint.
func (d *Dispatcher) shareDeficit(s *serviceState, t *Ticket) float64 {
	if !s.overloaded && !s.saturated || math.IsInf(t.FairShare, 1) || t.FairShare <= 0 {
		return 0
	}
	return max(0, 1-t.RecentUsage/t.FairShare)
}

// hasRoom reports whether the endpoint has room for the request, and counts on the
// ticket what it lacks. The length of a prompt does not count against an endpoint
// that has no prompt left to prefill.
func (l occupancyLimits) hasRoom(ep *endpointState, engine *topology.Engine, t *Ticket, uncached int) bool {
	load := ep.totalLoad()
	maxWait, slotFraction := l.maxWait, l.slotFraction
	if t.Request.PromptTokens-uncached >= minCacheWaitTokens {
		maxWait, slotFraction = max(maxWait, l.maxCachedWait), max(slotFraction, l.maxCachedSlots)
	} else {
		load.Active += ep.reservedSlots
	}
	slots := float64(slotsOf(ep))
	if t.Request.PromptTokens == 0 || engine == nil {
		if t.OverShare {
			return float64(load.Active) < slots*plainOverShareFraction
		}
		return float64(load.Active) < slots*(1+plainQueueFactor)
	}
	if float64(load.Active) >= slots*slotFraction {
		t.Blocked.Slots++
		return false
	}
	if need := load.Resident + t.Request.PromptTokens + t.Request.OutputTokens; engine.MemoryTokens > 0 &&
		load.Active > 0 && float64(need) > maxMemoryFraction*float64(engine.MemoryTokens) {
		t.Blocked.Memory++
		return false
	}
	if load.Pending > 0 && ep.predictFirstEvent(0) > maxWait {
		t.Blocked.Prefill++
		return false
	}
	return true
}

// exceedsMemory reports whether the prompt of a request alone exceeds an engine's memory. An
// expected output beyond it is cut, since it is an estimate.
func exceedsMemory(engine *topology.Engine, r *Request) bool {
	if engine == nil || engine.MemoryTokens <= 0 {
		return false
	}
	r.OutputTokens = min(r.OutputTokens, engine.MemoryTokens)
	return r.PromptTokens > engine.MemoryTokens
}
