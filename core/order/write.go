package order

import "time"

// write returns a write of everything that has gathered for one segment.
func (s *Shard) write(now time.Time) (Call, bool) {
	seq, ok := s.target()
	if !ok {
		return Call{}, false
	}
	base := s.segment(seq)
	f := &flight{next: base.clone()}
	changed := s.addChanges(f, seq)
	if base == s.tail {
		changed = s.addClaims(f, now) || changed
	}
	if !changed {
		return Call{}, false
	}
	s.flight = f
	s.writeAt = now.Add(s.cfg.WriteInterval)
	return Call{
		Verb:    Put,
		Object:  s.segmentObject(seq),
		Value:   f.next.Encode(),
		Version: base.version,
		purpose: writeSegment,
		seq:     seq,
	}, true
}

// target returns the segment of the work that has waited longest.
func (s *Shard) target() (int, bool) {
	var oldest Op
	seq, ok := 0, false
	for _, c := range s.changes {
		at, known := s.index[c.id]
		if known && (!ok || c.op < oldest) {
			oldest, seq, ok = c.op, at, true
		}
		if !known {
			at = s.tail.Seq // to be answered as missing
			if !ok || c.op < oldest {
				oldest, seq, ok = c.op, at, true
			}
		}
	}
	for _, c := range s.claims {
		if !ok || c.op < oldest {
			oldest, seq, ok = c.op, s.tail.Seq, true
		}
	}
	return seq, ok
}

// addChanges applies the changes of records in a segment; it reports whether
// any record is another now.
func (s *Shard) addChanges(f *flight, seq int) bool {
	any := false
	waiting := s.changes[:0]
	for _, c := range s.changes {
		at, known := s.index[c.id]
		if !known {
			s.verdict(c.op, RecordMissing, Record{})
			continue
		}
		if at != seq {
			waiting = append(waiting, c)
			continue
		}
		if f.has(c.id) {
			waiting = append(waiting, c) // behind one that is not committed yet
			continue
		}
		found := f.next.Find(c.id)
		if found == nil {
			s.verdict(c.op, RecordMissing, Record{}) // the platform has lost it
			continue
		}
		held := *found
		next, allowed := c.apply(held)
		if !allowed {
			s.verdict(c.op, ChangeRejected, held)
			continue
		}
		if next == held {
			s.verdict(c.op, ChangeCommitted, held)
			continue
		}
		f.next.put(next)
		f.changes = append(f.changes, c)
		any = true
	}
	clear(s.changes[len(waiting):])
	s.changes = waiting
	return any
}

// addClaims adds claims to the last segment until it is full; it reports
// whether it added any. A segment that is full is sealed by the same write.
func (s *Shard) addClaims(f *flight, now time.Time) bool {
	any := false
	waiting := s.claims[:0]
	for _, c := range s.claims {
		if f.has(c.id) {
			waiting = append(waiting, c) // behind work that is not committed yet
			continue
		}
		if held := s.holder(f.next, c); held != nil {
			if !c.gaveUp {
				s.verdict(c.op, ClaimConflict, *held)
			}
			continue
		}
		if s.expireClaim(c, now) {
			continue
		}
		if s.full(f.next) {
			waiting = append(waiting, c)
			continue
		}
		f.next.put(s.toWrite(f.next, c))
		f.claims = append(f.claims, c)
		any = true
	}
	clear(s.claims[len(waiting):])
	s.claims = waiting
	if s.full(f.next) {
		f.next.Sealed = true
		any = true
	}
	return any
}

// expireClaim ends a claim that has waited so long that an earlier record of
// its key may have been removed meanwhile. One that may have been written
// goes on as given up.
func (s *Shard) expireClaim(c *claim, now time.Time) bool {
	if c.gaveUp || s.cfg.Retention == 0 || now.Sub(c.record.AcceptedAt) < s.cfg.Retention/2 {
		return false
	}
	s.verdict(c.op, ClaimExpired, c.record)
	c.gaveUp = true
	return c.maybeVersion == 0
}

// has reports whether the write changes the record of an ID.
func (f *flight) has(id ID) bool {
	for _, c := range f.changes {
		if c.id == id {
			return true
		}
	}
	for _, c := range f.claims {
		if c.id == id {
			return true
		}
	}
	return false
}

// holder returns the record that keeps a claim from being made, or nil.
func (s *Shard) holder(next *Segment, c *claim) *Record {
	held := next.Find(c.id)
	if held == nil {
		held = s.find(c.id)
	}
	if held == nil || held.State == NotRun {
		return nil
	}
	return held
}

// toWrite returns the record for a claim. One that was given up and may have
// been written is settled by writing it as not run.
func (s *Shard) toWrite(next *Segment, c *claim) Record {
	r := c.record
	old := next.Find(c.id)
	if old == nil {
		old = s.find(c.id)
	}
	if old != nil {
		r.Fence = max(r.Fence, old.Fence+1)
	}
	if c.gaveUp {
		r.State = NotRun
	}
	return r
}

// full reports whether the segment takes no more claims.
func (s *Shard) full(seg *Segment) bool {
	return seg.bytes >= s.cfg.SealBytes || seg.bytes+seg.open*reserveBytes >= hardBytes
}
