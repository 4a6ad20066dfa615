package order

import (
	"encoding/json"
	"slices"
	"time"
)

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
