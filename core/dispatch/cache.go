package dispatch

import (
	"slices"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

const (
	// retainedFraction is the fraction of an engine's memory that is assumed to
	// keep recently used prompt parts. It is all of it: the tokens of running
	// requests count as added to the memory, so they already age the parts.
	retainedFraction = 1.0
	// defaultRetainedTokens is used for an engine that does not state its
	// memory.
	defaultRetainedTokens = 200_000
	// maxCachedParts limits the parts tracked for one endpoint. An engine with memory for
	// a million tokens keeps fewer of those that save time.
	maxCachedParts = 8192
	// keptCachedFraction is the fraction of the limit that is kept when it is exceeded, so
	// that the oldest parts need not be sought at each request.
	keptCachedFraction = 0.75
	// minCachedTokens is the number of tokens from which a part is tracked, except for a
	// request's own. Reading fewer again takes less time than tracking them.
	minCachedTokens = 16
	// CachedPartBytes is the memory that a tracked part takes at most: an entry of 16
	// bytes in a map that has just grown, and a value to sort by.
	CachedPartBytes = 48
	// maxAnnouncedBytes limits the placements in one report, as partBytes and
	// placementBytes estimate their encoded size. Further ones wait for the next reports.
	maxAnnouncedBytes = 24 << 10
	partBytes         = 8
	placementBytes    = 32 // endpoint ID, sequence number and tokens
	// maxWaitingBytes limits the placements that wait to be announced, of which the
	// oldest are dropped: other routers then take their parts for not cached.
	maxWaitingBytes = 256 << 10
	// defaultAnnounceDuration is how long a placement is reported to the other
	// routers unless SetAnnounceDuration changes it. It spans several
	// heartbeats of a small fleet, since one may be lost.
	defaultAnnounceDuration = 150 * time.Millisecond
)

// promptCache estimates which prompt parts an endpoint has cached. It assumes
// that the endpoint evicts the least recently used parts, so the age of a part
// is the number of tokens that the endpoint has added to its memory since its
// last use.
type promptCache struct {
	insertedTokens int                // tokens added to the memory so far
	lastUse        map[uint64]partUse // by part ID
	listed         bool               // the endpoint's own list has been applied
}

// partUse is the last use of a part: the value of insertedTokens then, and in the lowest
// bit whether other requests may have the part. There may be a million of them.
type partUse int64

func newPartUse(at int, shared bool) partUse {
	u := partUse(at) << 1
	if shared {
		u |= 1
	}
	return u
}

func (u partUse) at() int      { return int(u >> 1) }
func (u partUse) shared() bool { return u&1 != 0 }

// touch records that a request with these parts was sent, which adds new tokens
// (uncached prompt and expected output) to the memory. Other requests may have the
// first parts, as many as shared says.
func (c *promptCache) touch(parts []uint64, shared, newTokens int) {
	c.insertedTokens += newTokens
	for i, id := range parts {
		c.lastUse[id] = newPartUse(c.insertedTokens, i < shared || c.lastUse[id].shared())
	}
}

// trim removes parts until keptCachedFraction of the limit are left, if it is exceeded:
// first those that an engine with this memory has evicted, then the least recently used.
func (c *promptCache) trim(limit, memory int) {
	if len(c.lastUse) <= limit {
		return
	}
	uses := make([]partUse, 0, len(c.lastUse))
	for id, use := range c.lastUse {
		if c.insertedTokens-use.at() > memory {
			delete(c.lastUse, id)
		} else {
			uses = append(uses, use)
		}
	}
	kept := max(1, int(keptCachedFraction*float64(limit)))
	if len(uses) <= kept {
		return
	}
	slices.Sort(uses)
	oldest := uses[len(uses)-kept]
	for id, use := range c.lastUse {
		if use < oldest {
			delete(c.lastUse, id)
		}
	}
	for id, use := range c.lastUse { // parts of one request are equally old
		if len(c.lastUse) <= kept {
			return
		}
		if use == oldest {
			delete(c.lastUse, id)
		}
	}
}

// touchCache records at an endpoint that a request with these parts was sent, see
// promptCache.touch.
func (d *Dispatcher) touchCache(ep *endpointState, parts []uint64, shared, newTokens int) {
	ep.cache.touch(parts, shared, newTokens)
	d.trimCache(ep)
}

func (d *Dispatcher) trimCache(ep *endpointState) {
	ep.cache.trim(d.cachedPartsLimit(), retainedTokens(d.engine(ep.Service)))
}

// cachedPartsLimit returns how many parts are tracked for one endpoint, at least one.
func (d *Dispatcher) cachedPartsLimit() int {
	if d.opts.MaxCachedParts <= 0 {
		return maxCachedParts
	}
	return max(1, min(maxCachedParts, d.opts.MaxCachedParts/max(1, len(d.endpoints))))
}

// retainedTokens returns the number of tokens after which an endpoint has evicted a part
// that was not used again.
func retainedTokens(engine *topology.Engine) int {
	if engine != nil && engine.MemoryTokens > 0 {
		return int(retainedFraction * float64(engine.MemoryTokens))
	}
	return defaultRetainedTokens
}

// uncachedTokens estimates the prompt tokens that the endpoint has to prefill:
// all from the first part on that is not cached.
func (ep *endpointState) uncachedTokens(engine *topology.Engine, parts []PromptPart, promptTokens int) int {
	memory := retainedTokens(engine)
	uncached := promptTokens
	for i, p := range parts {
		if !isTracked(parts, i) {
			continue
		}
		use, ok := ep.cache.lastUse[p.ID]
		if !ok || ep.cache.insertedTokens-use.at() > memory {
			break
		}
		uncached -= p.Tokens
	}
	return max(uncached, 0)
}

// isTracked reports whether it is tracked where the part at an index is cached.
func isTracked(parts []PromptPart, i int) bool {
	return i == len(parts)-1 || parts[i].Tokens >= minCachedTokens
}

// Placement records that a request was sent to an endpoint, which therefore has
// the parts of its prompt cached.
type Placement struct {
	Sequence  uint64 // increases with each placement that a router reports
	Endpoint  string
	Parts     []uint64 // shared parts, then the own part of the request
	NewTokens int      // tokens added to the memory
	at        time.Time
	fromPeer  bool // reported by another router of the same row
}

// sharedParts returns how many of the parts, from the first one on, other requests may
// have. A report of another row has left the own part out, and a list doesn't tell it.
func (p *Placement) sharedParts(ofOtherRow bool) int {
	if ofOtherRow || p.announcesList() {
		return len(p.Parts)
	}
	return len(p.Parts) - 1
}

// SetAnnounceDuration sets how long a placement or crash is reported to the
// other routers.
func (d *Dispatcher) SetAnnounceDuration(t time.Duration) { d.announceDuration = t }

// SetReportDelay sets how old the load that peers report is on average.
func (d *Dispatcher) SetReportDelay(t time.Duration) {
	d.reportDelay = t
	for _, ep := range d.endpoints {
		ep.readSinceReport = d.tokensReadIn(ep, t)
	}
}

// recordPlacement records a placement of this router.
func (d *Dispatcher) recordPlacement(now time.Time, t *Ticket) {
	if t.Request.PromptTokens == 0 {
		return
	}
	// Without new tokens it would be taken for an endpoint's list.
	p := Placement{Endpoint: t.endpoint.ID, NewTokens: max(1, t.UncachedTokens+t.Request.OutputTokens), at: now}
	for i, part := range t.Request.Parts {
		if isTracked(t.Request.Parts, i) {
			p.Parts = append(p.Parts, part.ID)
		}
	}
	d.touchCache(t.endpoint, p.Parts, len(p.Parts)-1, p.NewTokens)
	d.announce(p)
}

// announce queues a placement for the next reports.
func (d *Dispatcher) announce(p Placement) {
	d.waiting = append(d.waiting, p)
	d.waitingBytes += p.bytes()
	dropped := 0
	for d.waitingBytes > maxWaitingBytes {
		d.waitingBytes -= d.waiting[dropped].bytes()
		dropped++
	}
	d.waiting = slices.Delete(d.waiting, 0, dropped)
}

// bytes estimates the encoded size of a placement.
func (p *Placement) bytes() int { return placementBytes + partBytes*len(p.Parts) }

// releaseWaiting announces the placements that wait, as many as reports have room for,
// in their order: peers skip those with a lower sequence number than they have seen.
func (d *Dispatcher) releaseWaiting(now time.Time) {
	n := 0
	for n < len(d.waiting) {
		p := d.waiting[n]
		if d.announcedBytes > 0 && d.announcedBytes+p.bytes() > maxAnnouncedBytes {
			break
		}
		d.lastSequence++
		p.Sequence, p.at = d.lastSequence, now
		d.placements = append(d.placements, p)
		d.announcedBytes += p.bytes()
		d.waitingBytes -= p.bytes()
		n++
	}
	d.waiting = slices.Delete(d.waiting, 0, n)
}

// recentPlacements returns the placements that other routers may not know yet:
// those of this router or, for a report to other rows, those of its whole row.
func (d *Dispatcher) recentPlacements(now time.Time, forOtherRows bool) []Placement {
	d.releaseListed(now)
	old := 0
	for old < len(d.placements) && now.Sub(d.placements[old].at) > d.announceDuration {
		d.announcedBytes -= d.placements[old].bytes()
		old++
	}
	d.placements = slices.Delete(d.placements, 0, old)
	d.releaseWaiting(now)
	out := make([]Placement, 0, len(d.placements))
	for _, p := range d.placements {
		if p.fromPeer && !forOtherRows {
			continue
		}
		if forOtherRows && len(p.Parts) > 1 && !p.announcesList() {
			p.Parts = p.Parts[:len(p.Parts)-1] // requests with the same own part are rarely sent to another row
		}
		out = append(out, p)
	}
	return out
}

// mergePlacements applies the placements of a peer with a sequence number above
// last and returns the highest sequence number. If forward is set, they are
// also reported to other rows.
func (d *Dispatcher) mergePlacements(now time.Time, placements []Placement, last uint64, forward bool) uint64 {
	for _, p := range placements {
		if p.Sequence <= last {
			continue
		}
		last = p.Sequence
		if ep, ok := d.endpoints[p.Endpoint]; ok {
			d.touchCache(ep, p.Parts, p.sharedParts(!forward), p.NewTokens)
			ep.cache.listed = ep.cache.listed || p.announcesList()
		}
		if forward && p.announcesList() {
			p.fromPeer = true
			d.rowListed.add(listedPlacement{Placement: p})
		} else if forward {
			p.at, p.fromPeer = now, true
			d.announce(p)
		}
	}
	return last
}
