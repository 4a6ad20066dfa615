package pool

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cyclamenwinch/cyclamenwinch/core/admission"
	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/route"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

func reportFrom(router string, req *peerpb.AdmitRequest) admission.Report {
	r := admission.Report{Router: router, Resumed: req.Resumed}
	for _, h := range req.Held {
		r.Held = append(r.Held, admission.Held{
			ID:          admission.ID{Router: router, Seq: h.Seq},
			Endpoint:    h.Endpoint,
			Account:     h.Account,
			Fingerprint: h.Fingerprint,
			Running:     fair.Running{Estimate: fair.Cost(h.Estimate), Known: fair.Cost(h.Known)},
		})
	}
	for _, w := range req.Warmth {
		r.Warmth = append(r.Warmth, admission.Warmth{
			Endpoint: w.Endpoint,
			Proved:   int(w.Proved),
			Age:      time.Duration(w.AgeMillis) * time.Millisecond,
		})
	}
	return r
}

func wantFrom(router, zone string, w *peerpb.Want) admission.Want {
	return admission.Want{
		ID:          admission.ID{Router: router, Seq: w.Seq},
		Account:     w.Account,
		Model:       w.Model,
		Estimate:    fair.Cost(w.Estimate),
		Zone:        zone,
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

func crashesFrom(in []*peerpb.Crash) []route.Crash {
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

func crashesTo(in []route.Crash) []*peerpb.Crash {
	var out []*peerpb.Crash
	for _, c := range in {
		out = append(out, &peerpb.Crash{Fingerprint: c.Fingerprint, Endpoint: c.Endpoint, AgeMillis: c.Age.Milliseconds()})
	}
	return out
}

func clone(h *peerpb.Held) *peerpb.Held { return proto.Clone(h).(*peerpb.Held) }
