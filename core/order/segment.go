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
	Seq     int  // place in the chain, from 0
	Sealed  bool // takes no more claims
	entries []entry
	at      map[ID]int // place in entries
	bytes   int        // of all encoded records
	open    int        // records in state Claimed
}

// entry is a record with its encoding.
type entry struct {
	record Record
	raw    []byte
}

// segmentJSON is the stored form.
type segmentJSON struct {
	Seq     int      `json:"seq"`
	Sealed  bool     `json:"sealed"`
	Records []Record `json:"records"`
}

func newSegment(seq int) *Segment {
	return &Segment{Seq: seq, at: map[ID]int{}}
}

// Decode reads a stored segment.
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

// Encode returns the stored form.
func (s *Segment) Encode() []byte {
	out := make([]byte, 0, s.bytes+len(s.entries)+64)
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
	i, ok := s.at[id]
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
		panic(err) // a Record holds nothing that can't be encoded
	}
	id := r.ID()
	i, ok := s.at[id]
	if !ok {
		i = len(s.entries)
		s.at[id] = i
		s.entries = append(s.entries, entry{})
	}
	old := s.entries[i]
	s.bytes += len(raw) - len(old.raw)
	s.open += isOpen(r) - isOpen(old.record)
	s.entries[i] = entry{record: r, raw: raw}
}

func isOpen(r Record) int {
	if r.State == Claimed || r.State == Unknown {
		return 1
	}
	return 0
}

func (s *Segment) clone() *Segment {
	c := *s
	c.entries = slices.Clone(s.entries)
	c.at = maps.Clone(s.at)
	return &c
}

// newest returns when the newest claim was made.
func (s *Segment) newest() time.Time {
	var at time.Time
	for _, e := range s.entries {
		if e.record.AcceptedAt.After(at) {
			at = e.record.AcceptedAt
		}
	}
	return at
}
