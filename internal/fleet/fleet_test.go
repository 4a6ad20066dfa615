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

// bench is a platform and routers that can be cut off from each other.
type bench struct {
	objects  *objects.Server
	platform *httptest.Server
	noWatch  atomic.Bool // watches answer 410
	started  atomic.Int64

	mu  sync.Mutex
	cut map[string]bool // "from>address": connections are refused or broken
}

// router is one fleet.Fleet with its peer listener.
type router struct {
	*fleet.Fleet
	bench    *bench
	name     string
	addr     string
	platform string
	usage    map[string]fair.Cost
	stop     func()
}

func newBench() *bench {
	b := &bench{objects: objects.NewServer(1), cut: map[string]bool{}}
	handler := b.objects.Handler()
	b.platform = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if b.noWatch.Load() && strings.HasPrefix(r.URL.Path, "/v1/watch") {
			http.Error(w, "gone", http.StatusGone)
			return
		}
		handler.ServeHTTP(w, r)
	}))
	DeferCleanup(b.platform.CloseClientConnections)
	return b
}

func (b *bench) fault(f objects.Faults) {
	body, _ := json.Marshal(f)
	req, _ := http.NewRequest(http.MethodPut, b.platform.URL+"/faults", bytes.NewReader(body))
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
}

func (b *bench) setCut(from, addr string, cut bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cut[from+">"+addr] = cut
}

func (b *bench) isCut(from, addr string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cut[from+">"+addr]
}

// cutConn fails once its pair is cut.
type cutConn struct {
	net.Conn
	broken func() bool
}

func (c cutConn) Write(p []byte) (int, error) {
	if c.broken() {
		return 0, syscall.ECONNRESET
	}
	return c.Conn.Write(p)
}

func (b *bench) router(name string) *router {
	r := &router{bench: b, name: name, addr: "127.0.0.1:0", platform: b.platform.URL, usage: map[string]fair.Cost{}}
	r.start()
	DeferCleanup(func() { r.stop() })
	return r
}

// start runs a new incarnation without memory, at the same address.
func (r *router) start() {
	l, err := net.Listen("tcp", r.addr)
	Expect(err).NotTo(HaveOccurred())
	r.addr = l.Addr().String()
	dialer := peer.NewDialerWith(insecure.NewCredentials(), func(ctx context.Context, addr string) (net.Conn, error) {
		if r.bench.isCut(r.name, addr) {
			return nil, syscall.ETIMEDOUT
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		return cutConn{conn, func() bool { return r.bench.isCut(r.name, addr) }}, err
	})
	usage := r.usage
	r.Fleet = fleet.New(fleet.Options{
		Self:      member.Router{Name: r.name, Incarnation: r.bench.started.Add(1), Zone: "z", Region: "north", PeerAddr: r.addr},
		Platform:  platform.New(r.platform),
		Dialer:    dialer,
		Events:    eventlog.New(r.name, 1000),
		Lease:     lease,
		Heartbeat: heartbeat,
		Usage:     func() map[string]fair.Cost { return usage },
		Load:      func() int { return 0 },
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	f := r.Fleet
	for _, part := range []func(context.Context) error{
		f.RunLeaseRenewal, f.RunHeartbeats, f.WatchManifest, f.RunNotifier,
		func(ctx context.Context) error {
			return peer.Serve(ctx, l, insecure.NewCredentials(), peer.Handlers{Fleet: f})
		},
	} {
		running.Go(func() { part(ctx) })
	}
	r.stop = sync.OnceFunc(func() {
		cancel()
		l.Close()
		dialer.Close()
		running.Wait()
	})
}

func (r *router) names() []string { return r.View().Names() }

func (r *router) generation() int64 {
	if m := r.Manifest(); m != nil {
		return m.Generation
	}
	return 0
}

func (b *bench) submit(slots int) int64 {
	m := example(slots)
	g, err := submit.Submit(context.Background(), platform.New(b.platform.URL), m)
	Expect(err).NotTo(HaveOccurred())
	return g
}

func example(slots int) *manifest.Manifest {
	return &manifest.Manifest{
		Zones:     []manifest.Zone{{Name: "z", Region: "north", State: manifest.In}},
		Accounts:  []manifest.Account{{Name: "cafes", Share: 1, MaxQueue: 1, MaxWaitMillis: 1}},
		Pools:     []manifest.Pool{{Name: "p", Kind: manifest.Model, Models: []string{"m"}}},
		Endpoints: []manifest.Endpoint{{Name: "e", Pool: "p", URL: "http://127.0.0.1:1", Zone: "z", State: manifest.In, Slots: slots, ColdSlots: 1}},
		Orders:    manifest.Orders{Shards: 1, RetentionHours: 1},
	}
}

var _ = Describe("the generation in force", func() {
	It("never falls, in whatever order manifests come", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := fleet.New(fleet.Options{Events: eventlog.New("r", 10), Lease: lease})
			highest := int64(0)
			for _, g := range rapid.SliceOf(rapid.Int64Range(1, 20)).Draw(t, "generations") {
				if adopted := f.Adopt(&manifest.Manifest{Generation: g}); adopted != (g > highest) {
					t.Fatalf("generation %d after %d: adopted %v", g, highest, adopted)
				}
				highest = max(highest, g)
				if got := f.Manifest().Generation; got != highest {
					t.Fatalf("generation %d in force, not %d", got, highest)
				}
			}
		})
	})
})

var _ = Describe("a fleet", func() {
	var (
		b       *bench
		routers []*router
	)

	BeforeEach(func() {
		b = newBench()
		routers = nil
		for i := range 4 {
			routers = append(routers, b.router(fmt.Sprintf("r%d", i)))
		}
		for _, r := range routers {
			Eventually(r.names).Should(Equal([]string{"r0", "r1", "r2", "r3"}))
		}
	})

	It("drops a killed router and takes back its next incarnation", func() {
		routers[0].stop()
		Eventually(routers[1].names).Should(Equal([]string{"r1", "r2", "r3"}))
		routers[0].start()
		for _, r := range routers {
			Eventually(r.names).Should(Equal([]string{"r0", "r1", "r2", "r3"}))
		}
	})

	It("puts a manifest in force everywhere, also where the platform is not reached", func() {
		routers[3].stop()
		routers[3].platform = "http://" + routers[3].addr // no platform answers there
		routers[3].start()
		g := b.submit(2)
		for _, r := range routers {
			Eventually(r.generation).Should(Equal(g))
		}
		Expect(routers[3].Manifest().Endpoints[0].Slots).To(Equal(2))
	})

	It("goes on while the platform is down, and gives a restarted router view and manifest", func() {
		g := b.submit(2)
		for _, r := range routers {
			Eventually(r.generation).Should(Equal(g))
		}
		b.fault(objects.Faults{Down: true})
		b.platform.CloseClientConnections()
		routers[0].stop()
		routers[0].start()
		Expect(routers[0].Manifest()).To(BeNil(), "it serves nothing without a generation")
		Eventually(routers[0].generation).Should(Equal(g))
		Eventually(routers[0].names).Should(Equal([]string{"r0", "r1", "r2", "r3"}))
		b.fault(objects.Faults{})
		next := b.submit(3)
		for _, r := range routers {
			Eventually(r.generation).Should(Equal(next))
			Expect(r.names()).To(HaveLen(4))
		}
	})

	It("keeps a router in view that is cut off one way from its peers", func() {
		for _, r := range routers[1:] {
			b.setCut("r0", r.addr, true)
		}
		Consistently(func() int { return len(routers[1].names()) }, 2*lease).Should(Equal(4))
		g := b.submit(2)
		Eventually(routers[0].generation).Should(Equal(g))
	})

	It("converges after a partition of peers without the platform", func() {
		b.fault(objects.Faults{Down: true})
		for _, x := range routers[:2] {
			for _, y := range routers[2:] {
				b.setCut(x.name, y.addr, true)
				b.setCut(y.name, x.addr, true)
			}
		}
		Consistently(func() int { return len(routers[1].names()) }, 2*lease).Should(Equal(4))
		b.mu.Lock()
		clear(b.cut)
		b.mu.Unlock()
		b.fault(objects.Faults{})
		g := b.submit(5)
		for _, r := range routers {
			Eventually(r.generation).Should(Equal(g))
			Eventually(r.names).Should(HaveLen(4))
		}
	})

	It("takes in changes although every watch answers that its version is gone", func() {
		b.noWatch.Store(true)
		b.platform.CloseClientConnections()
		g := b.submit(2)
		for _, r := range routers {
			Eventually(r.generation).Should(Equal(g))
		}
	})

	It("stays at its generation though the platform answers with an older root, and through a rejoin", func() {
		client := platform.New(b.platform.URL)
		b.submit(2)
		old, err := client.Get(context.Background(), fleet.ManifestKey)
		Expect(err).NotTo(HaveOccurred())
		g := b.submit(3)
		for _, r := range routers {
			Eventually(r.generation).Should(Equal(g))
		}
		now, err := client.Get(context.Background(), fleet.ManifestKey)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Put(context.Background(), fleet.ManifestKey, old.Value, now.Version)
		Expect(err).NotTo(HaveOccurred())
		routers[0].stop()
		routers[0].start()
		Eventually(routers[0].generation).Should(Equal(g), "from its peers")
		Consistently(func(gm Gomega) {
			for _, r := range routers {
				gm.Expect(r.generation()).To(Equal(g))
			}
		}, 10*heartbeat).Should(Succeed())
	})

	It("adds up usage over the fleet and through a restart", func() {
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
		Eventually(cost(routers[0])).Should(BeEquivalentTo(10), "its former self's part")
	})

	It("calls a slow subscriber apart from heartbeats", func() {
		block := make(chan struct{})
		var calls atomic.Int64
		routers[1].Subscribe(func() {
			calls.Add(1)
			<-block
		})
		g := b.submit(2)
		Eventually(calls.Load).Should(BeEquivalentTo(1))
		Eventually(func() int64 { return routers[2].Generations()["r1"] }).Should(Equal(g))
		next := b.submit(3)
		Eventually(func() int64 { return routers[2].Generations()["r1"] }).Should(Equal(next))
		Expect(calls.Load()).To(BeEquivalentTo(1))
		close(block)
	})
})
