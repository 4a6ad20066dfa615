package order_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/order"
)

// mutant is a deliberate fault in the algorithm that the oracle must detect.
type mutant string

const (
	noMutation             mutant = "none"
	noVersionCheck         mutant = "the platform ignores versions"
	dispatchBeforeCommit   mutant = "dispatch before the claim is committed"
	takeOverClaim          mutant = "take over the claim of a lost router"
	trustUncertain         mutant = "treat an uncertain write as committed"
	noRaisedFence          mutant = "treat not accepted as final without a raised fence"
	uncertainIsNotExecuted mutant = "treat a lost response as not executed"
	noHead                 mutant = "never read the head of the chain"
	dispatchAfterRefusal   mutant = "refuse as not run and dispatch nevertheless"
	ageFromClaim           mutant = "measure the age of an order from its claim, not from its arrival"
)

// chooser returns one of n alternatives. It draws from rapid or from a seeded
// generator.
type chooser func(n int, what string) int

// simulation is a platform, an endpoint and routers without a clock or network.
// The test decides when each step of each component happens.
type simulation struct {
	choose       chooser
	mutant       mutant
	capabilities order.Capabilities
	cfg          order.Config
	now          time.Time

	objects        map[string]order.CallResult // results of a successful Get, by key
	version        int64
	era            int64                       // 0: the platform is never restored
	copied         map[string]order.CallResult // what restore returns to
	copiedAt       time.Time
	lateWrites     []order.Call       // writes that may still take effect
	lateDispatches []*endpointRequest // dispatches that the endpoint may still receive
	routers        []*router
	tokens         int
	firstPlaced    map[string]time.Time // when a caller first sent a key

	executedTokens map[order.ID][]string // tokens of the executed dispatches
	executionCount map[string]int        // executions by token
	dispatched     map[string]bool       // by token
	fences         map[order.ID]int64
	replies        []callerReply
	violation      string // error found outside of check
}

type callerReply struct {
	id    order.ID
	token string // token of the run's last claim
	reply order.Reply
}

type router struct {
	name        string
	incarnation int64
	era         int64 // of the last response of the platform
	suspected   bool  // the others believe that it is gone
	shard       *order.Shard
	call        *order.Call
	runs        []*run
}

type run struct {
	*order.Run
	key     string
	since   time.Time
	settle  bool
	step    order.Step
	token   string
	op      order.Op // operation whose result the run awaits
	paused  bool
	request *endpointRequest
}

type endpointRequest struct {
	record     order.Record
	raiseFence bool
	lookup     bool
}

func newSimulation(choose chooser, m mutant, capabilities order.Capabilities, cfg order.Config, routers int) *simulation {
	sim := &simulation{
		choose: choose, mutant: m, capabilities: capabilities, cfg: cfg, now: time.Unix(0, 0).UTC(),
		objects: map[string]order.CallResult{}, firstPlaced: map[string]time.Time{},
		executedTokens: map[order.ID][]string{}, executionCount: map[string]int{}, dispatched: map[string]bool{}, fences: map[order.ID]int64{},
	}
	for i := range routers {
		sim.routers = append(sim.routers, &router{name: string(rune('a' + i)), incarnation: 1, shard: order.NewShard(cfg)})
	}
	return sim
}

// ClaimantLost and Capabilities implement order.Env.
func (sim *simulation) ClaimantLost(name string, incarnation int64) bool {
	for _, r := range sim.routers {
		if r.name == name {
			return r.suspected || r.incarnation != incarnation
		}
	}
	return true
}

func (sim *simulation) Capabilities(string) order.Capabilities { return sim.capabilities }

func (sim *simulation) placeOrder(r *router, key string) {
	if _, ok := sim.firstPlaced[key]; !ok {
		sim.firstPlaced[key] = sim.now
	}
	x := &run{Run: order.NewRun(sim, r.name, "digest "+key), key: key, since: sim.now}
	r.runs = append(r.runs, x)
	sim.startStep(r, x, x.Start())
}

// settleOpenRecords starts a settlement of every open record that a router knows.
func (sim *simulation) settleOpenRecords(r *router) {
	r.shard.Refresh()
	for _, open := range r.shard.OpenRecords() {
		x := &run{Run: order.NewSettlementRun(sim, r.name), key: open.Key, settle: true}
		r.runs = append(r.runs, x)
		sim.startStep(r, x, x.Start())
	}
}

// startStep starts the step that a run requests.
func (sim *simulation) startStep(r *router, x *run, s order.Step) {
	x.step, x.op, x.paused, x.request = s, 0, false, nil
	switch s.Kind {
	case order.StepReadRecord:
		x.op = r.shard.ReadRecord("acct", x.key, s.Fresh)
	case order.StepClaim:
		sim.tokens++
		x.token = fmt.Sprintf("t%d", sim.tokens)
		claim := order.Record{Account: "acct", Key: x.key, Digest: "digest " + x.key, Token: x.token,
			Router: r.name, Incarnation: r.incarnation, Endpoint: "e", Fence: 1, AcceptedAt: x.since}
		if sim.mutant == ageFromClaim {
			claim.AcceptedAt = sim.now
		}
		x.op = r.shard.Claim(claim)
		if sim.mutant == dispatchBeforeCommit {
			sim.lateDispatches = append(sim.lateDispatches, &endpointRequest{record: claim})
		}
	case order.StepDispatch, order.StepLookUp:
		if s.Kind == order.StepDispatch {
			sim.dispatched[s.Record.Token] = true
		}
		x.request = &endpointRequest{record: s.Record, raiseFence: s.RaiseFence, lookup: s.Kind == order.StepLookUp}
	case order.StepChangeRecord:
		x.op = r.shard.Change(s.Change)
	case order.StepPause:
		x.paused = true
	case order.StepReply:
		if !x.settle {
			sim.replies = append(sim.replies, callerReply{id: order.NewID("acct", x.key), token: x.token, reply: s.Reply})
		}
		sim.removeRun(r, x)
	}
}

func (sim *simulation) removeRun(r *router, x *run) {
	for i := range r.runs {
		if r.runs[i] == x {
			r.runs = append(r.runs[:i:i], r.runs[i+1:]...)
			return
		}
	}
}

// deliverResults passes operation results to their runs. It reports whether
// there were any.
func (sim *simulation) deliverResults(r *router) bool {
	results := r.shard.OpResults()
	for _, res := range results {
		for _, x := range r.runs {
			if x.op != res.Op {
				continue
			}
			if sim.mutant == takeOverClaim && res.Kind == order.ClaimConflict && res.Record.State == order.Claimed && sim.ClaimantLost(res.Record.Router, res.Record.Incarnation) {
				res.Kind = order.ClaimWon
			}
			sim.startStep(r, x, sim.handleResult(x, res))
			break
		}
	}
	return len(results) > 0
}

func (sim *simulation) handleResult(x *run, res order.OpResult) order.Step {
	switch x.step.Kind {
	case order.StepReadRecord:
		return x.HandleRecord(res)
	case order.StepClaim:
		return x.HandleClaim(res)
	}
	return x.HandleChange(res)
}

// startCall starts the router's next platform call, if there is one.
func (sim *simulation) startCall(r *router) bool {
	if r.call != nil {
		return false
	}
	call, ok := r.shard.NextCall(sim.now)
	for !ok && sim.deliverResults(r) {
		call, ok = r.shard.NextCall(sim.now)
	}
	sim.deliverResults(r)
	if ok {
		r.call = &call
	}
	return ok
}

// The outcomes of a platform call.
const (
	callOK        = iota
	callReplyLost // took effect, the reply is lost
	callDropped   // has no effect, but the router can't tell
	callDelayed   // uncertain for the router, may take effect later
	callFailed    // fails without effect
	callOutcomes
)

// finishCall ends the router's platform call.
func (sim *simulation) finishCall(r *router, outcome int) {
	call := *r.call
	r.call = nil
	result := order.CallResult{Status: order.CallFailed, Era: r.era}
	switch {
	case outcome == callOK:
		result = sim.serveCall(call)
		r.era, result.Era = sim.era, sim.era
	case outcome == callFailed || call.Verb == order.Get:
	default:
		if outcome == callReplyLost {
			sim.serveCall(call)
		}
		if outcome == callDelayed {
			sim.lateWrites = append(sim.lateWrites, call)
		}
		result.Status = order.CallUncertain
		if sim.mutant == trustUncertain {
			result = order.CallResult{Status: order.CallOK, Version: sim.version + 1, Era: r.era}
		}
	}
	if err := r.shard.HandleResult(result); err != nil {
		sim.violation = err.Error()
	}
	sim.deliverResults(r)
}

// serveCall executes a call as the platform does.
func (sim *simulation) serveCall(call order.Call) order.CallResult {
	stored, ok := sim.objects[call.Object]
	if call.Verb == order.Get {
		if !ok || (sim.mutant == noHead && strings.HasSuffix(call.Object, "head")) {
			return order.CallResult{Status: order.CallNotFound}
		}
		return stored
	}
	if call.Verb == order.Delete && !ok {
		return order.CallResult{Status: order.CallNotFound}
	}
	if stored.Version != call.Version && sim.mutant != noVersionCheck {
		return order.CallResult{Status: order.CallConflict}
	}
	sim.version++
	if call.Verb == order.Delete {
		delete(sim.objects, call.Object)
		return order.CallResult{Status: order.CallOK}
	}
	sim.objects[call.Object] = order.CallResult{Status: order.CallOK, Version: sim.version, Value: call.Value}
	return order.CallResult{Status: order.CallOK, Version: sim.version}
}

// The outcomes of a request to the endpoint.
const (
	requestOK        = iota
	requestReplyLost // executed, the response is lost
	requestDelayed   // the router gives up, the request may arrive later
	requestNotSent   // the connection failed
	requestOutcomes
)

// finishRequest ends a run's request to the endpoint.
func (sim *simulation) finishRequest(r *router, x *run, outcome int) {
	req := x.request
	if req.lookup {
		status, response := order.LookupFailed, (*order.Response)(nil)
		if outcome == requestOK {
			status, response = sim.lookUp(req)
		}
		sim.startStep(r, x, x.HandleLookup(status, response))
		return
	}
	if outcome == requestDelayed {
		sim.lateDispatches = append(sim.lateDispatches, req)
	}
	if outcome == requestNotSent {
		sim.startStep(r, x, x.HandleDispatch(order.DispatchNotExecuted, nil, nil))
		return
	}
	status, response := order.DispatchUncertain, (*order.Response)(nil)
	if outcome != requestDelayed {
		fenced := !sim.execute(req)
		if outcome == requestOK && fenced {
			status = order.DispatchNotExecuted
		} else if outcome == requestOK {
			status, response = order.DispatchCompleted, responseFor(req.record.Token)
		}
	}
	if status == order.DispatchUncertain && sim.mutant == uncertainIsNotExecuted {
		status = order.DispatchNotExecuted
	}
	sim.startStep(r, x, x.HandleDispatch(status, response, nil))
}

// execute handles a dispatch as the endpoint does. It reports whether the
// dispatch was executed.
func (sim *simulation) execute(req *endpointRequest) bool {
	id := req.record.ID()
	if sim.capabilities.Fence && req.record.Fence < sim.fences[id] {
		return false
	}
	sim.fences[id] = max(sim.fences[id], req.record.Fence)
	sim.executedTokens[id] = append(sim.executedTokens[id], req.record.Token)
	sim.executionCount[req.record.Token]++
	return true
}

// lookUp handles a lookup as the endpoint does.
func (sim *simulation) lookUp(req *endpointRequest) (order.LookupStatus, *order.Response) {
	id := req.record.ID()
	if req.raiseFence && sim.mutant != noRaisedFence {
		sim.fences[id] = max(sim.fences[id], req.record.Fence)
	}
	if tokens := sim.executedTokens[id]; len(tokens) > 0 {
		return order.LookupExecuted, responseFor(tokens[0])
	}
	return order.LookupNotAccepted, nil
}

func responseFor(token string) *order.Response {
	return order.NewResponse(200, "text/plain", []byte(token))
}

// crash restarts a router without its state. Calls and dispatches that it has
// sent may still arrive.
func (sim *simulation) crash(r *router) {
	if r.call != nil && r.call.Verb != order.Get {
		sim.lateWrites = append(sim.lateWrites, *r.call)
	}
	for _, x := range r.runs {
		if x.request != nil && !x.request.lookup {
			sim.lateDispatches = append(sim.lateDispatches, x.request)
		}
	}
	r.incarnation++
	r.suspected = false
	r.shard = order.NewShard(sim.cfg)
	r.call = nil
	r.runs = nil
}

// check is the oracle. It returns a violation of the invariants in the current
// state, or "".
func (sim *simulation) check() string {
	if sim.violation != "" {
		return sim.violation
	}
	for id, tokens := range sim.executedTokens {
		if len(tokens) > 1 {
			return fmt.Sprintf("order %v was executed %d times: %v", id, len(tokens), tokens)
		}
	}
	for _, r := range sim.replies {
		if r.reply.Kind == order.ReplyNotRun && sim.executionCount[r.token] > 0 {
			return fmt.Sprintf("claim %s was reported as not run but was executed", r.token)
		}
		if r.reply.Kind == order.ReplyResponse && (len(sim.executedTokens[r.id]) == 0 || string(r.reply.Response.Body) != sim.executedTokens[r.id][0]) {
			return fmt.Sprintf("order %v got the response %s of another execution", r.id, r.reply.Response.Body)
		}
	}
	return ""
}
