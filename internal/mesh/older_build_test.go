package mesh

import (
	"fmt"
	"io"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/grid"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
	"github.com/cyclamenwinch/cyclamenwinch/internal/replica"
)

func newTestMesh(t *testing.T, name string) *Mesh {
	m, err := New(Options{Name: name, Zone: "z", Incarnation: 1, Address: netip.MustParseAddrPort("127.0.0.1:0"), Replica: replica.New(func(replica.Kind, replica.View) {}),
		Log: oplog.New(io.Discard), OnInterval: func(_, _ time.Duration) {}, OnRoutersChanged: func([]string) {}, State: func() State { return State{} }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	return m
}

func (m *Mesh) applyConfig(at replica.Position) {
	m.opts.Replica.ApplySnapshot(time.Now(), replica.Config, replica.Snapshot{Position: at}, "store")
}

// addReaders adds live peers that read the store, and the newest encoding.
func (m *Mesh) addReaders(n int, encoding uint32) {
	for i := range n {
		p := m.peer(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}))
		p.Name, p.Zone, p.row, p.LastHeard, p.ReadsStore, p.encoding = fmt.Sprint("peer", i), "z", m.row, time.Now(), true, encoding
		p.positions = map[replica.Kind]replica.Position{replica.Config: {Revision: 33}}
	}
}

// lastReader returns the name of a router that ranks below all peers as a reader.
func lastReader() string {
	for i := 0; ; i++ {
		name, last := fmt.Sprint("r", i), true
		for j := range targetReaders {
			last = last && grid.Weight(readersKey, fmt.Sprint("peer", j)) >= grid.Weight(readersKey, name)
		}
		if last {
			return name
		}
	}
}

// TestOlderBuildsAreNoReadersForOthers guards against routers that never learn of a
// restoration since all readers of the store ignore it.
func TestOlderBuildsAreNoReadersForOthers(t *testing.T) {
	for encoding, want := range map[uint32]bool{compactEncoding: true, eraEncoding: false} {
		m := newTestMesh(t, lastReader())
		m.addReaders(targetReaders, encoding)
		if got := m.ShouldReadStore(); got != want {
			t.Errorf("encoding %d: reads the store: %v", encoding, got)
		}
	}
}

// TestMembersKeepTheirEncoding guards against routers of other rows that count as an
// older build.
func TestMembersKeepTheirEncoding(t *testing.T) {
	from, to := newTestMesh(t, "r1"), newTestMesh(t, "r2")
	from.addReaders(1, eraEncoding)
	for address, p := range from.peers {
		to.mergeMember(time.Now(), p.toMember(time.Now()))
		if got := to.peers[address].encoding; got != eraEncoding {
			t.Errorf("encoding %d", got)
		}
	}
}

// TestOlderBuildsGetNoPushesThatTheyRefuse guards against collections that are pushed
// again and again.
func TestOlderBuildsGetNoPushesThatTheyRefuse(t *testing.T) {
	m := newTestMesh(t, "r1")
	now := time.Now()
	for _, at := range []replica.Position{{Era: 1, Revision: 40}, {Era: 2, Revision: 20}} {
		m.applyConfig(at)
		m.recordPositions(now, m.opts.Replica.Positions())
	}
	m.addReaders(1, compactEncoding)
	if due := m.duePushes(now.Add(pushDelay)); len(due) > 0 {
		t.Errorf("pushes %v to a router that has a higher revision", due[0].kind)
	}
	m.applyConfig(replica.Position{Era: 2, Revision: 50})
	m.recordPositions(now, m.opts.Replica.Positions())
	if due := m.duePushes(now.Add(pushDelay)); len(due) != 1 {
		t.Errorf("%d pushes of a higher revision", len(due))
	}
}

// TestAbsurdErasOfPeers guards against an era that no later one can follow.
func TestAbsurdErasOfPeers(t *testing.T) {
	for _, era := range []uint64{math.MaxUint64, math.MaxInt64, replica.MaxEra + 1} {
		if got := decodePositions(&peerpb.Beat{Copies: []uint64{5}, Eras: []uint64{era}}); len(got) > 0 {
			t.Errorf("era %d is taken as %v", era, got)
		}
	}
}
