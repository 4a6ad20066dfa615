package pool

import (
	"math"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/admission"
	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/route"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

func (s *routerSession) syncReport(req *peerpb.AdmitRequest) admission.SyncReport {
	r := admission.SyncReport{Router: s.router, Resumed: req.Resumed}
	if req.RemovalAgeMillis > 0 {
		r.LastRemoval = time.Now().Add(-time.Duration(req.RemovalAgeMillis) * time.Millisecond)
	}
	for _, h := range req.Held {
		r.Held = append(r.Held, admission.HeldSlot{
			ID:       admission.RequestID{Router: s.router, Seq: h.Seq},
			Endpoint: s.names.lookup(h.Endpoint),
			Account:  s.names.lookup(h.Account),
			Charge:   fair.Charge{Estimate: fair.Cost(h.Estimate), Known: fair.Cost(h.Known)},

			Unattended: h.Unattended,
		})
	}
	for _, w := range req.Warmth {
		r.Warmth = append(r.Warmth, admission.Warmth{
			Endpoint:    w.Endpoint,
			ProvenSlots: int(w.Proved),
			Age:         time.Duration(w.AgeMillis) * time.Millisecond,
		})
	}
	return r
}

func (s *routerSession) request(w *peerpb.Want) admission.Request {
	r := admission.Request{
		ID:          admission.RequestID{Router: s.router, Seq: w.Seq},
		Account:     s.names.lookup(w.Account),
		Model:       s.names.lookup(w.Model),
		CostHint:    fair.Cost(w.Estimate),
		Zone:        s.zone,
		Prefix:      uint64(w.Prefix),
		Fingerprint: w.Fingerprint,
	}
	for _, id := range w.Avoid {
		r.Avoid = append(r.Avoid, s.names.lookup(id))
	}
	return r
}

func (s *routerSession) release(r *peerpb.Release) admission.Release {
	return admission.Release{
		ID:               admission.RequestID{Router: s.router, Seq: r.Seq},
		Outcome:          admission.Outcome(r.Outcome),
		Cost:             fair.Cost(r.Cost),
		TimeToFirstToken: time.Duration(r.FirstTokenMicros) * time.Microsecond,
		Fingerprint:      r.Fingerprint,
	}
}

// addRequest adds a request to a message. The fingerprint is included only if
// the request may have crashed an endpoint before.
func (o *outbox) addRequest(m *peerpb.AdmitRequest, p *pendingRequest) {
	w := &peerpb.Want{
		Seq:      p.seq,
		Account:  o.encoder.encode(p.req.Account, &m.Names),
		Model:    o.encoder.encode(p.req.Model, &m.Names),
		Estimate: float32(p.req.Estimate),
		Prefix:   uint32(p.req.Prefix) ^ uint32(p.req.Prefix>>32),
	}
	for _, name := range p.req.Avoid {
		w.Avoid = append(w.Avoid, o.encoder.encode(name, &m.Names))
	}
	if p.suspect || len(p.req.Avoid) > 0 {
		w.Fingerprint = p.req.Fingerprint
	}
	m.Wants = append(m.Wants, w)
}

// addHeldSlot adds a slot in use to a message. stallCount is the number of stalls
// of this process so far.
func (o *outbox) addHeldSlot(m *peerpb.AdmitRequest, seq uint64, h *heldSlot, stallCount int) {
	m.Held = append(m.Held, &peerpb.Held{
		Seq:      seq,
		Endpoint: o.encoder.encode(h.endpoint, &m.Names),
		Account:  o.encoder.encode(h.account, &m.Names),
		Estimate: h.estimate,
		Known:    h.knownCost,

		Unattended: h.stallCount != stallCount,
	})
}

func crashesFromProto(in []*peerpb.Crash) []route.Crash {
	var out []route.Crash
	for _, c := range in {
		out = append(out, route.Crash{
			Fingerprint: c.Fingerprint,
			Endpoint:    c.Endpoint,
			Age:         time.Duration(c.AgeMillis) * time.Millisecond,
		})
	}
	return out
}

func crashesToProto(in []route.Crash) []*peerpb.Crash {
	var out []*peerpb.Crash
	for _, c := range in {
		out = append(out, &peerpb.Crash{Fingerprint: c.Fingerprint, Endpoint: c.Endpoint, AgeMillis: c.Age.Milliseconds()})
	}
	return out
}

func micros(d time.Duration) uint32 { return uint32(min(d.Microseconds(), math.MaxUint32)) }
