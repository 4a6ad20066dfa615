package pool

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

// traffic counts the admission messages of one kind and direction between this
// router and others.
type traffic struct {
	messages *metrics.Counter
	bytes    *metrics.Counter
}

var (
	requestsSent     = newTraffic("request", "sent")
	requestsReceived = newTraffic("request", "received")
	repliesSent      = newTraffic("reply", "sent")
	repliesReceived  = newTraffic("reply", "received")
	partsSent        = newPartCounters()
)

func newTraffic(kind, direction string) traffic {
	labels := fmt.Sprintf(`{kind=%q,direction=%q}`, kind, direction)
	return traffic{
		messages: metrics.NewCounter("cyclamenwinch_admission_messages_total" + labels),
		bytes:    metrics.NewCounter("cyclamenwinch_admission_bytes_total" + labels),
	}
}

func (t traffic) count(m proto.Message) {
	t.messages.Inc()
	t.bytes.Add(proto.Size(m))
	switch m := m.(type) {
	case *peerpb.AdmitRequest:
		if t == requestsSent {
			partsSent.countRequest(m)
		}
	case *peerpb.AdmitReply:
		if t == repliesSent {
			partsSent.countReply(m)
		}
	}
}

// partCounters counts the elements that sent messages carry.
type partCounters struct {
	held, wants, cancels, progress, releases, grants, refusals, crashes *metrics.Counter
}

func newPartCounters() partCounters {
	part := func(name string) *metrics.Counter {
		return metrics.NewCounter(fmt.Sprintf(`cyclamenwinch_admission_parts_sent_total{part=%q}`, name))
	}
	return partCounters{
		held: part("held"), wants: part("want"), cancels: part("cancel"), progress: part("progress"),
		releases: part("release"), grants: part("grant"), refusals: part("refusal"), crashes: part("crash"),
	}
}

func (p partCounters) countRequest(m *peerpb.AdmitRequest) {
	p.held.Add(len(m.Held))
	p.wants.Add(len(m.Wants))
	p.cancels.Add(len(m.Cancels))
	p.progress.Add(len(m.Progress))
	p.releases.Add(len(m.Releases))
	p.crashes.Add(len(m.Crashes))
}

func (p partCounters) countReply(m *peerpb.AdmitReply) {
	p.grants.Add(len(m.Grants))
	p.refusals.Add(len(m.Refusals))
	p.crashes.Add(len(m.Crashes))
}
