package mesh_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/grid"
	"github.com/cyclamenwinch/cyclamenwinch/internal/mesh"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/replica"
)

func TestMesh(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(time.Minute)
	RunSpecs(t, "Mesh")
}

// node is the mesh of one router and what it received.
type node struct {
	mesh      *mesh.Mesh
	replica   *replica.Replica
	address   string // IP:port
	stop      func()
	stopCalls func() // stops responding to the calls of peers
	reading   atomic.Bool

	mu      sync.Mutex
	reports map[string]dispatch.Report
	routers []string
}

func (n *node) report(peer string) dispatch.Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reports[peer]
}

func (n *node) known() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.routers
}

func (n *node) alive() []string {
	var out []string
	for _, r := range n.mesh.Alive() {
		out = append(out, r.Name)
	}
	return out
}

// newNode runs the mesh of router i at 127.0.0.i.
func newNode(i int, port uint16, report dispatch.Report) *node {
	return newNodeOfIncarnation(1, i, port, report)
}

func newNodeOfIncarnation(incarnation int64, i int, port uint16, report dispatch.Report) *node {
	n := &node{reports: map[string]dispatch.Report{}, replica: replica.New(func(replica.Kind, replica.View) {})}
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), port)
	var err error
	n.mesh, err = mesh.New(mesh.Options{
		Name: fmt.Sprint("r", i), Zone: "z", Incarnation: incarnation, CallerAddress: address.String(), Address: address, Replica: n.replica, Log: oplog.New(io.Discard),
		State: func() mesh.State { return mesh.State{Ready: true, ReadsStore: n.reading.Load(), Report: report} },
		OnReport: func(peer string, r dispatch.Report) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.reports[peer] = r
		},
		RowReport: func([]string) dispatch.Report { return report },
		OnRowReport: func(row string, r dispatch.Report) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.reports[row] = r
		},
		OnInterval: func(_, _ time.Duration) {},
		OnRoutersChanged: func(names []string) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.routers = names
		},
	})
	Expect(err).NotTo(HaveOccurred())
	n.address = address.String()
	l, err := net.Listen("tcp", n.address)
	Expect(err).NotTo(HaveOccurred())
	server := mesh.NewServer(n.replica, nil)
	n.stopCalls = server.Stop
	ctx, cancel := context.WithCancel(context.Background())
	go server.Serve(l)
	go n.mesh.Send(ctx)
	go n.mesh.Receive(ctx)
	n.stop = sync.OnceFunc(func() { cancel(); server.Stop(); n.mesh.Close() })
	DeferCleanup(n.stop)
	return n
}

func freePort() uint16 {
	l, err := net.Listen("tcp", "0.0.0.0:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return uint16(l.Addr().(*net.TCPAddr).Port)
}

var _ = Describe("Mesh", func() {
	report := dispatch.Report{
		Endpoints:   []dispatch.EndpointReport{{Endpoint: "e1", Load: dispatch.Load{Active: 2, Pending: 30, Resident: 400}}},
		Cold:        []dispatch.ColdReport{{Endpoint: "e2", StartMillis: 5, Remaining: time.Second}},
		Accounts:    []dispatch.AccountReport{{Service: "s", Account: "a", Demand: 10, Granted: 8}},
		Placements:  []dispatch.Placement{{Sequence: 1, Endpoint: "e1", Parts: []uint64{7, 8}, NewTokens: 100}},
		Incarnation: 1,
	}

	It("makes two routers known to each other once one of them knows the other's address", func() {
		port := freePort()
		a, b := newNode(1, port, report), newNode(2, port, dispatch.Report{})
		b.mesh.AddPeer("", "", netip.MustParseAddr("127.0.0.1"), false)
		Eventually(a.alive).Should(Equal([]string{"r2"}))
		Eventually(b.alive).Should(Equal([]string{"r1"}))
		Eventually(a.known).Should(Equal([]string{"r1", "r2"}))
		Expect(b.report("r1")).To(Equal(report))
	})

	It("drops a silent registered router from the live routers but keeps it among the known ones", func() {
		port := freePort()
		a, b := newNode(1, port, report), newNode(2, port, report)
		a.mesh.AddPeer("r2", "z", netip.MustParseAddr("127.0.0.2"), true)
		Eventually(a.alive).Should(Equal([]string{"r2"}))
		b.stop()
		Eventually(a.alive).Should(BeEmpty())
		Expect(a.known()).To(Equal([]string{"r1", "r2"}))
	})

	It("hears a router again that starts while its time of day lies before that of its last start", func() {
		port := freePort()
		a, b := newNode(1, port, report), newNodeOfIncarnation(1_000, 2, port, report)
		a.mesh.AddPeer("r2", "z", netip.MustParseAddr("127.0.0.2"), true)
		Eventually(a.alive).Should(Equal([]string{"r2"}))
		b.stop()
		Eventually(a.alive).Should(BeEmpty())
		again := newNodeOfIncarnation(10, 2, port, report)
		again.mesh.AddPeer("r1", "z", netip.MustParseAddr("127.0.0.1"), true)
		Eventually(again.alive).Should(Equal([]string{"r1"}))
		Eventually(a.alive).Should(Equal([]string{"r2"}))
		Expect(a.mesh.Alive()[0].Incarnation).To(Equal(int64(1_001)))
	})

	It("distributes state through rows in a large fleet", func() {
		const fleet = 24
		port := freePort()
		var nodes []*node
		for i := 1; i <= fleet; i++ {
			n := newNode(i, port, report)
			if i > 1 {
				n.mesh.AddPeer("", "", netip.MustParseAddr("127.0.0.1"), false)
			}
			nodes = append(nodes, n)
		}
		for _, n := range nodes {
			Eventually(n.alive).Should(HaveLen(fleet - 1))
			Eventually(n.known).Should(HaveLen(fleet))
			Eventually(func() int {
				n.mu.Lock()
				defer n.mu.Unlock()
				rows := 0
				for name := range n.reports {
					if strings.HasPrefix(name, "row ") {
						rows++
					}
				}
				return rows
			}).Should(Equal(grid.New(fleet, 1).RowsPerZone - 1))
		}
		By("choosing few routers to read the store")
		readers := func() int {
			count := 0
			for _, n := range nodes {
				reads := n.mesh.ShouldReadStore()
				n.reading.Store(reads)
				if reads {
					count++
				}
			}
			return count
		}
		Eventually(readers).Should(Equal(4))
	})

	It("fetches records of which a peer has a newer revision", func() {
		port := freePort()
		a, b := newNode(1, port, report), newNode(2, port, report)
		a.replica.ApplySnapshot(time.Now(), replica.Config, replica.Snapshot{Position: replica.Position{Revision: 7}, Records: []replica.Record{{Name: "main", Revision: 7, Data: []byte("seven")}}}, "store")
		b.replica.ApplySnapshot(time.Now(), replica.Config, replica.Snapshot{Position: replica.Position{Revision: 5}, Records: []replica.Record{{Name: "main", Revision: 5, Data: []byte("five")}}}, "store")
		a.mesh.AddPeer("r2", "z", netip.MustParseAddr("127.0.0.2"), true)
		Eventually(func() int64 { return b.replica.Positions()[replica.Config].Revision }).Should(Equal(int64(7)))
		d, _ := b.replica.DeltaSince(replica.Config, replica.Position{})
		Expect(string(d.Records[0].Data)).To(Equal("seven"))
		Expect(a.replica.Positions()[replica.Config].Revision).To(Equal(int64(7)))
	})
})
