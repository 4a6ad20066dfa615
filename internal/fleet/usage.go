package fleet

import (
	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/core/usage"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

const (
	// recordsPerRound limits the usage records sent to all peers together in one
	// heartbeat period, except that each peer may receive minRecordsPerMessage.
	recordsPerRound      = 48
	minRecordsPerMessage = 4
)

// Counters of the usage sent in heartbeats.
var (
	usageRecordsSent = metrics.NewCounter("cyclamenwinch_usage_records_sent_total")
	usageBytesSent   = metrics.NewCounter("cyclamenwinch_usage_bytes_sent_total")
)

// usageProgress is how much of the usage has been sent to one incarnation of a
// router, in sequence numbers of the aggregator.
type usageProgress struct {
	incarnation  int64
	sentThrough  uint64
	relayThrough uint64 // sequence number at the first message; later changes of other routers' usage are not relayed
}

// pendingUsage returns the changed usage to send with the next message to a router
// and the progress to record once that message is delivered.
func (f *Fleet) pendingUsage(r member.Router) ([]*peerpb.UsagePart, usageProgress) {
	f.mu.Lock()
	defer f.mu.Unlock()
	progress := f.usageProgress[r.Name]
	if progress.incarnation != r.Incarnation {
		progress = usageProgress{incarnation: r.Incarnation, relayThrough: f.usage.Seq()}
	}
	peers := len(f.tracker.View().Routers) - 1
	relayThrough := progress.relayThrough
	if peers > fullMeshMax {
		peers, relayThrough = ringFanout+1, f.usage.Seq()
	}
	limit := max(minRecordsPerMessage, recordsPerRound/max(1, peers))
	parts, through := f.usage.ChangesSince(progress.sentThrough, relayThrough, limit)
	progress.sentThrough = through
	var out []*peerpb.UsagePart
	for _, p := range parts {
		part := &peerpb.UsagePart{Incarnation: p.Incarnation, Account: p.Account, Cost: float64(p.Cost), Folded: p.Folded}
		if p.Router != f.opts.Self.Name {
			part.Router = p.Router
		}
		usageBytesSent.Add(proto.Size(part))
		out = append(out, part)
	}
	usageRecordsSent.Add(len(out))
	return out, progress
}

// recordUsageDelivered records that a router has received a message with usage.
func (f *Fleet) recordUsageDelivered(r member.Router, progress usageProgress) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.usageProgress[r.Name] = progress
}

// mergeUsage merges the usage in a heartbeat. The caller must hold f.mu.
func (f *Fleet) mergeUsage(in *peerpb.HeartbeatMessage) {
	for _, u := range in.Usage {
		p := usage.Counter{Router: u.Router, Incarnation: u.Incarnation, Account: u.Account, Cost: fair.Cost(u.Cost), Folded: u.Folded}
		if p.Router == "" {
			p.Router = in.Member.Name
		}
		f.usage.Merge(p)
	}
}
