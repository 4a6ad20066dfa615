package order_test

import (
	"maps"
	"testing"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/order"
)

const hold = 10 * time.Second

// restorablePlatform is a platform that can return to an older copy. Its versions
// rise across a restoration, as the platform client provides them.
type restorablePlatform struct {
	objects map[string]order.CallResult
	copied  map[string]order.CallResult
	version int64
	era     int64
	now     time.Time
}

func newRestorablePlatform() *restorablePlatform {
	return &restorablePlatform{objects: map[string]order.CallResult{}, era: 1, now: time.Unix(1000, 0)}
}

func (p *restorablePlatform) copy() { p.copied = maps.Clone(p.objects) }

func (p *restorablePlatform) restore() {
	p.era++
	p.objects = map[string]order.CallResult{}
	for key, o := range p.copied {
		p.version++
		p.objects[key] = order.CallResult{Status: order.CallOK, Version: p.version, Value: o.Value}
	}
}

func (p *restorablePlatform) serve(call order.Call) order.CallResult {
	stored, ok := p.objects[call.Object]
	result := stored
	switch {
	case call.Verb == order.Get && !ok:
		result = order.CallResult{Status: order.CallNotFound}
	case call.Verb == order.Get:
	case stored.Version != call.Version:
		result = order.CallResult{Status: order.CallConflict}
	default:
		p.version++
		result = order.CallResult{Status: order.CallOK, Version: p.version, Value: call.Value}
		p.objects[call.Object] = result
	}
	result.Era = p.era
	return result
}

// drive makes the calls of a shard until it has none, and returns the results.
func (p *restorablePlatform) drive(t *testing.T, s *order.Shard) []order.OpResult {
	t.Helper()
	var results []order.OpResult
	for range 100 {
		call, ok := s.NextCall(p.now)
		if !ok {
			return append(results, s.OpResults()...)
		}
		if err := s.HandleResult(p.serve(call)); err != nil {
			t.Fatal(err)
		}
		results = append(results, s.OpResults()...)
	}
	t.Fatal("the shard makes calls without end")
	return nil
}

func (p *restorablePlatform) claim(t *testing.T, s *order.Shard, key, token string) []order.OpResult {
	t.Helper()
	s.Claim(order.Record{Account: "acct", Key: key, Token: token, Endpoint: "e", Fence: 1, AcceptedAt: p.now})
	return p.drive(t, s)
}

func (p *restorablePlatform) change(t *testing.T, s *order.Shard, c order.Change) order.Record {
	t.Helper()
	c.Account = "acct"
	s.Change(c)
	results := p.drive(t, s)
	if len(results) != 1 || results[0].Kind != order.ChangeCommitted {
		t.Fatalf("change not committed: %+v", results)
	}
	return results[0].Record
}

func newRestorableShard(era int64) *order.Shard {
	return order.NewShard(order.Config{Era: era, RestoreHold: hold})
}

func wantResult(t *testing.T, results []order.OpResult, kind order.OpResultKind, token string) order.Record {
	t.Helper()
	if len(results) != 1 || results[0].Kind != kind || results[0].Record.Token != token {
		t.Fatalf("got %+v, want kind %d of claim %s", results, kind, token)
	}
	return results[0].Record
}

func TestClaimAfterRestorationWaitsForLostClaim(t *testing.T) {
	for _, known := range []struct {
		name string
		era  int64
	}{{"shard read before the restoration", 0}, {"shard created after it", 1}} {
		t.Run(known.name, func(t *testing.T) {
			p := newRestorablePlatform()
			a, b := newRestorableShard(0), newRestorableShard(known.era)
			if known.era == 0 {
				wantResult(t, p.claim(t, b, "other", "tb1"), order.ClaimWon, "tb1")
			}
			p.copy()
			wantResult(t, p.claim(t, a, "k", "ta"), order.ClaimWon, "ta")
			p.restore()
			if results := p.claim(t, b, "k", "tb2"); len(results) != 0 {
				t.Fatalf("claimed before other routers could write lost records again: %+v", results)
			}
			p.now = p.now.Add(hold / 2)
			a.Refresh()
			p.drive(t, a)
			p.now = p.now.Add(hold)
			wantResult(t, p.drive(t, b), order.ClaimConflict, "ta")
		})
	}
}

func TestFirstEraHoldsNoClaims(t *testing.T) {
	p := newRestorablePlatform()
	wantResult(t, p.claim(t, newRestorableShard(0), "k", "t"), order.ClaimWon, "t")
}

func TestLostOutcomeIsWrittenAgain(t *testing.T) {
	p := newRestorablePlatform()
	a := newRestorableShard(0)
	wantResult(t, p.claim(t, a, "k", "ta"), order.ClaimWon, "ta")
	p.copy()
	p.change(t, a, order.Change{Key: "k", Token: "ta", To: order.Done, Response: order.NewResponse(200, "", nil)})
	p.restore()
	a.Refresh()
	p.drive(t, a)
	b := newRestorableShard(0)
	record := wantResult(t, p.claim(t, b, "k", "tb"), order.ClaimConflict, "ta")
	if record.State != order.Done {
		t.Errorf("state %s after the restoration, want done", record.State)
	}
}

func TestLaterStateIsNotReplacedByRememberedOne(t *testing.T) {
	p := newRestorablePlatform()
	a, b := newRestorableShard(0), newRestorableShard(0)
	wantResult(t, p.claim(t, a, "k", "ta"), order.ClaimWon, "ta")
	b.Refresh()
	p.drive(t, b) // knows the claim, not its outcome
	p.change(t, a, order.Change{Key: "k", Token: "ta", To: order.Done, Response: order.NewResponse(200, "", nil)})
	p.copy()
	p.restore()
	b.Refresh()
	p.drive(t, b)
	record := wantResult(t, p.claim(t, newRestorableShard(0), "k", "tc"), order.ClaimConflict, "ta")
	if record.State != order.Done {
		t.Errorf("state %s, want done", record.State)
	}
}

func TestFencingNumberIsNotGivenOutAgainAfterRestoration(t *testing.T) {
	p := newRestorablePlatform()
	raise := order.Change{Key: "k", Token: "ta", To: order.Unknown, RaiseFence: true}
	wantResult(t, p.claim(t, newRestorableShard(0), "k", "ta"), order.ClaimWon, "ta")
	b := newRestorableShard(0)
	b.Refresh()
	p.drive(t, b)
	raised := p.change(t, b, raise)
	p.copy()
	p.change(t, b, order.Change{Key: "k", Token: "ta", To: order.NotRun})
	lost := wantResult(t, p.claim(t, b, "k", "tb"), order.ClaimWon, "tb")
	p.restore()

	c := newRestorableShard(0) // remembers nothing
	c.ReadRecord("acct", "k", true)
	found := p.drive(t, c)[0].Record
	if found.Fence != raised.Fence || found.FenceRaised {
		t.Fatalf("read fence %d raised %v, want %d, not raised: the endpoint may have accepted a lost claim since", found.Fence, found.FenceRaised, raised.Fence)
	}
	again := p.change(t, c, raise)
	if !again.FenceRaised || again.Fence <= lost.Fence {
		t.Errorf("raised to %d, not above %d, which a lost claim has", again.Fence, lost.Fence)
	}
	p.change(t, c, order.Change{Key: "k", Token: "ta", To: order.NotRun})
	next := wantResult(t, p.claim(t, c, "k", "tc"), order.ClaimWon, "tc")
	if next.Fence <= again.Fence {
		t.Errorf("claimed with %d, not above %d", next.Fence, again.Fence)
	}
}
