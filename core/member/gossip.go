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
	// A router puts each notice on retransmitFactor times log2 of the fleet's
	// size messages.
	retransmitFactor = 3
	// refutationStep is the increase of the heartbeat sequence number by which a
	// router refutes its own removal. No router sends that many heartbeats before
	// others notice its silence, so a normal number cannot pass for a refutation.
	refutationStep = 1 << 20
	// DigestBuckets is the number of buckets into which router names are hashed to
	// compare views.
	DigestBuckets = 16
)

// queuedNotice is a notice that waits to be passed on.
type queuedNotice struct {
	notice    Notice
	remaining int // messages that are still to carry it
}

// Digest summarizes a view: it holds one hash per bucket of router names.
type Digest [DigestBuckets]uint64

// Sum combines the digest into one number.
func (d Digest) Sum() uint64 {
	var sum uint64
	for i, v := range d {
		sum ^= bits.RotateLeft64(v, i)
	}
	return sum
}

// Digest returns the digest of the known routers' names, incarnations and
// leaving states.
func (t *Tracker) Digest() Digest {
	var d Digest
	for _, n := range t.allNotices() {
		d[bucket(n.Router.Name)] ^= fingerprint(n.Router)
	}
	return d
}

// DiffNotices returns notices of the members and of the recently removed routers
// in the buckets that differ from another router's digest.
func (t *Tracker) DiffNotices(now time.Time, other Digest) []Notice {
	own := t.Digest()
	var differing []Notice
	for _, n := range t.allNotices() {
		if b := bucket(n.Router.Name); own[b] != other[b] {
			if p := t.members[n.Router.Name]; p != nil {
				n.HeardDirectly = now.Sub(p.lastHeartbeat) <= t.limits.SilenceTimeout/2
			}
			differing = append(differing, n)
		}
	}
	for name, old := range t.removed {
		if b := bucket(name); own[b] != other[b] {
			differing = append(differing, Notice{Router: old.router, Seq: old.seq, Removed: true})
		}
	}
	return differing
}

// HeartbeatPeers returns the names of the routers to exchange heartbeats with in
// the given round. In a small fleet these are all routers. In a larger one they
// are the successors on the region's ring and, in turn, one of the routers at
// distances 1, 2, 4, 8 and so on around the whole fleet's ring. The number of
// exchanges that a notice needs to reach the whole fleet and the number of
// connections that a router keeps both grow with the logarithm of the fleet's
// size.
func (t *Tracker) HeartbeatPeers(round int) []string {
	if len(t.members) <= t.limits.FullMeshMax {
		return slices.Sorted(maps.Keys(t.members))
	}
	peers := t.successors(t.self, t.limits.Fanout)
	fingers := t.fingers()
	finger := fingers[round%len(fingers)]
	if !slices.Contains(peers, finger) {
		peers = append(peers, finger)
	}
	return peers
}

// fingers returns the names of the routers at distances 1, 2, 4, 8 and so on
// after this one on the fleet's ring.
func (t *Tracker) fingers() []string {
	ring := t.ringAfter(t.View(), t.self.Name)
	var names []string
	for distance := 1; distance <= len(ring); distance *= 2 {
		names = append(names, ring[distance-1])
	}
	return names
}

// PendingNotices returns the notices to put on the next message. A full mesh
// needs none.
func (t *Tracker) PendingNotices() []Notice {
	if len(t.members) <= t.limits.FullMeshMax {
		t.queue = nil
		return nil
	}
	sent := min(len(t.queue), noticesPerMessage)
	notices := make([]Notice, 0, sent)
	kept := slices.Clone(t.queue[sent:])
	for _, q := range t.queue[:sent] {
		notices = append(notices, q.notice)
		if q.remaining > 1 {
			kept = append(kept, queuedNotice{notice: q.notice, remaining: q.remaining - 1})
		}
	}
	t.queue = kept
	return notices
}

// HandleNotices processes notices from another router.
func (t *Tracker) HandleNotices(now time.Time, notices []Notice) {
	for _, n := range notices {
		switch {
		case t.handleOwnName(n.Router):
			if n.Removed && n.Router.Incarnation == t.self.Incarnation {
				t.refute(n.Seq)
			}
		case n.Removed:
			t.handleRemoved(now, n)
		default:
			t.handleAlive(now, n)
		}
	}
}

// refute raises this router's sequence number beyond any number that the fleet
// knows of it, which proves that it is alive.
func (t *Tracker) refute(seq uint64) {
	t.seq = max(t.seq, seq) + 2*refutationStep
	t.queueNotice(Notice{Router: t.self, Seq: t.seq})
}

// handleAlive processes a notice that a router is alive. For a member, the notice
// counts only if its sequence number is higher than the known one. For a removed
// router, a higher number alone is no evidence: others may have received a few
// more heartbeats before it went silent than the router that removed it. Such a
// notice counts only if the router has refuted its removal, or if the number is
// higher and the sender receives heartbeats from the router itself.
func (t *Tracker) handleAlive(now time.Time, n Notice) {
	p := t.members[n.Router.Name]
	if p != nil && n.Router.Incarnation == p.router.Incarnation && n.Seq <= p.seq {
		return
	}
	old, removed := t.removed[n.Router.Name]
	refuted := n.Seq >= old.seq+refutationStep || n.HeardDirectly && n.Seq > old.seq
	if removed && n.Router.Incarnation == old.router.Incarnation && !refuted {
		return
	}
	n.Router.Load = 0
	t.recordAlive(now, n.Router, n.Seq, 0)
}

// handleRemoved processes a notice that a router was removed. It ignores the
// notice if this router has received a heartbeat from that router within
// Limits.SilenceTimeout.
func (t *Tracker) handleRemoved(now time.Time, n Notice) {
	p := t.members[n.Router.Name]
	if p == nil || n.Router.Incarnation < p.router.Incarnation {
		return
	}
	if n.Router.Incarnation == p.router.Incarnation && n.Seq+refutationStep <= p.seq {
		return // the router has refuted this removal
	}
	if now.Sub(p.lastHeartbeat) <= t.limits.SilenceTimeout {
		return
	}
	t.remove(now, n.Router.Name)
}

// monitored returns the members whose silence this router can judge because it
// exchanges heartbeats with them. The value is the silence after which this
// router should read their leases.
func (t *Tracker) monitored() map[string]time.Duration {
	timeouts := make(map[string]time.Duration)
	if len(t.members) <= t.limits.FullMeshMax {
		for name := range t.members {
			timeouts[name] = t.limits.SilenceTimeout
		}
		return timeouts
	}
	for _, name := range t.fingers() {
		timeouts[name] = t.removalTimeout() // contacted rarely; needed to detect the loss of a whole region
	}
	for _, name := range t.successors(t.self, t.limits.Fanout) {
		timeouts[name] = t.limits.SilenceTimeout
	}
	return timeouts
}

// successors returns the names of the n routers after r on the ring of its
// region, or on the ring of the fleet if the region has too few.
func (t *Tracker) successors(r Router, n int) []string {
	all := t.View()
	ring := all.Region(r.Region)
	if len(ring.Routers) <= n {
		ring = all
	}
	names := t.ringAfter(ring, r.Name)
	return names[:min(n, len(names))]
}

// ringAfter returns the names of a view's other routers in the order of their
// hashes on the ring, starting after the named one. The subtraction of hashes
// wraps around, so that names with a lower hash than the named one come last.
func (t *Tracker) ringAfter(v View, name string) []string {
	origin := xxhash.Sum64String(name)
	names := slices.DeleteFunc(v.Names(), func(other string) bool { return other == name })
	slices.SortFunc(names, func(a, b string) int {
		return compare(xxhash.Sum64String(a)-origin, xxhash.Sum64String(b)-origin)
	})
	return names
}

// queueNotice puts a notice at the front of the queue and drops older notices of
// the same router.
func (t *Tracker) queueNotice(n Notice) {
	t.queue = slices.DeleteFunc(t.queue, func(q queuedNotice) bool { return q.notice.Router.Name == n.Router.Name })
	remaining := retransmitFactor * bits.Len(uint(len(t.members)+1))
	t.queue = slices.Insert(t.queue, 0, queuedNotice{notice: n, remaining: remaining})
}

// allNotices returns a notice of each member, including this router.
func (t *Tracker) allNotices() []Notice {
	all := make([]Notice, 0, len(t.members)+1)
	all = append(all, Notice{Router: t.self, Seq: t.seq})
	for _, p := range t.members {
		all = append(all, Notice{Router: p.router, Seq: p.seq})
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
