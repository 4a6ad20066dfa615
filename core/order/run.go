package order

// Env provides a Run with its router's view of other routers and endpoints.
type Env interface {
	// ClaimantLost reports whether the claimant is believed to be gone. The
	// belief may be wrong without any effect on safety.
	ClaimantLost(router string, incarnation int64) bool
	// Capabilities returns what an endpoint supports; nothing if the endpoint
	// is not declared.
	Capabilities(endpoint string) Capabilities
}

// Capabilities is what an endpoint supports for settling orders.
type Capabilities struct {
	Lookup bool // reports whether it executed a key
	Fence  bool // rejects a fencing number below the highest it has seen for a key
}

// StepKind is a kind of step that a Run requests.
type StepKind uint8

// The kinds of step, each with the methods of Run that take its result.
const (
	StepReadRecord   StepKind = iota + 1 // read the record from the ledger, with Step.Fresh from the platform; HandleRecord
	StepClaim                            // wait for a slot and claim; HandleClaim or HandleCancellation; the driver drops the Run if it gets no slot or withdraws the claim
	StepDispatch                         // send the claimed order, once; HandleDispatch
	StepLookUp                           // look the key up at Record.Endpoint, with Step.RaiseFence raise its fence first; HandleLookup
	StepChangeRecord                     // change the record; HandleChange, or HandleChangeTimeout
	StepPause                            // wait briefly; HandlePauseEnd, or HandleTimeout
	StepReply                            // end the run with Step.Reply
)

// Step is the next action that a Run requests from its driver.
type Step struct {
	Kind       StepKind
	Fresh      bool
	RaiseFence bool
	Record     Record
	Change     Change
	Reply      Reply
}

// ReplyKind is a kind of reply to the caller.
type ReplyKind uint8

// The kinds of reply.
const (
	ReplyResponse   ReplyKind = iota + 1 // the endpoint's response, which is recorded or will be
	ReplyKeyReused                       // the key was used with a different request
	ReplyUnknown                         // may have been sent, outcome unknown
	ReplyInProgress                      // the claimant of an earlier claim has not finished
	ReplyNotRun                          // proven not executed
	ReplyNone                            // of a settlement: there was nothing to settle
)

// Reply is the final result of a Run.
type Reply struct {
	Kind     ReplyKind
	Response *Response
	Replayed bool // the response is that of an earlier attempt
	// Cause is the dispatch error that led to a ReplyNotRun or ReplyUnknown;
	// nil if there was none.
	Cause error
}

// DispatchStatus is the status of a completed dispatch.
type DispatchStatus uint8

// The statuses of a dispatch.
const (
	DispatchCompleted   DispatchStatus = iota + 1 // the endpoint's complete response arrived
	DispatchNotExecuted                           // proven not executed
	DispatchUncertain                             // may have been executed
)

// LookupStatus is what an endpoint reports about a key.
type LookupStatus uint8

// The statuses of a lookup at an endpoint.
const (
	LookupExecuted    LookupStatus = iota + 1 // executed; the response is included
	LookupRunning                             // accepted, not finished yet
	LookupNotAccepted                         // not accepted so far
	LookupFailed                              // the endpoint gave no information
)

const (
	maxRunningLookups = 20 // lookups that may return LookupRunning before the outcome counts as unknown
)

// Run is the state machine for one order at one router, or for the settlement
// of an order whose claimant is gone. In comments "run" means such a state
// machine; what an endpoint does is to execute an order. In the names NotRun and
// ReplyNotRun, "run" means executed. A Run is not safe for concurrent use.
type Run struct {
	env        Env
	router     string
	digest     string
	settleOnly bool // settles a record and never claims

	record         Record    // the current record
	ownClaim       bool      // record is this run's claim
	cause          error     // error of the dispatch
	runningLookups int       // number of lookups that returned LookupRunning
	retracting     bool      // record is this run's claim, which was preempted
	fenceRaised    bool      // the key was looked up under a raised fence
	response       *Response // response in the requested change
	newState       State     // state in the requested change
	awaitingRecord bool      // waiting for another claimant, or for a fresh copy of its record
}

// NewRun returns a run for a caller's order. router is the name of the router
// that runs it, digest the Record.Digest of the request.
func NewRun(env Env, router, digest string) *Run {
	return &Run{env: env, router: router, digest: digest}
}

// NewSettlementRun returns a run that settles the record of a claimant that is
// gone. The run never claims.
func NewSettlementRun(env Env, router string) *Run {
	return &Run{env: env, router: router, settleOnly: true}
}

// Start returns the first step.
func (r *Run) Start() Step { return Step{Kind: StepReadRecord, Fresh: r.settleOnly} }

// HandleRecord processes the result of a read of the record.
func (r *Run) HandleRecord(res OpResult) Step {
	if res.Kind == RecordMissing || res.Record.State == NotRun {
		return r.claimOrEnd()
	}
	r.record = res.Record
	return r.handleExisting(false)
}

// HandleClaim processes the result of a claim.
func (r *Run) HandleClaim(res OpResult) Step {
	r.record = res.Record
	switch res.Kind {
	case ClaimExpired:
		return r.reply(Reply{Kind: ReplyNotRun})
	case ClaimConflict:
		return r.handleExisting(true)
	case ClaimPreempted:
		return r.retractClaim()
	}
	r.ownClaim = true
	return Step{Kind: StepDispatch, Record: r.record}
}

// retractClaim sets this run's own claim to NotRun and claims again afterwards.
// Another router settled the claim because it believed this router lost. The
// claim was never dispatched and will not be.
func (r *Run) retractClaim() Step {
	if r.record.State == NotRun {
		return r.claimOrEnd()
	}
	r.ownClaim, r.retracting = true, true
	return r.changeRecord(NotRun, nil)
}

// HandleDispatch processes the status of the dispatch.
func (r *Run) HandleDispatch(status DispatchStatus, response *Response, cause error) Step {
	r.cause = cause
	switch status {
	case DispatchCompleted:
		return r.changeRecord(Done, response)
	case DispatchNotExecuted:
		return r.changeRecord(NotRun, nil)
	}
	return r.resolveOutcome()
}

// HandleCancellation processes a claim that was won but must not be dispatched
// any more, for instance because the caller has left.
func (r *Run) HandleCancellation(res OpResult, cause error) Step {
	r.record = res.Record
	r.ownClaim = true
	r.cause = cause
	return r.changeRecord(NotRun, nil)
}

// HandleLookup processes the result of a lookup at the endpoint.
func (r *Run) HandleLookup(status LookupStatus, response *Response) Step {
	switch status {
	case LookupExecuted:
		return r.changeRecord(Done, response)
	case LookupRunning:
		r.runningLookups++
		if r.runningLookups <= maxRunningLookups {
			return Step{Kind: StepPause}
		}
	case LookupNotAccepted:
		// This is final only under a raised fence, which makes the endpoint
		// reject a dispatch that is still in transit.
		if r.fenceRaised {
			return r.changeRecord(NotRun, nil)
		}
		if r.env.Capabilities(r.record.Endpoint).Fence {
			return r.raiseFence()
		}
	}
	if r.record.State == Unknown {
		return r.reply(Reply{Kind: ReplyUnknown, Cause: r.cause})
	}
	return r.changeRecord(Unknown, nil)
}

// HandleChange processes the result of a change.
func (r *Run) HandleChange(res OpResult) Step {
	if res.Kind == RecordMissing {
		return r.reply(Reply{Kind: ReplyUnknown, Cause: r.cause})
	}
	if res.Kind == ChangeCommitted && res.Record.FenceRaised && res.Record.State == Unknown && !r.fenceRaised {
		r.record = res.Record
		return r.lookUpUnderRaisedFence()
	}
	if r.ownClaim && r.response != nil {
		return r.reply(Reply{Kind: ReplyResponse, Response: r.response})
	}
	otherClaim := res.Record.Token != r.record.Token
	r.record = res.Record
	switch {
	case otherClaim && r.ownClaim:
		return r.reply(Reply{Kind: ReplyUnknown, Cause: r.cause})
	case otherClaim:
		return r.claimOrEnd() // the earlier claim was settled as not executed, and the key claimed again
	}
	return r.replyFromRecord(res.Record)
}

// HandleChangeTimeout ends a run whose change is not committed yet. The shard
// keeps trying to commit it without this run. The endpoint's response, or its
// proof that nothing was executed, is valid regardless.
func (r *Run) HandleChangeTimeout() Step {
	switch {
	case r.response != nil:
		return r.reply(Reply{Kind: ReplyResponse, Response: r.response, Replayed: !r.ownClaim})
	case r.ownClaim && r.newState == NotRun:
		return r.reply(Reply{Kind: ReplyNotRun, Cause: r.cause})
	}
	return r.reply(Reply{Kind: ReplyUnknown, Cause: r.cause})
}

// HandlePauseEnd continues after a pause.
func (r *Run) HandlePauseEnd() Step {
	if r.awaitingRecord {
		return Step{Kind: StepReadRecord, Fresh: true}
	}
	return Step{Kind: StepLookUp, RaiseFence: r.fenceRaised, Record: r.record}
}

// HandleTimeout ends a run that ran out of time while it waited for a claimant
// or an endpoint.
func (r *Run) HandleTimeout() Step {
	if r.awaitingRecord {
		return r.reply(Reply{Kind: ReplyInProgress})
	}
	return r.reply(Reply{Kind: ReplyUnknown, Cause: r.cause})
}

// claimOrEnd continues with a key that no record holds: it claims the key, or
// ends a settlement.
func (r *Run) claimOrEnd() Step {
	if r.settleOnly {
		return r.reply(Reply{Kind: ReplyNone})
	}
	r.awaitingRecord = false
	r.fenceRaised = false
	r.runningLookups = 0
	return Step{Kind: StepClaim}
}

// handleExisting continues with a record of another claim. A record that may be
// outdated is read again before it is acted on.
func (r *Run) handleExisting(fresh bool) Step {
	r.ownClaim = false
	if !r.settleOnly && r.record.Digest != r.digest {
		return r.reply(Reply{Kind: ReplyKeyReused})
	}
	if r.record.State.Final() {
		return r.replyFromRecord(r.record)
	}
	if !fresh && !r.settleOnly && !r.awaitingRecord {
		r.awaitingRecord = true
		return Step{Kind: StepReadRecord, Fresh: true}
	}
	if r.record.State == Claimed && !r.env.ClaimantLost(r.record.Router, r.record.Incarnation) {
		if r.settleOnly {
			return r.reply(Reply{Kind: ReplyNone})
		}
		r.awaitingRecord = true
		return Step{Kind: StepPause}
	}
	r.awaitingRecord = false
	return r.resolveOutcome()
}

// resolveOutcome settles a record whose outcome is uncertain. It prefers a
// lookup, which needs no write.
func (r *Run) resolveOutcome() Step {
	r.awaitingRecord = false
	capabilities := r.env.Capabilities(r.record.Endpoint)
	switch {
	case r.record.FenceRaised && capabilities.Lookup && capabilities.Fence:
		return r.lookUpUnderRaisedFence()
	case capabilities.Lookup:
		return Step{Kind: StepLookUp, Record: r.record}
	case r.record.State == Unknown:
		return r.reply(Reply{Kind: ReplyUnknown, Cause: r.cause})
	}
	return r.changeRecord(Unknown, nil)
}

func (r *Run) lookUpUnderRaisedFence() Step {
	r.fenceRaised = true
	return Step{Kind: StepLookUp, RaiseFence: true, Record: r.record}
}

// raiseFence commits a higher fencing number before the endpoint receives it,
// so that no later claim can get the old number.
func (r *Run) raiseFence() Step {
	step := r.changeRecord(Unknown, nil)
	step.Change.RaiseFence = true
	return step
}

func (r *Run) changeRecord(to State, response *Response) Step {
	c := Change{Account: r.record.Account, Key: r.record.Key, Token: r.record.Token, To: to, Response: response}
	if !r.ownClaim {
		c.SettledBy = r.router
	}
	r.response, r.newState = response, to
	return Step{Kind: StepChangeRecord, Record: r.record, Change: c}
}

// replyFromRecord ends the run with the outcome in the record. If the state is
// NotRun, the run claims the key again instead; only if the record is its own
// claim and was not retracted does it end with ReplyNotRun.
func (r *Run) replyFromRecord(record Record) Step {
	switch record.State {
	case Done:
		return r.reply(Reply{Kind: ReplyResponse, Response: record.Response, Replayed: !r.ownClaim})
	case NotRun:
		if r.retracting {
			r.ownClaim, r.retracting = false, false
			return r.claimOrEnd()
		}
		if r.ownClaim {
			return r.reply(Reply{Kind: ReplyNotRun, Cause: r.cause})
		}
		return r.claimOrEnd()
	case Claimed:
		return r.reply(Reply{Kind: ReplyInProgress})
	}
	return r.reply(Reply{Kind: ReplyUnknown, Cause: r.cause})
}

func (r *Run) reply(reply Reply) Step { return Step{Kind: StepReply, Reply: reply} }
