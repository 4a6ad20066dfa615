package order

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Clone returns a copy for the exploration of all histories. Segments are
// shared: nothing changes them once they are stored.
func (s *Shard) Clone() *Shard {
	c := *s
	c.sealed = maps.Clone(s.sealed)
	c.index = maps.Clone(s.index)
	c.outlines = maps.Clone(s.outlines)
	c.reread = maps.Clone(s.reread)
	c.claims = copyAll(s.claims)
	c.changes = copyAll(s.changes)
	c.looks = copyAll(s.looks)
	for _, l := range c.looks {
		l.needs = maps.Clone(l.needs)
	}
	if s.flight != nil {
		c.flight = &flight{next: s.flight.next, claims: copyAll(s.flight.claims), changes: copyAll(s.flight.changes)}
	}
	return &c
}

func copyAll[T any](all []*T) []*T {
	out := make([]*T, len(all))
	for i, p := range all {
		v := *p
		out[i] = &v
	}
	return out
}

// Fingerprint names the state for the exploration.
func (s *Shard) Fingerprint(b *strings.Builder) {
	fmt.Fprint(b, s.head.First, s.verify, s.create, s.loading, s.lookedLast, s.doomed)
	for _, seg := range s.segments() {
		fmt.Fprint(b, "|", seg.Seq, seg.version)
	}
	for _, seq := range slices.Sorted(maps.Keys(s.reread)) {
		fmt.Fprint(b, "r", seq)
	}
	if s.flight != nil {
		fmt.Fprint(b, "f")
		describe(b, s.flight.claims, s.flight.changes)
	}
	describe(b, s.claims, s.changes)
	for _, l := range s.looks {
		fmt.Fprint(b, "l", l.id[0], l.fresh, len(l.needs), l.needs == nil)
	}
}

func describe(b *strings.Builder, claims []*claim, changes []*change) {
	for _, c := range claims {
		fmt.Fprint(b, "c", c.record.Token, c.gaveUp, c.maybeVersion)
	}
	for _, c := range changes {
		fmt.Fprint(b, "h", c.Token, c.To, c.RaiseFence)
	}
}

// SetEnv replaces the environment of a copied run.
func (r *Run) SetEnv(env Env) { r.env = env }
