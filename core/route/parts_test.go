package route_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cyclamenwinch/cyclamenwinch/core/route"
)

func crashOf(part uint64, endpoint int) route.PartCrash {
	return route.PartCrash{Part: part, Endpoint: uint64(endpoint)}
}

// TestPartIsBlockedOnlyByCrashesSinceItsLastResponse guards against holding back a
// sound part because of what crashed beside it.
func TestPartIsBlockedOnlyByCrashesSinceItsLastResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := route.NewPartQuarantine()
		now := time.Unix(1_000_000, 0)
		wasSound := map[uint64]bool{}
		crashes := map[uint64][]time.Time{} // since the last response
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			part := rapid.Uint64Range(1, 5).Draw(t, "part")
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				q.RecordBegun(now, part)
				crashes[part], wasSound[part] = nil, true
			case 1:
				q.RecordSound(now, route.SoundPart{Part: part})
				crashes[part], wasSound[part] = nil, true
			default:
				c := crashOf(part, i)
				c.Age = time.Duration(rapid.IntRange(0, 300).Draw(t, "age")) * time.Millisecond
				if q.RecordCrash(now, c) {
					crashes[part] = append(crashes[part], now.Add(-c.Age))
				}
			}
			for p := range uint64(6) {
				_, blocked := q.Blocked(now, []uint64{p})
				if blocked && len(crashes[p]) < route.PartSuspectCrashes {
					t.Fatalf("part %d is blocked after %d crashes", p, len(crashes[p]))
				}
				if blocked && wasSound[p] && now.Sub(slices.MinFunc(crashes[p], time.Time.Compare)) < time.Second {
					t.Fatalf("part %d, which was sound, is blocked at once", p)
				}
			}
		}
	})
}

// TestPartThatTurnsDeadlyIsFound guards against trusting a part for good because of
// an earlier response.
func TestPartThatTurnsDeadlyIsFound(t *testing.T) {
	q := route.NewPartQuarantine()
	now := time.Unix(1_000_000, 0)
	q.RecordBegun(now, 1)
	blocked := func() bool { _, b := q.Blocked(now, []uint64{1}); return b }
	for i := range route.PartQuarantineCrashes {
		now = now.Add(100 * time.Millisecond)
		q.RecordCrash(now, crashOf(1, i))
	}
	if blocked() {
		t.Error("blocked although the next response may prove that the part is sound")
	}
	now = now.Add(time.Second)
	if !blocked() {
		t.Error("not blocked after a second without a response")
	}
}

// TestEndpointsThatCrashTogetherCountOnceAgainstSoundPart guards against refusing what
// most requests have because a cause outside the requests crashed many endpoints.
func TestEndpointsThatCrashTogetherCountOnceAgainstSoundPart(t *testing.T) {
	for _, part := range []uint64{1, route.AfterBegin(1)} {
		q := route.NewPartQuarantine()
		now := time.Unix(1_000_000, 0)
		q.RecordBegun(now, part)
		now = now.Add(time.Second)
		for i := range 4 * route.PartQuarantineCrashes {
			q.RecordCrash(now.Add(time.Duration(i%90)*time.Millisecond), crashOf(part, i))
		}
		now = now.Add(2 * time.Second)
		if _, blocked := q.Blocked(now, []uint64{part}); blocked {
			t.Error("blocked after crashes at one moment")
		}
	}
}

// TestSoundPartIsTriedAgainInQuarantine guards against refusing for an hour what was only
// interrupted by crashes one after the other, and against frequent trials of what was
// sound once and crashes endpoints since.
func TestSoundPartIsTriedAgainInQuarantine(t *testing.T) {
	for _, resource := range []bool{false, true} {
		for _, wasSound := range []bool{false, true} {
			q := route.NewPartQuarantine()
			now := time.Unix(1_000_000, 0)
			blocked := func() bool {
				if resource {
					return q.ResourceBlocked(now, 1)
				}
				_, b := q.Blocked(now, []uint64{1})
				return b
			}
			if wasSound {
				q.RecordBegun(now, 1)
			}
			crashes := 0
			crash := func() { crashes++; q.RecordCrash(now, crashOf(1, crashes)) }
			for range route.PartQuarantineCrashes {
				now = now.Add(time.Second)
				crash()
			}
			trials := 0
			for end := now.Add(route.QuarantineDuration - time.Second); now.Before(end); now = now.Add(time.Second) {
				if !blocked() {
					trials++
					if q.Quarantined(now, 1) || q.ResourceQuarantined(now, 1) || q.StoppedSince(now, now, []uint64{1}) {
						t.Error("the trial is stopped before it is sent")
					}
					crash()
				}
			}
			if want := map[bool]int{false: 0, true: 3}[wasSound]; trials != want {
				t.Errorf("resource %v, sound before %v: %d trials in an hour, want %d", resource, wasSound, trials, want)
			}
			if !wasSound {
				continue
			}
			now = now.Add(route.QuarantineDuration)
			if blocked() {
				t.Error("not tried after an hour")
			}
			if !q.RecordBegun(now, 1) || blocked() || blocked() {
				t.Error("still held back after a response")
			}
		}
	}
}

// TestPartIsQuarantinedAgain guards against a part that is free for good once its
// quarantine has ended.
func TestPartIsQuarantinedAgain(t *testing.T) {
	q := route.NewPartQuarantine()
	now := time.Unix(1_000_000, 0)
	blocked := func() bool { _, b := q.Blocked(now, []uint64{1}); return b }
	for round := range 3 {
		for i := range route.PartQuarantineCrashes {
			q.RecordCrash(now, crashOf(1, 100*round+i))
		}
		if !blocked() {
			t.Errorf("not blocked in round %d", round)
		}
		now = now.Add(route.QuarantineDuration)
		if blocked() {
			t.Errorf("blocked after the quarantine of round %d", round)
		}
	}
}

// TestPartIsHeldBackAfterCrashes guards against requests of one kind that crash
// endpoints one after the other.
func TestPartIsHeldBackAfterCrashes(t *testing.T) {
	q := route.NewPartQuarantine()
	now := time.Unix(1_000_000, 0)
	blocked := func() bool { _, b := q.Blocked(now, []uint64{1, 2}); return b }
	for i := range route.PartQuarantineCrashes {
		if i >= route.PartSuspectCrashes {
			if !blocked() {
				t.Errorf("not held back after %d crashes", i)
			}
			now = now.Add(route.PartTrialInterval)
		}
		if blocked() {
			t.Errorf("no trial after %d crashes", i)
		}
		if i >= route.PartSuspectCrashes && !blocked() {
			t.Error("two trials at once")
		}
		q.RecordCrash(now, crashOf(2, i))
		q.RecordCrash(now, crashOf(2, i)) // reported by another router too
	}
	now = now.Add(10 * route.PartTrialInterval)
	if !blocked() {
		t.Errorf("tried again after %d crashes", route.PartQuarantineCrashes)
	}
}

// TestTrialClearsPart guards against refusing for good what only ran beside crashes.
func TestTrialClearsPart(t *testing.T) {
	q := route.NewPartQuarantine()
	now := time.Unix(1_000_000, 0)
	for i := range route.PartSuspectCrashes {
		q.RecordCrash(now, crashOf(1, i))
	}
	allowed := now
	if !q.StoppedSince(now, allowed.Add(-time.Millisecond), []uint64{1}) {
		t.Error("a request that waited while the part became a suspect is sent")
	}
	now = now.Add(route.PartTrialInterval)
	if _, b := q.Blocked(now, []uint64{1}); b {
		t.Fatal("no trial")
	}
	if q.StoppedSince(now, now, []uint64{1}) {
		t.Error("the trial is stopped before it is sent")
	}
	if !q.RecordBegun(now, 1) {
		t.Error("the response doesn't clear the part")
	}
	if _, b := q.Blocked(now, []uint64{1}); b {
		t.Error("blocked after a response began")
	}
}

// TestInterruptionsByManyCrashesSpareSoundParts guards against refusing a sound part whose
// streams were interrupted by chance, where crashes interrupt a large share of all.
func TestInterruptionsByManyCrashesSpareSoundParts(t *testing.T) {
	for _, manyInterrupted := range []bool{false, true} {
		q := route.NewPartQuarantine()
		now := time.Unix(1_000_000, 0)
		for i := range 200 {
			now = now.Add(20 * time.Millisecond)
			q.CountResponse(now, manyInterrupted && i%5 < 2)
		}
		q.RecordBegun(now, route.AfterBegin(1))
		for i := range route.PartQuarantineCrashes {
			now = now.Add(300 * time.Millisecond)
			q.RecordCrash(now, crashOf(route.AfterBegin(1), i))
			q.RecordCrash(now, crashOf(2, i))
		}
		now = now.Add(time.Second)
		if q.Quarantined(now, 1) == manyInterrupted {
			t.Errorf("many interrupted %v: quarantined %v after five interruptions", manyInterrupted, !manyInterrupted)
		}
		if !q.Quarantined(now, 2) {
			t.Error("a part whose endpoints crash before the response is sent on")
		}
	}
}
