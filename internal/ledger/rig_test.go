package ledger_test

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/core/order"
	"github.com/cyclamenwinch/cyclamenwinch/internal/endpoint"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/ledger"
	"github.com/cyclamenwinch/cyclamenwinch/internal/memory"
	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
	"github.com/cyclamenwinch/cyclamenwinch/internal/pool"
	"github.com/cyclamenwinch/cyclamenwinch/standin/objects"
	"github.com/cyclamenwinch/cyclamenwinch/standin/orders"
)

// restoreHold is how long new orders wait after a restoration. The specs wait for what
// has to happen in that time.
const restoreHold = 10 * time.Millisecond

func TestLedger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Ledger")
}

// store is an in-process platform with fault injection.
type store struct {
	*objects.Store
	mu       sync.Mutex
	rng      *rand.Rand
	lossRate float64 // fraction of writes with an uncertain result; half of them take effect
	down     bool
}

func (s *store) nextFault() (down, lost, effect bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down, s.rng.Float64() < s.lossRate, s.rng.IntN(2) == 0
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) Get(_ context.Context, key string) (platform.Object, error) {
	if down, _, _ := s.nextFault(); down {
		return platform.Object{}, platform.ErrRateLimited
	}
	o, ok := s.Store.Get(key)
	if !ok {
		return o, platform.ErrNotFound
	}
	return o, nil
}

func (s *store) Put(_ context.Context, key string, value []byte, version int64) (int64, error) {
	down, lost, effect := s.nextFault()
	if down || lost && !effect {
		return 0, platform.ErrUncertain
	}
	version, err := s.Store.Put(key, value, version)
	if lost {
		return 0, platform.ErrUncertain
	}
	return version, err
}

func (s *store) Delete(_ context.Context, key string, version int64) error {
	return s.Store.Delete(key, version)
}

func (s *store) Era() int64 { return 0 }

func (s *store) WaitRetry(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-time.After(time.Millisecond):
	}
	return nil
}

// fleet is the view of a router that is alone in its fleet.
type fleet struct {
	self     member.Router
	manifest *manifest.Manifest
}

func (f fleet) Self() member.Router               { return f.self }
func (f fleet) View() member.View                 { return member.NewView([]member.Router{f.self}) }
func (f fleet) Manifest() *manifest.Manifest      { return f.manifest }
func (f fleet) RemoteUsage() map[string]fair.Cost { return nil }
func (f fleet) Subscribe(func())                  {}

// rig is a platform, an order runner (the endpoint) and routers, each of which
// sees itself as the only router.
type rig struct {
	store    *store
	runner   *httptest.Server
	endpoint manifest.Endpoint
	routers  []*ledger.Ledger
	onOrder  func()              // called when an order reaches the runner
	serve    bool                // added routers maintain their shards
	platform func() ledger.Store // returns the store of a router that is added
	silence  time.Duration       // how long an added router waits for a silent runner
	memory   *memory.Budget      // of added routers; nil: no limit

	mu     sync.Mutex
	fences []int64 // fencing numbers of the orders that reached the runner
}

func newRig(options orders.Options, lookup bool, routers ...string) *rig {
	r := &rig{
		store:   &store{Store: objects.NewStore(), rng: rand.New(rand.NewPCG(1, 1))},
		onOrder: func() {},
		silence: 200 * time.Millisecond,
	}
	r.platform = func() ledger.Store { return r.store }
	runner := orders.NewServer("runner", options).Handler()
	r.runner = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodPost {
			r.recordFence(req)
			r.onOrder()
		}
		runner.ServeHTTP(w, req)
	}))
	DeferCleanup(r.runner.Close)
	r.endpoint = manifest.Endpoint{Name: "e", Pool: "orders", URL: r.runner.URL, Zone: "z", State: manifest.In, Slots: 64, ColdSlots: 64, Fence: options.CheckFence, Lookup: lookup}
	for _, name := range routers {
		r.add(name)
	}
	return r
}

func (r *rig) add(name string) *ledger.Ledger {
	GinkgoHelper()
	f := fleet{self: member.Router{Name: name, Incarnation: 1, Zone: "z", Region: "r"}, manifest: &manifest.Manifest{
		Generation: 1,
		Zones:      []manifest.Zone{{Name: "z", Region: "r", State: manifest.In}},
		Accounts:   []manifest.Account{{Name: "hotels", Share: 1, MaxQueue: 1000, MaxWaitMillis: 10_000}},
		Pools:      []manifest.Pool{{Name: "orders", Kind: manifest.Order, Path: "/v1/orders"}},
		Endpoints:  []manifest.Endpoint{r.endpoint},
		Orders:     manifest.Orders{Shards: 1, RetentionHours: 24},
	}}
	events := eventlog.New(name, 1000)
	host := pool.NewHost(f, events)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go host.Serve(ctx)
	pools := pool.NewClient(f, host, nil)
	DeferCleanup(pools.Close)
	l := ledger.New(ledger.Options{Fleet: f, Platform: r.platform(), Pools: pools, Endpoints: endpoint.New(r.silence), Events: events, Memory: r.memory, StartupGrace: time.Nanosecond, RestoreHold: restoreHold})
	DeferCleanup(l.Close)
	serving, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	if r.serve {
		go l.Serve(serving)
	}
	r.routers = append(r.routers, l)
	return l
}

func (r *rig) recordFence(req *http.Request) {
	fence, _ := strconv.ParseInt(req.Header.Get(orders.FencingNumberHeader), 10, 64)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fences = append(r.fences, fence)
}

// lastFence returns the fencing number of the last order that reached the runner.
func (r *rig) lastFence() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fences[len(r.fences)-1]
}

func testOrder(key string) ledger.Order {
	return ledger.Order{Account: "hotels", Key: key, Pool: "orders", Path: "/v1/orders", ContentType: "application/json", Body: []byte("{}"), RequestID: "request-" + key}
}

// faults sets the faults that the runner injects.
func (r *rig) faults(f orders.Faults) {
	body, err := json.Marshal(f)
	Expect(err).NotTo(HaveOccurred())
	r.send(http.MethodPut, "/faults", body, nil)
}

// stats returns the runner's execution counts.
func (r *rig) stats() orders.Stats {
	var s orders.Stats
	r.send(http.MethodGet, "/stats", nil, &s)
	return s
}

func (r *rig) send(method, path string, body []byte, into any) {
	req, err := http.NewRequest(method, r.runner.URL+path, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	if into != nil {
		Expect(json.NewDecoder(resp.Body).Decode(into)).To(Succeed())
	}
}

// dispatch sends an order late, like a router that stalled after its claim.
func (r *rig) dispatch(key string, fence int64) int {
	response, err := endpoint.New(time.Second).Do(context.Background(), endpoint.Call{URL: r.runner.URL + "/v1/orders", Method: http.MethodPost, Key: order.NewID("hotels", key).String(), Fence: fence})
	Expect(err).NotTo(HaveOccurred())
	return response.Status
}
