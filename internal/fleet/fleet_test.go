package fleet_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc/credentials/insecure"
	"pgregory.net/rapid"

	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/internal/connlimit"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/fleet"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peer"
	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
	"github.com/cyclamenwinch/cyclamenwinch/internal/submit"
	"github.com/cyclamenwinch/cyclamenwinch/standin/objects"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(20 * time.Second)
	RunSpecs(t, "Fleet")
}

const (
	lease     = 2 * time.Second
	heartbeat = 50 * time.Millisecond
)

// cluster is a platform and a set of routers whose connections to each other can be
// blocked.
type cluster struct {
	objects       *objects.Server
	platform      *httptest.Server
	rejectWatches atomic.Bool  // watches fail with 410 Gone
	incarnations  atomic.Int64 // highest incarnation assigned

	mu      sync.Mutex
	blocked map[string]bool // by "from>address": new connections time out and open ones are reset
}

// router is one fleet.Fleet with its peer listener.
type router struct {
	*fleet.Fleet
	cluster  *cluster
	name     string
	addr     string
	platform string
	usage    map[string]fair.Cost
	events   *eventlog.Log
	stop     func()
}

func newCluster() *cluster {
	c := &cluster{objects: objects.NewServer(1), blocked: map[string]bool{}}
	handler := c.objects.Handler()
	c.platform = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.rejectWatches.Load() && strings.HasPrefix(r.URL.Path, "/v1/watch") {
			http.Error(w, "gone", http.StatusGone)
			return
		}
		handler.ServeHTTP(w, r)
	}))
	DeferCleanup(c.platform.CloseClientConnections)
	return c
}

func (c *cluster) setFaults(f objects.Faults) {
	body, _ := json.Marshal(f)
	req, _ := http.NewRequest(http.MethodPut, c.platform.URL+"/faults", bytes.NewReader(body))
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
}

func (c *cluster) setBlocked(from, addr string, blocked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked[from+">"+addr] = blocked
}

func (c *cluster) isBlocked(from, addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blocked[from+">"+addr]
}

// breakableConn is a connection whose writes fail while broken returns true.
type breakableConn struct {
	net.Conn
	broken func() bool
}

func (c breakableConn) Write(p []byte) (int, error) {
	if c.broken() {
		return 0, syscall.ECONNRESET
	}
	return c.Conn.Write(p)
}

func (c *cluster) router(name string) *router {
	r := &router{cluster: c, name: name, addr: "127.0.0.1:0", platform: c.platform.URL, usage: map[string]fair.Cost{}}
	r.start()
	DeferCleanup(func() { r.stop() })
	return r
}

// start runs a new incarnation at the same address, without the state of the
// previous one.
func (r *router) start() {
	l, err := net.Listen("tcp", r.addr)
	Expect(err).NotTo(HaveOccurred())
	r.addr = l.Addr().String()
	dialer := peer.NewDialerFunc(insecure.NewCredentials(), func(ctx context.Context, addr string) (net.Conn, error) {
		if r.cluster.isBlocked(r.name, addr) {
			return nil, syscall.ETIMEDOUT
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		return breakableConn{conn, func() bool { return r.cluster.isBlocked(r.name, addr) }}, err
	})
	usage := r.usage
	r.events = eventlog.New(r.name, 1000)
	r.Fleet = fleet.New(fleet.Options{
		Self:      member.Router{Name: r.name, Incarnation: r.cluster.incarnations.Add(1), Zone: "z", Region: "north", PeerAddr: r.addr},
		Platform:  platform.New(r.platform),
		Dialer:    dialer,
		Events:    r.events,
		Lease:     lease,
		Heartbeat: heartbeat,
		Usage:     func() map[string]fair.Cost { return usage },
		Load:      func() int { return 0 },
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	f := r.Fleet
	for _, run := range []func(context.Context) error{
		f.RunLeaseRenewal, f.RunHeartbeats, f.WatchManifest, f.RunNotifier,
		func(ctx context.Context) error {
			return peer.Serve(ctx, l, insecure.NewCredentials(), peer.Handlers{Fleet: f}, connlimit.Limits{})
		},
	} {
		wg.Go(func() { run(ctx) })
	}
	r.stop = sync.OnceFunc(func() {
		cancel()
		l.Close()
		dialer.Close()
		wg.Wait()
	})
}

func (r *router) names() []string { return r.View().Names() }

func (r *router) generation() int64 {
	if m := r.Manifest(); m != nil {
		return m.Generation
	}
	return 0
}

func (c *cluster) submit(slots int) int64 {
	m := exampleManifest(slots)
	g, err := submit.Submit(context.Background(), platform.New(c.platform.URL), m)
	Expect(err).NotTo(HaveOccurred())
	return g
}

func exampleManifest(slots int) *manifest.Manifest {
	return &manifest.Manifest{
		Zones:     []manifest.Zone{{Name: "z", Region: "north", State: manifest.In}},
		Accounts:  []manifest.Account{{Name: "cafes", Share: 1, MaxQueue: 1, MaxWaitMillis: 1}},
		Pools:     []manifest.Pool{{Name: "p", Kind: manifest.Model, Models: []string{"m"}}},
		Endpoints: []manifest.Endpoint{{Name: "e", Pool: "p", URL: "http://127.0.0.1:1", Zone: "z", State: manifest.In, Slots: slots, ColdSlots: 1}},
		Orders:    manifest.Orders{Shards: 1, RetentionHours: 1},
	}
}

var _ = Describe("the manifest generation", func() {
	It("never decreases, in whatever order manifests arrive", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := fleet.New(fleet.Options{Events: eventlog.New("r", 10), Lease: lease})
			highest := int64(0)
			for _, g := range rapid.SliceOf(rapid.Int64Range(1, 20)).Draw(t, "generations") {
				if applied := f.ApplyManifest(&manifest.Manifest{Generation: g}); applied != (g > highest) {
					t.Fatalf("generation %d after %d: applied %v", g, highest, applied)
				}
				highest = max(highest, g)
				if got := f.Manifest().Generation; got != highest {
					t.Fatalf("generation %d in force, want %d", got, highest)
				}
			}
		})
	})
})

var _ = Describe("a fleet", func() {
	var (
		c       *cluster
		routers []*router
	)

	BeforeEach(func() {
		c = newCluster()
		routers = nil
		for i := range 4 {
			routers = append(routers, c.router(fmt.Sprintf("r%d", i)))
		}
		for _, r := range routers {
			Eventually(r.names).Should(Equal([]string{"r0", "r1", "r2", "r3"}))
		}
	})

	It("removes a killed router and adds its next incarnation", func() {
		routers[0].stop()
		Eventually(routers[1].names).Should(Equal([]string{"r1", "r2", "r3"}))
		routers[0].start()
		for _, r := range routers {
			Eventually(r.names).Should(Equal([]string{"r0", "r1", "r2", "r3"}))
		}
	})

	It("puts a manifest in force everywhere, also at a router that cannot reach the platform", func() {
		routers[3].stop()
		routers[3].platform = "http://" + routers[3].addr // the address of its own peer listener, not of the platform
		routers[3].start()
		g := c.submit(2)
		for _, r := range routers {
			Eventually(r.generation).Should(Equal(g))
		}
		Expect(routers[3].Manifest().Endpoints[0].Slots).To(Equal(2))
	})

	It("keeps running while the platform is down, and a restarted router gets view and manifest from its peers", func() {
		g := c.submit(2)
		for _, r := range routers {
			Eventually(r.generation).Should(Equal(g))
		}
		c.setFaults(objects.Faults{Down: true})
		c.platform.CloseClientConnections()
		routers[0].stop()
		routers[0].start()
		Expect(routers[0].Manifest()).To(BeNil(), "a restarted router has no manifest until it gets one from a peer")
		Eventually(routers[0].generation).Should(Equal(g))
		Eventually(routers[0].names).Should(Equal([]string{"r0", "r1", "r2", "r3"}))
		c.setFaults(objects.Faults{})
		next := c.submit(3)
		for _, r := range routers {
			Eventually(r.generation).Should(Equal(next))
			Expect(r.names()).To(HaveLen(4))
		}
	})

	It("keeps a router in the view that cannot connect to its peers but is reachable from them", func() {
		for _, r := range routers[1:] {
			c.setBlocked("r0", r.addr, true)
		}
		Consistently(func() int { return len(routers[1].names()) }, 2*lease).Should(Equal(4))
		g := c.submit(2)
		Eventually(routers[0].generation).Should(Equal(g))
	})

	It("converges after a partition between peers while the platform is down", func() {
		c.setFaults(objects.Faults{Down: true})
		for _, x := range routers[:2] {
			for _, y := range routers[2:] {
				c.setBlocked(x.name, y.addr, true)
				c.setBlocked(y.name, x.addr, true)
			}
		}
		Consistently(func() int { return len(routers[1].names()) }, 2*lease).Should(Equal(4))
		c.mu.Lock()
		clear(c.blocked)
		c.mu.Unlock()
		c.setFaults(objects.Faults{})
		g := c.submit(5)
		for _, r := range routers {
			Eventually(r.generation).Should(Equal(g))
			Eventually(r.names).Should(HaveLen(4))
		}
	})

	It("applies changes although every watch fails with 410 Gone", func() {
		c.rejectWatches.Store(true)
		c.platform.CloseClientConnections()
		g := c.submit(2)
		for _, r := range routers {
			Eventually(r.generation).Should(Equal(g))
		}
	})

	It("keeps its generation when the platform returns an older root, also at a router that restarts", func() {
		client := platform.New(c.platform.URL)
		c.submit(2)
		old, err := client.Get(context.Background(), fleet.ManifestKey)
		Expect(err).NotTo(HaveOccurred())
		g := c.submit(3)
		for _, r := range routers {
			Eventually(r.generation).Should(Equal(g))
		}
		now, err := client.Get(context.Background(), fleet.ManifestKey)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Put(context.Background(), fleet.ManifestKey, old.Value, now.Version)
		Expect(err).NotTo(HaveOccurred())
		routers[0].stop()
		routers[0].start()
		Eventually(routers[0].generation).Should(Equal(g), "a restarted router gets the newer generation from its peers")
		Consistently(func(gm Gomega) {
			for _, r := range routers {
				gm.Expect(r.generation()).To(Equal(g))
			}
		}, 10*heartbeat).Should(Succeed())
	})

	It("sums usage over the fleet and across a restart", func() {
		routers[0].stop()
		routers[0].usage = map[string]fair.Cost{"cafes": 10}
		routers[0].start()
		cost := func(r *router) func() fair.Cost {
			return func() fair.Cost { return r.RemoteUsage()["cafes"] }
		}
		Eventually(cost(routers[1])).Should(BeEquivalentTo(10))
		Eventually(cost(routers[2])).Should(BeEquivalentTo(10))
		routers[0].stop()
		routers[0].usage = map[string]fair.Cost{"cafes": 1}
		routers[0].start()
		Eventually(cost(routers[1])).Should(BeEquivalentTo(11))
		Eventually(cost(routers[0])).Should(BeEquivalentTo(10), "cost charged by its earlier incarnation")
	})

	It("does not let a slow subscriber delay heartbeats", func() {
		block := make(chan struct{})
		var calls atomic.Int64
		routers[1].Subscribe(func() {
			calls.Add(1)
			<-block
		})
		g := c.submit(2)
		Eventually(calls.Load).Should(BeEquivalentTo(1))
		Eventually(func() int64 { return routers[2].Generations()["r1"] }).Should(Equal(g))
		next := c.submit(3)
		Eventually(func() int64 { return routers[2].Generations()["r1"] }).Should(Equal(next))
		Expect(calls.Load()).To(BeEquivalentTo(1))
		close(block)
	})
})
