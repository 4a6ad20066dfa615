package order

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// MaxAnswerBytes is the largest answer body that a record keeps. Of a larger
// one the record keeps size and digest.
const MaxResponseBytes = 8 << 10

// State is the state of a record.
type State string

// The states. NotRun and Done are final.
const (
	Claimed State = "claimed" // may have been sent to an endpoint
	Done    State = "done"    // the answer is recorded
	Unknown State = "unknown" // may have been sent, outcome not known
	NotRun  State = "not_run" // proved never executed
)

// Final reports whether the state of a record can't change any more.
func (s State) Final() bool { return s == Done || s == NotRun }

// ID identifies an order: two client accounts may use the same key.
type ID [16]byte

// NewID returns the ID of an account's key.
func NewID(account, key string) ID {
	sum := sha256.Sum256([]byte(account + "\x00" + key))
	return ID(sum[:16])
}

// String returns the ID in hexadecimal; endpoints see it as the key.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// Record is one order.
type Record struct {
	Account     string    `json:"account"`
	Key         string    `json:"key"`
	Digest      string    `json:"digest"`           // SHA-256 of path and body, hexadecimal
	Token       string    `json:"token"`            // the claimant's, unique to the claim
	Router      string    `json:"router"`           // the claimant
	Incarnation int64     `json:"incarnation"`      // of the claimant
	Endpoint    string    `json:"endpoint"`         // where it is sent
	Fence       int64     `json:"fence"`            // lowest fencing number that may run it
	FenceRaised bool      `json:"raised,omitempty"` // Fence is above the claim's own number
	State       State     `json:"state"`
	AcceptedAt  time.Time `json:"claimed_at"`           // when the claimant accepted the order from its caller
	SettledBy   string    `json:"settled_by,omitempty"` // who recorded the outcome, if not the claimant
	Response    *Response `json:"answer,omitempty"`
}

// ID returns the record's ID.
func (r *Record) ID() ID { return NewID(r.Account, r.Key) }

// Answer is what the endpoint said. Body is nil if it was larger than
// MaxAnswerBytes.
type Response struct {
	Status      int    `json:"status"` // HTTP status
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Size        int    `json:"size"`   // bytes of the body
	Digest      string `json:"digest"` // SHA-256 of the body, hexadecimal
}

// NewAnswer returns an answer fit for a record.
func NewResponse(status int, contentType string, body []byte) *Response {
	sum := sha256.Sum256(body)
	a := &Response{Status: status, ContentType: contentType, Size: len(body), Digest: hex.EncodeToString(sum[:])}
	if len(body) <= MaxResponseBytes {
		a.Body = body
	}
	return a
}

// Kept reports whether the record holds the body.
func (a *Response) BodyKept() bool { return len(a.Body) == a.Size }

// Change is a change of a claimed or unknown record. It applies only to the
// claim that Token names.
type Change struct {
	Account    string
	Key        string
	Token      string
	To         State     // Done, Unknown or NotRun
	Response   *Response // for Done
	RaiseFence bool      // with Unknown: claims with the record's fencing number must not run any more
	SettledBy  string    // who settles it; empty: the claimant
	// OnlyUnknown applies the change only to a record in state Unknown.
	OnlyIfUnknown bool
}

// apply returns the changed record, and whether the change is allowed. A
// change that has been made already is allowed and changes nothing.
func (c Change) apply(r Record) (Record, bool) {
	if r.Token != c.Token {
		return r, false
	}
	if r.State == c.To && (r.FenceRaised || !c.RaiseFence) {
		return r, true
	}
	if r.State.Final() || (c.OnlyIfUnknown && r.State != Unknown) {
		return r, false
	}
	if c.RaiseFence && !r.FenceRaised {
		r.FenceRaised = true
		r.Fence++
	}
	r.State = c.To
	r.Response = c.Response
	r.SettledBy = c.SettledBy
	return r, true
}
