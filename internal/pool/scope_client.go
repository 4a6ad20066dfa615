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

// scopeClient keeps this router's waiting requests and held slots in one scope,
// and passes them to the owner through its session, when there is one.
type scopeClient struct {
	client      *Client
	scope       string
	viewChanges chan struct{} // buffered; signals that the view has changed

	mu           sync.Mutex
	outbox       *outbox // of the current session, or nil
	lastOwner    ownerID // of the current session or the one before it
	stallCount   int     // when the current session began
	lastReceived time.Time
	lastSent     time.Time
	waitingSince time.Time // when a request was last added while no other one waited
	pending      map[uint64]*pendingRequest
	held         map[uint64]*heldSlot
	warmth       map[string]warmth // by endpoint

	// sent are the releases of the current session that its owner has not confirmed,
	// in the order in which they were sent. If the session ends, they are reported to
	// the next owner. confirmed is how many the owner has confirmed.
	sent          []sentRelease
	confirmed     uint64
	unanswered    bool // the owner has not replied in this session
	ownerConfirms bool // the owner confirms releases, as far as is known
}

// ownerID identifies one process of an owner.
type ownerID struct {
	name        string
	incarnation int64
}

type pendingRequest struct {
	seq       uint64
	req       Request
	suspect   bool        // recently crashed an endpoint
	allowedAt time.Time   // when no part of its prompt was held back
	result    chan result // buffered
}

type result struct {
	endpoint   string
	stallCount int // when the session that granted the slot began
	err        error
}

// heldSlot is a slot in use, or one whose release an owner may not know.
type heldSlot struct {
	endpoint    string
	account     string
	fingerprint uint64
	parts       []uint64 // of the prompt, that other requests may have
	begun       bool     // the response has begun
	estimate    float32  // charged by the owner
	knownCost   float32  // so far
	provenSlots uint32
	grantedAt   time.Time
	stallCount  int             // when the session that granted the slot began
	release     *peerpb.Release // nil while the slot is in use

	ttft         time.Duration
	progressDue  bool // there is progress to report before the request ends
	reportedCost float32
	reportedAt   time.Time
}

// warmth is what this router knows of an endpoint's warmth: the proven slots
// when the last request that completed was granted, or 0 if a request failed
// there or if the endpoint was cold when it granted a slot. It is stamped with
// the time of that observation, so that the next owner does not prefer an older
// report.
type warmth struct {
	provenSlots uint32
	asOf        time.Time
}

func newScopeClient(c *Client, scope string) *scopeClient {
	return &scopeClient{
		client:      c,
		scope:       scope,
		viewChanges: make(chan struct{}, 1),
		pending:     map[uint64]*pendingRequest{},
		held:        map[uint64]*heldSlot{},
		warmth:      map[string]warmth{},
	}
}

// acquire submits a request and waits for its slot. A slot that was granted
// before this process stalled is released, and the request submitted again.
func (sc *scopeClient) acquire(ctx context.Context, p *pendingRequest, wait time.Duration) (*Slot, error) {
	sc.submit(p)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for graceUsed := false; ; graceUsed = true {
		select {
		case r := <-p.result:
			if r.err == nil && sc.client.stallCount() != r.stallCount {
				sc.release(p.seq, admission.Canceled, 0, 0)
				p.seq = sc.client.seq.Add(1)
				sc.submit(p)
				continue
			}
			if r.err == nil {
				if refusal := sc.dropQuarantined(p); refusal != nil {
					return nil, refusal
				}
			}
			return sc.slot(p.seq, r)
		case <-ctx.Done():
			sc.cancel(p)
			return nil, code.Refuse(code.CallerLeft, "")
		case <-timer.C:
			if !graceUsed && sc.connected() {
				timer.Reset(refusalGrace)
				continue
			}
			return nil, sc.refuseAfterTimeout(p, wait)
		}
	}
}

func (sc *scopeClient) submit(p *pendingRequest) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if len(sc.pending) == 0 {
		sc.waitingSince = time.Now()
	}
	sc.pending[p.seq] = p
	if sc.outbox != nil {
		m := &peerpb.AdmitRequest{}
		sc.outbox.addRequest(m, p)
		sc.outbox.put(m)
	}
}

func (sc *scopeClient) slot(seq uint64, r result) (*Slot, error) {
	if r.err != nil {
		return nil, r.err
	}
	return &Slot{Endpoint: r.endpoint, scope: sc, seq: seq, stallCount: r.stallCount}, nil
}

// connected reports whether there is a session and its owner has sent a message
// as recently as a reachable owner would.
func (sc *scopeClient) connected() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.outbox != nil && sc.ownerSilence() < 2*keepaliveInterval
}

// refuseAfterTimeout returns the refusal of a request that its owner neither
// granted nor refused in time, and cancels the request.
func (sc *scopeClient) refuseAfterTimeout(p *pendingRequest, wait time.Duration) error {
	refusal := code.Refuse(code.OwnerLost, "")
	if sc.connected() {
		refusal = code.Refuse(code.WaitTooLong, "")
	}
	refusal.RetryAfter = max(time.Second, wait)
	sc.cancel(p)
	return refusal
}

// cancel withdraws a request, or releases the slot that it was granted in the
// meantime.
func (sc *scopeClient) cancel(p *pendingRequest) {
	sc.mu.Lock()
	_, waiting := sc.pending[p.seq]
	delete(sc.pending, p.seq)
	if waiting {
		sc.send(&peerpb.AdmitRequest{Cancels: []uint64{p.seq}})
	}
	sc.mu.Unlock()
	if waiting {
		return
	}
	if r := <-p.result; r.err == nil {
		sc.release(p.seq, admission.Canceled, 0, 0)
	}
}

func (sc *scopeClient) updateProgress(seq uint64, known fair.Cost, ttft time.Duration) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	h := sc.held[seq]
	if h == nil {
		return
	}
	h.progressDue = h.progressDue || h.shouldReportTTFT(ttft) || h.shouldReportCost(float32(known))
	h.knownCost = max(h.knownCost, float32(known))
	h.ttft = ttft
}

// shouldReportTTFT reports whether the owner should learn the time to first
// token before the request ends: the endpoint is not known to be warm, or the
// time is so long that the owner should doubt its warmth.
func (h *heldSlot) shouldReportTTFT(ttft time.Duration) bool {
	return h.ttft == 0 && ttft > 0 && (h.provenSlots == 0 || ttft > slowTTFT)
}

// shouldReportCost reports whether the owner should learn a cost before the
// request ends: it is well above both the estimate and the cost last reported,
// or it has grown and the last report was long ago.
func (h *heldSlot) shouldReportCost(known float32) bool {
	if known > progressFactor*max(h.estimate, h.reportedCost) {
		return true
	}
	return known > h.reportedCost && time.Since(h.reportedAt) > progressInterval
}

func (sc *scopeClient) release(seq uint64, o admission.Outcome, cost fair.Cost, ttft time.Duration) {
	if o == admission.Completed {
		sc.recordCompleted(seq)
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	h := sc.held[seq]
	if h == nil {
		return
	}
	sc.updateWarmth(h, o)
	r := &peerpb.Release{Seq: seq, Outcome: uint32(o), Cost: float32(cost), FirstTokenMicros: micros(ttft)}
	if o == admission.Crashed {
		h.addCrash(r)
	}
	h.release = r
	if sc.outbox == nil || sc.client.stallCount() != sc.stallCount {
		return // the next session reports it, and whether the endpoint was attended
	}
	delete(sc.held, seq)
	sc.send(sc.addRelease(&peerpb.AdmitRequest{}, r, h))
}

// updateWarmth records the warmth of the endpoint, to be reported to the next
// owner.
func (sc *scopeClient) updateWarmth(h *heldSlot, o admission.Outcome) {
	switch {
	case o == admission.Completed && h.provenSlots > 0:
		if old := sc.warmth[h.endpoint]; !h.grantedAt.Before(old.asOf) {
			sc.warmth[h.endpoint] = warmth{provenSlots: h.provenSlots, asOf: h.grantedAt}
		}
	case o == admission.Crashed || o == admission.Unreachable:
		sc.warmth[h.endpoint] = warmth{asOf: time.Now()}
	}
}

// send queues a message for the owner, or discards it if there is no session: a
// new session starts with a full report. The caller holds mu.
func (sc *scopeClient) send(req *peerpb.AdmitRequest) {
	if sc.outbox != nil {
		sc.lastSent = time.Now()
		sc.outbox.put(req)
	}
}

// sendKeepalive sends an empty message if this router holds slots and has sent
// nothing for keepaliveInterval. The owner treats a router that sends nothing as
// unresponsive, because it may be missing that router's reports of endpoint
// failures.
func (sc *scopeClient) sendKeepalive() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if len(sc.held) > 0 && time.Since(sc.lastSent) >= keepaliveInterval {
		sc.send(&peerpb.AdmitRequest{})
	}
}

// handleReply passes the owner's decisions to the waiting requests.
func (sc *scopeClient) handleReply(reply *peerpb.AdmitReply, received nameTable) {
	sc.client.host.recordCrashes(crashesFromProto(reply.Crashes))
	refuted := sc.client.host.mergeParts(reply)
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if len(refuted) > 0 {
		sc.send(&peerpb.AdmitRequest{SoundParts: refuted})
	}
	sc.lastReceived = time.Now()
	sc.confirmReleases(reply)
	for _, g := range reply.Grants {
		sc.handleGrant(g, received.lookup(g.Endpoint))
	}
	for _, x := range reply.Refusals {
		sc.handleRefusal(x)
	}
}

func (sc *scopeClient) handleGrant(g *peerpb.Grant, endpoint string) {
	p, ok := sc.pending[g.Seq]
	if !ok {
		sc.send(sc.addRelease(&peerpb.AdmitRequest{}, &peerpb.Release{Seq: g.Seq, Outcome: uint32(admission.Canceled)}, nil))
		return
	}
	delete(sc.pending, g.Seq)
	sc.held[g.Seq] = &heldSlot{
		endpoint:    endpoint,
		account:     p.req.Account,
		fingerprint: p.req.Fingerprint,
		parts:       p.req.Parts,
		estimate:    g.Estimate,
		provenSlots: g.Proved,
		grantedAt:   time.Now(),
		stallCount:  sc.stallCount,
		reportedAt:  time.Now(),
	}
	if g.Proved == 0 {
		sc.warmth[endpoint] = warmth{asOf: time.Now()}
	}
	p.result <- result{endpoint: endpoint, stallCount: sc.stallCount}
}

func (sc *scopeClient) handleRefusal(x *peerpb.Refusal) {
	p, ok := sc.pending[x.Seq]
	if !ok {
		return
	}
	delete(sc.pending, x.Seq)
	refusal := code.Refuse(code.Code(x.Code), "")
	refusal.RetryAfter = time.Duration(x.RetryAfterMillis) * time.Millisecond
	p.result <- result{err: refusal}
}

// sendProgress reports the progress that is due of running requests.
func (sc *scopeClient) sendProgress() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	req := &peerpb.AdmitRequest{}
	for seq, h := range sc.held {
		if h.progressDue && h.release == nil {
			h.progressDue, h.reportedCost, h.reportedAt = false, h.knownCost, time.Now()
			req.Progress = append(req.Progress, &peerpb.Progress{Seq: seq, Known: h.knownCost, FirstTokenMicros: micros(h.ttft)})
		}
	}
	if len(req.Progress) > 0 {
		sc.send(req)
	}
}

// ownerUnresponsive reports whether requests wait and the owner has sent nothing
// for silenceTimeout.
func (sc *scopeClient) ownerUnresponsive() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return len(sc.pending) > 0 && sc.ownerSilence() > silenceTimeout
}

// ownerSilence returns the time since the owner last sent a message or, if that
// is later, since requests began to wait. The caller holds mu.
func (sc *scopeClient) ownerSilence() time.Duration {
	if sc.waitingSince.After(sc.lastReceived) {
		return time.Since(sc.waitingSince)
	}
	return time.Since(sc.lastReceived)
}
