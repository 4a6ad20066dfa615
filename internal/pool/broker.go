package pool

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/admission"
	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

// broker keeps what this router waits for and holds in one scope. Its
// session, when there is one, brings that to the owner.
type broker struct {
	client  *Client
	scope   string
	changed chan struct{} // the view has changed

	mu      sync.Mutex
	out     *outbox // of the session in use, or nil
	last    ownerID // of the last session
	awake   int     // pauses counted when it began
	heard   time.Time
	sent    time.Time // the last message to the owner
	waiting time.Time // since when something waits
	pending map[uint64]*pending
	held    map[uint64]*holding
	warmth  map[string]warmth
}

// ownerID names one process.
type ownerID struct {
	name        string
	incarnation int64
}

type pending struct {
	seq     uint64
	req     Request
	suspect bool        // crashed an endpoint before
	result  chan result // buffered
}

type result struct {
	endpoint string
	pauses   int // counted before the slot was granted
	err      error
}

// holding is a slot in use, or one whose release could not be sent yet.
type holding struct {
	endpoint    string
	account     string
	fingerprint uint64
	estimate    float32 // charged
	known       float32 // cost so far
	proved      uint32
	granted     time.Time
	released    *peerpb.Release

	first     time.Duration
	unsent    bool // progress that the owner should hear of
	toldKnown float32
	toldAt    time.Time
}

// warmth is what this router knows of an endpoint: the slots that were proved
// when a request was granted that ended whole, or 0 if it broke or was not
// proved warm at that time. A next owner so believes no older word.
type warmth struct {
	proved uint32
	at     time.Time
}

func newBroker(c *Client, scope string) *broker {
	return &broker{
		client:  c,
		scope:   scope,
		changed: make(chan struct{}, 1),
		pending: map[uint64]*pending{},
		held:    map[uint64]*holding{},
		warmth:  map[string]warmth{},
	}
}

func (b *broker) acquire(ctx context.Context, p *pending, wait time.Duration) (*Slot, error) {
	b.add(p)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for graced := false; ; graced = true {
		select {
		case r := <-p.result:
			if r.err == nil && b.client.pauses() != r.pauses {
				b.release(p.seq, admission.Canceled, 0, 0)
				p.seq = b.client.seq.Add(1)
				b.add(p)
				continue
			}
			return b.slot(p.seq, r)
		case <-ctx.Done():
			b.cancel(p)
			return nil, code.Refuse(code.CallerLeft, "")
		case <-timer.C:
			if !graced && b.connected() {
				timer.Reset(refusalGrace)
				continue
			}
			return nil, b.giveUp(p, wait)
		}
	}
}

func (b *broker) add(p *pending) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) == 0 {
		b.waiting = time.Now()
	}
	b.pending[p.seq] = p
	if b.out != nil {
		m := &peerpb.AdmitRequest{}
		b.out.addWant(m, p)
		b.out.put(m)
	}
}

func (b *broker) slot(seq uint64, r result) (*Slot, error) {
	if r.err != nil {
		return nil, r.err
	}
	return &Slot{Endpoint: r.endpoint, broker: b, seq: seq}, nil
}

// connected reports whether the owner was heard as lately as one that can be
// reached must be.
func (b *broker) connected() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out != nil && b.quiet() < 2*signEvery
}

// giveUp refuses a request that its owner neither granted nor refused.
func (b *broker) giveUp(p *pending, wait time.Duration) error {
	refusal := code.Refuse(code.OwnerLost, "")
	if b.connected() {
		refusal = code.Refuse(code.WaitTooLong, "")
	}
	refusal.RetryAfter = max(time.Second, wait)
	b.cancel(p)
	return refusal
}

// cancel withdraws a request, or gives back the slot that it got meanwhile.
func (b *broker) cancel(p *pending) {
	b.mu.Lock()
	_, waits := b.pending[p.seq]
	delete(b.pending, p.seq)
	if waits {
		b.send(&peerpb.AdmitRequest{Cancels: []uint64{p.seq}})
	}
	b.mu.Unlock()
	if waits {
		return
	}
	if r := <-p.result; r.err == nil {
		b.release(p.seq, admission.Canceled, 0, 0)
	}
}

func (b *broker) progress(seq uint64, known fair.Cost, first time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.held[seq]
	if h == nil {
		return
	}
	h.unsent = h.unsent || h.firstMatters(first) || h.knownMatters(float32(known))
	h.known = max(h.known, float32(known))
	h.first = first
}

// firstMatters reports whether the owner should hear of a first token before
// the request ends: it has doubts about the endpoint, or should get some.
func (h *holding) firstMatters(first time.Duration) bool {
	return h.first == 0 && first > 0 && (h.proved == 0 || first > slowFirst)
}

// knownMatters reports whether the owner should hear of a cost before the
// request ends: it is well over the charge, or long not told.
func (h *holding) knownMatters(known float32) bool {
	if known > progressFactor*max(h.estimate, h.toldKnown) {
		return true
	}
	return known > h.toldKnown && time.Since(h.toldAt) > progressEvery
}

func (b *broker) release(seq uint64, o admission.Outcome, cost fair.Cost, first time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.held[seq]
	if h == nil {
		return
	}
	b.learn(h, o)
	r := &peerpb.Release{Seq: seq, Outcome: uint32(o), Cost: float32(cost), FirstTokenMicros: micros(first)}
	if o == admission.Crashed {
		r.Fingerprint = h.fingerprint
	}
	if b.out == nil {
		h.released = r
		return
	}
	delete(b.held, seq)
	b.send(&peerpb.AdmitRequest{Releases: []*peerpb.Release{r}})
}

// learn remembers how warm the endpoint is, for the next owner.
func (b *broker) learn(h *holding, o admission.Outcome) {
	switch {
	case o == admission.Completed && h.proved > 0:
		if old := b.warmth[h.endpoint]; !h.granted.Before(old.at) {
			b.warmth[h.endpoint] = warmth{proved: h.proved, at: h.granted}
		}
	case o == admission.Crashed || o == admission.Unreachable:
		b.warmth[h.endpoint] = warmth{at: time.Now()}
	}
}

// send passes a message to the session if there is one; a new session starts
// with a full report, so nothing needs to be kept. The caller holds mu.
func (b *broker) send(req *peerpb.AdmitRequest) {
	if b.out != nil {
		b.sent = time.Now()
		b.out.put(req)
	}
}

// signOfLife sends something while this router holds slots and has nothing
// else to say, so that the owner can rely on hearing of an endpoint's break.
func (b *broker) signOfLife() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.held) > 0 && time.Since(b.sent) >= signEvery {
		b.send(&peerpb.AdmitRequest{})
	}
}

// take hands the owner's decisions to the waiting requests.
func (b *broker) take(reply *peerpb.AdmitReply, known names) {
	b.client.host.remember(crashesFrom(reply.Crashes))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heard = time.Now()
	for _, g := range reply.Grants {
		b.granted(g, known.name(g.Endpoint))
	}
	for _, x := range reply.Refusals {
		b.refused(x)
	}
}

func (b *broker) granted(g *peerpb.Grant, endpoint string) {
	p, ok := b.pending[g.Seq]
	if !ok {
		b.send(&peerpb.AdmitRequest{Releases: []*peerpb.Release{{Seq: g.Seq, Outcome: uint32(admission.Canceled)}}})
		return
	}
	delete(b.pending, g.Seq)
	b.held[g.Seq] = &holding{
		endpoint:    endpoint,
		account:     p.req.Account,
		fingerprint: p.req.Fingerprint,
		estimate:    g.Estimate,
		proved:      g.Proved,
		granted:     time.Now(),
		toldAt:      time.Now(),
	}
	if g.Proved == 0 {
		b.warmth[endpoint] = warmth{at: time.Now()}
	}
	p.result <- result{endpoint: endpoint, pauses: b.awake}
}

func (b *broker) refused(x *peerpb.Refusal) {
	p, ok := b.pending[x.Seq]
	if !ok {
		return
	}
	delete(b.pending, x.Seq)
	refusal := code.Refuse(code.Code(x.Code), "")
	refusal.RetryAfter = time.Duration(x.RetryAfterMillis) * time.Millisecond
	p.result <- result{err: refusal}
}

// report returns the first message of a session: all that this router holds
// and wants. Releases that could not be sent follow what they release.
func (b *broker) report(out *outbox, owner ownerID) *peerpb.AdmitRequest {
	self := b.client.fleet.Self()
	first := &peerpb.AdmitRequest{
		Scope:   b.scope,
		Router:  self.Name,
		Zone:    self.Zone,
		Sync:    true,
		Resumed: b.last == owner,
		Crashes: crashesTo(b.client.host.Crashes()),

		RemovalAgeMillis: b.client.host.removalAge().Milliseconds(),
	}
	for seq, h := range b.held {
		out.addHeld(first, seq, h)
		if h.released != nil {
			first.Releases = append(first.Releases, h.released)
			delete(b.held, seq)
		}
	}
	for _, p := range b.pending {
		out.addWant(first, p)
	}
	for name, w := range b.warmth {
		if time.Since(w.at) > warmthKept {
			delete(b.warmth, name)
			continue
		}
		first.Warmth = append(first.Warmth, &peerpb.Warmth{Endpoint: name, Proved: w.proved, AgeMillis: time.Since(w.at).Milliseconds()})
	}
	return first
}

// sendProgress tells what has become known of running requests.
func (b *broker) sendProgress() {
	b.mu.Lock()
	defer b.mu.Unlock()
	req := &peerpb.AdmitRequest{}
	for seq, h := range b.held {
		if h.unsent && h.released == nil {
			h.unsent, h.toldKnown, h.toldAt = false, h.known, time.Now()
			req.Progress = append(req.Progress, &peerpb.Progress{Seq: seq, Known: h.known, FirstTokenMicros: micros(h.first)})
		}
	}
	if len(req.Progress) > 0 {
		b.send(req)
	}
}

// silent reports whether requests wait and the owner has sent nothing for
// too long.
func (b *broker) silent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending) > 0 && b.quiet() > silentAfter
}

// quiet is the time for which the owner could have sent something and did
// not. The caller holds mu.
func (b *broker) quiet() time.Duration {
	if b.waiting.After(b.heard) {
		return time.Since(b.waiting)
	}
	return time.Since(b.heard)
}
