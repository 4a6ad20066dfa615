package mesh

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

// TestHeartbeatFitsIntoADatagram guards against a router that its peers take for gone since
// its heartbeats are too large to be sent.
func TestHeartbeatFitsIntoADatagram(t *testing.T) {
	var placements []dispatch.Placement
	for i := range 20 {
		placements = append(placements, dispatch.Placement{Sequence: uint64(i + 1), Endpoint: "e1", Parts: make([]uint64, 1000), NewTokens: 1})
	}
	var accounts []dispatch.AccountReport
	for i := range 3000 {
		accounts = append(accounts, dispatch.AccountReport{Service: "s", Account: fmt.Sprintf("account-%020d", i), Demand: 1, Granted: 1})
	}
	load := []dispatch.EndpointReport{{Endpoint: "e1", Load: dispatch.Load{Active: 1}}}
	news := []*peerpb.RecordNews{{Kind: "endpoints", Records: []*peerpb.PlatformRecord{{Name: "r", Data: make([]byte, 70_000)}}}}
	for name, h := range map[string]heartbeat{
		"many placements":              {report: dispatch.Report{Endpoints: load, Placements: placements}},
		"large records":                {report: dispatch.Report{Endpoints: load}, news: news},
		"many placements and accounts": {report: dispatch.Report{Endpoints: load, Placements: placements, Accounts: accounts}, news: news},
	} {
		for _, encoding := range []uint32{plainEncoding, newestEncoding} {
			m := newTestMesh(t, "r1")
			datagram, err := m.marshal(m.encode(h, encoding))
			if err != nil || len(datagram) > maxDatagram {
				t.Errorf("%s, encoding %d: %d bytes, %v", name, encoding, len(datagram), err)
				continue
			}
			var b peerpb.Beat
			if err := proto.Unmarshal(datagram, &b); err != nil {
				t.Fatal(err)
			}
			r, err := m.decodeBeatReport(&b)
			if err != nil || b.Name != "r1" || len(r.Endpoints) != 1 {
				t.Errorf("%s, encoding %d: %v, %d loads, %v", name, encoding, b.Name, len(r.Endpoints), err)
			}
		}
	}
}
