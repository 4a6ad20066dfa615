package order_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/order"
)

// mutant is a safeguard that is removed, to see that the oracle notices.
type mutant string

const (
	sound           mutant = "sound"
	noVersionCheck  mutant = "the platform ignores versions"
	dispatchFirst   mutant = "dispatch before the claim is committed"
	takeOver        mutant = "take over the claim of a lost router"
	trustUncertain  mutant = "take an uncertain write as committed"
	noFence         mutant = "take never executed as final without a raised fence"
	doubtIsNotSent  mutant = "take a lost answer as not sent"
	noHead          mutant = "never read the head of the chain"
	forgetUncertain mutant = "refuse as not run and send all the same"
	ageFromClaim    mutant = "take the age of an order from its claim, not from its arrival"
)

// chooser picks among n alternatives: from rapid, from a seed, or all of
// them in turn.
type chooser func(n int, what string) int

// world is a platform, an endpoint and routers without clock or network:
// every step of every part happens when the chooser picks it.
type world struct {
	choose  chooser
	mutant  mutant
	ability order.Capabilities
	cfg     order.Config
	now     time.Time

	objects map[string]order.CallResult // OK with value and version
	version int64
	late    []order.Call // writes that may still take effect
	sent    []*message   // dispatches that may still arrive
	routers []*router
	tokens  int
	begun   map[string]time.Time // when the callers first sent a key

	executed   map[order.ID][]string // tokens by key
	executions map[string]int        // by token
	doubtful   map[string]bool       // tokens that were dispatched
	fence      map[order.ID]int64
	replies    []told
	fault      string
}

type told struct {
	id    order.ID
	token string // the run's last claim
	reply order.Reply
}

type router struct {
	name        string
	incarnation int64
	suspected   bool // others believe that it is gone
	shard       *order.Shard
	call        *order.Call
	runs        []*run
}

type run struct {
	*order.Run
	key    string
	since  time.Time
	settle bool
	step   order.Step
	token  string
	op     order.Op // awaited
	paused bool
	msg    *message
}

type message struct {
	record order.Record
	raise  bool
	look   bool
}

func newWorld(choose chooser, m mutant, a order.Capabilities, cfg order.Config, routers int) *world {
	w := &world{
		choose: choose, mutant: m, ability: a, cfg: cfg, now: time.Unix(0, 0).UTC(),
		objects: map[string]order.CallResult{}, begun: map[string]time.Time{},
		executed: map[order.ID][]string{}, executions: map[string]int{}, doubtful: map[string]bool{}, fence: map[order.ID]int64{},
	}
	for i := range routers {
		w.routers = append(w.routers, &router{name: string(rune('a' + i)), incarnation: 1, shard: order.NewShard(cfg)})
	}
	return w
}

// Lost and Ability make the world the routers' order.Env.
func (w *world) ClaimantLost(name string, incarnation int64) bool {
	for _, r := range w.routers {
		if r.name == name {
			return r.suspected || r.incarnation != incarnation
		}
	}
	return true
}

func (w *world) Capabilities(string) order.Capabilities { return w.ability }

func (w *world) place(r *router, key string) {
	if _, ok := w.begun[key]; !ok {
		w.begun[key] = w.now
	}
	x := &run{Run: order.NewRun(w, r.name, "digest "+key), key: key, since: w.now}
	r.runs = append(r.runs, x)
	w.follow(r, x, x.Start())
}

func (w *world) sweep(r *router) {
	r.shard.Refresh()
	for _, open := range r.shard.OpenRecords() {
		x := &run{Run: order.NewSettlementRun(w, r.name), key: open.Key, settle: true}
		r.runs = append(r.runs, x)
		w.follow(r, x, x.Start())
	}
}

// follow begins the step that a run asks for.
func (w *world) follow(r *router, x *run, s order.Step) {
	x.step, x.op, x.paused, x.msg = s, 0, false, nil
	switch s.Kind {
	case order.StepReadRecord:
		x.op = r.shard.ReadRecord("acct", x.key, s.Fresh)
	case order.StepClaim:
		w.tokens++
		x.token = fmt.Sprintf("t%d", w.tokens)
		claim := order.Record{Account: "acct", Key: x.key, Digest: "digest " + x.key, Token: x.token,
			Router: r.name, Incarnation: r.incarnation, Endpoint: "e", Fence: 1, AcceptedAt: x.since}
		if w.mutant == ageFromClaim {
			claim.AcceptedAt = w.now
		}
		x.op = r.shard.Claim(claim)
		if w.mutant == dispatchFirst {
			w.sent = append(w.sent, &message{record: claim})
		}
	case order.StepDispatch, order.StepQueryEndpoint:
		if s.Kind == order.StepDispatch {
			w.doubtful[s.Record.Token] = true
		}
		x.msg = &message{record: s.Record, raise: s.RaiseFence, look: s.Kind == order.StepQueryEndpoint}
	case order.StepChangeRecord:
		x.op = r.shard.Change(s.Change)
	case order.StepPause:
		x.paused = true
	case order.StepReply:
		if !x.settle {
			w.replies = append(w.replies, told{id: order.NewID("acct", x.key), token: x.token, reply: s.Reply})
		}
		w.remove(r, x)
	}
}

func (w *world) remove(r *router, x *run) {
	for i := range r.runs {
		if r.runs[i] == x {
			r.runs = append(r.runs[:i:i], r.runs[i+1:]...)
			return
		}
	}
}

// deliver hands verdicts to their runs; it reports whether there were any.
func (w *world) deliver(r *router) bool {
	verdicts := r.shard.OpResults()
	for _, v := range verdicts {
		for _, x := range r.runs {
			if x.op != v.Op {
				continue
			}
			if w.mutant == takeOver && v.Kind == order.ClaimConflict && v.Record.State == order.Claimed && w.ClaimantLost(v.Record.Router, v.Record.Incarnation) {
				v.Kind = order.ClaimWon
			}
			w.follow(r, x, w.answer(x, v))
			break
		}
	}
	return len(verdicts) > 0
}

func (w *world) answer(x *run, v order.OpResult) order.Step {
	switch x.step.Kind {
	case order.StepReadRecord:
		return x.HandleRecord(v)
	case order.StepClaim:
		return x.HandleClaim(v)
	}
	return x.HandleChange(v)
}

// issue lets the router begin a platform call.
func (w *world) issue(r *router) bool {
	if r.call != nil {
		return false
	}
	call, ok := r.shard.NextCall(w.now)
	for !ok && w.deliver(r) {
		call, ok = r.shard.NextCall(w.now)
	}
	w.deliver(r)
	if ok {
		r.call = &call
	}
	return ok
}

// The fates of a platform call.
const (
	fateOK = iota
	fateLost
	fateDropped
	fateDelayed
	fateFailed
	fates
)

// finish ends the router's platform call.
func (w *world) finish(r *router, fate int) {
	call := *r.call
	r.call = nil
	result := order.CallResult{Status: order.CallFailed}
	switch {
	case fate == fateOK:
		result = w.serve(call)
	case fate == fateFailed || call.Verb == order.Get:
	default:
		if fate == fateLost {
			w.serve(call)
		}
		if fate == fateDelayed {
			w.late = append(w.late, call)
		}
		result.Status = order.CallUncertain
		if w.mutant == trustUncertain {
			result = order.CallResult{Status: order.CallOK, Version: w.version + 1}
		}
	}
	if err := r.shard.HandleResult(result); err != nil {
		w.fault = err.Error()
	}
	w.deliver(r)
}

// serve is the platform.
func (w *world) serve(call order.Call) order.CallResult {
	held, ok := w.objects[call.Object]
	if call.Verb == order.Get {
		if !ok || (w.mutant == noHead && strings.HasSuffix(call.Object, "head")) {
			return order.CallResult{Status: order.CallNotFound}
		}
		return held
	}
	if call.Verb == order.Delete && !ok {
		return order.CallResult{Status: order.CallNotFound}
	}
	if held.Version != call.Version && w.mutant != noVersionCheck {
		return order.CallResult{Status: order.CallConflict}
	}
	w.version++
	if call.Verb == order.Delete {
		delete(w.objects, call.Object)
		return order.CallResult{Status: order.CallOK}
	}
	w.objects[call.Object] = order.CallResult{Status: order.CallOK, Version: w.version, Value: call.Value}
	return order.CallResult{Status: order.CallOK, Version: w.version}
}

// The fates of a message to the endpoint.
const (
	sentOK         = iota
	sentAnswerLost // executed, the answer lost
	sentLate       // the router gives up, it may arrive later
	sentNever      // no connection
	sentFates
)

// talk ends the router's message to the endpoint.
func (w *world) talk(r *router, x *run, fate int) {
	m := x.msg
	if m.look {
		seen, answer := order.LookupFailed, (*order.Response)(nil)
		if fate == sentOK {
			seen, answer = w.lookUp(m)
		}
		w.follow(r, x, x.HandleLookup(seen, answer))
		return
	}
	if fate == sentLate {
		w.sent = append(w.sent, m)
	}
	if fate == sentNever {
		w.follow(r, x, x.HandleDispatch(order.DispatchNotExecuted, nil, nil))
		return
	}
	sent, answer := order.DispatchUncertain, (*order.Response)(nil)
	if fate != sentLate {
		fenced := !w.arrive(m)
		if fate == sentOK && fenced {
			sent = order.DispatchNotExecuted
		} else if fate == sentOK {
			sent, answer = order.DispatchAnswered, receipt(m.record.Token)
		}
	}
	if sent == order.DispatchUncertain && w.mutant == doubtIsNotSent {
		sent = order.DispatchNotExecuted
	}
	w.follow(r, x, x.HandleDispatch(sent, answer, nil))
}

// arrive is the endpoint's side of a dispatch; it reports whether it
// executed.
func (w *world) arrive(m *message) bool {
	id := m.record.ID()
	if w.ability.Fence && m.record.Fence < w.fence[id] {
		return false
	}
	w.fence[id] = max(w.fence[id], m.record.Fence)
	w.executed[id] = append(w.executed[id], m.record.Token)
	w.executions[m.record.Token]++
	return true
}

func (w *world) lookUp(m *message) (order.LookupStatus, *order.Response) {
	id := m.record.ID()
	if m.raise && w.mutant != noFence {
		w.fence[id] = max(w.fence[id], m.record.Fence)
	}
	if tokens := w.executed[id]; len(tokens) > 0 {
		return order.LookupExecuted, receipt(tokens[0])
	}
	return order.LookupNotAccepted, nil
}

func receipt(token string) *order.Response {
	return order.NewResponse(200, "text/plain", []byte(token))
}

// crash loses all that a router knows; what it has sent may still arrive.
func (w *world) crash(r *router) {
	if r.call != nil && r.call.Verb != order.Get {
		w.late = append(w.late, *r.call)
	}
	for _, x := range r.runs {
		if x.msg != nil && !x.msg.look {
			w.sent = append(w.sent, x.msg)
		}
	}
	r.incarnation++
	r.suspected = false
	r.shard = order.NewShard(w.cfg)
	r.call = nil
	r.runs = nil
}

// check returns what the oracle finds wrong at this moment, or "".
func (w *world) check() string {
	if w.fault != "" {
		return w.fault
	}
	for id, tokens := range w.executed {
		if len(tokens) > 1 {
			return fmt.Sprintf("order %v was executed %d times: %v", id, len(tokens), tokens)
		}
	}
	for _, t := range w.replies {
		if t.reply.Kind == order.ReplyNotRun && w.executions[t.token] > 0 {
			return fmt.Sprintf("claim %s was told as not run and was executed", t.token)
		}
		if t.reply.Kind == order.ReplyResponse && (len(w.executed[t.id]) == 0 || string(t.reply.Response.Body) != w.executed[t.id][0]) {
			return fmt.Sprintf("order %v got the answer %s of another execution", t.id, t.reply.Response.Body)
		}
	}
	return ""
}

// records returns the records of the chain that are not NotRun, by key.
func (w *world) records() map[order.ID][]order.Record {
	all := map[order.ID][]order.Record{}
	for name, o := range w.objects {
		if strings.HasSuffix(name, "head") {
			continue
		}
		seg, err := order.DecodeSegment(o.Value)
		if err != nil {
			w.fault = err.Error()
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
