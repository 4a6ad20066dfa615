// Package order implements the ledger of requests that must be executed at
// most once, as state machines that perform no I/O.
//
// The platform is an object store: each object has a version, and a write or
// delete takes effect only if the object has the version that the call requires.
//
// A router that accepts an order first claims its key, and is then the claimant:
// it writes a record in state Claimed to the ledger, dispatches the order to an
// endpoint only once that write is committed, and records the outcome. To settle
// a record means to establish and record its outcome after the claimant failed
// to. Any router may do so, and so may an operator.
//
// A Run handles one order, or settles one record: its driver executes each Step
// and passes the result to the Run's method for it, which returns the next Step,
// until StepReply. A Shard executes the claims, changes and reads that the steps
// request: its driver makes the platform calls that NextCall returns, passes their
// results to HandleResult, and takes the results of the operations from
// OpResults.
//
// A shard is a chain of segments. Each segment is stored as one platform object,
// and a further object, the head, holds the number of the first segment. New
// claims are written to the last segment only. A sealed segment accepts no more
// claims, and its successor is created only after it was sealed. A writer whose
// copy of the last segment has the version that its conditional write requires
// has therefore seen every claim that can precede its own. Safety rests on the
// platform's version check alone, not on clocks or leases.
//
// Invariants:
//   - Of the claims of an account's key, at most one is not in state NotRun.
//   - A claim is dispatched only by its claimant, at most once, and only after
//     the result ClaimWon.
//   - A record becomes NotRun, that is, not executed, in three cases only: its
//     claimant has not dispatched the claim, or knows that the dispatch was not
//     executed; the endpoint confirms that a raised fencing number rules out any
//     execution of the claim; or an operator decides so.
//   - A segment is deleted only after the head was moved past it, and the head
//     is moved past a segment only after the retention of all its records.
package order
