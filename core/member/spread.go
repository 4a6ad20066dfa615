package member

import (
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	noticesPerMessage = 8
	// spreadRounds times the logarithm of the fleet's size is how often a
	// router passes a notice on.
	spreadRounds = 3
	// refutation is the step in beats by which a router that hears of its own
	// removal shows that it lives; no router sends so many before it is missed.
	refutation = 1 << 20
	// DigestBuckets is the number of parts in which views are compared.
	DigestBuckets = 16
)

// outgoing is a notice that is still to be passed on.
type outgoing struct {
	notice Notice
	left   int
}

// Digest is a view in short: one number for each bucket of router names.
type Digest [DigestBuckets]uint64

// Sum returns the digest as one number.
func (d Digest) Sum() uint64 {
	var sum uint64
	for i, v := range d {
		sum ^= bits.RotateLeft64(v, i)
	}
	return sum
}

// Digest returns the digest of the names, incarnations and states known.
func (t *Tracker) Digest() Digest {
	var d Digest
	for _, n := range t.notices() {
		d[bucket(n.Router.Name)] ^= fingerprint(n.Router)
	}
	return d
}

// DiffNotices returns notices of the members and of the routers lately removed
// in the buckets that differ from another router's digest.
func (t *Tracker) DiffNotices(now time.Time, other Digest) []Notice {
	own := t.Digest()
	var differing []Notice
	for _, n := range t.notices() {
		if b := bucket(n.Router.Name); own[b] != other[b] {
			if e := t.members[n.Router.Name]; e != nil {
				n.HeardDirectly = now.Sub(e.direct) <= t.limits.Lifetime/2
			}
			differing = append(differing, n)
		}
	}
	for name, old := range t.gone {
		if b := bucket(name); own[b] != other[b] {
			differing = append(differing, Notice{Router: old.router, Seq: old.beat, Removed: true})
		}
	}
	return differing
}

// HeartbeatPeers returns the names of the routers to exchange heartbeats with at
// the given round: all of them in a small fleet; else the successors on the
// region's ring and, in turn, one of the routers at distances 1, 2, 4, 8 and
// so on around the whole fleet's ring. News crosses the fleet in a number of
// exchanges that grows with the logarithm of its size, and so does the number
// of connections that a router keeps.
func (t *Tracker) HeartbeatPeers(round int) []string {
	if len(t.members) <= t.limits.FullMeshMax {
		return slices.Sorted(maps.Keys(t.members))
	}
	partners := t.successors(t.self, t.limits.Fanout)
	fingers := t.fingers()
	far := fingers[round%len(fingers)]
	if !slices.Contains(partners, far) {
		partners = append(partners, far)
	}
	return partners
}

// fingers returns the routers at distances 1, 2, 4, 8 and so on.
func (t *Tracker) fingers() []string {
	ring := t.ringAfter(t.View(), t.self.Name)
	var names []string
	for distance := 1; distance <= len(ring); distance *= 2 {
		names = append(names, ring[distance-1])
	}
	return names
}

// PendingNotices returns the news to put on the next message.
func (t *Tracker) PendingNotices() []Notice {
	if len(t.members) <= t.limits.FullMeshMax {
		t.news = nil
		return nil
	}
	n := min(len(t.news), noticesPerMessage)
	notices := make([]Notice, 0, n)
	kept := slices.Clone(t.news[n:])
	for _, o := range t.news[:n] {
		notices = append(notices, o.notice)
		if o.left > 1 {
			kept = append(kept, outgoing{notice: o.notice, left: o.left - 1})
		}
	}
	t.news = kept
	return notices
}

// HandleNotices takes in news passed on by another router.
func (t *Tracker) HandleNotices(now time.Time, notices []Notice) {
	for _, n := range notices {
		switch {
		case t.isSelf(n.Router):
			if n.Removed && n.Router.Incarnation == t.self.Incarnation {
				t.refute(n.Seq)
			}
		case n.Removed:
			t.takeGone(now, n)
		default:
			t.takeAlive(now, n)
		}
	}
}

// refute shows the fleet that this router lives, whatever beat it was last
// heard with.
func (t *Tracker) refute(beat uint64) {
	t.beat = max(t.beat, beat) + 2*refutation
	t.spread(Notice{Router: t.self, Seq: t.beat})
}

// takeAlive learns of a router that it does not hear itself. News of a known
// one counts only if its beat is later, and news of a removed one only if
// that router has refuted its removal or the sender hears it now: others may
// have heard it last a few beats later than the router that removed it.
func (t *Tracker) takeAlive(now time.Time, n Notice) {
	e := t.members[n.Router.Name]
	if e != nil && n.Router.Incarnation == e.router.Incarnation && n.Seq <= e.beat {
		return
	}
	old, removed := t.gone[n.Router.Name]
	refuted := n.Seq >= old.beat+refutation || n.HeardDirectly && n.Seq > old.beat
	if removed && n.Router.Incarnation == old.router.Incarnation && !refuted {
		return
	}
	n.Router.Load = 0
	t.admit(now, n.Router, n.Seq, 0)
}

func (t *Tracker) takeGone(now time.Time, n Notice) {
	e := t.members[n.Router.Name]
	if e == nil || n.Router.Incarnation < e.router.Incarnation {
		return
	}
	if n.Router.Incarnation == e.router.Incarnation && n.Seq+refutation <= e.beat {
		return // it has refuted this removal
	}
	if now.Sub(e.direct) <= t.limits.Lifetime {
		return
	}
	t.remove(now, n.Router.Name)
}

// judged returns those of the members whose silence means something here:
// this router exchanges heartbeats with them. The value is the silence after
// which their leases are worth a look.
func (t *Tracker) judged() map[string]time.Duration {
	judged := make(map[string]time.Duration)
	if len(t.members) <= t.limits.FullMeshMax {
		for name := range t.members {
			judged[name] = t.limits.Lifetime
		}
		return judged
	}
	for _, name := range t.fingers() {
		judged[name] = t.window() // met seldom; they see the loss of a region
	}
	for _, name := range t.successors(t.self, t.limits.Fanout) {
		judged[name] = t.limits.Lifetime
	}
	return judged
}

// successors returns the next routers after r on the ring of its region, or
// of the fleet if the region has too few.
func (t *Tracker) successors(r Router, n int) []string {
	all := t.View()
	ring := all.Region(r.Region)
	if len(ring.Routers) <= n {
		ring = all
	}
	names := t.ringAfter(ring, r.Name)
	return names[:min(n, len(names))]
}

// ringAfter returns the names of a view's other routers in order of their
// hashes, beginning after the named one.
func (t *Tracker) ringAfter(v View, name string) []string {
	at := xxhash.Sum64String(name)
	names := slices.DeleteFunc(v.Names(), func(other string) bool { return other == name })
	slices.SortFunc(names, func(a, b string) int {
		return compare(xxhash.Sum64String(a)-at, xxhash.Sum64String(b)-at)
	})
	return names
}

// spread queues a notice in place of older ones of the same router.
func (t *Tracker) spread(n Notice) {
	t.news = slices.DeleteFunc(t.news, func(o outgoing) bool { return o.notice.Router.Name == n.Router.Name })
	rounds := spreadRounds * bits.Len(uint(len(t.members)+1))
	t.news = slices.Insert(t.news, 0, outgoing{notice: n, left: rounds})
}

// notices returns the whole state as notices, this router's among them.
func (t *Tracker) notices() []Notice {
	all := make([]Notice, 0, len(t.members)+1)
	all = append(all, Notice{Router: t.self, Seq: t.beat})
	for _, e := range t.members {
		all = append(all, Notice{Router: e.router, Seq: e.beat})
	}
	return all
}

func bucket(name string) int { return int(xxhash.Sum64String(name) % DigestBuckets) }

func fingerprint(r Router) uint64 {
	h := xxhash.Sum64String(r.Name) ^ uint64(r.Incarnation)*0x9e3779b97f4a7c15
	if r.Leaving {
		h = ^h
	}
	return h
}
