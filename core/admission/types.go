package admission

import (
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/route"
)

// RequestID identifies a request by its router and sequence number.
type RequestID struct {
	Router string
	Seq    uint64 // unique within the router's process
}

// Request asks for a slot of the pool.
type Request struct {
	ID          RequestID
	Account     string
	Model       string    // cost estimates are learned per account and model
	CostHint    fair.Cost // expected cost, in cost units, before the correction that was learned
	Zone        string    // zone of the router
	Prefix      uint64    // hash of the prompt's start; 0: none
	Fingerprint uint64    // hash of the whole request; 0: none
	Avoid       []string  // endpoints on which earlier attempts failed
}

// Outcome is the result of a granted request. Its numbers are sent between
// routers.
type Outcome uint8

// The outcomes.
const (
	Completed   Outcome = iota // the response is complete
	Failed                     // the endpoint responded with an error
	Crashed                    // the endpoint broke the connection
	Unreachable                // connecting failed; nothing was sent
	Canceled                   // the caller disconnected
)

// Release returns a slot to the pool.
type Release struct {
	ID               RequestID
	Outcome          Outcome
	Cost             fair.Cost     // cost known at the end
	TimeToFirstToken time.Duration // 0: no token was seen
	// Fingerprint may be set for a crash if the Request had none.
	Fingerprint uint64
}

// Grant assigns a slot to a request.
type Grant struct {
	ID          RequestID
	Endpoint    string
	Estimate    fair.Cost // charged to the account
	ProvenSlots int       // slots the endpoint is known to handle; 0: it is cold
}

// Refusal rejects a request that was not sent to any endpoint.
type Refusal struct {
	ID         RequestID
	Code       code.Code
	RetryAfter time.Duration
}

// Decisions are the results of a step, in the order they were made. The
// slices are reused: they are valid until the next Step has returned.
type Decisions struct {
	Grants   []Grant
	Refusals []Refusal
	Paused   []string      // endpoints that get no new requests for a while
	Crashes  []route.Crash // attributed to requests; to be sent to all routers
}

// reset returns empty decisions that reuse the slices of d.
func (d Decisions) reset() Decisions {
	return Decisions{
		Grants:   d.Grants[:0],
		Refusals: d.Refusals[:0],
		Paused:   d.Paused[:0],
		Crashes:  d.Crashes[:0],
	}
}

// HeldSlot is a slot in use, as a router reports it to a new owner.
type HeldSlot struct {
	ID       RequestID
	Endpoint string
	Account  string
	Charge   fair.Charge
	// Unattended is set if the router's process has stalled since the grant: what it
	// reports of this request may be old.
	Unattended bool
}

// Account is the configuration of a client account.
type Account struct {
	Name     string
	Share    float64
	MaxQueue int
	MaxWait  time.Duration
}

// Endpoint is the configuration of an endpoint.
type Endpoint struct {
	Name        string
	Zone        string
	Slots       int
	ColdSlots   int
	AcceptsWork bool // may receive new requests
}
