package order_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cyclamenwinch/cyclamenwinch/core/order"
)

// plan says what a random history may contain.
type plan struct {
	steps     int
	keys      int
	routers   int
	fresh     bool // callers use ever new keys, and resend them for half a retention
	ability   order.Capabilities
	sealBytes int
	retention time.Duration
}

var abilities = []order.Capabilities{{}, {Lookup: true}, {Fence: true}, {Lookup: true, Fence: true}}

// history plays a random history and returns what the oracle found, or "".
func history(choose chooser, m mutant, p plan) string {
	_, fault := play(choose, m, p)
	return fault
}

// play plays a random history and returns the world at its end.
func play(choose chooser, m mutant, p plan) (*world, string) {
	w := newWorld(choose, m, p.ability, order.Config{SealBytes: p.sealBytes, Retention: p.retention}, p.routers)
	for i := range p.steps {
		w.now = w.now.Add(time.Second)
		w.act(i, p)
		if fault := w.check(); fault != "" {
			return w, fault
		}
	}
	return w, w.settleAll(p)
}

func (w *world) act(i int, p plan) {
	r := w.routers[w.choose(len(w.routers), "router")]
	switch w.choose(16, "action") {
	case 0, 1:
		key := w.choose(p.keys, "key")
		if p.fresh {
			key = max(0, i/20-key)
		}
		name := fmt.Sprintf("k%d", key)
		if at, ok := w.begun[name]; !p.fresh || !ok || w.now.Sub(at) < p.retention/2 {
			w.place(r, name)
		}
	case 2:
		if len(w.late) > 0 {
			n := w.choose(len(w.late), "late write")
			w.serve(w.late[n])
			w.late = append(w.late[:n:n], w.late[n+1:]...)
		}
	case 3:
		if len(w.sent) > 0 {
			n := w.choose(len(w.sent), "late dispatch")
			w.arrive(w.sent[n])
			w.sent = append(w.sent[:n:n], w.sent[n+1:]...)
		}
	case 4:
		if w.choose(4, "crash") == 0 {
			w.crash(r)
		}
	case 5:
		r.suspected = !r.suspected
	case 6:
		w.sweep(r)
	case 7:
		w.giveUp(r)
	case 8, 9, 10:
		if len(r.runs) > 0 {
			w.endpoint(r, r.runs[w.choose(len(r.runs), "run")], w.choose(sentFates, "message"))
		}
	default:
		if r.call == nil {
			w.issue(r)
			return
		}
		fate := w.choose(2*fates, "platform")
		if fate >= fates {
			fate = fateOK
		}
		w.finish(r, fate)
	}
}

// giveUp has the caller of some claim leave.
func (w *world) giveUp(r *router) {
	for _, x := range r.runs {
		if x.step.Kind == order.StepClaim && r.shard.Withdraw(x.op) {
			w.follow(r, x, order.Step{Kind: order.StepReply, Reply: order.Reply{Kind: order.ReplyNotRun}})
			if w.mutant == forgetUncertain {
				w.sent = append(w.sent, &message{record: order.Record{Account: "acct", Key: x.key, Token: x.token, Fence: 1}})
			}
			return
		}
	}
}

// endpoint lets a run's message arrive, or its pause end.
func (w *world) endpoint(r *router, x *run, fate int) {
	switch {
	case x.msg != nil:
		w.talk(r, x, fate)
	case x.paused:
		w.follow(r, x, x.HandlePauseEnd())
	}
}

// settleAll lets everything open end without further faults, lets everything
// late arrive before or after that, and checks the records.
func (w *world) settleAll(p plan) string {
	early := w.choose(2, "late before the end") == 0
	if early {
		w.arriveAll()
	}
	for _, r := range w.routers {
		r.suspected = false
	}
	w.runOn()
	w.sweepAll()
	if !early {
		w.arriveAll()
		w.sweepAll()
	}
	if fault := w.check(); fault != "" {
		return fault
	}
	return w.checkRecords(p)
}

// sweepAll has every router read again what is open, and settle it.
func (w *world) sweepAll() {
	for _, r := range w.routers {
		r.shard.Refresh()
	}
	w.runOn()
	for _, r := range w.routers {
		w.sweep(r)
	}
	w.runOn()
}

func (w *world) arriveAll() {
	for _, call := range w.late {
		w.serve(call)
	}
	for _, m := range w.sent {
		w.arrive(m)
	}
	w.late, w.sent = nil, nil
}

// runOn gives every router many turns without faults.
func (w *world) runOn() {
	for range 400 {
		w.now = w.now.Add(time.Millisecond)
		for _, r := range w.routers {
			if r.call != nil {
				w.finish(r, fateOK)
			}
			w.issue(r)
			for _, x := range slices.Clone(r.runs) {
				w.endpoint(r, x, sentOK)
			}
		}
	}
}

func (w *world) checkRecords(p plan) string {
	for _, r := range w.routers {
		if len(r.runs) > 0 && p.retention == 0 {
			return fmt.Sprintf("router %s has %d runs without end, the first at step %d", r.name, len(r.runs), r.runs[0].step.Kind)
		}
	}
	records := w.records()
	for id, tokens := range w.executed {
		if p.retention == 0 && len(records[id]) != 1 {
			return fmt.Sprintf("order %v was executed by %v and has %d records", id, tokens, len(records[id]))
		}
	}
	for id, recs := range records {
		if len(recs) > 1 {
			return fmt.Sprintf("order %v has %d records", id, len(recs))
		}
		claimantLives := !w.ClaimantLost(recs[0].Router, recs[0].Incarnation)
		if recs[0].State == order.Unknown && claimantLives && !w.doubtful[recs[0].Token] {
			return fmt.Sprintf("claim %s was never dispatched and stays unknown", recs[0].Token)
		}
		if recs[0].State == order.Claimed && p.retention == 0 {
			return fmt.Sprintf("order %v is still claimed", id)
		}
	}
	return ""
}

func plans() []plan {
	var all []plan
	for _, a := range abilities {
		all = append(all, plan{steps: 120, keys: 2, routers: 3, ability: a})
		all = append(all, plan{steps: 120, keys: 1, routers: 1, ability: a})
		all = append(all, plan{steps: 120, keys: 3, routers: 2, ability: a, sealBytes: 1})
		all = append(all, plan{steps: 240, keys: 4, routers: 2, fresh: true, ability: a, sealBytes: 1, retention: 60 * time.Second})
	}
	return all
}

// init makes every run of the tests the same.
func init() { flag.Set("rapid.seed", "20261204") }

func TestAtMostOnceUnderRandomFaults(t *testing.T) {
	all := plans()
	rapid.Check(t, func(t *rapid.T) {
		p := all[rapid.IntRange(0, len(all)-1).Draw(t, "plan")]
		choose := func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(t, what) }
		if fault := history(choose, sound, p); fault != "" {
			t.Fatal(fault)
		}
	})
}

// seeded plays histories of all plans until the oracle finds a fault.
func seeded(m mutant, seeds uint64) (string, uint64) {
	for seed := range seeds {
		rng := rand.New(rand.NewPCG(seed, 1))
		for _, p := range plans() {
			fault := history(func(n int, _ string) int { return rng.IntN(n) }, m, p)
			if fault != "" {
				return fault, seed
			}
		}
	}
	return "", 0
}

func TestSoundUnderSeededFaults(t *testing.T) {
	t.Parallel()
	if fault, seed := seeded(sound, 60); fault != "" {
		t.Fatalf("seed %d: %s", seed, fault)
	}
}

func TestOracleFindsMutants(t *testing.T) {
	t.Parallel()
	mutants := []mutant{noVersionCheck, dispatchFirst, takeOver, trustUncertain, noFence, doubtIsNotSent, noHead, forgetUncertain, ageFromClaim}
	for _, m := range mutants {
		fault, seed := seeded(m, 400)
		if fault == "" {
			t.Errorf("mutant survives: %s", m)
			continue
		}
		t.Logf("%s: seed %d: %s", m, seed, fault)
	}
}

// TestFenceLeavesNothingUnknown counts how records end once all faults have
// ended, by what the endpoint offers.
func TestFenceLeavesNothingUnknown(t *testing.T) {
	t.Parallel()
	for _, a := range abilities {
		ends := map[order.State]int{}
		for seed := range uint64(50) {
			rng := rand.New(rand.NewPCG(seed, 2))
			p := plan{steps: 120, keys: 2, routers: 3, ability: a}
			w, fault := play(func(n int, _ string) int { return rng.IntN(n) }, sound, p)
			if fault != "" {
				t.Fatalf("seed %d: %s", seed, fault)
			}
			for _, records := range w.records() {
				ends[records[0].State]++
			}
		}
		t.Logf("lookup %v, fence %v: %d done, %d unknown", a.Lookup, a.Fence, ends[order.Done], ends[order.Unknown])
		if a.Lookup && a.Fence && ends[order.Unknown] > 0 {
			t.Errorf("%d records stay unknown", ends[order.Unknown])
		}
	}
}
