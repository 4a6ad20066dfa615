package order

import (
	"encoding/json"
	"slices"
	"time"
)

// Next returns the platform call to make now, if any. At most one call is
// under way at a time: Done must be called before the next call is returned.
func (s *Shard) Next(now time.Time) (Call, bool) {
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
		s.verdict(l.op, Missing, Record{})
		return true
	}
	s.verdict(l.op, Found, *r)
	return true
}

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
	s.writeAt = now.Add(s.cfg.Spacing)
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
			s.verdict(c.op, Missing, Record{})
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
			s.verdict(c.op, Missing, Record{}) // the platform has lost it
			continue
		}
		held := *found
		next, allowed := c.apply(held)
		if !allowed {
			s.verdict(c.op, Refused, held)
			continue
		}
		if next == held {
			s.verdict(c.op, Recorded, held)
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
				s.verdict(c.op, Held, *held)
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
	if c.gaveUp || s.cfg.Retention == 0 || now.Sub(c.record.ClaimedAt) < s.cfg.Retention/2 {
		return false
	}
	s.verdict(c.op, Expired, c.record)
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

// housekeep returns a call that removes segments past their retention.
func (s *Shard) housekeep(now time.Time) (Call, bool) {
	if s.cfg.Retention <= 0 {
		return Call{}, false
	}
	if s.head.Swept < s.head.First {
		return s.sweep(), true
	}
	first := s.head.First
	for first < s.tail.Seq && s.expired(first, now) {
		first++
	}
	if first == s.head.First {
		return Call{}, false
	}
	return s.putHead(head{First: first, Swept: s.head.Swept}), true
}

func (s *Shard) expired(seq int, now time.Time) bool {
	o, known := s.outlines[seq]
	return known && now.Sub(o.newest) > s.cfg.Retention
}

func (s *Shard) putHead(h head) Call {
	value, err := json.Marshal(h)
	if err != nil {
		panic(err) // a head holds two numbers
	}
	return Call{Verb: Put, Object: s.headObject(), Value: value, Version: s.headVersion, purpose: writeHead, seq: h.First}
}

// sweep returns a call on the way to delete the lowest segment below the
// head.
func (s *Shard) sweep() Call {
	seq := s.head.Swept
	if s.doomed == 0 {
		return Call{Verb: Get, Object: s.segmentObject(seq), purpose: readDoomed, seq: seq}
	}
	return Call{Verb: Delete, Object: s.segmentObject(seq), Version: s.doomed, purpose: deleteSegment, seq: seq}
}

// drop forgets the segments below the head.
func (s *Shard) drop() {
	for _, c := range s.claims {
		if c.maybeSeq < s.head.First {
			c.maybeVersion = 0 // its segment is gone, and with it that write
		}
	}
	for id, seq := range s.index {
		if seq < s.head.First {
			delete(s.index, id)
		}
	}
	for seq := range s.sealed {
		if seq < s.head.First {
			delete(s.sealed, seq)
			delete(s.reread, seq)
		}
	}
	for seq := range s.outlines {
		if seq < s.head.First {
			delete(s.outlines, seq)
		}
	}
}

// evict keeps few sealed segments in memory: those with open records and the
// newest others.
func (s *Shard) evict() {
	var closed []int
	for seq, seg := range s.sealed {
		if seg.open == 0 && !s.wanted(seq) {
			closed = append(closed, seq)
		}
	}
	if len(closed) <= keptSegments {
		return
	}
	slices.Sort(closed)
	for _, seq := range closed[:len(closed)-keptSegments] {
		delete(s.sealed, seq)
	}
}

// wanted reports whether waiting work needs a segment.
func (s *Shard) wanted(seq int) bool {
	for _, c := range s.claims {
		if at, ok := s.index[c.id]; ok && at == seq {
			return true
		}
	}
	for _, c := range s.changes {
		if at, ok := s.index[c.id]; ok && at == seq {
			return true
		}
	}
	for _, l := range s.looks {
		if at, ok := s.index[l.id]; ok && at == seq {
			return true
		}
	}
	return false
}
