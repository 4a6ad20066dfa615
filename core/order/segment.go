package order

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"time"
)

// Segment is the decoded value of one platform object of a shard.
type Segment struct {
	Seq         int  // position in the chain, from 0
	Sealed      bool // accepts no more claims
	entries     []entry
	position    map[ID]int // index in entries
	recordBytes int        // total size of the encoded records
	openRecords int        // number of claimed or unknown records
}

// entry is a record with its JSON encoding.
type entry struct {
	record Record
	raw    []byte
}

// segmentJSON is the stored form of a segment.
type segmentJSON struct {
	Seq     int      `json:"seq"`
	Sealed  bool     `json:"sealed"`
	Records []Record `json:"records"`
}

func newSegment(seq int) *Segment {
	return &Segment{Seq: seq, position: map[ID]int{}}
}

// DecodeSegment decodes a stored segment.
func DecodeSegment(data []byte) (*Segment, error) {
	var stored segmentJSON
	if err := json.Unmarshal(data, &stored); err != nil {
		return nil, err
	}
	s := newSegment(stored.Seq)
	s.Sealed = stored.Sealed
	for _, r := range stored.Records {
		s.put(r)
	}
	return s, nil
}

// Encode returns the stored form of the segment.
func (s *Segment) Encode() []byte {
	out := make([]byte, 0, s.recordBytes+len(s.entries)+64)
	out = append(out, `{"seq":`...)
	out = strconv.AppendInt(out, int64(s.Seq), 10)
	out = append(out, `,"sealed":`...)
	out = strconv.AppendBool(out, s.Sealed)
	out = append(out, `,"records":[`...)
	for i, e := range s.entries {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, e.raw...)
	}
	return append(out, "]}"...)
}

// Find returns the record with the ID, or nil.
func (s *Segment) Find(id ID) *Record {
	i, ok := s.position[id]
	if !ok {
		return nil
	}
	return &s.entries[i].record
}

// Records returns a copy of all records.
func (s *Segment) Records() []Record {
	records := make([]Record, 0, len(s.entries))
	for _, e := range s.entries {
		records = append(records, e.record)
	}
	return records
}

// put adds the record or replaces the one with its ID.
func (s *Segment) put(r Record) {
	raw, err := json.Marshal(r)
	if err != nil {
		panic(err) // not reachable: every Record can be encoded
	}
	id := r.ID()
	i, ok := s.position[id]
	if !ok {
		i = len(s.entries)
		s.position[id] = i
		s.entries = append(s.entries, entry{})
	}
	old := s.entries[i]
	s.recordBytes += len(raw) - len(old.raw)
	s.openRecords += openCount(r) - openCount(old.record)
	s.entries[i] = entry{record: r, raw: raw}
}

// openCount returns 1 if the record is claimed or unknown, otherwise 0.
func openCount(r Record) int {
	if r.State == Claimed || r.State == Unknown {
		return 1
	}
	return 0
}

func (s *Segment) clone() *Segment {
	c := *s
	c.entries = slices.Clone(s.entries)
	c.position = maps.Clone(s.position)
	return &c
}

// newestAcceptedAt returns the latest AcceptedAt of the segment's records.
func (s *Segment) newestAcceptedAt() time.Time {
	var at time.Time
	for _, e := range s.entries {
		if e.record.AcceptedAt.After(at) {
			at = e.record.AcceptedAt
		}
	}
	return at
}
