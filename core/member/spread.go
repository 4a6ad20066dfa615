package member

import (
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

// Differing returns notices of the members and of the routers lately removed
// in the buckets that differ from another router's digest.
func (t *Tracker) Differing(now time.Time, other Digest) []Notice {
	own := t.Digest()
	var differing []Notice
	for _, n := range t.notices() {
		if b := bucket(n.Router.Name); own[b] != other[b] {
			if e := t.members[n.Router.Name]; e != nil {
				n.Heard = now.Sub(e.direct) <= t.limits.Lifetime/2
			}
			differing = append(differing, n)
		}
	}
	for name, old := range t.gone {
		if b := bucket(name); own[b] != other[b] {
			differing = append(differing, Notice{Router: old.router, Beat: old.beat, Gone: true})
		}
	}
	return differing
}

// Partners returns the names of the routers to exchange heartbeats with at
// the given round: all of them in a small fleet; else the successors on the
// region's ring and one more that changes with each round.
func (t *Tracker) Partners(round int) []string {
	names := make([]string, 0, len(t.members))
	for name := range t.members {
		names = append(names, name)
	}
	slices.Sort(names)
	if len(names) <= t.limits.Mesh {
		return names
	}
	partners := t.successors(t.self, t.limits.Fanout)
	// A stride by the own hash spreads the routers' choices over the fleet.
	offset := int(xxhash.Sum64String(t.self.Name) % uint64(len(names)))
	extra := names[(offset+round)%len(names)]
	if !slices.Contains(partners, extra) {
		partners = append(partners, extra)
	}
	return partners
}

// Notices returns the news to put on the next message.
func (t *Tracker) Notices() []Notice {
	if len(t.members) <= t.limits.Mesh {
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

// TakeNotices takes in news passed on by another router.
func (t *Tracker) TakeNotices(now time.Time, notices []Notice) {
	for _, n := range notices {
		switch {
		case t.isSelf(n.Router):
			if n.Gone && n.Router.Incarnation == t.self.Incarnation {
				t.beat = max(t.beat, n.Beat) + 2*refutation
				t.spread(Notice{Router: t.self, Beat: t.beat})
			}
		case n.Gone:
			t.takeGone(now, n)
		default:
			t.takeAlive(now, n)
		}
	}
}

// takeAlive learns of a router that it does not hear itself. News of a known
// one counts only if its beat is later, and news of a removed one only if
// that router has refuted its removal or the sender hears it now: others may
// have heard it last a few beats later than the router that removed it.
func (t *Tracker) takeAlive(now time.Time, n Notice) {
	e := t.members[n.Router.Name]
	if e != nil && n.Router.Incarnation == e.router.Incarnation && n.Beat <= e.beat {
		return
	}
	old, removed := t.gone[n.Router.Name]
	refuted := n.Beat >= old.beat+refutation || n.Heard && n.Beat > old.beat
	if removed && n.Router.Incarnation == old.router.Incarnation && !refuted {
		return
	}
	n.Router.Load = 0
	t.admit(now, n.Router, n.Beat, 0)
}

func (t *Tracker) takeGone(now time.Time, n Notice) {
	e := t.members[n.Router.Name]
	if e == nil || n.Router.Incarnation < e.router.Incarnation {
		return
	}
	if n.Router.Incarnation == e.router.Incarnation && n.Beat+refutation <= e.beat {
		return // it has refuted this removal
	}
	if now.Sub(e.direct) <= t.limits.Lifetime {
		return
	}
	t.remove(now, n.Router.Name)
}

// judged reports whether this router hears the named one directly, so that
// its silence means something.
func (t *Tracker) judged(name string) bool {
	if len(t.members) <= t.limits.Mesh {
		return true
	}
	e := t.members[name]
	return slices.Contains(t.successors(e.router, t.limits.Fanout), t.self.Name) ||
		slices.Contains(t.successors(t.self, t.limits.Fanout), name)
}

// successors returns the next routers after r on the ring of its region, or
// of the fleet if the region has too few.
func (t *Tracker) successors(r Router, n int) []string {
	all := t.View()
	ring := all.Region(r.Region)
	if len(ring.Routers) <= n {
		ring = all
	}
	at := xxhash.Sum64String(r.Name)
	names := ring.Names()
	names = slices.DeleteFunc(names, func(name string) bool { return name == r.Name })
	slices.SortFunc(names, func(a, b string) int {
		return compare(xxhash.Sum64String(a)-at, xxhash.Sum64String(b)-at)
	})
	return names[:min(n, len(names))]
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
	all = append(all, Notice{Router: t.self, Beat: t.beat})
	for _, e := range t.members {
		all = append(all, Notice{Router: e.router, Beat: e.beat})
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
