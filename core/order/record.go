package order

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// MaxResponseBytes is the size of the largest response body that a record
// stores. For a larger body the record stores only its size and digest.
const MaxResponseBytes = 8 << 10

// State is the state of a record.
type State string

// The states of a record. NotRun and Done are final.
const (
	Claimed State = "claimed" // may have been sent to an endpoint
	Done    State = "done"    // executed, the response is recorded
	Unknown State = "unknown" // may have been sent, outcome unknown
	NotRun  State = "not_run" // proven that it was not and will not be executed
)

// Final reports whether a record in this state can no longer change.
func (s State) Final() bool { return s == Done || s == NotRun }

// ID identifies an order. It covers the account because two client accounts
// may use the same key.
type ID [16]byte

// NewID returns the ID of the order with the given account and key.
func NewID(account, key string) ID {
	sum := sha256.Sum256([]byte(account + "\x00" + key))
	return ID(sum[:16])
}

// String returns the ID in hexadecimal, the form that endpoints receive as
// the idempotency key.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// Record is the stored state of one order.
type Record struct {
	Account     string    `json:"account"`
	Key         string    `json:"key"`
	Digest      string    `json:"digest"`           // SHA-256 of path and body, hexadecimal
	Token       string    `json:"token"`            // chosen by the claimant, unique to the claim
	Router      string    `json:"router"`           // name of the claimant
	Incarnation int64     `json:"incarnation"`      // incarnation of the claimant
	Endpoint    string    `json:"endpoint"`         // endpoint that the order is sent to
	Fence       int64     `json:"fence"`            // lowest fencing number that may execute it
	FenceRaised bool      `json:"raised,omitempty"` // Fence is above the number that the claim was made with
	State       State     `json:"state"`
	AcceptedAt  time.Time `json:"claimed_at"`           // when the claimant accepted the order from its caller, which may be before the claim; JSON name kept for compatibility
	SettledBy   string    `json:"settled_by,omitempty"` // router or operator that settled the record; empty: the claimant recorded the outcome
	Response    *Response `json:"answer,omitempty"`     // JSON name kept for compatibility
}

// ID returns the record's ID.
func (r *Record) ID() ID { return NewID(r.Account, r.Key) }

// Response is the response of an endpoint. Body is nil if it was larger than
// MaxResponseBytes.
type Response struct {
	Status      int    `json:"status"` // HTTP status
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Size        int    `json:"size"`   // length of the body in bytes
	Digest      string `json:"digest"` // SHA-256 of the body, hexadecimal
}

// NewResponse returns a response to be stored in a record. It omits a body
// that is larger than MaxResponseBytes.
func NewResponse(status int, contentType string, body []byte) *Response {
	sum := sha256.Sum256(body)
	r := &Response{Status: status, ContentType: contentType, Size: len(body), Digest: hex.EncodeToString(sum[:])}
	if len(body) <= MaxResponseBytes {
		r.Body = body
	}
	return r
}

// BodyKept reports whether the response includes its body.
func (r *Response) BodyKept() bool { return len(r.Body) == r.Size }

// Change is a state change of a claimed or unknown record. It applies only to
// the claim with the given Token.
type Change struct {
	Account    string
	Key        string
	Token      string
	To         State     // Done, Unknown or NotRun
	Response   *Response // for Done
	RaiseFence bool      // with Unknown: raise Fence, so that the old fencing number can no longer execute
	SettledBy  string    // router or operator that settles the record; empty: the claimant
	// OnlyIfUnknown restricts the change to a record in state Unknown.
	OnlyIfUnknown bool
}

// apply returns the changed record and whether the change is allowed. A change
// that was already made is allowed and has no effect. A fence is raised to
// lowestFence at least.
func (c Change) apply(r Record, lowestFence int64) (Record, bool) {
	if r.Token != c.Token {
		return r, false
	}
	raised := r.FenceRaised && r.Fence >= lowestFence
	if r.State == c.To && (raised || !c.RaiseFence) {
		return r, true
	}
	if r.State.Final() || (c.OnlyIfUnknown && r.State != Unknown) {
		return r, false
	}
	if c.RaiseFence && !raised {
		r.FenceRaised = true
		r.Fence = max(r.Fence+1, lowestFence)
	}
	r.State = c.To
	r.Response = c.Response
	r.SettledBy = c.SettledBy
	return r, true
}
