package order

import "encoding/json"

// HandleResult processes the result of the call that NextCall returned. It
// returns an error if the platform holds a value that can't be decoded;
// NextCall then returns the call again.
func (s *Shard) HandleResult(r CallResult) error {
	call := s.call
	s.call = nil
	if r.Era != s.era && s.era != 0 {
		s.handleRestoration(call, r)
		return nil
	}
	s.era = r.Era
	switch call.purpose {
	case readHead:
		return s.handleReadHead(r)
	case readSegment:
		return s.handleReadSegment(call.seq, r)
	case createSegment:
		s.handleCreateSegment(call.seq, r)
	case writeSegment:
		s.handleWriteSegment(call, r)
	case writeHead:
		s.handleWriteHead(call, r)
	case readExpired:
		s.handleReadExpired(r)
	case deleteSegment:
		s.handleDeleteSegment(r)
	}
	return nil
}

func (s *Shard) handleReadHead(r CallResult) error {
	switch r.Status {
	case CallNotFound:
		s.applyHead(head{}, 0)
	case CallOK:
		var h head
		if err := json.Unmarshal(r.Value, &h); err != nil {
			return err
		}
		s.applyHead(h, r.Version)
	}
	return nil
}

// applyHead stores the head that was read. If the head shows that the last
// segment was removed, everything is read again.
func (s *Shard) applyHead(h head, version int64) {
	if s.tail != nil && h.First > s.tail.Seq {
		s.reset()
	}
	s.headRead = true
	s.headVersion = version
	if h.First != s.head.First {
		s.deleteVersion = 0
	}
	s.head = head{First: h.First, Deleted: max(h.Deleted, min(s.head.Deleted, h.First))}
	s.forgetRemoved()
	if s.tail != nil {
		s.verifyHead = false
		return
	}
	s.loadSeq = max(s.nextUnread(), h.First)
}

// nextUnread returns the segment to continue loading from: the one after the
// last sealed segment that was read, or the start of the chain.
func (s *Shard) nextUnread() int {
	from := s.head.First
	for seq := range s.summaries {
		from = max(from, seq+1)
	}
	return from
}

func (s *Shard) handleReadSegment(seq int, r CallResult) error {
	switch r.Status {
	case CallNotFound:
		s.markRead(seq)
		s.segmentAbsent(seq)
	case CallOK:
		s.markRead(seq)
		seg, err := DecodeSegment(r.Value)
		if err != nil {
			return err
		}
		s.applySegment(&storedSegment{Segment: seg, version: r.Version})
	}
	return nil
}

// markRead removes a segment from those that pending reads wait for.
func (s *Shard) markRead(seq int) {
	for _, p := range s.reads {
		delete(p.toRead, seq)
	}
}

// segmentAbsent handles a segment that was not found.
func (s *Shard) segmentAbsent(seq int) {
	if s.tail == nil && seq == s.loadSeq {
		s.createTail = true
		return
	}
	delete(s.reread, seq)
	s.verifyHead = true // deleted since it was read; reading the head confirms that
}

// applySegment stores a segment that was read.
func (s *Shard) applySegment(seg *storedSegment) {
	known := s.segment(seg.Seq)
	if known != nil && seg.version < known.version {
		return // an outdated read; it is repeated
	}
	delete(s.reread, seg.Seq)
	for _, e := range seg.entries {
		id := e.record.ID()
		if at, ok := s.index[id]; !ok || at < seg.Seq {
			s.index[id] = seg.Seq
		}
	}
	s.resolveUncertainClaims(seg)
	s.settleAbandoned(seg)
	if seg.Sealed {
		s.applySealed(seg)
		return
	}
	if s.tail == nil || s.tail.version != seg.version {
		s.verifyHead = true
	}
	s.tail = seg
	s.createTail = false
}

// applySealed stores a sealed segment. If it was the last one, its successor is
// loaded next.
func (s *Shard) applySealed(seg *storedSegment) {
	s.sealed[seg.Seq] = seg
	s.summaries[seg.Seq] = segmentSummary{newestAccepted: seg.newestAcceptedAt(), openRecords: seg.openRecords}
	if s.tail != nil && s.tail.Seq == seg.Seq {
		s.tail = nil
		s.verifyHead = false
	}
	if s.tail == nil {
		s.loadSeq = max(s.loadSeq, seg.Seq+1)
		s.createTail = false
	}
	s.evict()
}

// resolveUncertainClaims uses a segment that was read to resolve the claims
// whose write to it had an uncertain result.
func (s *Shard) resolveUncertainClaims(seg *storedSegment) {
	waiting := s.claims[:0]
	for _, c := range s.claims {
		if c.uncertainVersion == 0 || c.uncertainSeq != seg.Seq {
			waiting = append(waiting, c)
			continue
		}
		if r := seg.Find(c.id); r != nil && r.Token == c.record.Token {
			s.claimCommitted(c, *r)
			continue
		}
		if seg.version != c.uncertainVersion {
			c.uncertainVersion = 0 // the write can no longer take effect
		}
		if c.uncertainVersion == 0 && c.withdrawn {
			continue
		}
		waiting = append(waiting, c)
	}
	clear(s.claims[len(waiting):])
	s.claims = waiting
}

// claimCommitted completes a claim that is committed as the record r. If the
// claim was withdrawn, r is set to NotRun unless its state is final.
func (s *Shard) claimCommitted(c *pendingClaim, r Record) {
	if !c.withdrawn && r.State != Claimed {
		s.complete(c.op, ClaimPreempted, r)
		return
	}
	if !c.withdrawn {
		s.complete(c.op, ClaimWon, r)
		return
	}
	if !r.State.Final() {
		s.Change(Change{Account: r.Account, Key: r.Key, Token: r.Token, To: NotRun})
	}
}

func (s *Shard) handleCreateSegment(seq int, r CallResult) {
	switch r.Status {
	case CallOK:
		s.tail = &storedSegment{Segment: newSegment(seq), version: r.Version}
		s.createTail = false
		s.verifyHead = true
	case CallConflict, CallUncertain:
		s.createTail = false // read the segment, since another router may have created it
	}
}

func (s *Shard) handleWriteSegment(call *Call, r CallResult) {
	w := s.inFlight
	s.inFlight = nil
	if r.Status == CallOK {
		s.writeCommitted(w, r.Version)
		return
	}
	if r.Status == CallUncertain {
		markUncertain(w, call)
	}
	s.requeue(w)
	if r.Status != CallFailed {
		s.reread[call.seq] = true
	}
}

// markUncertain records that a write may take effect.
func markUncertain(w *segmentWrite, call *Call) {
	for _, c := range w.claims {
		c.uncertainSeq, c.uncertainVersion = call.seq, call.Version
	}
}

// requeue puts the operations of a write that was not confirmed back at the
// front of the queues, in their original order. It drops withdrawn claims that
// can't have been written.
func (s *Shard) requeue(w *segmentWrite) {
	claims := make([]*pendingClaim, 0, len(w.claims)+len(s.claims))
	for _, c := range w.claims {
		if !c.withdrawn || c.uncertainVersion != 0 {
			claims = append(claims, c)
		}
	}
	s.claims = append(claims, s.claims...)
	s.changes = append(w.changes, s.changes...)
}

// writeCommitted stores the written segment and completes the operations of the
// write.
func (s *Shard) writeCommitted(w *segmentWrite, version int64) {
	seg := &storedSegment{Segment: w.segment, version: version}
	if s.tail != nil && s.tail.Seq == seg.Seq {
		s.tail = seg
	}
	for _, c := range w.claims {
		s.index[c.id] = seg.Seq
		s.claimCommitted(c, *seg.Find(c.id))
	}
	for _, c := range w.changes {
		s.complete(c.op, ChangeCommitted, *seg.Find(c.id))
	}
	for _, r := range w.lost {
		s.index[r.ID()] = seg.Seq
		delete(s.lost, r.Token)
	}
	if seg.Sealed {
		wasTail := s.tail == seg
		s.applySealed(seg)
		s.createTail = s.createTail || wasTail
	}
}

func (s *Shard) handleWriteHead(call *Call, r CallResult) {
	switch r.Status {
	case CallOK:
		s.headVersion = r.Version
		s.head.First = call.seq
		s.forgetRemoved()
	case CallConflict, CallUncertain:
		s.verifyHead = true // read the head again
	}
}

func (s *Shard) handleReadExpired(r CallResult) {
	switch r.Status {
	case CallOK:
		s.deleteVersion = r.Version
	case CallNotFound:
		s.head.Deleted++
	}
}

func (s *Shard) handleDeleteSegment(r CallResult) {
	switch r.Status {
	case CallOK, CallNotFound:
		s.head.Deleted++
		s.deleteVersion = 0
	case CallConflict, CallUncertain:
		s.deleteVersion = 0
	}
}
