package order

import (
	"encoding/json"
	"slices"
	"time"
)

// retentionCall returns the next call that deletes segments past their retention,
// if any. An expired segment is first removed from the chain, by a write that
// moves the head past it, and then its object is deleted.
func (s *Shard) retentionCall(now time.Time) (Call, bool) {
	if s.cfg.Retention <= 0 {
		return Call{}, false
	}
	if s.head.Deleted < s.head.First {
		return s.deleteCall(), true
	}
	first := s.head.First
	for first < s.tail.Seq && s.expired(first, now) {
		first++
	}
	if first == s.head.First {
		return Call{}, false
	}
	return s.putHead(head{First: first, Deleted: s.head.Deleted}), true
}

// expired reports whether all records of a segment are past their retention.
func (s *Shard) expired(seq int, now time.Time) bool {
	summary, known := s.summaries[seq]
	return known && now.Sub(summary.newestAccepted) > s.cfg.Retention
}

func (s *Shard) putHead(h head) Call {
	value, err := json.Marshal(h)
	if err != nil {
		panic(err) // not reachable: a head has two int fields only
	}
	return Call{Verb: Put, Object: s.headObject(), Value: value, Version: s.headVersion, purpose: writeHead, seq: h.First}
}

// deleteCall returns the next call that deletes the lowest segment below the head:
// a read of its version, then the delete.
func (s *Shard) deleteCall() Call {
	seq := s.head.Deleted
	if s.deleteVersion == 0 {
		return Call{Verb: Get, Object: s.segmentObject(seq), purpose: readExpired, seq: seq}
	}
	return Call{Verb: Delete, Object: s.segmentObject(seq), Version: s.deleteVersion, purpose: deleteSegment, seq: seq}
}

// forgetRemoved discards the segments below the head from memory.
func (s *Shard) forgetRemoved() {
	for _, c := range s.claims {
		if c.uncertainSeq < s.head.First {
			c.uncertainVersion = 0 // the segment is no longer part of the chain, so the write has no effect
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
	for seq := range s.summaries {
		if seq < s.head.First {
			delete(s.summaries, seq)
		}
	}
}

// evict limits the sealed segments in memory to those with open records, those
// that pending operations need, those that a restoration of the platform may lose
// and the newest maxCachedSegments others.
func (s *Shard) evict() {
	var evictable []int
	for seq, seg := range s.sealed {
		recent := s.now.Sub(s.summaries[seq].newestAccepted) < restoreWindow
		if seg.openRecords == 0 && !recent && !s.inUse(seq) {
			evictable = append(evictable, seq)
		}
	}
	if len(evictable) <= maxCachedSegments {
		return
	}
	slices.Sort(evictable)
	for _, seq := range evictable[:len(evictable)-maxCachedSegments] {
		delete(s.sealed, seq)
	}
}

// inUse reports whether a pending operation needs a segment.
func (s *Shard) inUse(seq int) bool {
	for _, r := range s.lost {
		if at, ok := s.index[r.ID()]; ok && at == seq {
			return true
		}
	}
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
	for _, p := range s.reads {
		if at, ok := s.index[p.id]; ok && at == seq {
			return true
		}
	}
	return false
}
