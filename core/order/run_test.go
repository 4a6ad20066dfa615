package order_test

import (
	"slices"
	"testing"

	"github.com/cyclamenwinch/cyclamenwinch/core/order"
)

// until gives the router turns without faults until it has nothing to do.
func (w *world) until(r *router) {
	for range 40 {
		if r.call != nil {
			w.finish(r, fateOK)
		}
		w.issue(r)
		for _, x := range slices.Clone(r.runs) {
			w.endpoint(r, x, sentOK)
		}
	}
}

func TestOvertakenClaimIsRetractedAndRunsAnew(t *testing.T) {
	for _, a := range abilities {
		w := newWorld(nil, sound, a, order.Config{}, 2)
		one, two := w.routers[0], w.routers[1]
		node{world: w}.load(one)
		w.place(one, "k")
		w.issue(one)
		w.finish(one, fateLost) // claimed, and the claimant does not know
		one.suspected = true
		w.place(two, "k")
		w.until(two)
		one.suspected = false
		w.until(one)
		if fault := w.check(); fault != "" {
			t.Fatal(fault)
		}
		records := w.records()[order.NewID("acct", "k")]
		if len(records) != 1 || records[0].State != order.Done {
			t.Fatalf("lookup %v, fence %v: %+v", a.Lookup, a.Fence, records)
		}
	}
}
