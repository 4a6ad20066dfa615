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
	"github.com/cyclamenwinch/cyclamenwinch/internal/connlimit"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peer"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
	"github.com/cyclamenwinch/cyclamenwinch/internal/pool"
)

func TestPool(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Pools")
}

const eventualTimeout = 20 * time.Second // for conditions that must become true eventually

// cleanup registers a function that runs after the test; a benchmark replaces it.
var cleanup = func(f func()) { DeferCleanup(f) }

// proxy forwards TCP connections to a listener. While it is blocked it keeps
// them open and forwards nothing.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	blocked bool
	conns   []net.Conn
}

func newProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &proxy{listener: l, target: target}
	cleanup(p.close)
	go p.accept()
	return p
}

func (p *proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", p.target)
		if err != nil {
			from.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, from, to)
		p.mu.Unlock()
		go p.forward(from, to)
		go p.forward(to, from)
	}
}

func (p *proxy) forward(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if p.isBlocked() {
			io.Copy(io.Discard, from)
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) isBlocked() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.blocked
}

func (p *proxy) block() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked = true
}

// unblock forwards new connections again and closes the existing ones.
func (p *proxy) unblock() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked = false
	for _, c := range p.conns {
		c.Close()
	}
	p.conns = nil
}

func (p *proxy) close() {
	p.listener.Close()
	p.unblock()
}

// region is a set of routers that all know each other.
type region struct {
	manifest *manifest.Manifest
	nodes    []*node // by rank for the scope, highest first

	mu      sync.Mutex
	removed *node // no longer in the others' views
}

// node is one router. It implements pool.Fleet for itself.
type node struct {
	region       *region
	self         member.Router
	proxy        *proxy
	host         *pool.Host
	client       *pool.Client
	events       *eventlog.Log
	stop         context.CancelFunc
	notifyChange func() // makes host and client apply a changed view
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
		position := func(n *node) int {
			return slices.IndexFunc(rank, func(m member.Router) bool { return m.Name == n.self.Name })
		}
		return position(x) - position(y)
	})
	for _, n := range r.nodes {
		n.start()
	}
	return r
}

// remove removes a router from the views of the others.
func (r *region) remove(n *node) {
	r.mu.Lock()
	r.removed = n
	r.mu.Unlock()
	for _, other := range r.nodes {
		if other != n {
			other.notifyChange()
		}
	}
}

// usage returns the account's cost summed over all routers.
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
	n := &node{region: r, proxy: newProxy(l.Addr().String()), events: eventlog.New(name, 1000), notifyChange: func() {}}
	n.self = member.Router{Name: name, Incarnation: 1, Zone: "z", Region: "north", PeerAddr: n.proxy.listener.Addr().String()}
	n.host = pool.NewHost(n, n.events)
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	cleanup(func() { stop() })
	go peer.Serve(ctx, l, insecure.NewCredentials(), peer.Handlers{
		Fleet: peerpb.UnimplementedFleetServer{}, Admission: n.host, Orders: peerpb.UnimplementedOrdersServer{},
	}, connlimit.Limits{})
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
	n.notifyChange()
}

// Self, View, Manifest, RemoteUsage and Subscribe implement pool.Fleet.
func (n *node) Self() member.Router               { return n.self }
func (n *node) Manifest() *manifest.Manifest      { return n.region.manifest }
func (n *node) RemoteUsage() map[string]fair.Cost { return nil }

func (n *node) View() member.View {
	n.region.mu.Lock()
	defer n.region.mu.Unlock()
	var routers []member.Router
	for _, other := range n.region.nodes {
		if other != n.region.removed {
			routers = append(routers, other.self)
		}
	}
	return member.NewView(routers)
}

func (n *node) Subscribe(f func()) {
	before := n.notifyChange
	n.notifyChange = func() {
		before()
		f()
	}
}

func (n *node) acquire(fingerprint uint64) (*pool.Slot, error) {
	return n.client.Acquire(context.Background(), "drafting", pool.Request{Account: "hotels", Estimate: 10, Fingerprint: fingerprint})
}

func (n *node) hasEvent(kind eventlog.Kind) func() bool {
	return func() bool {
		return slices.ContainsFunc(n.events.All(), func(e eventlog.Event) bool { return e.Kind == kind })
	}
}

func newEndpoint(name string, slots, cold int) manifest.Endpoint {
	return manifest.Endpoint{Name: name, Pool: "drafting", Zone: "z", Slots: slots, ColdSlots: cold}
}

var _ = Describe("sessions", func() {
	var r *region
	var first, second, third *node

	setUpWithWait := func(maxWait time.Duration, endpoints ...manifest.Endpoint) {
		r = newRegion(maxWait, endpoints...)
		first, second, third = r.nodes[0], r.nodes[1], r.nodes[2]
	}
	setUp := func(endpoints ...manifest.Endpoint) { setUpWithWait(8*time.Second, endpoints...) }

	It("connect all routers to the first in rank", func() {
		setUp(newEndpoint("e", 2, 1))
		for _, n := range r.nodes {
			slot, err := n.acquire(0)
			Expect(err).NotTo(HaveOccurred())
			slot.UpdateProgress(3, time.Millisecond)
			slot.Release(admission.Completed, 7, time.Millisecond)
		}
		Eventually(r.usage, eventualTimeout).Should(Equal(fair.Cost(21)))
		Expect(second.hasEvent(eventlog.PoolOwned)()).To(BeFalse())
	})

	It("move from an unresponsive owner to the next in rank, and back", func() {
		setUp(newEndpoint("e", 6, 6))
		slot, err := third.acquire(0)
		Expect(err).NotTo(HaveOccurred())
		first.proxy.block()
		again, err := third.acquire(0)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.hasEvent(eventlog.PoolOwned)()).To(BeTrue())
		first.proxy.unblock()
		Eventually(second.hasEvent(eventlog.PoolLost), eventualTimeout).Should(BeTrue())
		slot.Release(admission.Completed, 5, time.Millisecond)
		again.Release(admission.Completed, 5, time.Millisecond)
		Eventually(r.usage, eventualTimeout).Should(Equal(fair.Cost(10)))
		slot, err = third.acquire(0)
		Expect(err).NotTo(HaveOccurred())
		slot.Release(admission.Completed, 5, time.Millisecond)
		Eventually(r.usage, eventualTimeout).Should(Equal(fair.Cost(15)))
	})

	It("report to the next owner a release that the owner before it did not receive", func() {
		setUp(newEndpoint("e", 6, 6))
		slot, err := third.acquire(0)
		Expect(err).NotTo(HaveOccurred())
		first.proxy.block()
		slot.Release(admission.Completed, 5, time.Millisecond)
		again, err := third.acquire(0)
		Expect(err).NotTo(HaveOccurred())
		again.Release(admission.Completed, 5, time.Millisecond)
		Eventually(r.usage, eventualTimeout).Should(Equal(fair.Cost(10)))
		Consistently(r.usage, "300ms").Should(Equal(fair.Cost(10)))
	})

	It("do not report a release again that the owner has confirmed", func() {
		setUp(newEndpoint("e", 6, 6))
		for range 3 {
			slot, err := third.acquire(0)
			Expect(err).NotTo(HaveOccurred())
			slot.Release(admission.Completed, 5, time.Millisecond)
		}
		Eventually(r.usage, eventualTimeout).Should(Equal(fair.Cost(15)))
		Eventually(func() int { return third.client.UnconfirmedReleases(scope) }, eventualTimeout).Should(BeZero())
		first.proxy.block()
		slot, err := third.acquire(0)
		Expect(err).NotTo(HaveOccurred())
		slot.Release(admission.Completed, 5, time.Millisecond)
		Eventually(r.usage, eventualTimeout).Should(Equal(fair.Cost(20)))
		Consistently(r.usage, "300ms").Should(Equal(fair.Cost(20)))
	})

	It("report to the next owner that a slot was granted at a cold endpoint", func() {
		setUp(newEndpoint("e", 6, 1))
		slot, err := third.acquire(0)
		Expect(err).NotTo(HaveOccurred())
		Expect(third.client.KnowsCold(scope, "e")).To(BeTrue())
		slot.Release(admission.Completed, 5, time.Millisecond)
	})

	It("of an owner that stalled end, and the slots that it granted are reported again", func() {
		setUp(newEndpoint("e", 2, 2))
		slot, err := third.acquire(0)
		Expect(err).NotTo(HaveOccurred())
		first.host.SimulateStall()
		Eventually(first.hasEvent(eventlog.PoolLost), eventualTimeout).Should(BeTrue())
		again, err := second.acquire(0)
		Expect(err).NotTo(HaveOccurred())
		slot.Release(admission.Completed, 5, time.Millisecond)
		again.Release(admission.Completed, 5, time.Millisecond)
		Eventually(r.usage, eventualTimeout).Should(Equal(fair.Cost(10)))
	})

	It("of a router that stalled deliver no slot that was granted before the stall", func() {
		setUp(newEndpoint("e", 1, 1))
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
		third.host.SimulateStall()
		slot.Release(admission.Completed, 5, time.Millisecond)
		Eventually(got, eventualTimeout).Should(Receive(Succeed()))
		Eventually(r.usage, eventualTimeout).Should(Equal(fair.Cost(10)))
	})

	It("refuse a request as not run if no owner can be reached", func() {
		setUpWithWait(time.Second, newEndpoint("e", 6, 6))
		first.proxy.block()
		second.proxy.block()
		_, err := third.acquire(0)
		var refusal *code.Error
		Expect(err).To(BeAssignableToTypeOf(refusal))
		refusal = err.(*code.Error)
		Expect(refusal.NotRun).To(BeTrue())
		Expect(refusal.Code).To(Equal(code.OwnerLost))
		Expect(refusal.RetryAfter).To(BeNumerically(">=", time.Second))
	})

	It("free the place in the queue and the slot when the caller disconnects", func() {
		setUp(newEndpoint("e", 1, 1))
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

	It("keep a quarantine when the owner changes", func() {
		setUp(newEndpoint("e", 4, 4), newEndpoint("f", 4, 4), newEndpoint("g", 4, 4))
		var avoid []string
		for range 2 {
			slot, err := third.client.Acquire(context.Background(), "drafting", pool.Request{Account: "hotels", Fingerprint: 7, Avoid: avoid})
			Expect(err).NotTo(HaveOccurred())
			avoid = append(avoid, slot.Endpoint)
			slot.Release(admission.Crashed, 0, 0)
		}
		Eventually(func() int { return len(second.host.Crashes()) }, eventualTimeout).Should(Equal(2))
		r.remove(first)
		Eventually(second.hasEvent(eventlog.PoolOwned), eventualTimeout).Should(BeTrue())
		_, err := second.acquire(7)
		Expect(err).To(HaveField("Code", code.Quarantined))
		second.host.Lift(7)
		third.host.Lift(7)
		slot, err := second.acquire(7)
		Expect(err).NotTo(HaveOccurred())
		slot.Release(admission.Completed, 1, 0)
	})

	It("report warmth to the next owner", func() {
		setUp(newEndpoint("e", 4, 1))
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
		Eventually(second.hasEvent(eventlog.PoolOwned), eventualTimeout).Should(BeTrue())
		one.Release(admission.Completed, 1, 0)
		more, err := third.acquire(0)
		Expect(err).NotTo(HaveOccurred())
		two.Release(admission.Completed, 1, 0)
		more.Release(admission.Completed, 1, 0)
	})
})
