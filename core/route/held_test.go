package route_test

import (
	"testing"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/route"
)

var heldStart = time.Unix(1_000_000, 0)

func crashPart(q *route.PartQuarantine, part uint64, n int) {
	for i := range n {
		q.RecordCrash(heldStart.Add(time.Duration(i)*time.Second), route.PartCrash{Part: part, Endpoint: uint64(i + 1)})
	}
}

// TestQuarantineOutlivesItsRouter guards against a request that crashes endpoints again
// once no router is left that knows of it.
func TestQuarantineOutlivesItsRouter(t *testing.T) {
	old, next := route.NewQuarantine(), route.NewQuarantine()
	now := heldStart.Add(time.Second)
	old.RecordCrash(heldStart, route.Crash{Fingerprint: 7, Endpoint: "a"})
	if held := old.Held(now); len(held) != 0 {
		t.Errorf("one crash is held back: %v", held)
	}
	old.RecordCrash(now, route.Crash{Fingerprint: 7, Endpoint: "b"})
	for _, h := range old.Held(now) {
		next.Restore(now, h)
	}
	if !next.Quarantined(now, 7) {
		t.Error("not quarantined")
	}
	if next.Quarantined(heldStart.Add(time.Second+route.QuarantineDuration), 7) {
		t.Error("quarantined for longer than by the first router")
	}
}

func TestPartQuarantineOutlivesItsRouter(t *testing.T) {
	old, next := route.NewPartQuarantine(), route.NewPartQuarantine()
	crashPart(old, 7, route.PartQuarantineCrashes)
	crashPart(old, 8, route.PartSuspectCrashes-1)
	now := heldStart.Add(10 * time.Second)
	held := old.Held(now)
	if len(held) != 1 || held[0].ID != 7 || len(held[0].Crashes) != route.PartQuarantineCrashes {
		t.Fatalf("held back: %v", held)
	}
	next.Restore(now, held[0])
	if !next.Quarantined(now, 7) || !next.Quarantined(now.Add(30*time.Minute), 7) {
		t.Error("not quarantined")
	}
}

// TestRestoredPartThatWasSoundIsTriedAgain guards against a sound part that is refused for
// an hour after a restart, because the restart lost that it had been sound.
func TestRestoredPartThatWasSoundIsTriedAgain(t *testing.T) {
	old, next := route.NewPartQuarantine(), route.NewPartQuarantine()
	old.RecordBegun(heldStart.Add(-time.Second), 7)
	crashPart(old, 7, route.PartQuarantineCrashes)
	now := heldStart.Add(5 * time.Second)
	next.Restore(now, old.Held(now)[0])
	if !next.Quarantined(now, 7) {
		t.Error("not quarantined")
	}
	if _, blocked := next.Blocked(now.Add(2*time.Minute), []uint64{7}); blocked {
		t.Error("not tried again")
	}
}

// TestRestoredPartIsRefutedByANewerResponse guards against an outdated record that holds
// back what has been served since.
func TestRestoredPartIsRefutedByANewerResponse(t *testing.T) {
	old, next := route.NewPartQuarantine(), route.NewPartQuarantine()
	crashPart(old, 7, route.PartQuarantineCrashes)
	now := heldStart.Add(5 * time.Second)
	next.RecordBegun(now, 7)
	next.Restore(now, old.Held(now)[0])
	if next.Quarantined(now, 7) || len(next.Held(now)) != 0 {
		t.Error("held back")
	}
}
