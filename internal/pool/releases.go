package pool

import (
	"slices"

	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

// sentRelease is a release that its owner may not have received.
type sentRelease struct {
	seq  uint64
	held *heldSlot // nil: the slot was never used
}

// addRelease adds a release to a message that is about to be queued, and returns
// the message. The caller holds mu.
func (sc *scopeClient) addRelease(m *peerpb.AdmitRequest, r *peerpb.Release, h *heldSlot) *peerpb.AdmitRequest {
	m.Releases = append(m.Releases, r)
	sc.sent = append(sc.sent, sentRelease{seq: r.Seq, held: h})
	return m
}

// confirmReleases forgets the releases that the owner has handled. Owners of earlier
// builds confirm none; they are trusted to handle all. The caller holds mu.
func (sc *scopeClient) confirmReleases(reply *peerpb.AdmitReply) {
	if sc.unanswered {
		sc.unanswered, sc.ownerConfirms = false, reply.ConfirmsReleases
	}
	if !sc.ownerConfirms {
		sc.sent = nil
		return
	}
	if n := reply.ReleasesHandled; n > sc.confirmed {
		sc.sent = slices.Delete(sc.sent, 0, min(int(n-sc.confirmed), len(sc.sent)))
		sc.confirmed = n
	}
}

// restoreReleases holds the slots again whose releases were not confirmed, so that
// the next session reports both. The caller holds mu.
func (sc *scopeClient) restoreReleases() {
	for _, s := range sc.sent {
		if s.held != nil && sc.ownerConfirms {
			sc.held[s.seq] = s.held
		}
	}
	sc.sent = nil
}
