package pool_test

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/cyclamenwinch/cyclamenwinch/core/admission"
	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peer"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
	"github.com/cyclamenwinch/cyclamenwinch/internal/pool"
)

func TestPool(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Pools")
}

const patience = 20 * time.Second // for what has to happen some time

// cleanup runs a function after the test.
var cleanup = func(f func()) { DeferCleanup(f) }

// wire passes bytes to a listener until it is frozen: then it keeps the
// connections open and passes nothing.
type wire struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	frozen bool
	conns  []net.Conn
}

func newWire(target string) *wire {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	w := &wire{listener: l, target: target}
	cleanup(w.close)
	go w.accept()
	return w
}

func (w *wire) accept() {
	for {
		from, err := w.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", w.target)
		if err != nil {
			from.Close()
			continue
		}
		w.mu.Lock()
		w.conns = append(w.conns, from, to)
		w.mu.Unlock()
		go w.pass(from, to)
		go w.pass(to, from)
	}
}

func (w *wire) pass(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if w.isFrozen() {
			io.Copy(io.Discard, from)
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (w *wire) isFrozen() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.frozen
}

func (w *wire) freeze() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.frozen = true
}

// thaw lets new connections through; the old ones stay dead.
func (w *wire) thaw() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.frozen = false
	for _, c := range w.conns {
		c.Close()
	}
	w.conns = nil
}

func (w *wire) close() {
	w.listener.Close()
	w.thaw()
}

// region is a fleet of routers that all know each other.
type region struct {
	manifest *manifest.Manifest
	nodes    []*node // by rank for the scope

	mu   sync.Mutex
	left *node // no member any more
}

// node is one router; it is its own fleet.
type node struct {
	region *region
	self   member.Router
	wire   *wire
	host   *pool.Host
	client *pool.Client
	events *eventlog.Log
	stop   context.CancelFunc
	change func() // tells host and client of a changed view
}

const scope = "drafting/north"

func newRegion(maxWait time.Duration, endpoints ...manifest.Endpoint) *region {
	r := &region{manifest: &manifest.Manifest{
		Zones:     []manifest.Zone{{Name: "z", Region: "north"}},
		Accounts:  []manifest.Account{{Name: "hotels", Share: 1, MaxQueue: 10, MaxWaitMillis: int(maxWait.Milliseconds())}},
		Pools:     []manifest.Pool{{Name: "drafting", Kind: manifest.Model}},
		Endpoints: endpoints,
	}}
	for _, name := range []string{"a", "b", "c"} {
		r.nodes = append(r.nodes, newNode(r, name))
	}
	rank := r.nodes[0].View().Rank(pool.OwnerKey(scope))
	slices.SortFunc(r.nodes, func(x, y *node) int {
		at := func(n *node) int {
			return slices.IndexFunc(rank, func(m member.Router) bool { return m.Name == n.self.Name })
		}
		return at(x) - at(y)
	})
	for _, n := range r.nodes {
		n.start()
	}
	return r
}

// remove takes a router out of the others' views.
func (r *region) remove(n *node) {
	r.mu.Lock()
	r.left = n
	r.mu.Unlock()
	for _, other := range r.nodes {
		if other != n {
			other.change()
		}
	}
}

// usage is the account's cost over all routers.
func (r *region) usage() fair.Cost {
	total := fair.Cost(0)
	for _, n := range r.nodes {
		total += n.host.Usage()["hotels"]
	}
	return total
}

func newNode(r *region, name string) *node {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	n := &node{region: r, wire: newWire(l.Addr().String()), events: eventlog.New(name, 1000), change: func() {}}
	n.self = member.Router{Name: name, Incarnation: 1, Zone: "z", Region: "north", PeerAddr: n.wire.listener.Addr().String()}
	n.host = pool.NewHost(n, n.events)
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	cleanup(func() { stop() })
	go peer.Serve(ctx, l, insecure.NewCredentials(), peer.Handlers{
		Fleet: peerpb.UnimplementedFleetServer{}, Admission: n.host, Orders: peerpb.UnimplementedOrdersServer{},
	})
	go n.host.Serve(ctx)
	return n
}

func (n *node) start() {
	dialer := peer.NewDialer(insecure.NewCredentials())
	n.client = pool.NewClient(n, n.host, dialer)
	cleanup(func() {
		n.client.Close()
		dialer.Close()
	})
	n.change()
}

// Self, View, Manifest, RemoteUsage and Subscribe make a node its own fleet.
func (n *node) Self() member.Router               { return n.self }
func (n *node) Manifest() *manifest.Manifest      { return n.region.manifest }
func (n *node) RemoteUsage() map[string]fair.Cost { return nil }

func (n *node) View() member.View {
	n.region.mu.Lock()
	defer n.region.mu.Unlock()
	var routers []member.Router
	for _, other := range n.region.nodes {
		if other != n.region.left {
			routers = append(routers, other.self)
		}
	}
	return member.NewView(routers)
}

func (n *node) Subscribe(f func()) {
	before := n.change
	n.change = func() {
		before()
		f()
	}
}

func (n *node) acquire(fingerprint uint64) (*pool.Slot, error) {
	return n.client.Acquire(context.Background(), "drafting", pool.Request{Account: "hotels", Estimate: 10, Fingerprint: fingerprint})
}

func (n *node) saw(kind eventlog.Kind) func() bool {
	return func() bool {
		return slices.ContainsFunc(n.events.All(), func(e eventlog.Event) bool { return e.Kind == kind })
	}
}

func runner(name string, slots, cold int) manifest.Endpoint {
	return manifest.Endpoint{Name: name, Pool: "drafting", Zone: "z", Slots: slots, ColdSlots: cold}
}

var _ = Describe("sessions", func() {
	var r *region
	var first, second, third *node

	buildWaiting := func(maxWait time.Duration, endpoints ...manifest.Endpoint) {
		r = newRegion(maxWait, endpoints...)
		first, second, third = r.nodes[0], r.nodes[1], r.nodes[2]
	}
	build := func(endpoints ...manifest.Endpoint) { buildWaiting(8*time.Second, endpoints...) }

	It("serve all routers from the first in rank", func() {
		build(runner("e", 2, 1))
		for _, n := range r.nodes {
			slot, err := n.acquire(0)
			Expect(err).NotTo(HaveOccurred())
			slot.UpdateProgress(3, time.Millisecond)
			slot.Release(admission.Completed, 7, time.Millisecond)
		}
		Eventually(r.usage, patience).Should(Equal(fair.Cost(21)))
		Expect(second.saw(eventlog.PoolOwned)()).To(BeFalse())
	})

	It("leave a silent owner for the next in rank, and come back", func() {
		build(runner("e", 6, 6))
		slot, err := third.acquire(0)
		Expect(err).NotTo(HaveOccurred())
		first.wire.freeze()
		again, err := third.acquire(0)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.saw(eventlog.PoolOwned)()).To(BeTrue())
		first.wire.thaw()
		Eventually(second.saw(eventlog.PoolLost), patience).Should(BeTrue())
		slot.Release(admission.Completed, 5, time.Millisecond)
		again.Release(admission.Completed, 5, time.Millisecond)
		Eventually(r.usage, patience).Should(Equal(fair.Cost(10)))
		slot, err = third.acquire(0)
		Expect(err).NotTo(HaveOccurred())
		slot.Release(admission.Completed, 5, time.Millisecond)
		Eventually(r.usage, patience).Should(Equal(fair.Cost(15)))
	})

	It("let a next owner know that a slot was granted at a cold endpoint", func() {
		build(runner("e", 6, 1))
		slot, err := third.acquire(0)
		Expect(err).NotTo(HaveOccurred())
		Expect(third.client.KnowsCold(scope, "e")).To(BeTrue())
		slot.Release(admission.Completed, 5, time.Millisecond)
	})

	It("of an owner that stood still end, and what it granted is reported anew", func() {
		build(runner("e", 2, 2))
		slot, err := third.acquire(0)
		Expect(err).NotTo(HaveOccurred())
		first.host.StandStill()
		Eventually(first.saw(eventlog.PoolLost), patience).Should(BeTrue())
		again, err := second.acquire(0)
		Expect(err).NotTo(HaveOccurred())
		slot.Release(admission.Completed, 5, time.Millisecond)
		again.Release(admission.Completed, 5, time.Millisecond)
		Eventually(r.usage, patience).Should(Equal(fair.Cost(10)))
	})

	It("of a router that stood still bring it no slot that was granted before", func() {
		build(runner("e", 1, 1))
		slot, err := second.acquire(0)
		Expect(err).NotTo(HaveOccurred())
		got := make(chan error)
		go func() {
			again, err := third.acquire(0)
			if err == nil {
				again.Release(admission.Completed, 5, time.Millisecond)
			}
			got <- err
		}()
		third.host.StandStill()
		slot.Release(admission.Completed, 5, time.Millisecond)
		Eventually(got, patience).Should(Receive(Succeed()))
		Eventually(r.usage, patience).Should(Equal(fair.Cost(10)))
	})

	It("refuse as not run what no owner can be asked for", func() {
		buildWaiting(time.Second, runner("e", 6, 6))
		first.wire.freeze()
		second.wire.freeze()
		_, err := third.acquire(0)
		var refusal *code.Error
		Expect(err).To(BeAssignableToTypeOf(refusal))
		refusal = err.(*code.Error)
		Expect(refusal.NotRun).To(BeTrue())
		Expect(refusal.Code).To(Equal(code.OwnerLost))
		Expect(refusal.RetryAfter).To(BeNumerically(">=", time.Second))
	})

	It("free place and slot when the caller leaves", func() {
		build(runner("e", 1, 1))
		slot, err := second.acquire(0)
		Expect(err).NotTo(HaveOccurred())
		ctx, leave := context.WithCancel(context.Background())
		left := make(chan error)
		go func() {
			_, err := third.client.Acquire(ctx, "drafting", pool.Request{Account: "hotels"})
			left <- err
		}()
		leave()
		Expect(<-left).To(HaveField("Code", code.CallerLeft))
		slot.Release(admission.Completed, 1, 0)
		slot, err = first.acquire(0)
		Expect(err).NotTo(HaveOccurred())
		slot.Release(admission.Completed, 1, 0)
	})

	It("keep a quarantine over an owner change", func() {
		build(runner("e", 4, 4), runner("f", 4, 4), runner("g", 4, 4))
		var avoid []string
		for range 2 {
			slot, err := third.client.Acquire(context.Background(), "drafting", pool.Request{Account: "hotels", Fingerprint: 7, Avoid: avoid})
			Expect(err).NotTo(HaveOccurred())
			avoid = append(avoid, slot.Endpoint)
			slot.Release(admission.Crashed, 0, 0)
		}
		Eventually(func() int { return len(second.host.Crashes()) }, patience).Should(Equal(2))
		r.remove(first)
		Eventually(second.saw(eventlog.PoolOwned), patience).Should(BeTrue())
		_, err := second.acquire(7)
		Expect(err).To(HaveField("Code", code.Quarantined))
		second.host.Lift(7)
		third.host.Lift(7)
		slot, err := second.acquire(7)
		Expect(err).NotTo(HaveOccurred())
		slot.Release(admission.Completed, 1, 0)
	})

	It("carry warmth to the next owner", func() {
		build(runner("e", 4, 1))
		for range 12 {
			slot, err := third.acquire(0)
			Expect(err).NotTo(HaveOccurred())
			slot.Release(admission.Completed, 1, 0)
		}
		one, err := third.acquire(0)
		Expect(err).NotTo(HaveOccurred())
		two, err := third.acquire(0)
		Expect(err).NotTo(HaveOccurred())
		r.remove(first)
		Eventually(second.saw(eventlog.PoolOwned), patience).Should(BeTrue())
		one.Release(admission.Completed, 1, 0)
		more, err := third.acquire(0)
		Expect(err).NotTo(HaveOccurred())
		two.Release(admission.Completed, 1, 0)
		more.Release(admission.Completed, 1, 0)
	})
})
