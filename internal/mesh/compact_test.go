package mesh

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
	"github.com/cyclamenwinch/cyclamenwinch/internal/replica"
)

// largeFleetNames are the names of largeFleetReport.
func largeFleetNames() []string {
	names := []string{"winch-llm"}
	for i := range 98 {
		names = append(names, fmt.Sprintf("i-8505a3%04d", i), fmt.Sprint("account-", i))
	}
	return names
}

func meshWithNames(names []string) *Mesh {
	m := &Mesh{}
	m.names.set(names)
	return m
}

// transmit encodes a report at one router and decodes it at another.
func transmit(t *testing.T, from, to *Mesh, r dispatch.Report) (dispatch.Report, int) {
	t.Helper()
	b := &peerpb.Beat{Name: "r1", Incarnation: r.Incarnation}
	from.encodeCompactReport(b, r)
	data, err := proto.Marshal(b)
	if err != nil {
		t.Fatal(err)
	}
	var received peerpb.Beat
	if err := proto.Unmarshal(data, &received); err != nil {
		t.Fatal(err)
	}
	got, err := to.decodeBeatReport(&received)
	if err != nil {
		t.Fatal(err)
	}
	return got, len(data)
}

func TestCompactReportKeepsItsContent(t *testing.T) {
	want := largeFleetReport(98, 60, 16)
	for i := range want.Accounts {
		want.Accounts[i].Demand, want.Accounts[i].Granted = float64(7*i+1), float64(3*i)
	}
	known, unnamed := meshWithNames(largeFleetNames()), meshWithNames(nil)
	if got, _ := transmit(t, known, known, want); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v", got)
	}
	if got, _ := transmit(t, unnamed, known, want); !reflect.DeepEqual(got, want) {
		t.Errorf("without keys at the sender: got %+v", got)
	}
	if got, _ := transmit(t, known, unnamed, want); len(got.Endpoints)+len(got.Accounts)+len(got.Placements) > 0 {
		t.Errorf("entries of keys that the receiver does not know: %+v", got)
	}
}

// TestRowReportIsSmall guards against heartbeats of a large fleet that are most of the
// bytes between zones.
func TestRowReportIsSmall(t *testing.T) {
	m := meshWithNames(largeFleetNames())
	r := largeFleetReport(98, 60, 16)
	_, compact := transmit(t, m, m, r)
	b := &peerpb.Beat{Name: "r1", Incarnation: 1}
	encodeReport(b, r)
	if plain := proto.Size(b); compact > plain/2 {
		t.Errorf("%d bytes, %d in the plain encoding", compact, plain)
	}
}

func TestNamesWithTheSameKeyAreSentInFull(t *testing.T) {
	// Two names whose keys are equal, found by trying.
	seen, a, b := map[uint32]string{}, "", ""
	for i := 0; a == ""; i++ {
		name := fmt.Sprint("i-", i)
		if other, ok := seen[nameKey(name)]; ok {
			a, b = other, name
		}
		seen[nameKey(name)] = name
	}
	m := meshWithNames([]string{a, b})
	want := dispatch.Report{Incarnation: 1, Endpoints: []dispatch.EndpointReport{{Endpoint: a, Load: dispatch.Load{Active: 1}}, {Endpoint: b, Load: dispatch.Load{Active: 2}}}}
	if got, _ := transmit(t, m, m, want); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v", got)
	}
}

// TestMalformedCompactReports guards against a peer whose lists do not match.
func TestMalformedCompactReports(t *testing.T) {
	m := meshWithNames(largeFleetNames())
	for name, r := range map[string]*peerpb.CompactReport{
		"loads":      {Endpoints: []uint32{1, 2}, Active: []uint32{1}},
		"usage":      {Services: []*peerpb.CompactUse{{Accounts: []uint32{1}}}},
		"placements": {Placed: []uint32{1}},
		"parts":      {Placed: []uint32{1}, Numbers: []uint64{1}, Fresh: []uint32{1}, PartCounts: []uint32{5}, Parts: []uint64{1}},
	} {
		if _, err := m.decodeBeatReport(&peerpb.Beat{Report: r}); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	if err := m.mergeMemberStates(time.Now(), &peerpb.CompactMembers{Addresses: []uint32{1}}); err == nil {
		t.Error("members: no error")
	}
}

// TestAbsurdFiguresOfPeers guards against one report after which every share is NaN.
func TestAbsurdFiguresOfPeers(t *testing.T) {
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	r := decodeReport(&peerpb.Beat{
		Accounts: []*peerpb.AccountUse{{Account: "a", Asked: nan}, {Account: "b", Served: inf}, {Account: "c", Asked: -1}, {Account: "d", Asked: 2, Served: 1}},
		Cold:     []*peerpb.ColdEndpoint{{Id: "e", LeftMs: math.MaxUint32}},
	})
	if len(r.Accounts) != 1 || r.Accounts[0].Account != "d" {
		t.Errorf("accounts: %+v", r.Accounts)
	}
	if r.Cold[0].Remaining > time.Hour {
		t.Errorf("cold for %v", r.Cold[0].Remaining)
	}
}

func TestPositionsInBothEncodings(t *testing.T) {
	for _, era := range []int64{0, 3} {
		want := map[replica.Kind]replica.Position{replica.Config: {Era: era}, replica.ZonesOut: {Era: era, Revision: 7}}
		if got := decodePositions(&peerpb.Beat{Copies: encodeCopies(want), Eras: encodeEras(want)}); !reflect.DeepEqual(got, want) {
			t.Errorf("compact: got %v", got)
		}
		if got := decodePositions(&peerpb.Beat{Revisions: map[string]int64{"config": 0, "zones-out": 7}, Eras: encodeEras(want)}); !reflect.DeepEqual(got, want) {
			t.Errorf("plain: got %v", got)
		}
	}
}
