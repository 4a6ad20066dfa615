// Package order holds the records of requests that must not be repeated and
// the rules by which they change.
//
// A shard is a chain of segments, each one object of the platform. Claims go
// to the last segment only. A segment that is sealed takes no more claims, so
// a writer that has read a segment at some version has seen every claim that
// can precede its own: the platform's version check is the fence, and no
// clock or lease is part of the argument.
package order

import (
	"encoding/json"
	"time"
)

// State is the state of a record. It only moves to the right.
type State string

// The states.
const (
	Claimed State = "claimed" // may have been sent to an endpoint
	Done    State = "done"    // the answer is recorded
	Unknown State = "unknown" // sent, outcome not known
	NotRun  State = "not_run" // proved never sent
)

// Record is one order.
type Record struct {
	Account   string    `json:"account"`
	Key       string    `json:"key"`
	Digest    string    `json:"digest"`   // SHA-256 of path and body, hexadecimal
	Token     string    `json:"token"`    // the claimant's, unique to the claim
	Router    string    `json:"router"`   // the claimant
	Endpoint  string    `json:"endpoint"` // where it was sent, once known
	State     State     `json:"state"`
	ClaimedAt time.Time `json:"claimed_at"`
	Answer    *Answer   `json:"answer,omitempty"`
}

// Answer is what the endpoint said.
type Answer struct {
	Status      int    `json:"status"` // HTTP status
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// Segment is the value of one platform object.
type Segment struct {
	Seq     int       `json:"seq"` // place in the chain, from 0
	Sealed  bool      `json:"sealed"`
	Records []*Record `json:"records"`
}

// Find returns the record of an account's key, or nil.
func (s *Segment) Find(account, key string) *Record {
	for _, r := range s.Records {
		if r.Account == account && r.Key == key {
			return r
		}
	}
	return nil
}

// Encode returns the segment as JSON.
func (s *Segment) Encode() ([]byte, error) { return json.Marshal(s) }

// Decode reads a segment from JSON.
func Decode(data []byte) (*Segment, error) {
	var s Segment
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, err
	}
	return &s, nil
}
