package order

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Clone returns a copy of the shard for the exhaustive exploration. Segments
// are shared, since they are never modified once they are stored.
func (s *Shard) Clone() *Shard {
	c := *s
	c.sealed = maps.Clone(s.sealed)
	c.index = maps.Clone(s.index)
	c.summaries = maps.Clone(s.summaries)
	c.reread = maps.Clone(s.reread)
	c.lost = maps.Clone(s.lost)
	c.abandoned = maps.Clone(s.abandoned)
	c.claims = copyAll(s.claims)
	c.changes = copyAll(s.changes)
	c.reads = copyAll(s.reads)
	for _, p := range c.reads {
		p.toRead = maps.Clone(p.toRead)
	}
	if s.inFlight != nil {
		c.inFlight = &segmentWrite{segment: s.inFlight.segment, claims: copyAll(s.inFlight.claims), changes: copyAll(s.inFlight.changes), lost: s.inFlight.lost}
	}
	return &c
}

func copyAll[T any](items []*T) []*T {
	out := make([]*T, len(items))
	for i, p := range items {
		v := *p
		out[i] = &v
	}
	return out
}

// Fingerprint writes a text that identifies the shard's state in the
// exploration.
func (s *Shard) Fingerprint(b *strings.Builder) {
	fmt.Fprint(b, s.head.First, s.verifyHead, s.createTail, s.loadSeq, s.lastCallWasRead, s.deleteVersion)
	for _, seg := range s.segments() {
		fmt.Fprint(b, "|", seg.Seq, seg.version)
	}
	for _, seq := range slices.Sorted(maps.Keys(s.reread)) {
		fmt.Fprint(b, "r", seq)
	}
	if s.inFlight != nil {
		fmt.Fprint(b, "f")
		writePending(b, s.inFlight.claims, s.inFlight.changes)
	}
	writePending(b, s.claims, s.changes)
	for _, p := range s.reads {
		fmt.Fprint(b, "l", p.id[0], p.fresh, len(p.toRead), p.toRead == nil)
	}
}

func writePending(b *strings.Builder, claims []*pendingClaim, changes []*pendingChange) {
	for _, c := range claims {
		fmt.Fprint(b, "c", c.record.Token, c.withdrawn, c.uncertainVersion)
	}
	for _, c := range changes {
		fmt.Fprint(b, "h", c.Token, c.To, c.RaiseFence)
	}
}

// SetEnv replaces the Env of a copied run.
func (r *Run) SetEnv(env Env) { r.env = env }
