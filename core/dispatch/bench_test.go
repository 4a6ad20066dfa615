package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

// BenchmarkPollFull measures Poll with a long queue and full endpoints, as on a
// router flooded by one account.
func BenchmarkPollFull(b *testing.B) {
	var endpoints []topology.Endpoint
	var full []dispatch.EndpointReport
	for i := range 60 {
		id := fmt.Sprint("e", i)
		endpoints = append(endpoints, endpoint(id, model, "a"))
		full = append(full, dispatch.EndpointReport{Endpoint: id, Load: dispatch.Load{Active: slots}})
	}
	d := newDispatcher("r0", endpoints...)
	d.SetPeerReport(start, "r1", dispatch.Report{Endpoints: full})
	for i := range 500 {
		d.Submit(start, chatRequest(start, fmt.Sprint("a", i%30), uint64(1000+i)))
	}
	b.ReportMetric(float64(d.QueueLength()), "waiting")
	for b.Loop() {
		d.Poll(start.Add(10 * time.Millisecond))
	}
}
