package order

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// restoreWindow is the age of the newest record of a sealed segment up to which
	// the segment stays in memory. What was written longer ago is not expected to be
	// lost when the platform is restored from an older copy.
	restoreWindow = time.Minute
	// fenceBits are the low bits of a fencing number. The bits above hold the era in
	// which it was given out, so that no number is given out again after the
	// platform has lost the record of the first time.
	fenceBits = 32
)

// lowestFence returns the lowest fencing number that may be given out.
func (s *Shard) lowestFence() int64 { return s.era<<fenceBits | 1 }

// Hold makes claims wait until the given time.
func (s *Shard) Hold(until time.Time) {
	if until.After(s.holdUntil) {
		s.holdUntil = until
	}
}

// handleRestoration handles the result of a call that shows that the platform was
// restored from an older copy. It discards the result and loads the shard again.
// The records in memory are written again unless the platform has them.
func (s *Shard) handleRestoration(call *Call, r CallResult) {
	if w := s.inFlight; w != nil {
		s.inFlight = nil
		if r.Status == CallOK || r.Status == CallUncertain {
			markUncertain(w, call)
		}
		s.requeue(w)
	}
	s.abandonUncertainClaims()
	for _, seg := range s.segments() {
		for _, e := range seg.entries {
			s.remember(e.record)
		}
	}
	for _, p := range s.reads {
		p.toRead = nil // the restored chain may be shorter
	}
	s.era = r.Era
	s.reset()
	s.head, s.headVersion = head{}, 0
	s.loadRequested = true
	s.holdPending = true
}

// abandonUncertainClaims gives up the claims whose write was uncertain. Another router
// may have seen such a claim and write it again at any time, so its absence from the
// restored segment does not settle it.
func (s *Shard) abandonUncertainClaims() {
	waiting := s.claims[:0]
	for _, c := range s.claims {
		if c.uncertainVersion == 0 {
			waiting = append(waiting, c)
			continue
		}
		if !c.withdrawn {
			s.complete(c.op, ClaimExpired, c.record)
		}
		s.abandoned[c.record.Token] = true
	}
	clear(s.claims[len(waiting):])
	s.claims = waiting
}

// settleAbandoned records the abandoned claims in a segment that was read as not
// executed.
func (s *Shard) settleAbandoned(seg *storedSegment) {
	if len(s.abandoned) == 0 {
		return
	}
	for _, e := range seg.entries {
		if r := e.record; s.abandoned[r.Token] && !r.State.Final() {
			delete(s.abandoned, r.Token)
			s.Change(Change{Account: r.Account, Key: r.Key, Token: r.Token, To: NotRun})
		}
	}
}

func (s *Shard) remember(r Record) {
	if known, ok := s.lost[r.Token]; !ok || r.supersedes(known) {
		s.lost[r.Token] = r
	}
}

// supersedes reports whether r is a later state than other of the same key.
func (r Record) supersedes(other Record) bool {
	if r.Fence != other.Fence {
		return r.Fence > other.Fence
	}
	return r.Token == other.Token && r.State.progress() > other.State.progress()
}

// progress orders the states by the changes that are possible.
func (s State) progress() int {
	switch s {
	case Claimed:
		return 0
	case Unknown:
		return 1
	}
	return 2
}

// rewriteCall returns a write that commits lost records of one segment, if there are
// any. It forgets those that need not be written.
func (s *Shard) rewriteCall(now time.Time) (Call, bool) {
	var base *storedSegment
	var w *segmentWrite
	for _, r := range s.lostRecords() {
		target := s.rewriteTarget(r, now)
		if target == nil {
			delete(s.lost, r.Token)
			continue
		}
		if w == nil {
			base, w = target, &segmentWrite{segment: target.clone()}
		}
		if target != base || base == s.tail && s.full(w.segment) {
			continue
		}
		w.segment.put(r)
		w.lost = append(w.lost, r)
	}
	if w == nil {
		return Call{}, false
	}
	if base == s.tail && s.full(w.segment) {
		w.segment.Sealed = true
	}
	return s.startWrite(w, base, now), true
}

// rewriteTarget returns the segment to which a lost record is to be written, or nil
// if the platform has it, or a later state of it, or its retention may have ended.
func (s *Shard) rewriteTarget(r Record, now time.Time) *storedSegment {
	if s.cfg.Retention > 0 && now.Sub(r.AcceptedAt) >= s.cfg.Retention/2 {
		return nil
	}
	current := s.findRecord(r.ID())
	if current == nil {
		return s.tail
	}
	if !r.supersedes(*current) {
		return nil
	}
	if r.Token != current.Token {
		return s.tail // another claim, which the copies of sealed segments at other routers don't show
	}
	return s.segment(s.index[r.ID()])
}

// lostRecords returns the lost records in the order of their fencing numbers, which is
// that of the claims of a key.
func (s *Shard) lostRecords() []Record {
	return slices.SortedFunc(maps.Values(s.lost), func(a, b Record) int {
		if order := cmp.Compare(a.Fence, b.Fence); order != 0 {
			return order
		}
		return strings.Compare(a.Token, b.Token)
	})
}
