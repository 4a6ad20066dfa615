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
	// recordsPerRound bounds the usage records sent in one heartbeat period,
	// to all partners together; least is the number for each at least.
	recordsPerRound = 48
	leastRecords    = 4
)

// The usage within heartbeats.
var (
	usageRecords = metrics.NewCounter("cyclamenwinch_usage_records_sent_total")
	usageSent    = metrics.NewCounter("cyclamenwinch_usage_bytes_sent_total")
)

// progress is how far a router's incarnation has been told of usage.
type progress struct {
	incarnation int64
	sent        uint64
	relay       uint64 // it was new at this number, and is told of others' up to it
}

// usageFor returns the changed usage for a router's next message and the
// progress once it has been taken in.
func (f *Fleet) usageFor(r member.Router) ([]*peerpb.UsagePart, progress) {
	f.mu.Lock()
	defer f.mu.Unlock()
	mark := f.sent[r.Name]
	if mark.incarnation != r.Incarnation {
		mark = progress{incarnation: r.Incarnation, relay: f.book.Seq()}
	}
	partners := len(f.tracker.View().Routers) - 1
	relay := mark.relay
	if partners > meshSize {
		partners, relay = ringFanout+1, f.book.Seq()
	}
	limit := max(leastRecords, recordsPerRound/max(1, partners))
	parts, reached := f.book.ChangesSince(mark.sent, relay, limit)
	mark.sent = reached
	var out []*peerpb.UsagePart
	for _, p := range parts {
		part := &peerpb.UsagePart{Incarnation: p.Incarnation, Account: p.Account, Cost: float64(p.Cost), Folded: p.Folded}
		if p.Router != f.opts.Self.Name {
			part.Router = p.Router
		}
		usageSent.Add(proto.Size(part))
		out = append(out, part)
	}
	usageRecords.Add(len(out))
	return out, mark
}

// usageTaken notes that a router has taken a message in.
func (f *Fleet) usageTaken(r member.Router, mark progress) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent[r.Name] = mark
}

// takeUsage merges a message's usage; the caller holds mu.
func (f *Fleet) takeUsage(in *peerpb.HeartbeatMessage) {
	for _, u := range in.Usage {
		p := usage.Counter{Router: u.Router, Incarnation: u.Incarnation, Account: u.Account, Cost: fair.Cost(u.Cost), Folded: u.Folded}
		if p.Router == "" {
			p.Router = in.Member.Name
		}
		f.book.Merge(p)
	}
}
