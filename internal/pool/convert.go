package pool

import (
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/admission"
	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

func heldFrom(router string, held []*peerpb.Held) []admission.Held {
	out := make([]admission.Held, 0, len(held))
	for _, h := range held {
		out = append(out, admission.Held{
			ID:       admission.ID{Router: router, Seq: h.Seq},
			Endpoint: h.Endpoint,
			Account:  h.Account,
			Charged:  fair.Cost(h.Charged),
		})
	}
	return out
}

func wantFrom(router string, w *peerpb.Want) admission.Want {
	return admission.Want{
		ID:          admission.ID{Router: router, Seq: w.Seq},
		Account:     w.Account,
		Estimate:    fair.Cost(w.Estimate),
		Zone:        w.Zone,
		Prefix:      w.Prefix,
		Fingerprint: w.Fingerprint,
		Avoid:       w.Avoid,
	}
}

func releaseFrom(router string, r *peerpb.Release) admission.Release {
	return admission.Release{
		ID:         admission.ID{Router: router, Seq: r.Seq},
		Outcome:    admission.Outcome(r.Outcome),
		Cost:       fair.Cost(r.Cost),
		FirstToken: time.Duration(r.FirstTokenMicros) * time.Microsecond,
	}
}
