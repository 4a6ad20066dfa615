package order

import "time"

// Next returns the platform call to make now, if any. At most one call is
// under way at a time: Done must be called before the next call is returned.
func (s *Shard) NextCall(now time.Time) (Call, bool) {
	if s.call != nil {
		return Call{}, false
	}
	call, ok := s.choose(now)
	if ok {
		s.call = &call
	}
	return call, ok
}

// WakeAt returns when Next may have a call that it does not have now, and
// false if only a new claim, change or look-up can give it one.
func (s *Shard) WakeAt() (time.Time, bool) {
	if s.call != nil || !s.Busy() {
		return time.Time{}, false
	}
	return s.writeAt, true
}

func (s *Shard) choose(now time.Time) (Call, bool) {
	if s.tail == nil || s.verify {
		return s.load(), true
	}
	s.answerLooks()
	if seq, ok := s.stale(); ok {
		return s.getSegment(seq), true
	}
	if seq, ok := s.needed(); ok {
		return s.getSegment(seq), true
	}
	seq, wished := s.wished()
	if wished && !s.lookedLast {
		s.lookedLast = true
		return s.getSegment(seq), true
	}
	s.lookedLast = false
	if now.Before(s.writeAt) {
		return s.getSegment(seq), wished
	}
	if call, ok := s.write(now); ok {
		return call, true
	}
	if wished {
		return s.getSegment(seq), true
	}
	return s.housekeep(now)
}

// load returns the next call on the way from an unread shard to one whose
// last segment is known and proved to be part of the chain.
//
// A segment object that is absent was either never made or removed after its
// retention. Only the head tells: it is moved past a segment before that
// segment is removed. So the head is read after the segment was read or made
// and before any claim goes to it.
func (s *Shard) load() Call {
	switch {
	case !s.headRead || s.tail != nil:
		return Call{Verb: Get, Object: s.headObject(), purpose: readHead}
	case s.create:
		empty := newSegment(s.loading)
		return Call{Verb: Put, Object: s.segmentObject(s.loading), Value: empty.Encode(), purpose: createSegment, seq: s.loading}
	}
	return s.getSegment(s.loading)
}

func (s *Shard) getSegment(seq int) Call {
	return Call{Verb: Get, Object: s.segmentObject(seq), purpose: readSegment, seq: seq}
}

// stale returns the first segment that has to be read again before any
// write.
func (s *Shard) stale() (int, bool) {
	first, ok := 0, false
	for seq := range s.reread {
		if !ok || seq < first {
			first, ok = seq, true
		}
	}
	return first, ok
}

// wished returns the first segment that a look-up wants to be read again.
func (s *Shard) wished() (int, bool) {
	first, ok := 0, false
	for _, l := range s.looks {
		for seq := range l.needs {
			if !ok || seq < first {
				first, ok = seq, true
			}
		}
	}
	return first, ok
}

// needed returns a sealed segment that some work needs in memory.
func (s *Shard) needed() (int, bool) {
	for _, c := range s.claims {
		if seq, ok := s.missing(c.id); ok {
			return seq, true
		}
	}
	for _, c := range s.changes {
		if seq, ok := s.missing(c.id); ok {
			return seq, true
		}
	}
	for _, l := range s.looks {
		if seq, ok := s.missing(l.id); ok {
			return seq, true
		}
	}
	return 0, false
}

// missing returns the segment of an ID if it is known but not in memory.
func (s *Shard) missing(id ID) (int, bool) {
	seq, ok := s.index[id]
	if !ok || s.segment(seq) != nil {
		return 0, false
	}
	return seq, true
}

// find returns the newest record of an ID, or nil. Its segment is in memory.
func (s *Shard) find(id ID) *Record {
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

func (s *Shard) answerLooks() {
	waiting := s.looks[:0]
	for _, l := range s.looks {
		if !s.answerLook(l) {
			waiting = append(waiting, l)
		}
	}
	clear(s.looks[len(waiting):])
	s.looks = waiting
}

func (s *Shard) answerLook(l *look) bool {
	if _, ok := s.missing(l.id); ok {
		return false
	}
	r := s.find(l.id)
	if l.fresh && l.needs == nil && (r == nil || r.State != Done) {
		l.needs = map[int]bool{s.tail.Seq: true}
		if r != nil {
			l.needs[s.index[l.id]] = true
		}
	}
	if len(l.needs) > 0 {
		return false
	}
	if r == nil {
		s.verdict(l.op, RecordMissing, Record{})
		return true
	}
	s.verdict(l.op, RecordFound, *r)
	return true
}
