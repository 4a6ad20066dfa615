package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/grid"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

// After a restart of all routers none knows what endpoints have cached. Endpoints list
// that themselves; each is asked by one router, which announces the list to the others as
// placements that add no tokens.

const (
	// maxListedParts limits the parts learned from one endpoint's list. Beyond it, those
	// with the most tokens are kept, which cost the most to read again.
	maxListedParts = 1024
	// maxListedInReport limits the listed parts that one report carries, and
	// maxRowListedInReport those of other routers in the report of a row. A part takes 8
	// bytes, and a placement counts as one part more, so they make a heartbeat less than
	// 8 KB larger.
	maxListedInReport    = 100
	maxRowListedInReport = 860
	// maxQueuedListed limits the listed parts and placements that wait to be announced.
	// Further ones are dropped, so that other routers take them for not cached.
	maxQueuedListed = 64 << 10
)

// CacheList is what an endpoint says that it has cached.
type CacheList struct {
	Endpoint string // ID of the endpoint that responds; empty: not stated
	Parts    []PromptPart
}

// listedQueue holds listed parts to be announced, at most limit of them at a time.
type listedQueue struct {
	limit      int // parts and placements
	placements []listedPlacement
	size       int // parts and placements
	releasedAt time.Time
}

// add queues parts that an endpoint has listed, unless the queue is full.
func (q *listedQueue) add(p listedPlacement) {
	if size := len(p.Parts) + 1; q.size+size <= maxQueuedListed {
		q.placements = append(q.placements, p)
		q.size += size
	}
}

// listedPlacement announces parts that an endpoint has listed.
type listedPlacement struct {
	Placement
	endpoint *endpointState // incarnation that listed them; nil: reported by a peer
}

// announcesList reports whether a placement announces listed parts.
func (p *Placement) announcesList() bool { return p.NewTokens == 0 }

// ListsDue returns the endpoints that this router has to ask for their lists. live holds
// the other live routers. An endpoint is asked by a router of its availability zone if
// there is any, unless another router has announced its list. A cold endpoint has just
// started, and has cached nothing worth the call.
func (d *Dispatcher) ListsDue(now time.Time, live []RunningRouter) (due []topology.Endpoint) {
	byZone := map[string][]string{d.opts.Zone: {d.opts.Self}}
	all := []string{d.opts.Self}
	for _, r := range live {
		byZone[r.Zone] = append(byZone[r.Zone], r.Name)
		all = append(all, r.Name)
	}
	for _, ep := range d.sortedEndpoints {
		if d.engine(ep.Service) == nil || ep.cache.listed || ep.Draining || ep.misdirected || d.zonesOut[ep.Zone] || d.saysLeaving(ep) || ep.isCold(now) {
			continue
		}
		routers := byZone[ep.Zone]
		if len(routers) == 0 {
			routers = all
		}
		if firstByRendezvous(ep.ID, routers) == d.opts.Self {
			due = append(due, ep.Endpoint)
		}
	}
	return due
}

// firstByRendezvous returns the router with the highest weight for an endpoint.
func firstByRendezvous(endpoint string, routers []string) string {
	key := xxhash.Sum64String(endpoint)
	return slices.MaxFunc(routers, func(a, b string) int {
		return cmp.Or(cmp.Compare(grid.Weight(key, a), grid.Weight(key, b)), cmp.Compare(a, b))
	})
}

// RecordList applies the list of an endpoint and announces it. It returns the number of
// parts, and false if the endpoint has started again or its address has changed hands.
func (d *Dispatcher) RecordList(asked topology.Endpoint, l CacheList) (parts int, ok bool) {
	ep, known := d.endpoints[asked.ID]
	if !known || ep.Incarnation() != asked.Incarnation() || ep.Address != asked.Address || l.Endpoint != "" && l.Endpoint != asked.ID {
		return 0, false
	}
	listed := slices.DeleteFunc(slices.Clone(l.Parts), func(p PromptPart) bool { return p.Tokens <= 0 })
	slices.SortStableFunc(listed, func(a, b PromptPart) int { return cmp.Compare(b.Tokens, a.Tokens) })
	listed = listed[:min(len(listed), maxListedParts, d.cachedPartsLimit())]
	for chunk := range slices.Chunk(listed, maxListedInReport) {
		p := Placement{Endpoint: ep.ID}
		for _, part := range chunk {
			p.Parts = append(p.Parts, part.ID)
		}
		d.touchCache(ep, p.Parts, len(p.Parts), 0)
		d.ownListed.add(listedPlacement{p, ep})
	}
	ep.cache.listed = true
	return len(listed), true
}

// releaseListed announces the next listed parts, of this router and of its row.
func (d *Dispatcher) releaseListed(now time.Time) {
	for _, q := range []*listedQueue{&d.ownListed, &d.rowListed} {
		for _, p := range q.release(now, d.announceDuration) {
			if p.endpoint == nil || d.endpoints[p.Endpoint] == p.endpoint {
				p.at = now
				d.announce(p.Placement)
			}
		}
	}
}

// release removes the next placements from the queue, once the last ones are not reported
// any more.
func (q *listedQueue) release(now time.Time, reported time.Duration) []listedPlacement {
	if len(q.placements) == 0 || now.Sub(q.releasedAt) <= reported {
		return nil
	}
	n, size := 0, 0
	for n < len(q.placements) {
		if size += len(q.placements[n].Parts) + 1; n > 0 && size > q.limit {
			break
		}
		n++
	}
	out := slices.Clone(q.placements[:n])
	for _, p := range out {
		q.size -= len(p.Parts) + 1
	}
	q.placements = slices.Delete(q.placements, 0, n)
	q.releasedAt = now
	return out
}
