package order

import "time"

// writeCall returns a write that commits all pending changes and claims of one
// segment, if there are any.
func (s *Shard) writeCall(now time.Time) (Call, bool) {
	if len(s.lost) > 0 {
		if call, ok := s.rewriteCall(now); ok {
			return call, true
		}
	}
	seq, ok := s.writeTarget(now)
	if !ok {
		return Call{}, false
	}
	base := s.segment(seq)
	w := &segmentWrite{segment: base.clone()}
	changed := s.addChanges(w, seq)
	if base == s.tail {
		changed = s.addClaims(w, now) || changed
	}
	if !changed {
		return Call{}, false
	}
	return s.startWrite(w, base, now), true
}

// startWrite returns the call of a write that replaces base.
func (s *Shard) startWrite(w *segmentWrite, base *storedSegment, now time.Time) Call {
	s.inFlight = w
	s.nextWriteAt = now.Add(s.cfg.WriteInterval)
	return Call{
		Verb:    Put,
		Object:  s.segmentObject(base.Seq),
		Value:   w.segment.Encode(),
		Version: base.version,
		purpose: writeSegment,
		seq:     base.Seq,
	}
}

// writeTarget returns the segment that the oldest pending claim or change is
// written to.
func (s *Shard) writeTarget(now time.Time) (int, bool) {
	var oldest Op
	seq, ok := 0, false
	for _, c := range s.changes {
		at, known := s.index[c.id]
		if known && (!ok || c.op < oldest) {
			oldest, seq, ok = c.op, at, true
		}
		if !known {
			at = s.tail.Seq // addChanges completes the change as RecordMissing
			if !ok || c.op < oldest {
				oldest, seq, ok = c.op, at, true
			}
		}
	}
	if now.Before(s.holdUntil) {
		return seq, ok
	}
	for _, c := range s.claims {
		if !ok || c.op < oldest {
			oldest, seq, ok = c.op, s.tail.Seq, true
		}
	}
	return seq, ok
}

// addChanges applies the pending changes of records in a segment. It reports
// whether any record was modified.
func (s *Shard) addChanges(w *segmentWrite, seq int) bool {
	any := false
	waiting := s.changes[:0]
	for _, c := range s.changes {
		at, known := s.index[c.id]
		if !known {
			s.complete(c.op, RecordMissing, Record{})
			continue
		}
		if at != seq {
			waiting = append(waiting, c)
			continue
		}
		if w.includes(c.id) {
			waiting = append(waiting, c) // wait until the earlier change is committed
			continue
		}
		found := w.segment.Find(c.id)
		if found == nil {
			s.complete(c.op, RecordMissing, Record{}) // the platform lost the record
			continue
		}
		current := *found
		changed, allowed := c.apply(current, s.lowestFence())
		if !allowed {
			s.complete(c.op, ChangeRejected, current)
			continue
		}
		if changed == current {
			s.complete(c.op, ChangeCommitted, current)
			continue
		}
		w.segment.put(changed)
		w.changes = append(w.changes, c)
		any = true
	}
	clear(s.changes[len(waiting):])
	s.changes = waiting
	return any
}

// addClaims adds pending claims to the last segment until it is full, and seals
// it in the same write once it is full. It reports whether it modified the
// segment.
func (s *Shard) addClaims(w *segmentWrite, now time.Time) bool {
	if now.Before(s.holdUntil) {
		return false
	}
	any := false
	waiting := s.claims[:0]
	for _, c := range s.claims {
		if w.includes(c.id) {
			waiting = append(waiting, c) // wait until the earlier operation is committed
			continue
		}
		if holder := s.conflictingRecord(w.segment, c); holder != nil {
			if !c.withdrawn {
				s.complete(c.op, ClaimConflict, *holder)
			}
			continue
		}
		if s.expireClaim(c, now) {
			continue
		}
		if s.full(w.segment) {
			waiting = append(waiting, c)
			continue
		}
		w.segment.put(s.recordToWrite(w.segment, c))
		w.claims = append(w.claims, c)
		any = true
	}
	clear(s.claims[len(waiting):])
	s.claims = waiting
	if s.full(w.segment) {
		w.segment.Sealed = true
		any = true
	}
	return any
}

// expireClaim completes a claim as expired if it has waited so long that an
// earlier record of its key may have been removed in the meantime. It reports
// whether the claim can be dropped; a claim that may have been written stays
// queued as withdrawn.
func (s *Shard) expireClaim(c *pendingClaim, now time.Time) bool {
	if c.withdrawn || s.cfg.Retention == 0 || now.Sub(c.record.AcceptedAt) < s.cfg.Retention/2 {
		return false
	}
	s.complete(c.op, ClaimExpired, c.record)
	c.withdrawn = true
	return c.uncertainVersion == 0
}

// includes reports whether the write has an operation for the ID.
func (w *segmentWrite) includes(id ID) bool {
	for _, c := range w.changes {
		if c.id == id {
			return true
		}
	}
	for _, c := range w.claims {
		if c.id == id {
			return true
		}
	}
	return false
}

// conflictingRecord returns the record that prevents a claim, or nil.
func (s *Shard) conflictingRecord(seg *Segment, c *pendingClaim) *Record {
	holder := seg.Find(c.id)
	if holder == nil {
		holder = s.findRecord(c.id)
	}
	if holder == nil || holder.State == NotRun {
		return nil
	}
	return holder
}

// recordToWrite returns the record to write for a claim. A withdrawn claim that
// may have been written is written in state NotRun.
func (s *Shard) recordToWrite(seg *Segment, c *pendingClaim) Record {
	r := c.record
	r.Fence = max(r.Fence, s.lowestFence())
	old := seg.Find(c.id)
	if old == nil {
		old = s.findRecord(c.id)
	}
	if old != nil {
		r.Fence = max(r.Fence, old.Fence+1)
	}
	if c.withdrawn {
		r.State = NotRun
	}
	return r
}

// full reports whether the segment has no space for more claims.
func (s *Shard) full(seg *Segment) bool {
	return seg.recordBytes >= s.cfg.SealBytes || seg.recordBytes+seg.openRecords*outcomeReserveBytes >= maxSegmentBytes
}
