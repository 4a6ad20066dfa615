package order

import "time"

// NextCall returns the platform call to make now, if any. At most one call is
// outstanding at a time: HandleResult must be called before NextCall returns
// another one.
func (s *Shard) NextCall(now time.Time) (Call, bool) {
	if s.call != nil {
		return Call{}, false
	}
	s.now = now
	if s.holdPending {
		s.holdPending = false
		s.Hold(now.Add(s.cfg.RestoreHold))
	}
	call, ok := s.chooseCall(now)
	if ok {
		s.call = &call
	}
	return call, ok
}

// WakeAt returns the earliest time at which NextCall may return a further call.
// It returns false if a call is outstanding or the shard has no work.
func (s *Shard) WakeAt() (time.Time, bool) {
	if s.call != nil || !s.Busy() {
		return time.Time{}, false
	}
	if s.onlyClaims() && s.holdUntil.After(s.nextWriteAt) {
		return s.holdUntil, true
	}
	return s.nextWriteAt, true
}

// onlyClaims reports whether nothing but claims waits for the platform.
func (s *Shard) onlyClaims() bool {
	return len(s.claims) > 0 && s.tail != nil && !s.verifyHead && len(s.changes)+len(s.reads)+len(s.lost)+len(s.reread) == 0
}

func (s *Shard) chooseCall(now time.Time) (Call, bool) {
	if s.tail == nil || s.verifyHead {
		return s.loadCall(), true
	}
	if len(s.lost) == 0 {
		s.completeReads()
	}
	if seq, ok := s.nextReread(); ok {
		return s.getSegment(seq), true
	}
	if seq, ok := s.nextEvicted(); ok {
		return s.getSegment(seq), true
	}
	seq, readPending := s.nextReadSegment()
	if readPending && !s.lastCallWasRead {
		s.lastCallWasRead = true
		return s.getSegment(seq), true
	}
	s.lastCallWasRead = false
	if now.Before(s.nextWriteAt) {
		return s.getSegment(seq), readPending
	}
	if call, ok := s.writeCall(now); ok {
		return call, true
	}
	if readPending {
		return s.getSegment(seq), true
	}
	return s.retentionCall(now)
}

// loadCall returns the next call that is needed to load the shard, until its
// last segment is in memory and verified to be part of the chain.
//
// A missing segment object was either never created or deleted after its
// retention. Only the head distinguishes the two cases, since it is moved past
// a segment before that segment is deleted. The head is therefore read after
// the segment was read or created, and before any claim is written to it.
func (s *Shard) loadCall() Call {
	switch {
	case !s.headRead || s.tail != nil:
		return Call{Verb: Get, Object: s.headObject(), purpose: readHead}
	case s.createTail:
		empty := newSegment(s.loadSeq)
		return Call{Verb: Put, Object: s.segmentObject(s.loadSeq), Value: empty.Encode(), purpose: createSegment, seq: s.loadSeq}
	}
	return s.getSegment(s.loadSeq)
}

func (s *Shard) getSegment(seq int) Call {
	return Call{Verb: Get, Object: s.segmentObject(seq), purpose: readSegment, seq: seq}
}

// nextReread returns the lowest segment that must be read again before any
// write.
func (s *Shard) nextReread() (int, bool) {
	first, ok := 0, false
	for seq := range s.reread {
		if !ok || seq < first {
			first, ok = seq, true
		}
	}
	return first, ok
}

// nextReadSegment returns the lowest segment that a pending read waits for.
func (s *Shard) nextReadSegment() (int, bool) {
	first, ok := 0, false
	for _, p := range s.reads {
		for seq := range p.toRead {
			if !ok || seq < first {
				first, ok = seq, true
			}
		}
	}
	return first, ok
}

// nextEvicted returns a sealed segment that a pending operation needs and that
// is not in memory.
func (s *Shard) nextEvicted() (int, bool) {
	for _, r := range s.lost {
		if seq, ok := s.evictedSegment(r.ID()); ok {
			return seq, true
		}
	}
	for _, c := range s.claims {
		if seq, ok := s.evictedSegment(c.id); ok {
			return seq, true
		}
	}
	for _, c := range s.changes {
		if seq, ok := s.evictedSegment(c.id); ok {
			return seq, true
		}
	}
	for _, p := range s.reads {
		if seq, ok := s.evictedSegment(p.id); ok {
			return seq, true
		}
	}
	return 0, false
}

// evictedSegment returns the segment that holds the newest record of an ID if
// that segment is not in memory.
func (s *Shard) evictedSegment(id ID) (int, bool) {
	seq, ok := s.index[id]
	if !ok || s.segment(seq) != nil {
		return 0, false
	}
	return seq, true
}

// findRecord returns the newest record of an ID, or nil if there is none or its
// segment is not in memory.
func (s *Shard) findRecord(id ID) *Record {
	seq, ok := s.index[id]
	if !ok {
		return nil
	}
	seg := s.segment(seq)
	if seg == nil {
		return nil
	}
	return seg.Find(id)
}

// completeReads completes the reads that need no further platform calls.
func (s *Shard) completeReads() {
	waiting := s.reads[:0]
	for _, p := range s.reads {
		if !s.completeRead(p) {
			waiting = append(waiting, p)
		}
	}
	clear(s.reads[len(waiting):])
	s.reads = waiting
}

func (s *Shard) completeRead(p *pendingRead) bool {
	if _, ok := s.evictedSegment(p.id); ok {
		return false
	}
	r := s.findRecord(p.id)
	if p.fresh && p.toRead == nil && (r == nil || r.State != Done) {
		p.toRead = map[int]bool{s.tail.Seq: true}
		if r != nil {
			p.toRead[s.index[p.id]] = true
		}
	}
	if len(p.toRead) > 0 {
		return false
	}
	if r == nil {
		s.complete(p.op, RecordMissing, Record{})
		return true
	}
	s.complete(p.op, RecordFound, *r)
	return true
}
