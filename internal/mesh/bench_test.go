package mesh

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

// largeFleetReport is the report of a router, or of a row, in a fleet with 98
// endpoints and 60 accounts.
func largeFleetReport(endpoints, accounts, placements int) dispatch.Report {
	r := dispatch.Report{Incarnation: 1}
	for i := range endpoints {
		r.Endpoints = append(r.Endpoints, dispatch.EndpointReport{Endpoint: fmt.Sprintf("i-8505a3%04d", i), Load: dispatch.Load{Active: 3, Pending: 4000 + i, Resident: 40_000 + i}})
	}
	for i := range accounts {
		r.Accounts = append(r.Accounts, dispatch.AccountReport{Service: "winch-llm", Account: fmt.Sprint("account-", i), Demand: 1000.5 * float64(i+1), Granted: 700.25 * float64(i+1)})
	}
	for i := range placements {
		r.Placements = append(r.Placements, dispatch.Placement{Sequence: uint64(i + 1), Endpoint: fmt.Sprintf("i-8505a3%04d", i), Parts: []uint64{1 << 60, 1<<61 + uint64(i), 1<<62 + uint64(i)}, NewTokens: 7000})
	}
	return r
}

// BenchmarkHeartbeat measures what a heartbeat of a large fleet costs its sender and
// its receiver.
func BenchmarkHeartbeat(b *testing.B) {
	for _, c := range []struct {
		name   string
		report dispatch.Report
	}{{"own", largeFleetReport(5, 8, 2)}, {"row", largeFleetReport(98, 60, 16)}} {
		var endpoints []topology.Endpoint
		for i := range 98 {
			endpoints = append(endpoints, topology.Endpoint{ID: fmt.Sprintf("i-8505a3%04d", i), Service: "winch-llm", Zone: "z", Slots: 16, Address: fmt.Sprint("127.0.0.1:", 1000+i)})
		}
		d := dispatch.New(dispatch.Options{Self: "r0", Zone: "z"})
		d.SetEndpoints(time.Now(), endpoints)
		m := meshWithNames(largeFleetNames())
		beat := &peerpb.Beat{Name: "edge-eg-north-a-12", Zone: "eg-north-a", Incarnation: 1, Number: 1}
		m.encodeCompactReport(beat, c.report)
		data, err := proto.Marshal(beat)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(c.name+"/encode", func(b *testing.B) {
			b.ReportMetric(float64(len(data)), "bytes")
			for b.Loop() {
				beat := &peerpb.Beat{Name: "edge-eg-north-a-12", Zone: "eg-north-a", Incarnation: 1, Number: 1}
				m.encodeCompactReport(beat, c.report)
				if _, err := proto.Marshal(beat); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(c.name+"/decode", func(b *testing.B) {
			for b.Loop() {
				var beat peerpb.Beat
				if err := proto.Unmarshal(data, &beat); err != nil {
					b.Fatal(err)
				}
				if _, err := m.decodeBeatReport(&beat); err != nil {
					b.Fatal(err)
				}
			}
		})
		decoded, err := m.decodeBeatReport(beat)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(c.name+"/apply", func(b *testing.B) {
			for b.Loop() {
				d.SetRowReport(time.Now(), "row", decoded)
			}
		})
	}
}
