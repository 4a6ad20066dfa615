package order_test

import (
	"slices"
	"testing"

	"github.com/cyclamenwinch/cyclamenwinch/core/order"
)

// runUntilIdle lets the router take 40 steps without faults, enough to finish
// its work.
func (sim *simulation) runUntilIdle(r *router) {
	for range 40 {
		if r.call != nil {
			sim.finishCall(r, callOK)
		}
		sim.startCall(r)
		for _, x := range slices.Clone(r.runs) {
			sim.advanceRun(r, x, requestOK)
		}
	}
}

// TestPreemptedClaimIsRetractedAndClaimedAgain guards against an order that
// stays unknown although it was never dispatched. This happens if another
// router wrongly believes the claimant lost and settles its committed claim
// before the claimant learns of the commit.
func TestPreemptedClaimIsRetractedAndClaimedAgain(t *testing.T) {
	for _, capabilities := range allCapabilities {
		sim := newSimulation(nil, noMutation, capabilities, order.Config{}, 2)
		one, two := sim.routers[0], sim.routers[1]
		node{simulation: sim}.loadShard(one)
		sim.placeOrder(one, "k")
		sim.startCall(one)
		sim.finishCall(one, callReplyLost) // the claim is committed, but the claimant does not know
		one.suspected = true
		sim.placeOrder(two, "k")
		sim.runUntilIdle(two)
		one.suspected = false
		sim.runUntilIdle(one)
		if violation := sim.check(); violation != "" {
			t.Fatal(violation)
		}
		records := sim.records()[order.NewID("acct", "k")]
		if len(records) != 1 || records[0].State != order.Done {
			t.Fatalf("lookup %v, fence %v: %+v", capabilities.Lookup, capabilities.Fence, records)
		}
	}
}
