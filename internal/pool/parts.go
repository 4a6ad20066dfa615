package pool

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/admission"
	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/route"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

const (
	// crashWindow is how long after a crash further reports are of the same one: all
	// requests at the endpoint break at the same moment, and a start takes 2 s or
	// longer.
	crashWindow = time.Second
	// maxPartCrashes limits the crashes in the first message of a session and in its
	// reply.
	maxPartCrashes = 512
)

// endpointCrash is the newest crash of an endpoint.
type endpointCrash struct {
	at time.Time
	id uint64 // unique to this crash
}

// partBlocked returns a part of a prompt because of which a request may not be sent
// now.
func (h *Host) partBlocked(parts []uint64) (part uint64, blocked bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.parts.Blocked(time.Now(), parts)
}

// partStopped reports whether a request that was allowed at a time may no longer be
// sent because of a part of its prompt.
func (h *Host) partStopped(allowed time.Time, parts []uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.parts.StoppedSince(time.Now(), allowed, parts)
}

// recordSound records that a response speaks for these parts. It returns those that
// were suspects.
func (h *Host) recordSound(parts []uint64) (cleared []*peerpb.SoundPart) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range parts {
		if h.parts.RecordBegun(time.Now(), p) {
			cleared = append(cleared, &peerpb.SoundPart{Part: p})
		}
	}
	return cleared
}

// mergeParts applies what the owner reports. It returns the parts that a response at
// this router proves to be sound.
func (h *Host) mergeParts(reply *peerpb.AdmitReply) (refuted []*peerpb.SoundPart) {
	if len(reply.PartCrashes) == 0 && len(reply.SoundParts) == 0 {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for _, p := range reply.SoundParts {
		h.parts.RecordSound(now, soundPartFromProto(p))
	}
	for _, m := range reply.PartCrashes {
		c := partCrashFromProto(m)
		if age, ok := h.parts.Refutes(now, c); ok {
			refuted = append(refuted, &peerpb.SoundPart{Part: c.Part, AgeMs: uint32(age.Milliseconds())})
			continue
		}
		h.parts.RecordCrash(now, c)
	}
	return refuted
}

// partCrashes returns the crashes on record that count against prompt parts.
func (h *Host) partCrashes() []*peerpb.PartCrash {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.partCrashesLocked(time.Now())
}

func (h *Host) partCrashesLocked(now time.Time) []*peerpb.PartCrash {
	var out []*peerpb.PartCrash
	for _, c := range h.parts.Crashes(now, route.QuarantineDuration, maxPartCrashes) {
		out = append(out, partCrashToProto(c))
	}
	return out
}

// handleParts records what a router reports on prompt parts, and passes what is new
// on to all routers.
func (s *routerSession) handleParts(now time.Time, req *peerpb.AdmitRequest) {
	news := &peerpb.AdmitReply{SoundParts: req.SoundParts}
	parts := s.hosted.host.parts
	for _, p := range req.SoundParts {
		parts.RecordSound(now, soundPartFromProto(p))
	}
	record := func(c route.PartCrash) {
		if parts.RecordCrash(now, c) {
			news.PartCrashes = append(news.PartCrashes, partCrashToProto(c))
		}
	}
	for _, c := range req.PartCrashes {
		record(partCrashFromProto(c))
	}
	for _, r := range req.Releases {
		if len(r.Parts) == 0 {
			continue
		}
		crash := s.hosted.crashOf(now, r.Endpoint)
		for _, p := range r.Parts {
			record(route.PartCrash{Part: p, Endpoint: crash.id, Age: now.Sub(crash.at)})
		}
	}
	if len(news.SoundParts) > 0 || len(news.PartCrashes) > 0 {
		for _, to := range s.hosted.sessions {
			to.put(&peerpb.AdmitReply{SoundParts: news.SoundParts, PartCrashes: news.PartCrashes})
		}
	}
}

// crashOf returns the crash that a report of now is about.
func (hp *hostedPool) crashOf(now time.Time, endpoint string) endpointCrash {
	for name, c := range hp.crashes {
		if now.Sub(c.at) >= crashWindow {
			delete(hp.crashes, name)
		}
	}
	c, ok := hp.crashes[endpoint]
	if !ok {
		c = endpointCrash{at: now, id: xxhash.Sum64String(hp.scope + "/" + endpoint + "@" + strconv.FormatInt(now.UnixNano(), 10))}
		hp.crashes[endpoint] = c
	}
	return c
}

// RecordBegun records that the response has begun, which speaks for what the prompt
// shares with others. Only a complete response speaks against crashes after that.
func (s *Slot) RecordBegun() { s.scope.recordBegun(s.seq) }

func (sc *scopeClient) recordBegun(seq uint64) {
	sc.mu.Lock()
	h := sc.held[seq]
	if h == nil || h.begun {
		sc.mu.Unlock()
		return
	}
	h.begun = true
	sc.mu.Unlock()
	sc.recordSound(h.parts)
}

// recordCompleted records that the response to the request of a slot is complete.
func (sc *scopeClient) recordCompleted(seq uint64) {
	sc.mu.Lock()
	h := sc.held[seq]
	sc.mu.Unlock()
	if h != nil {
		sc.recordSound(afterBegin(h.parts))
	}
}

// recordSound records that a response speaks for these parts, and tells the owner of
// those that were suspects.
func (sc *scopeClient) recordSound(parts []uint64) {
	if cleared := sc.client.host.recordSound(parts); len(cleared) > 0 {
		sc.mu.Lock()
		defer sc.mu.Unlock()
		sc.send(&peerpb.AdmitRequest{SoundParts: cleared})
	}
}

// addCrash adds to a release what the owner has to know of a crash.
func (h *heldSlot) addCrash(r *peerpb.Release) {
	r.Fingerprint = h.fingerprint
	r.Endpoint, r.Parts = h.endpoint, h.parts
	if h.begun {
		r.Parts = afterBegin(h.parts)
	}
}

func afterBegin(parts []uint64) []uint64 {
	ids := make([]uint64, 0, len(parts))
	for _, p := range parts {
		ids = append(ids, route.AfterBegin(p))
	}
	return ids
}

// dropQuarantined gives up a slot whose request may no longer be sent because of a
// part of its prompt.
func (sc *scopeClient) dropQuarantined(p *pendingRequest) *code.Error {
	if !sc.client.host.partStopped(p.allowedAt, p.req.Parts) {
		return nil
	}
	sc.release(p.seq, admission.Canceled, 0, 0)
	return code.Refuse(code.Quarantined, "a part of the prompt, or the request without a body, seems to crash endpoints")
}

func partCrashToProto(c route.PartCrash) *peerpb.PartCrash {
	return &peerpb.PartCrash{Part: c.Part, Endpoint: c.Endpoint, AgeMs: uint32(max(0, c.Age.Milliseconds()))}
}

func partCrashFromProto(c *peerpb.PartCrash) route.PartCrash {
	return route.PartCrash{Part: c.Part, Endpoint: c.Endpoint, Age: time.Duration(c.AgeMs) * time.Millisecond}
}

func soundPartFromProto(p *peerpb.SoundPart) route.SoundPart {
	return route.SoundPart{Part: p.Part, Age: time.Duration(p.AgeMs) * time.Millisecond}
}
