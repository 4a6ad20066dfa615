// Package order holds the ledger of requests that must not be repeated, as a
// state machine without input or output.
//
// A shard is a chain of segments, each one object of the platform. Claims go
// to the last segment only. A segment that is sealed takes no more claims,
// and the next one is made only after that, so a writer whose copy of the
// last segment has the version that its write requires has seen every claim
// that can precede its own. The platform's version check is the fence; no
// clock or lease is part of the argument.
//
// Invariants:
//   - Of the claims of an account's key, at most one is not in state NotRun.
//   - A claim is dispatched by its claimant only, after the verdict Won, once.
//   - A record becomes NotRun only by its claimant before the dispatch, or on
//     the endpoint's word that a raised fencing number keeps the claim from
//     being executed ever, or on an operator's word.
//   - A segment is removed only after the head was moved past it, and the head
//     is moved past a segment only after the retention of all its records.
package order
