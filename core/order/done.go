package order

import "encoding/json"

// Done takes in the result of the call that Next returned. It returns an
// error if the platform holds a value that can't be read; the call is then
// made again.
func (s *Shard) HandleResult(r CallResult) error {
	call := s.call
	s.call = nil
	switch call.purpose {
	case readHead:
		return s.doneReadHead(r)
	case readSegment:
		return s.doneReadSegment(call.seq, r)
	case createSegment:
		s.doneCreate(call.seq, r)
	case writeSegment:
		s.doneWrite(call, r)
	case writeHead:
		s.doneWriteHead(call, r)
	case readDoomed:
		s.doneReadDoomed(r)
	case deleteSegment:
		s.doneDelete(r)
	}
	return nil
}

func (s *Shard) doneReadHead(r CallResult) error {
	switch r.Status {
	case CallNotFound:
		s.takeHead(head{}, 0)
	case CallOK:
		var h head
		if err := json.Unmarshal(r.Value, &h); err != nil {
			return err
		}
		s.takeHead(h, r.Version)
	}
	return nil
}

// takeHead notes the head. If the last segment turns out to be removed, all
// is read again.
func (s *Shard) takeHead(h head, version int64) {
	if s.tail != nil && h.First > s.tail.Seq {
		s.reset()
	}
	s.headRead = true
	s.headVersion = version
	if h.First != s.head.First {
		s.doomed = 0
	}
	s.head = head{First: h.First, Swept: max(h.Swept, min(s.head.Swept, h.First))}
	s.drop()
	if s.tail != nil {
		s.verify = false
		return
	}
	s.loading = max(s.loadFrom(), h.First)
}

// loadFrom returns the segment after the last one that is known.
func (s *Shard) loadFrom() int {
	from := s.head.First
	for seq := range s.outlines {
		from = max(from, seq+1)
	}
	return from
}

func (s *Shard) doneReadSegment(seq int, r CallResult) error {
	switch r.Status {
	case CallNotFound:
		s.read(seq)
		s.absent(seq)
	case CallOK:
		s.read(seq)
		seg, err := DecodeSegment(r.Value)
		if err != nil {
			return err
		}
		s.install(&stored{Segment: seg, version: r.Version})
	}
	return nil
}

// read notes that a segment was read for the look-ups that wished it.
func (s *Shard) read(seq int) {
	for _, l := range s.looks {
		delete(l.needs, seq)
	}
}

// absent notes that a segment was not there.
func (s *Shard) absent(seq int) {
	if s.tail == nil && seq == s.loading {
		s.create = true
		return
	}
	delete(s.reread, seq)
	s.verify = true // removed since it was read: the head tells
}

// install takes in a segment as it was read.
func (s *Shard) install(seg *stored) {
	known := s.segment(seg.Seq)
	if known != nil && seg.version < known.version {
		return // an old read; it is made again
	}
	delete(s.reread, seg.Seq)
	for _, e := range seg.entries {
		id := e.record.ID()
		if at, ok := s.index[id]; !ok || at < seg.Seq {
			s.index[id] = seg.Seq
		}
	}
	s.settleUncertain(seg)
	if seg.Sealed {
		s.seal(seg)
		return
	}
	if s.tail == nil || s.tail.version != seg.version {
		s.verify = true
	}
	s.tail = seg
	s.create = false
}

// seal notes a sealed segment; if it was the last one, the next is sought.
func (s *Shard) seal(seg *stored) {
	s.sealed[seg.Seq] = seg
	s.outlines[seg.Seq] = outline{newest: seg.newest(), open: seg.open}
	if s.tail != nil && s.tail.Seq == seg.Seq {
		s.tail = nil
		s.verify = false
	}
	if s.tail == nil {
		s.loading = max(s.loading, seg.Seq+1)
		s.create = false
	}
	s.evict()
}

// settleUncertain decides about claims whose write to the segment may have
// taken effect.
func (s *Shard) settleUncertain(seg *stored) {
	waiting := s.claims[:0]
	for _, c := range s.claims {
		if c.maybeVersion == 0 || c.maybeSeq != seg.Seq {
			waiting = append(waiting, c)
			continue
		}
		if r := seg.Find(c.id); r != nil && r.Token == c.record.Token {
			s.won(c, *r)
			continue
		}
		if seg.version != c.maybeVersion {
			c.maybeVersion = 0 // the write can't take effect any more
		}
		if c.maybeVersion == 0 && c.gaveUp {
			continue
		}
		waiting = append(waiting, c)
	}
	clear(s.claims[len(waiting):])
	s.claims = waiting
}

// won ends a claim that is committed as the record r.
func (s *Shard) won(c *claim, r Record) {
	if !c.gaveUp && r.State != Claimed {
		s.verdict(c.op, ClaimPreempted, r)
		return
	}
	if !c.gaveUp {
		s.verdict(c.op, ClaimWon, r)
		return
	}
	if !r.State.Final() {
		s.Change(Change{Account: r.Account, Key: r.Key, Token: r.Token, To: NotRun})
	}
}

func (s *Shard) doneCreate(seq int, r CallResult) {
	switch r.Status {
	case CallOK:
		s.tail = &stored{Segment: newSegment(seq), version: r.Version}
		s.create = false
		s.verify = true
	case CallConflict, CallUncertain:
		s.create = false // read it
	}
}

func (s *Shard) doneWrite(call *Call, r CallResult) {
	f := s.flight
	s.flight = nil
	if r.Status == CallOK {
		s.committed(f, r.Version)
		return
	}
	if r.Status == CallUncertain {
		for _, c := range f.claims {
			c.maybeSeq, c.maybeVersion = call.seq, call.Version
		}
	}
	s.putBack(f)
	if r.Status != CallFailed {
		s.reread[call.seq] = true
	}
}

// putBack queues the work of a write again, in its old order.
func (s *Shard) putBack(f *flight) {
	claims := make([]*claim, 0, len(f.claims)+len(s.claims))
	for _, c := range f.claims {
		if !c.gaveUp || c.maybeVersion != 0 {
			claims = append(claims, c)
		}
	}
	s.claims = append(claims, s.claims...)
	s.changes = append(f.changes, s.changes...)
}

func (s *Shard) committed(f *flight, version int64) {
	seg := &stored{Segment: f.next, version: version}
	if s.tail != nil && s.tail.Seq == seg.Seq {
		s.tail = seg
	}
	for _, c := range f.claims {
		s.index[c.id] = seg.Seq
		s.won(c, *seg.Find(c.id))
	}
	for _, c := range f.changes {
		s.verdict(c.op, ChangeCommitted, *seg.Find(c.id))
	}
	if seg.Sealed {
		last := s.tail == seg
		s.seal(seg)
		s.create = s.create || last
	}
}

func (s *Shard) doneWriteHead(call *Call, r CallResult) {
	switch r.Status {
	case CallOK:
		s.headVersion = r.Version
		s.head.First = call.seq
		s.drop()
	case CallConflict, CallUncertain:
		s.verify = true // reads the head again
	}
}

func (s *Shard) doneReadDoomed(r CallResult) {
	switch r.Status {
	case CallOK:
		s.doomed = r.Version
	case CallNotFound:
		s.head.Swept++
	}
}

func (s *Shard) doneDelete(r CallResult) {
	switch r.Status {
	case CallOK, CallNotFound:
		s.head.Swept++
		s.doomed = 0
	case CallConflict, CallUncertain:
		s.doomed = 0
	}
}
