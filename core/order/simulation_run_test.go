package order_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cyclamenwinch/cyclamenwinch/core/order"
)

// plan is the configuration of a random history.
type plan struct {
	steps        int
	keys         int
	routers      int
	newKeys      bool // callers keep using new keys, and resend a key only for half the retention
	capabilities order.Capabilities
	sealBytes    int
	retention    time.Duration
	restores     bool // the platform is restored from older copies, and no router crashes
}

var allCapabilities = []order.Capabilities{{}, {Lookup: true}, {Fence: true}, {Lookup: true, Fence: true}}

// runHistory runs a random history and returns the violation that the oracle
// found, or "".
func runHistory(choose chooser, m mutant, p plan) string {
	_, violation := simulate(choose, m, p)
	return violation
}

// simulate runs a random history and returns the final state of the simulation
// and the violation that the oracle found, or "".
func simulate(choose chooser, m mutant, p plan) (*simulation, string) {
	sim := newSimulation(choose, m, p.capabilities, order.Config{SealBytes: p.sealBytes, Retention: p.retention}, p.routers)
	if p.restores {
		sim.beginEras()
	}
	for i := range p.steps {
		sim.now = sim.now.Add(time.Second)
		if p.restores {
			sim.copyOrRestore()
		}
		sim.randomAction(i, p)
		if violation := sim.check(); violation != "" {
			return sim, violation
		}
	}
	return sim, sim.finishHistory(p)
}

// randomAction lets one router, the platform or the endpoint take a step.
func (sim *simulation) randomAction(i int, p plan) {
	r := sim.routers[sim.choose(len(sim.routers), "router")]
	switch sim.choose(16, "action") {
	case 0, 1:
		key := sim.choose(p.keys, "key")
		if p.newKeys {
			key = max(0, i/20-key)
		}
		name := fmt.Sprintf("k%d", key)
		if at, ok := sim.firstPlaced[name]; !p.newKeys || !ok || sim.now.Sub(at) < p.retention/2 {
			sim.placeOrder(r, name)
		}
	case 2:
		if len(sim.lateWrites) > 0 {
			n := sim.choose(len(sim.lateWrites), "late write")
			sim.serveCall(sim.lateWrites[n])
			sim.lateWrites = append(sim.lateWrites[:n:n], sim.lateWrites[n+1:]...)
		}
	case 3:
		if len(sim.lateDispatches) > 0 {
			n := sim.choose(len(sim.lateDispatches), "late dispatch")
			sim.execute(sim.lateDispatches[n])
			sim.lateDispatches = append(sim.lateDispatches[:n:n], sim.lateDispatches[n+1:]...)
		}
	case 4:
		if sim.choose(4, "crash") == 0 && !p.restores {
			sim.crash(r)
		}
	case 5:
		r.suspected = !r.suspected
	case 6:
		sim.settleOpenRecords(r)
	case 7:
		sim.withdrawClaim(r)
	case 8, 9, 10:
		if len(r.runs) > 0 {
			sim.advanceRun(r, r.runs[sim.choose(len(r.runs), "run")], sim.choose(requestOutcomes, "message"))
		}
	default:
		if r.call == nil {
			sim.startCall(r)
			return
		}
		outcome := sim.choose(2*callOutcomes, "platform")
		if outcome >= callOutcomes {
			outcome = callOK
		}
		sim.finishCall(r, outcome)
	}
}

// withdrawClaim withdraws the first pending claim of a router, as when the
// caller leaves.
func (sim *simulation) withdrawClaim(r *router) {
	for _, x := range r.runs {
		if x.step.Kind == order.StepClaim && r.shard.Withdraw(x.op) {
			sim.startStep(r, x, order.Step{Kind: order.StepReply, Reply: order.Reply{Kind: order.ReplyNotRun}})
			if sim.mutant == dispatchAfterRefusal {
				sim.lateDispatches = append(sim.lateDispatches, &endpointRequest{record: order.Record{Account: "acct", Key: x.key, Token: x.token, Fence: 1}})
			}
			return
		}
	}
}

// advanceRun ends a run's request to the endpoint or its pause.
func (sim *simulation) advanceRun(r *router, x *run, outcome int) {
	switch {
	case x.request != nil:
		sim.finishRequest(r, x, outcome)
	case x.paused:
		sim.startStep(r, x, x.HandlePauseEnd())
	}
}

// finishHistory completes all runs without further faults, delivers the late
// writes and dispatches before or after that, and checks the records.
func (sim *simulation) finishHistory(p plan) string {
	deliverFirst := sim.choose(2, "deliver late messages first") == 0
	if deliverFirst {
		sim.deliverLate()
	}
	for _, r := range sim.routers {
		r.suspected = false
	}
	sim.runWithoutFaults()
	sim.settleOpenRecordsEverywhere()
	if !deliverFirst {
		sim.deliverLate()
		sim.settleOpenRecordsEverywhere()
	}
	if violation := sim.check(); violation != "" {
		return violation
	}
	return sim.checkRecords(p)
}

// settleOpenRecordsEverywhere makes every router refresh its open records and
// settle them.
func (sim *simulation) settleOpenRecordsEverywhere() {
	for _, r := range sim.routers {
		r.shard.Refresh()
	}
	sim.runWithoutFaults()
	for _, r := range sim.routers {
		sim.settleOpenRecords(r)
	}
	sim.runWithoutFaults()
}

func (sim *simulation) deliverLate() {
	for _, call := range sim.lateWrites {
		sim.serveCall(call)
	}
	for _, req := range sim.lateDispatches {
		sim.execute(req)
	}
	sim.lateWrites, sim.lateDispatches = nil, nil
}

// runWithoutFaults lets every router take many steps without faults.
func (sim *simulation) runWithoutFaults() {
	for range 400 {
		sim.now = sim.now.Add(time.Millisecond)
		for _, r := range sim.routers {
			if r.call != nil {
				sim.finishCall(r, callOK)
			}
			sim.startCall(r)
			for _, x := range slices.Clone(r.runs) {
				sim.advanceRun(r, x, requestOK)
			}
		}
	}
}

// checkRecords returns a violation in the records after finishHistory, or "".
func (sim *simulation) checkRecords(p plan) string {
	for _, r := range sim.routers {
		if len(r.runs) > 0 && p.retention == 0 {
			return fmt.Sprintf("router %s has %d unfinished runs, the first at step %d", r.name, len(r.runs), r.runs[0].step.Kind)
		}
	}
	records := sim.records()
	for id, tokens := range sim.executedTokens {
		if p.retention == 0 && len(records[id]) != 1 {
			return fmt.Sprintf("order %v was executed by %v and has %d records", id, tokens, len(records[id]))
		}
	}
	for id, recs := range records {
		if len(recs) > 1 {
			return fmt.Sprintf("order %v has %d records", id, len(recs))
		}
		claimantAlive := !sim.ClaimantLost(recs[0].Router, recs[0].Incarnation)
		if recs[0].State == order.Unknown && claimantAlive && !sim.dispatched[recs[0].Token] {
			return fmt.Sprintf("claim %s was never dispatched but stays unknown", recs[0].Token)
		}
		if recs[0].State == order.Claimed && p.retention == 0 {
			return fmt.Sprintf("order %v is still claimed", id)
		}
	}
	return ""
}

// records returns the stored records that are not NotRun, by ID.
func (sim *simulation) records() map[order.ID][]order.Record {
	all := map[order.ID][]order.Record{}
	for name, o := range sim.objects {
		if strings.HasSuffix(name, "head") {
			continue
		}
		seg, err := order.DecodeSegment(o.Value)
		if err != nil {
			sim.violation = err.Error()
			continue
		}
		for _, rec := range seg.Records() {
			if rec.State != order.NotRun {
				all[rec.ID()] = append(all[rec.ID()], rec)
			}
		}
	}
	return all
}

func plans() []plan {
	var all []plan
	for _, capabilities := range allCapabilities {
		all = append(all, plan{steps: 120, keys: 2, routers: 3, capabilities: capabilities})
		all = append(all, plan{steps: 120, keys: 1, routers: 1, capabilities: capabilities})
		all = append(all, plan{steps: 120, keys: 3, routers: 2, capabilities: capabilities, sealBytes: 1})
		all = append(all, plan{steps: 240, keys: 4, routers: 2, newKeys: true, capabilities: capabilities, sealBytes: 1, retention: 60 * time.Second})
	}
	return all
}

// init sets a fixed seed, so that every test run is the same.
func init() { flag.Set("rapid.seed", "20261204") }

// TestAtMostOnceUnderRandomFaults guards against an order that is executed twice,
// or reported as not executed although it was, when routers, platform calls or
// dispatches fail. rapid shrinks a failing history to a short one.
func TestAtMostOnceUnderRandomFaults(t *testing.T) {
	all := plans()
	rapid.Check(t, func(t *rapid.T) {
		p := all[rapid.IntRange(0, len(all)-1).Draw(t, "plan")]
		choose := func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(t, what) }
		if violation := runHistory(choose, noMutation, p); violation != "" {
			t.Fatal(violation)
		}
	})
}

// searchSeeds runs histories of all plans until the oracle finds a violation,
// and returns it with its seed.
func searchSeeds(m mutant, seeds uint64) (string, uint64) {
	for seed := range seeds {
		rng := rand.New(rand.NewPCG(seed, 1))
		for _, p := range plans() {
			violation := runHistory(func(n int, _ string) int { return rng.IntN(n) }, m, p)
			if violation != "" {
				return violation, seed
			}
		}
	}
	return "", 0
}

// TestAtMostOnceUnderSeededFaults guards against an oracle that reports violations
// where there are none: the correct algorithm must pass the search in which
// TestOracleFindsMutants finds its mutants.
func TestAtMostOnceUnderSeededFaults(t *testing.T) {
	t.Parallel()
	if violation, seed := searchSeeds(noMutation, 60); violation != "" {
		t.Fatalf("seed %d: %s", seed, violation)
	}
}

// TestOracleFindsMutants guards against an oracle, or random histories, that miss
// violations: for each mutant some seed must show one.
func TestOracleFindsMutants(t *testing.T) {
	t.Parallel()
	mutants := []mutant{noVersionCheck, dispatchBeforeCommit, takeOverClaim, trustUncertain, noRaisedFence, uncertainIsNotExecuted, noHead, dispatchAfterRefusal, ageFromClaim}
	for _, m := range mutants {
		violation, seed := searchSeeds(m, 400)
		if violation == "" {
			t.Errorf("mutant survives: %s", m)
			continue
		}
		t.Logf("%s: seed %d: %s", m, seed, violation)
	}
}

// TestFenceLeavesNothingUnknown counts the final states of records after all
// faults have ended, for each combination of endpoint capabilities. With lookup
// and fence, no record may stay unknown.
func TestFenceLeavesNothingUnknown(t *testing.T) {
	t.Parallel()
	for _, capabilities := range allCapabilities {
		finalStates := map[order.State]int{}
		for seed := range uint64(50) {
			rng := rand.New(rand.NewPCG(seed, 2))
			p := plan{steps: 120, keys: 2, routers: 3, capabilities: capabilities}
			sim, violation := simulate(func(n int, _ string) int { return rng.IntN(n) }, noMutation, p)
			if violation != "" {
				t.Fatalf("seed %d: %s", seed, violation)
			}
			for _, records := range sim.records() {
				finalStates[records[0].State]++
			}
		}
		t.Logf("lookup %v, fence %v: %d done, %d unknown", capabilities.Lookup, capabilities.Fence, finalStates[order.Done], finalStates[order.Unknown])
		if capabilities.Lookup && capabilities.Fence && finalStates[order.Unknown] > 0 {
			t.Errorf("%d records stay unknown", finalStates[order.Unknown])
		}
	}
}
