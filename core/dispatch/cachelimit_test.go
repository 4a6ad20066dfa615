package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

// newLimited returns a dispatcher that tracks that many parts.
func newLimited(maxParts int, endpoints ...topology.Endpoint) *dispatch.Dispatcher {
	opts := options("r1")
	opts.MaxCachedParts = maxParts
	d := dispatch.New(opts)
	d.SetTable(topology.NewTable(config()))
	d.SetEndpoints(start, endpoints)
	return d
}

// requestOfParts returns a request with that many parts that no other request n has.
func requestOfParts(n, parts, tokens int) dispatch.Request {
	r := chatRequest(start, "flood", 1)
	r.ID, r.Parts, r.PromptTokens = fmt.Sprint("parts", n), nil, max(100, parts*tokens)
	for i := range parts {
		r.Parts = append(r.Parts, dispatch.PromptPart{ID: uint64(1_000_000*(n+1) + i), Tokens: tokens})
	}
	return r
}

func serve(t *testing.T, d *dispatch.Dispatcher, r dispatch.Request) *dispatch.Ticket {
	t.Helper()
	ticket := d.Submit(start, r)
	if ticket.State != dispatch.Granted {
		t.Fatalf("%s: state %d, %s", r.ID, ticket.State, ticket.Reason)
	}
	d.Finish(start, ticket, dispatch.Completed)
	return ticket
}

// TestTrackedPartsAreLimited guards against memory that grows with the parts that clients
// name: each router remembers them for each endpoint.
func TestTrackedPartsAreLimited(t *testing.T) {
	for _, tc := range []struct{ parts, tokens int }{{750, 0}, {750, 1}, {200, 16}, {20, 100}} {
		d := newLimited(200, endpoint("e1", model, "a"), endpoint("e2", model, "a"))
		for n := range 100 {
			serve(t, d, requestOfParts(n, tc.parts, tc.tokens))
			for _, id := range []string{"e1", "e2"} {
				if got := d.TrackedParts(id); got > 100 {
					t.Fatalf("%+v: %d parts of %s are tracked", tc, got, id)
				}
			}
		}
		d.SetPeerReport(start, "r2", dispatch.Report{Placements: []dispatch.Placement{{Sequence: 1, Endpoint: "e1", Parts: make([]uint64, 5000), NewTokens: 1}}})
		if got := d.TrackedParts("e1"); got > 100 {
			t.Errorf("%+v: %d parts are tracked after a report", tc, got)
		}
	}
}

// TestFewerPartsThanEndpoints guards against a limit that leaves an endpoint no part.
func TestFewerPartsThanEndpoints(t *testing.T) {
	d := newLimited(2, endpoint("e1", model, "a"), endpoint("e2", model, "a"), endpoint("e3", model, "a"))
	for n := range 10 {
		serve(t, d, requestOfParts(n, 3, 100))
		for _, id := range []string{"e1", "e2", "e3"} {
			if got := d.TrackedParts(id); got > 1 {
				t.Fatalf("%d parts of %s are tracked", got, id)
			}
		}
	}
}

// TestMoreEndpointsTrackFewerPartsEach guards against a limit that grows with the number of
// endpoints.
func TestMoreEndpointsTrackFewerPartsEach(t *testing.T) {
	endpoints := []topology.Endpoint{endpoint("e0", model, "a")}
	d := newLimited(200, endpoints...)
	for n := range 10 {
		serve(t, d, requestOfParts(n, 50, 16))
	}
	for i := range 19 {
		endpoints = append(endpoints, endpoint(fmt.Sprint("e", i+1), model, "a"))
	}
	d.SetEndpoints(start, endpoints)
	if got := d.TrackedParts("e0"); got > 10 {
		t.Errorf("%d parts are tracked", got)
	}
}

// TestPartsInUseAreKept guards against a flood of parts that has the shared parts of
// others forgotten, which would be read again elsewhere.
func TestPartsInUseAreKept(t *testing.T) {
	d := newLimited(2000, endpoint("e1", model, "a"))
	serve(t, d, chatRequest(start, "x", 10))
	for n := range 100 {
		serve(t, d, requestOfParts(n, 256, 1))
		if got := serve(t, d, chatRequest(start, "x", uint64(11+n))).UncachedTokens; got != 700 {
			t.Fatalf("after %d prompts: %d tokens are taken for not cached", n, got)
		}
	}
}

// TestSmallPartsDoNotHideTheNext guards against a prompt that counts as not cached from a
// part on that is too small to be tracked.
func TestSmallPartsDoNotHideTheNext(t *testing.T) {
	d := newLimited(100, endpoint("e1", model, "a"))
	r := chatRequest(start, "x", 10)
	r.Parts = []dispatch.PromptPart{{ID: 1, Tokens: 300}, {ID: 2, Tokens: 4}, {ID: 3, Tokens: 200}, {ID: 10, Tokens: 496}}
	serve(t, d, r)
	r.Parts[3].ID = 11
	if got := serve(t, d, r).UncachedTokens; got != 500 {
		t.Errorf("%d tokens are taken for not cached", got)
	}
}

// reportedPlacements returns the placements of a report and their estimated size: 8 bytes a
// part, and 32 for each.
func reportedPlacements(r dispatch.Report) (n, bytes int) {
	for _, p := range r.Placements {
		bytes += 32 + 8*len(p.Parts)
	}
	return len(r.Placements), bytes
}

// TestReportedPlacementsAreLimited guards against reports that exceed a datagram, which is
// not sent at all, and against placements that are lost for that.
func TestReportedPlacementsAreLimited(t *testing.T) {
	const requests, parts = 30, 200
	d := newLimited(1_000_000, endpoint("e1", model, "a"))
	peer := newLimited(1_000_000, endpoint("e1", model, "a"))
	for n := range requests {
		serve(t, d, requestOfParts(n, parts, 16))
	}
	now, reports := start, 0
	for ; peer.TrackedParts("e1") < requests*parts && reports < 10; reports++ {
		for _, r := range []dispatch.Report{d.Report(now), d.RowReport(now, nil)} {
			if n, bytes := reportedPlacements(r); bytes > 24<<10 || n == 0 {
				t.Fatalf("report %d: %d placements of %d bytes", reports, n, bytes)
			}
		}
		peer.SetPeerReport(now, "r1", d.Report(now))
		now = now.Add(200 * time.Millisecond)
	}
	if got := peer.TrackedParts("e1"); got != requests*parts {
		t.Errorf("the peer knows %d parts after %d reports", got, reports)
	}
}
