package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/route"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

// tainted returns a request with the part 77 among those that it shares.
func tainted(now time.Time, own uint64) dispatch.Request {
	r := chatRequest(now, "x", own)
	r.Parts = []dispatch.PromptPart{{ID: 1, Tokens: 300}, {ID: 77, Tokens: 100}, {ID: own, Tokens: 600}}
	return r
}

// TestCrashesOfOnePartAddUpOverRouters guards against each router of a fleet losing
// endpoints to the same prompt part.
func TestCrashesOfOnePartAddUpOverRouters(t *testing.T) {
	all := newRouters(20)
	now := start
	for i := range route.PartQuarantineCrashes {
		e := endpoint(fmt.Sprint("e", i), model, "a")
		d := all[i*7%len(all)]
		d.SetEndpoints(now, []topology.Endpoint{e})
		ticket := d.Submit(now, tainted(now, uint64(100+i)))
		if suspects := d.RecordPartCrash(now, ticket, false); len(suspects) == 0 {
			t.Fatalf("crash %d names no part", i)
		}
		sound := d.Submit(now, chatRequest(now, "x", uint64(200+i)))
		d.RecordBegun(now, sound)
	}
	exchangeReports(all, start.Add(500*time.Millisecond), 100*time.Millisecond, 15*time.Millisecond)
	now = start.Add(time.Minute)
	for i, d := range all {
		if _, blocked := d.PartBlocked(now, tainted(now, 300).Parts); !blocked {
			t.Errorf("router %d sends a request with the part", i)
		}
		if _, blocked := d.PartBlocked(now, chatRequest(now, "x", 300).Parts); blocked {
			t.Errorf("router %d refuses a request that shares the other parts", i)
		}
	}
}

// TestCrashesAfterTheFirstEventAddUpOverRouters guards against a part whose endpoints
// crash while they write the response: each response that begins seems to prove that the
// part is sound.
func TestCrashesAfterTheFirstEventAddUpOverRouters(t *testing.T) {
	all := newRouters(20)
	now := start
	for i := range route.PartQuarantineCrashes {
		now = start.Add(time.Duration(i) * 250 * time.Millisecond)
		d := all[i*7%len(all)]
		d.SetEndpoints(now, []topology.Endpoint{endpoint(fmt.Sprint("e", i), model, "a")})
		ticket, beside := d.Submit(now, tainted(now, uint64(100+i))), d.Submit(now, chatRequest(now, "x", uint64(200+i)))
		d.RecordBegun(now, ticket)
		d.RecordBegun(now, beside)
		if suspects := d.RecordPartCrash(now, ticket, true); len(suspects) == 0 {
			t.Fatalf("crash %d names no part", i)
		}
		d.RecordPartCrash(now, beside, true)
		d.RecordCompleted(now, d.Submit(now, chatRequest(now, "x", uint64(300+i))))
		exchangeReports(all, now.Add(200*time.Millisecond), 100*time.Millisecond, 15*time.Millisecond)
	}
	now = now.Add(time.Minute)
	for i, d := range all {
		if _, blocked := d.PartBlocked(now, tainted(now, 300).Parts); !blocked {
			t.Errorf("router %d sends a request with the part", i)
		}
		if part, blocked := d.PartBlocked(now, chatRequest(now, "x", 300).Parts); blocked {
			t.Errorf("router %d refuses part %d, which streams beside the cause have", i, part)
		}
	}
}

// TestRouterThatKnowsBetterClearsPart guards against a fleet that refuses a part of
// which one router knows that it is sound.
func TestRouterThatKnowsBetterClearsPart(t *testing.T) {
	all := newRouters(20)
	crashed := start.Add(-100 * time.Millisecond)
	for i := range route.PartQuarantineCrashes {
		d := all[0]
		d.SetEndpoints(crashed, []topology.Endpoint{endpoint(fmt.Sprint("e", i), model, "a")})
		d.RecordPartCrash(crashed, d.Submit(crashed, tainted(crashed, uint64(100+i))), false)
	}
	last := all[len(all)-1]
	last.SetEndpoints(start, []topology.Endpoint{endpoint("e9", model, "a")})
	last.RecordBegun(start, last.Submit(start, tainted(start, 200)))
	exchangeReports(all, start.Add(time.Second), 100*time.Millisecond, 15*time.Millisecond)
	now := start.Add(time.Second)
	for i, d := range all {
		if part, blocked := d.PartBlocked(now, tainted(now, 300).Parts); blocked {
			t.Errorf("router %d still refuses part %d", i, part)
		}
	}
}

// TestSoundPartStaysUsableWhileEndpointsCrash guards against refusing a part that
// most requests have because all endpoints of an availability zone crash at once.
func TestSoundPartStaysUsableWhileEndpointsCrash(t *testing.T) {
	all := newRouters(20)
	crashed := start.Add(-100 * time.Millisecond)
	for i, d := range all {
		d.SetEndpoints(crashed, []topology.Endpoint{endpoint(fmt.Sprint("e", i), model, "a")})
		if i%2 == 0 {
			d.RecordBegun(crashed.Add(-time.Minute), d.Submit(crashed, chatRequest(crashed, "x", 50)))
		}
		d.RecordPartCrash(crashed, d.Submit(crashed, chatRequest(crashed, "x", uint64(100+i))), false)
	}
	all[3].RecordBegun(start, all[3].Submit(start, chatRequest(start, "x", 60)))
	now := start.Add(500 * time.Millisecond)
	exchangeReports(all, now, 100*time.Millisecond, 15*time.Millisecond)
	for i, d := range all {
		if part, blocked := d.PartBlocked(now, chatRequest(now, "x", 70).Parts); blocked {
			t.Errorf("router %d refuses part %d", i, part)
		}
	}
}

// TestWaitingRequestsAreRefusedOnceTheirPartIsQuarantined guards against requests
// that are held although it is known that they can't be served.
func TestWaitingRequestsAreRefusedOnceTheirPartIsQuarantined(t *testing.T) {
	d := newRouters(1)[0]
	d.SetEndpoints(start, []topology.Endpoint{endpoint("e", model, "a")})
	paused := d.Submit(start, chatRequest(start, "x", 10))
	d.RecordNotice(start, paused, dispatch.Notice{Pause: time.Second})
	deadly, sound := d.Submit(start, tainted(start, 20)), d.Submit(start, chatRequest(start, "x", 21))
	d.RecordBegun(start, paused)
	for i := range route.PartQuarantineCrashes {
		if decided := d.Poll(start); len(decided) > 0 {
			t.Fatalf("%d requests decided after %d crashes", len(decided), i)
		}
		d.SetPeerReport(start, "r2", dispatch.Report{PartCrashes: []route.PartCrash{{Part: 77, Endpoint: uint64(i)}}})
	}
	decided := d.Poll(start)
	if len(decided) != 1 || decided[0] != deadly || deadly.Reason != dispatch.PartQuarantined {
		t.Errorf("decided %v, want the request with the part to be refused", decided)
	}
	if sound.State != dispatch.Waiting {
		t.Errorf("a sound request is %v", sound.State)
	}
}

// statusRead returns a request without a body.
func statusRead(now time.Time, resource uint64) dispatch.Request {
	return dispatch.Request{Service: model, Resource: resource, Arrived: now, Objective: now.Add(time.Second), Deadline: now.Add(4 * time.Second), FirstEventDeadline: now.Add(4 * time.Second)}
}

// TestCrashesOfRequestsWithoutBodyAddUpOverRouters guards against each router of a fleet
// losing endpoints to the same request.
func TestCrashesOfRequestsWithoutBodyAddUpOverRouters(t *testing.T) {
	all := newRouters(20)
	for i := range route.ResourceQuarantineCrashes {
		d := all[i*7%len(all)]
		d.SetEndpoints(start, []topology.Endpoint{endpoint(fmt.Sprint("e", i), model, "a")})
		d.RecordResourceCrash(start, d.Submit(start, statusRead(start, 5)))
	}
	exchangeReports(all, start.Add(500*time.Millisecond), 100*time.Millisecond, 15*time.Millisecond)
	now := start.Add(time.Minute)
	for i, d := range all {
		if !d.ResourceQuarantined(now, 5) {
			t.Errorf("router %d sends the request", i)
		}
		if d.ResourceQuarantined(now, 6) || d.ResourceQuarantined(now, 0) {
			t.Errorf("router %d refuses other requests", i)
		}
	}
}

// TestCompletedRequestWithoutBodySpeaksForItsLikes guards against refusing sound requests
// because another one that looked the same, or ran beside a cause, was interrupted.
func TestCompletedRequestWithoutBodySpeaksForItsLikes(t *testing.T) {
	all := newRouters(20)
	crashed := start.Add(-100 * time.Millisecond)
	for i := range 2 * route.ResourceQuarantineCrashes {
		d := all[0]
		d.SetEndpoints(crashed, []topology.Endpoint{endpoint(fmt.Sprint("e", i), model, "a")})
		d.RecordResourceCrash(crashed, d.Submit(crashed, statusRead(crashed, 5)))
	}
	last := all[len(all)-1]
	last.SetEndpoints(start, []topology.Endpoint{endpoint("e9", model, "a")})
	last.RecordCompleted(start, last.Submit(start, statusRead(start, 5)))
	now := start.Add(time.Second)
	exchangeReports(all, now, 100*time.Millisecond, 15*time.Millisecond)
	for i, d := range all {
		if d.ResourceQuarantined(now, 5) {
			t.Errorf("router %d still refuses the request", i)
		}
	}
}
