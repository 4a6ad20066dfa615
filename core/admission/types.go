package admission

import (
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/route"
)

// RequestID names one request of one router.
type RequestID struct {
	Router string
	Seq    uint64 // unique within the router's process
}

// Request is a request that waits for a slot.
type Request struct {
	ID          RequestID
	Account     string
	Model       string    // what estimates are learned for, besides the account
	Estimate    fair.Cost // cost hint, in cost units
	Zone        string    // zone of the router
	Prefix      uint64    // hash of the prompt's start; 0: none
	Fingerprint uint64    // hash of the whole request; 0: none
	Avoid       []string  // endpoints that failed it before
}

// Outcome says how a granted request ended.
type Outcome uint8

// The outcomes.
const (
	Done        Outcome = iota // ended whole
	Failed                     // the endpoint answered with an error
	Crashed                    // the endpoint broke the connection
	Unreachable                // no connection; nothing was sent
	Cancelled                  // the caller left
)

// Release gives a slot back.
type Release struct {
	ID               RequestID
	Outcome          Outcome
	Cost             fair.Cost     // cost known at the end
	TimeToFirstToken time.Duration // 0: none seen
	// Fingerprint may be given with a crash if the Want had none.
	Fingerprint uint64
}

// Grant gives a slot to a request.
type Grant struct {
	ID          RequestID
	Endpoint    string
	Estimate    fair.Cost // what was charged
	ProvenSlots int       // slots that the endpoint is proved to bear; 0: it is cold
}

// Refusal ends the wait of a request that was not run.
type Refusal struct {
	ID         RequestID
	Code       code.Code
	RetryAfter time.Duration
}

// Decisions are the results of a step, in the order they were made. The
// slices are valid until the step after the next.
type Decisions struct {
	Grants   []Grant
	Refusals []Refusal
	Paused   []string      // endpoints that get no new work for a while
	Crashes  []route.Crash // blamed on requests, for all routers to remember
}

// emptied returns empty decisions that reuse d's memory.
func (d Decisions) emptied() Decisions {
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
}

// Account is what admission needs to know of a client account.
type Account struct {
	Name     string
	Share    float64
	MaxQueue int
	MaxWait  time.Duration
}

// Endpoint is what admission needs to know of an endpoint.
type Endpoint struct {
	Name      string
	Zone      string
	Slots     int
	ColdSlots int
	Open      bool // may receive new work
}
