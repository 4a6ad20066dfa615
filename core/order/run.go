package order

// Env tells a Run what its router knows of others.
type Env interface {
	// Lost reports whether the claimant is believed to be gone. It may be
	// wrong: nothing unsafe follows from that.
	Lost(router string, incarnation int64) bool
	// Ability returns what an endpoint offers; none if it is not declared.
	Ability(endpoint string) Ability
}

// Ability is what an endpoint offers for settling orders.
type Ability struct {
	Lookup bool // tells whether it executed a key
	Fence  bool // refuses a fencing number below the highest it has seen for a key
}

// Kind of step that a Run asks for.
type StepKind uint8

// The steps. Each is answered by the method of Run named with it.
const (
	StepLook     StepKind = iota + 1 // look the record up in the ledger, Step.Fresh: from the platform; Looked
	StepClaim                        // wait for a slot and claim; Claimed, or no answer if the run is refused
	StepDispatch                     // send the claimed order, once; Dispatched
	StepLookUp                       // ask Record.Endpoint, Step.Raise: raising its fence first; LookedUp
	StepChange                       // change the record; Changed
	StepPause                        // wait a little; Paused
	StepReply                        // the end
)

// Step is what the shell is to do next for a Run.
type Step struct {
	Kind   StepKind
	Fresh  bool
	Raise  bool
	Record Record
	Change Change
	Reply  Reply
}

// ReplyKind says what the caller is told.
type ReplyKind uint8

// The replies.
const (
	ReplyAnswer     ReplyKind = iota + 1 // the answer, recorded or about to be
	ReplyReused                          // the key has another body
	ReplyUnknown                         // sent, outcome unknown
	ReplyInProgress                      // another router runs it
	ReplyNotRun                          // proved not run
	ReplyNone                            // there was nothing to settle
)

// Reply ends a Run.
type Reply struct {
	Kind     ReplyKind
	Answer   *Answer
	Replayed bool // recorded by an earlier try
	// Cause is the dispatch error that led to it, for ReplyNotRun and
	// ReplyUnknown; nil if there was none.
	Cause error
}

// Sent says how a dispatch ended.
type Sent uint8

// The ends of a dispatch.
const (
	Answered Sent = iota + 1 // the endpoint's whole answer arrived
	NotSent                  // proved not executed
	Doubt                    // may have been executed
)

// Seen says what an endpoint knows of a key.
type Seen uint8

// What an endpoint knows of a key.
const (
	Executed Seen = iota + 1 // with its answer
	Running                  // accepted, not yet ended
	Never                    // not accepted so far
	Silent                   // it did not tell
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
	looks      int     // answered with Running
	retracting bool    // record is this run's claim, which was overtaken
	raised     bool    // the endpoint was asked under a raised fence
	answer     *Answer // of the change under way
	to         State   // of the change under way
	waiting    bool    // for another claimant, or for a fresh copy of its record
}

// NewRun returns a run for an order of a caller. router names the router that
// runs it.
func NewRun(env Env, router, digest string) *Run {
	return &Run{env: env, router: router, digest: digest}
}

// NewSettle returns a run that settles a record whose claimant is gone and
// never claims.
func NewSettle(env Env, router string) *Run {
	return &Run{env: env, router: router, settle: true}
}

// Start returns the first step.
func (r *Run) Start() Step { return Step{Kind: StepLook, Fresh: r.settle} }

// Looked takes in the verdict of a look-up in the ledger.
func (r *Run) Looked(v Verdict) Step {
	if v.Kind == Missing || v.Record.State == NotRun {
		return r.free()
	}
	r.record = v.Record
	return r.resolve(false)
}

// Claimed takes in the verdict of a claim.
func (r *Run) Claimed(v Verdict) Step {
	r.record = v.Record
	switch v.Kind {
	case Expired:
		return r.end(Reply{Kind: ReplyNotRun})
	case Held:
		return r.resolve(true)
	case Overtaken:
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
func (r *Run) Dispatched(sent Sent, answer *Answer, cause error) Step {
	r.cause = cause
	switch sent {
	case Answered:
		return r.change(Done, answer)
	case NotSent:
		return r.change(NotRun, nil)
	}
	return r.ask()
}

// Cancelled takes in that the claim was won but is not to be dispatched.
func (r *Run) Cancelled(v Verdict, cause error) Step {
	r.record = v.Record
	r.mine = true
	r.cause = cause
	return r.change(NotRun, nil)
}

// LookedUp takes in what the endpoint knows.
func (r *Run) LookedUp(seen Seen, answer *Answer) Step {
	switch seen {
	case Executed:
		return r.change(Done, answer)
	case Running:
		r.looks++
		if r.looks <= maxRunningLooks {
			return Step{Kind: StepPause}
		}
	case Never:
		// Only under a raised fence is it final: a dispatch that is still on
		// its way can't be accepted any more.
		if r.raised {
			return r.change(NotRun, nil)
		}
		if r.env.Ability(r.record.Endpoint).Fence {
			return r.raise()
		}
	}
	if r.record.State == Unknown {
		return r.end(Reply{Kind: ReplyUnknown, Cause: r.cause})
	}
	return r.change(Unknown, nil)
}

// Changed takes in the verdict of a change.
func (r *Run) Changed(v Verdict) Step {
	if v.Kind == Missing {
		return r.end(Reply{Kind: ReplyUnknown, Cause: r.cause})
	}
	if v.Kind == Recorded && v.Record.Raised && v.Record.State == Unknown && !r.raised {
		r.record = v.Record
		return r.askRaised()
	}
	if r.mine && r.answer != nil {
		return r.end(Reply{Kind: ReplyAnswer, Answer: r.answer})
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
func (r *Run) Unrecorded() Step {
	switch {
	case r.answer != nil:
		return r.end(Reply{Kind: ReplyAnswer, Answer: r.answer, Replayed: !r.mine})
	case r.mine && r.to == NotRun:
		return r.end(Reply{Kind: ReplyNotRun, Cause: r.cause})
	}
	return r.end(Reply{Kind: ReplyUnknown, Cause: r.cause})
}

// Paused takes in that a pause is over.
func (r *Run) Paused() Step {
	if r.waiting {
		return Step{Kind: StepLook, Fresh: true}
	}
	return Step{Kind: StepLookUp, Raise: r.raised, Record: r.record}
}

// TimedOut ends a run that pauses or looks up in vain.
func (r *Run) TimedOut() Step {
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
		return r.end(Reply{Kind: ReplyReused})
	}
	if r.record.State.Final() {
		return r.told(r.record)
	}
	if !fresh && !r.settle && !r.waiting {
		r.waiting = true
		return Step{Kind: StepLook, Fresh: true}
	}
	if r.record.State == Claimed && !r.env.Lost(r.record.Router, r.record.Incarnation) {
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
	ability := r.env.Ability(r.record.Endpoint)
	switch {
	case r.record.Raised && ability.Lookup && ability.Fence:
		return r.askRaised()
	case ability.Lookup:
		return Step{Kind: StepLookUp, Record: r.record}
	case r.record.State == Unknown:
		return r.end(Reply{Kind: ReplyUnknown, Cause: r.cause})
	}
	return r.change(Unknown, nil)
}

func (r *Run) askRaised() Step {
	r.raised = true
	return Step{Kind: StepLookUp, Raise: true, Record: r.record}
}

// raise commits a higher fencing number before the endpoint is told, so that
// no later claim can be given the old one.
func (r *Run) raise() Step {
	s := r.change(Unknown, nil)
	s.Change.Raise = true
	return s
}

func (r *Run) change(to State, answer *Answer) Step {
	c := Change{Account: r.record.Account, Key: r.record.Key, Token: r.record.Token, To: to, Answer: answer}
	if !r.mine {
		c.By = r.router
	}
	r.answer, r.to = answer, to
	return Step{Kind: StepChange, Record: r.record, Change: c}
}

// told ends the run as the record says.
func (r *Run) told(record Record) Step {
	switch record.State {
	case Done:
		return r.end(Reply{Kind: ReplyAnswer, Answer: record.Answer, Replayed: !r.mine})
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
