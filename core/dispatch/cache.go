package dispatch

import (
	"slices"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

const (
	// retainedFraction is the part of an engine's memory that holds what was used
	// last; running requests need the rest.
	retainedFraction = 1.0
	// defaultRetainedTokens stands for an engine that states no memory, in tokens.
	defaultRetainedTokens = 200_000
	// maxCachedParts bounds the parts remembered for an endpoint.
	maxCachedParts = 8192
	// defaultAnnounceDuration is how long a placement is told to the other routers
	// until SetTellFor: some beats of a small fleet, since one may be lost.
	defaultAnnounceDuration = 150 * time.Millisecond
)

// promptCache is what the routers know of an endpoint's cached prompt parts. Its
// clock counts the tokens that the endpoint has put into its memory: the
// least recently used parts yield to them.
type promptCache struct {
	insertedTokens int
	lastUse        map[uint64]int // part: clock at its last use
}

// touch notes that a request with these shared parts was sent, which puts
// fresh tokens into the memory.
func (c *promptCache) touch(parts []uint64, fresh int) {
	c.insertedTokens += fresh
	if len(c.lastUse) > maxCachedParts {
		for id, at := range c.lastUse {
			if c.insertedTokens-at > defaultRetainedTokens {
				delete(c.lastUse, id)
			}
		}
	}
	for _, id := range parts {
		c.lastUse[id] = c.insertedTokens
	}
}

// uncachedTokens estimates the prompt tokens that the endpoint has to read: all
// after the first part that is not cached.
func (b *endpointState) uncachedTokens(engine *topology.Engine, parts []PromptPart, prompt int) int {
	memory := defaultRetainedTokens
	if engine != nil && engine.MemoryTokens > 0 {
		memory = int(retainedFraction * float64(engine.MemoryTokens))
	}
	missing := prompt
	for _, p := range parts {
		at, ok := b.cache.lastUse[p.ID]
		if !ok || b.cache.insertedTokens-at > memory {
			break
		}
		missing -= p.Tokens
	}
	return max(missing, 0)
}

// Placement says that a request was sent to an endpoint, which therefore
// holds the parts of its prompt.
type Placement struct {
	Sequence  uint64 // grows with each placement of a router
	Endpoint  string
	Parts     []uint64 // shared with other requests, and the request's own
	NewTokens int      // tokens that it puts into the memory
	at        time.Time
	fromPeer  bool // from another router of this router's row
}

// SetAnnounceDuration sets how long a placement is told to the other routers.
func (d *Dispatcher) SetAnnounceDuration(t time.Duration) { d.announceDuration = t }

// recordPlacement notes a placement of this router.
func (d *Dispatcher) recordPlacement(now time.Time, t *Ticket) {
	if t.Request.PromptTokens == 0 {
		return
	}
	p := Placement{Endpoint: t.endpoint.ID, NewTokens: t.UncachedTokens + t.Request.OutputTokens, at: now}
	for _, part := range t.Request.Parts {
		p.Parts = append(p.Parts, part.ID)
	}
	t.endpoint.cache.touch(p.Parts, p.NewTokens)
	d.announce(p)
}

// announce keeps a placement for the next reports.
func (d *Dispatcher) announce(p Placement) {
	d.lastSequence++
	p.Sequence = d.lastSequence
	d.placements = append(d.placements, p)
}

// recentPlacements returns the placements that the other routers may not know:
// this router's, or those of its whole row.
func (d *Dispatcher) recentPlacements(now time.Time, row bool) []Placement {
	old := 0
	for old < len(d.placements) && now.Sub(d.placements[old].at) > d.announceDuration {
		old++
	}
	d.placements = slices.Delete(d.placements, 0, old)
	out := make([]Placement, 0, len(d.placements))
	for _, p := range d.placements {
		if p.fromPeer && !row {
			continue
		}
		if row && len(p.Parts) > 1 {
			p.Parts = p.Parts[:len(p.Parts)-1] // a prompt's own part seldom comes to another row
		}
		out = append(out, p)
	}
	return out
}

// mergePlacements takes over the placements of a peer that are new; last is
// the number of the newest one known. It returns the newest number.
func (d *Dispatcher) mergePlacements(now time.Time, list []Placement, last uint64, tell bool) uint64 {
	for _, p := range list {
		if p.Sequence <= last {
			continue
		}
		last = p.Sequence
		if b, ok := d.endpoints[p.Endpoint]; ok {
			b.cache.touch(p.Parts, p.NewTokens)
		}
		if tell {
			p.at, p.fromPeer = now, true
			d.announce(p)
		}
	}
	return last
}
