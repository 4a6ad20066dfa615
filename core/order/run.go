package order

// Env tells a Run what its router knows of others.
type Env interface {
	// Lost reports whether the claimant is believed to be gone. It may be
	// wrong: nothing unsafe follows from that.
	ClaimantLost(router string, incarnation int64) bool
	// Ability returns what an endpoint offers; none if it is not declared.
	Capabilities(endpoint string) Capabilities
}

// Ability is what an endpoint offers for settling orders.
type Capabilities struct {
	Lookup bool // tells whether it executed a key
	Fence  bool // refuses a fencing number below the highest it has seen for a key
}

// Kind of step that a Run asks for.
type StepKind uint8

// The steps. Each is answered by the method of Run named with it.
const (
	StepReadRecord    StepKind = iota + 1 // look the record up in the ledger, Step.Fresh: from the platform; Looked
	StepClaim                             // wait for a slot and claim; Claimed, or no answer if the run is refused
	StepDispatch                          // send the claimed order, once; Dispatched
	StepQueryEndpoint                     // ask Record.Endpoint, Step.Raise: raising its fence first; LookedUp
	StepChangeRecord                      // change the record; Changed
	StepPause                             // wait a little; Paused
	StepReply                             // the end
)

// Step is what the shell is to do next for a Run.
type Step struct {
	Kind       StepKind
	Fresh      bool
	RaiseFence bool
	Record     Record
	Change     Change
	Reply      Reply
}

// ReplyKind says what the caller is told.
type ReplyKind uint8

// The replies.
const (
	ReplyResponse   ReplyKind = iota + 1 // the answer, recorded or about to be
	ReplyKeyReused                       // the key has another body
	ReplyUnknown                         // sent, outcome unknown
	ReplyInProgress                      // another router runs it
	ReplyNotRun                          // proved not run
	ReplyNone                            // there was nothing to settle
)

// Reply ends a Run.
type Reply struct {
	Kind     ReplyKind
	Response *Response
	Replayed bool // recorded by an earlier try
	// Cause is the dispatch error that led to it, for ReplyNotRun and
	// ReplyUnknown; nil if there was none.
	Cause error
}

// Sent says how a dispatch ended.
type DispatchStatus uint8

// The ends of a dispatch.
const (
	DispatchAnswered    DispatchStatus = iota + 1 // the endpoint's whole answer arrived
	DispatchNotExecuted                           // proved not executed
	DispatchUncertain                             // may have been executed
)

// Seen says what an endpoint knows of a key.
type LookupStatus uint8

// What an endpoint knows of a key.
const (
	LookupExecuted    LookupStatus = iota + 1 // with its answer
	LookupRunning                             // accepted, not yet ended
	LookupNotAccepted                         // not accepted so far
	LookupFailed                              // it did not tell
)

const (
	maxRunningLooks = 20 // pauses for an endpoint that says Running
)

// Run is one order on its way through a router, or the settling of one whose
// claimant is gone. It is not safe for concurrent use.
type Run struct {
	env    Env
	router string
	digest string
	settle bool // don't claim

	record     Record // the one being worked on
	mine       bool   // record is this run's claim
	cause      error
	looks      int       // answered with Running
	retracting bool      // record is this run's claim, which was overtaken
	raised     bool      // the endpoint was asked under a raised fence
	answer     *Response // of the change under way
	to         State     // of the change under way
	waiting    bool      // for another claimant, or for a fresh copy of its record
}

// NewRun returns a run for an order of a caller. router names the router that
// runs it.
func NewRun(env Env, router, digest string) *Run {
	return &Run{env: env, router: router, digest: digest}
}

// NewSettle returns a run that settles a record whose claimant is gone and
// never claims.
func NewSettlementRun(env Env, router string) *Run {
	return &Run{env: env, router: router, settle: true}
}

// Start returns the first step.
func (r *Run) Start() Step { return Step{Kind: StepReadRecord, Fresh: r.settle} }

// Looked takes in the verdict of a look-up in the ledger.
func (r *Run) HandleRecord(v OpResult) Step {
	if v.Kind == RecordMissing || v.Record.State == NotRun {
		return r.free()
	}
	r.record = v.Record
	return r.resolve(false)
}

// Claimed takes in the verdict of a claim.
func (r *Run) HandleClaim(v OpResult) Step {
	r.record = v.Record
	switch v.Kind {
	case ClaimExpired:
		return r.end(Reply{Kind: ReplyNotRun})
	case ClaimConflict:
		return r.resolve(true)
	case ClaimPreempted:
		return r.retract()
	}
	r.mine = true
	return Step{Kind: StepDispatch, Record: r.record}
}

// retract settles this run's own claim, which others took for that of a lost
// router: it was never dispatched, and is not any more. Then the run claims
// anew.
func (r *Run) retract() Step {
	if r.record.State == NotRun {
		return r.free()
	}
	r.mine, r.retracting = true, true
	return r.change(NotRun, nil)
}

// Dispatched takes in the end of the dispatch.
func (r *Run) HandleDispatch(sent DispatchStatus, answer *Response, cause error) Step {
	r.cause = cause
	switch sent {
	case DispatchAnswered:
		return r.change(Done, answer)
	case DispatchNotExecuted:
		return r.change(NotRun, nil)
	}
	return r.ask()
}

// Cancelled takes in that the claim was won but is not to be dispatched.
func (r *Run) HandleCancellation(v OpResult, cause error) Step {
	r.record = v.Record
	r.mine = true
	r.cause = cause
	return r.change(NotRun, nil)
}

// LookedUp takes in what the endpoint knows.
func (r *Run) HandleLookup(seen LookupStatus, answer *Response) Step {
	switch seen {
	case LookupExecuted:
		return r.change(Done, answer)
	case LookupRunning:
		r.looks++
		if r.looks <= maxRunningLooks {
			return Step{Kind: StepPause}
		}
	case LookupNotAccepted:
		// Only under a raised fence is it final: a dispatch that is still on
		// its way can't be accepted any more.
		if r.raised {
			return r.change(NotRun, nil)
		}
		if r.env.Capabilities(r.record.Endpoint).Fence {
			return r.raise()
		}
	}
	if r.record.State == Unknown {
		return r.end(Reply{Kind: ReplyUnknown, Cause: r.cause})
	}
	return r.change(Unknown, nil)
}

// Changed takes in the verdict of a change.
func (r *Run) HandleChange(v OpResult) Step {
	if v.Kind == RecordMissing {
		return r.end(Reply{Kind: ReplyUnknown, Cause: r.cause})
	}
	if v.Kind == ChangeCommitted && v.Record.FenceRaised && v.Record.State == Unknown && !r.raised {
		r.record = v.Record
		return r.askRaised()
	}
	if r.mine && r.answer != nil {
		return r.end(Reply{Kind: ReplyResponse, Response: r.answer})
	}
	other := v.Record.Token != r.record.Token
	r.record = v.Record
	switch {
	case other && r.mine:
		return r.end(Reply{Kind: ReplyUnknown, Cause: r.cause})
	case other:
		return r.free() // settled as not run, and claimed anew
	}
	return r.told(v.Record)
}

// Unrecorded takes in that a change is not committed yet; it is tried on
// without this run. The endpoint's answer, or its proof that nothing ran, is
// true all the same.
func (r *Run) HandleChangeTimeout() Step {
	switch {
	case r.answer != nil:
		return r.end(Reply{Kind: ReplyResponse, Response: r.answer, Replayed: !r.mine})
	case r.mine && r.to == NotRun:
		return r.end(Reply{Kind: ReplyNotRun, Cause: r.cause})
	}
	return r.end(Reply{Kind: ReplyUnknown, Cause: r.cause})
}

// Paused takes in that a pause is over.
func (r *Run) HandlePauseEnd() Step {
	if r.waiting {
		return Step{Kind: StepReadRecord, Fresh: true}
	}
	return Step{Kind: StepQueryEndpoint, RaiseFence: r.raised, Record: r.record}
}

// TimedOut ends a run that pauses or looks up in vain.
func (r *Run) HandleTimeout() Step {
	if r.waiting {
		return r.end(Reply{Kind: ReplyInProgress})
	}
	return r.end(Reply{Kind: ReplyUnknown, Cause: r.cause})
}

// free goes on with a key that no record holds.
func (r *Run) free() Step {
	if r.settle {
		return r.end(Reply{Kind: ReplyNone})
	}
	r.waiting = false
	r.raised = false
	r.looks = 0
	return Step{Kind: StepClaim}
}

// resolve goes on from a record that another claim made. A record that may
// be out of date is read again before anything is done about it.
func (r *Run) resolve(fresh bool) Step {
	r.mine = false
	if !r.settle && r.record.Digest != r.digest {
		return r.end(Reply{Kind: ReplyKeyReused})
	}
	if r.record.State.Final() {
		return r.told(r.record)
	}
	if !fresh && !r.settle && !r.waiting {
		r.waiting = true
		return Step{Kind: StepReadRecord, Fresh: true}
	}
	if r.record.State == Claimed && !r.env.ClaimantLost(r.record.Router, r.record.Incarnation) {
		if r.settle {
			return r.end(Reply{Kind: ReplyNone})
		}
		r.waiting = true
		return Step{Kind: StepPause}
	}
	r.waiting = false
	return r.ask()
}

// ask settles a record in doubt, beginning with what costs no write.
func (r *Run) ask() Step {
	r.waiting = false
	ability := r.env.Capabilities(r.record.Endpoint)
	switch {
	case r.record.FenceRaised && ability.Lookup && ability.Fence:
		return r.askRaised()
	case ability.Lookup:
		return Step{Kind: StepQueryEndpoint, Record: r.record}
	case r.record.State == Unknown:
		return r.end(Reply{Kind: ReplyUnknown, Cause: r.cause})
	}
	return r.change(Unknown, nil)
}

func (r *Run) askRaised() Step {
	r.raised = true
	return Step{Kind: StepQueryEndpoint, RaiseFence: true, Record: r.record}
}

// raise commits a higher fencing number before the endpoint is told, so that
// no later claim can be given the old one.
func (r *Run) raise() Step {
	s := r.change(Unknown, nil)
	s.Change.RaiseFence = true
	return s
}

func (r *Run) change(to State, answer *Response) Step {
	c := Change{Account: r.record.Account, Key: r.record.Key, Token: r.record.Token, To: to, Response: answer}
	if !r.mine {
		c.SettledBy = r.router
	}
	r.answer, r.to = answer, to
	return Step{Kind: StepChangeRecord, Record: r.record, Change: c}
}

// told ends the run as the record says.
func (r *Run) told(record Record) Step {
	switch record.State {
	case Done:
		return r.end(Reply{Kind: ReplyResponse, Response: record.Response, Replayed: !r.mine})
	case NotRun:
		if r.retracting {
			r.mine, r.retracting = false, false
			return r.free()
		}
		if r.mine {
			return r.end(Reply{Kind: ReplyNotRun, Cause: r.cause})
		}
		return r.free()
	case Claimed:
		return r.end(Reply{Kind: ReplyInProgress})
	}
	return r.end(Reply{Kind: ReplyUnknown, Cause: r.cause})
}

func (r *Run) end(reply Reply) Step { return Step{Kind: StepReply, Reply: reply} }
