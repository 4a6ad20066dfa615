package mesh

import (
	"math"
	"slices"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/rollout"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

// maxRolloutRoutes limits the routes in one report of a roll-out.
const maxRolloutRoutes = 256

// rolloutInterval is the time between two reports of the evidence of roll-outs. It takes
// some hundred bytes, and each router's exposure is bounded without it. A change of a stage
// is reported at once.
const rolloutInterval = 240 * time.Millisecond

// rolloutRepeats is how many heartbeats in a row carry the change of a stage. Some
// datagrams get lost.
const rolloutRepeats = 3

// rolloutReports decides which heartbeats carry the evidence of roll-outs.
type rolloutReports struct {
	sentAt  time.Time
	stages  []rollout.Evidence // without routes and ages, as last sent
	repeats int                // left
}

// due reports whether the next heartbeats carry the evidence.
func (r *rolloutReports) due(now time.Time, evidence []rollout.Evidence) bool {
	stages := make([]rollout.Evidence, 0, len(evidence))
	for _, e := range evidence {
		stages = append(stages, rollout.Evidence{Service: e.Service, Target: e.Target, Created: e.Created, Stage: e.Stage})
	}
	same := func(a, b rollout.Evidence) bool { return a.Same(b) && a.Stage == b.Stage }
	switch {
	case !slices.EqualFunc(stages, r.stages, same):
		r.repeats = rolloutRepeats - 1
	case r.repeats > 0:
		r.repeats--
	case now.Sub(r.sentAt) < rolloutInterval:
		return false
	}
	r.sentAt, r.stages = now, stages
	return true
}

func encodeRollouts(evidence []rollout.Evidence) (out []*peerpb.RolloutEvidence) {
	for _, e := range evidence {
		p := &peerpb.RolloutEvidence{Service: e.Service, Target: e.Target, Created: e.Created, Stage: toUint32(int(e.Stage)),
			AgeMs: toUint32(int(e.Age / time.Millisecond)), Behind: toUint32(e.Behind)}
		for _, r := range e.Routes[:min(len(e.Routes), maxRolloutRoutes)] {
			p.Routes = append(p.Routes, &peerpb.RolloutRoute{Route: r.Route, Others: r.Old[:], Target: r.New[:]})
		}
		out = append(out, p)
	}
	return out
}

// decodeRollouts returns the evidence that a peer reports. It leaves out stages that this
// build does not know, and further counts.
func decodeRollouts(evidence []*peerpb.RolloutEvidence) (out []rollout.Evidence) {
	for _, p := range evidence {
		if p.Stage > uint32(rollout.Completed) || p.Behind > math.MaxInt32 {
			heartbeatsInvalid.Inc()
			continue
		}
		e := rollout.Evidence{Service: p.Service, Target: p.Target, Created: p.Created, Stage: rollout.Stage(p.Stage),
			Age: time.Duration(p.AgeMs) * time.Millisecond, Behind: int(p.Behind)}
		for _, r := range p.Routes[:min(len(p.Routes), maxRolloutRoutes)] {
			e.Routes = append(e.Routes, rollout.RouteEvidence{Route: r.Route, Old: decodeCounts(r.Others), New: decodeCounts(r.Target)})
		}
		out = append(out, e)
	}
	return out
}

// maxCount bounds a count, so that sums of counts don't overflow.
const maxCount = math.MaxUint32

func decodeCounts(counts []uint64) (out rollout.Counts) {
	for i := range min(len(counts), len(out)) {
		out[i] = min(counts[i], maxCount)
	}
	return out
}
