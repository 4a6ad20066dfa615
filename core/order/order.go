// Package order implements the ledger of requests that must be executed at
// most once, as a state machine that performs no I/O.
//
// A shard is a chain of segments. Each segment is stored as one platform
// object. New claims are written to the last segment only. A sealed segment
// accepts no more claims, and its successor is created only after it was
// sealed. A writer whose copy of the last segment has the version that its
// conditional write requires has therefore seen every claim that can precede
// its own. Safety rests on the platform's version check alone, not on clocks
// or leases.
//
// Invariants:
//   - Of the claims of an account's key, at most one is not in state NotRun.
//   - A claim is dispatched only by its claimant, at most once, and only after
//     the result ClaimWon.
//   - A record becomes NotRun in three cases only: its claimant sets the state
//     before the dispatch; the endpoint confirms that a raised fencing number
//     rules out any execution of the claim; or an operator decides so.
//   - A segment is deleted only after the head was moved past it, and the head
//     is moved past a segment only after the retention of all its records.
package order
