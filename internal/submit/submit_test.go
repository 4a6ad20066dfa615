package submit_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
	"github.com/cyclamenwinch/cyclamenwinch/internal/submit"
	"github.com/cyclamenwinch/cyclamenwinch/standin/objects"
)

func TestSubmit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Submit")
}

// control makes one of the stand-in's control calls.
func control(server *httptest.Server, path string) {
	GinkgoHelper()
	req, err := http.NewRequest(http.MethodPut, server.URL+path, nil)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.Body.Close()).To(Succeed())
}

// storeAgain writes a root and its parts to a restored platform, as a router does.
func storeAgain(ctx context.Context, client *platform.Client, root platform.Object, parts []platform.Object) {
	GinkgoHelper()
	for _, p := range parts {
		if _, err := client.Put(ctx, p.Key, p.Value, 0); err != nil {
			Expect(err).To(MatchError(platform.ErrConflict))
		}
	}
	restored, err := client.Get(ctx, root.Key)
	Expect(err).NotTo(HaveOccurred())
	var r manifest.Root
	Expect(json.Unmarshal(root.Value, &r)).To(Succeed())
	r.Era = platform.EraOf(restored.Version)
	value, err := json.Marshal(r)
	Expect(err).NotTo(HaveOccurred())
	_, err = client.Put(ctx, root.Key, value, restored.Version)
	Expect(err).NotTo(HaveOccurred())
}

func example(slots int) *manifest.Manifest {
	return &manifest.Manifest{
		Zones:     []manifest.Zone{{Name: "z", Region: "north", State: manifest.In}},
		Accounts:  []manifest.Account{{Name: "cafes", Share: 1, MaxQueue: 1, MaxWaitMillis: 1}},
		Pools:     []manifest.Pool{{Name: "p", Kind: manifest.Model, Models: []string{"m"}}},
		Endpoints: []manifest.Endpoint{{Name: "e", Pool: "p", URL: "http://127.0.0.1:1", Zone: "z", State: manifest.In, Slots: slots, ColdSlots: 1}},
		Orders:    manifest.Orders{Shards: 4, RetentionHours: 1},
	}
}

var _ = Describe("submit", func() {
	var (
		ctx           = context.Background()
		client        *platform.Client
		server        *httptest.Server
		loseResponses atomic.Int64 // number of further root writes that take effect but whose response is lost
		dropWrites    atomic.Int64 // number of further root writes that are lost without effect
	)

	BeforeEach(func() {
		loseResponses.Store(0)
		dropWrites.Store(0)
		handler := objects.NewServer(1).Handler()
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			rootWrite := r.Method == http.MethodPut && strings.HasSuffix(r.URL.Path, "config/manifest")
			switch {
			case rootWrite && dropWrites.Add(-1) >= 0:
				http.Error(w, "lost", http.StatusServiceUnavailable)
			case rootWrite && loseResponses.Add(-1) >= 0:
				handler.ServeHTTP(httptest.NewRecorder(), r)
				http.Error(w, "lost", http.StatusServiceUnavailable)
			default:
				handler.ServeHTTP(w, r)
			}
		}))
		DeferCleanup(server.Close)
		client = platform.New(server.URL)
	})

	It("accepts one of several concurrent submissions and tells the others what changed", func() {
		_, err := submit.Submit(ctx, client, example(1))
		Expect(err).NotTo(HaveOccurred())
		errs := make([]error, 8)
		var all sync.WaitGroup
		for i := range errs {
			all.Go(func() {
				m := example(10 + i)
				m.Generation = 1
				_, errs[i] = submit.Submit(ctx, client, m)
			})
		}
		all.Wait()
		won := 0
		for _, err := range errs {
			if err == nil {
				won++
				continue
			}
			Expect(code.Is(err, code.Conflict)).To(BeTrue(), err.Error())
			Expect(err.Error()).To(ContainSubstring("endpoints/e.slots: "))
		}
		Expect(won).To(Equal(1))
		m, _, err := submit.Current(ctx, client)
		Expect(err).NotTo(HaveOccurred())
		Expect(m.Generation).To(BeEquivalentTo(2))
		parts, err := client.List(ctx, "config/parts/")
		Expect(err).NotTo(HaveOccurred())
		Expect(parts.Items).To(HaveLen(2), "the parts of rejected submissions and of the previous generation are deleted")
	})

	It("detects that it was accepted although the response was lost", func() {
		loseResponses.Store(1)
		generation, err := submit.Submit(ctx, client, example(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(generation).To(BeEquivalentTo(1))
	})

	It("detects that it was accepted although another change followed immediately", func() {
		loseResponses.Store(1)
		tries := 0
		fast := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPut && strings.HasSuffix(r.URL.Path, "config/manifest") {
				tries++
			}
			if tries == 2 {
				submit.Submit(ctx, client, example(7))
			}
			server.Config.Handler.ServeHTTP(w, r)
		}))
		defer fast.Close()
		generation, err := submit.Submit(ctx, platform.New(fast.URL), example(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(generation).To(BeEquivalentTo(1))
		m, _, _ := submit.Current(ctx, client)
		Expect(m.Endpoints[0].Slots).To(Equal(7))
	})

	It("repeats a write that was lost", func() {
		dropWrites.Store(2)
		generation, err := submit.Submit(ctx, client, example(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(generation).To(BeEquivalentTo(1))
	})

	It("reports an unknown outcome if no write gets a response", func() {
		dropWrites.Store(1000)
		_, err := submit.Submit(ctx, client, example(1))
		Expect(code.Is(err, code.SubmitUnknown)).To(BeTrue())
	})

	It("accepts a manifest above all generations that a restored platform has lost", func() {
		DeferCleanup(submit.SetConfirmTimeout(0))
		_, err := submit.Submit(ctx, client, example(1))
		Expect(err).NotTo(HaveOccurred())
		control(server, "/copy")
		var lost int64
		for slots := range 20 {
			lost, err = submit.Submit(ctx, client, example(2+slots))
			Expect(err).NotTo(HaveOccurred())
		}
		control(server, "/restore")
		generation, err := submit.Submit(ctx, client, example(30))
		Expect(err).NotTo(HaveOccurred())
		Expect(generation).To(BeNumerically(">", lost))
		next, err := submit.Submit(ctx, client, example(31))
		Expect(err).NotTo(HaveOccurred())
		Expect(next).To(Equal(generation + 1))
	})

	It("waits after a restoration until a router has stored the manifest in force again", func() {
		DeferCleanup(submit.SetConfirmTimeout(time.Minute))
		_, err := submit.Submit(ctx, client, example(1))
		Expect(err).NotTo(HaveOccurred())
		control(server, "/copy")
		_, err = submit.Submit(ctx, client, example(2))
		Expect(err).NotTo(HaveOccurred())
		parts, err := client.List(ctx, "config/parts/")
		Expect(err).NotTo(HaveOccurred())
		inForce, err := client.Get(ctx, "config/manifest")
		Expect(err).NotTo(HaveOccurred())
		control(server, "/restore")

		reads := 0
		router := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			server.Config.Handler.ServeHTTP(w, r)
			if r.Method == http.MethodGet && strings.HasSuffix(r.URL.Path, "config/manifest") {
				if reads++; reads == 2 {
					storeAgain(ctx, client, inForce, parts.Items)
				}
			}
		}))
		defer router.Close()
		m := example(3)
		m.Generation = 1
		_, err = submit.Submit(ctx, platform.New(router.URL), m)
		Expect(code.Is(err, code.Conflict)).To(BeTrue(), "%v", err)
		Expect(err.Error()).To(ContainSubstring("endpoints/e.slots: 2 -> 3"))
	})

	It("does not say that a manifest was rejected if a restoration may have lost it", func() {
		dropped := false
		restoring := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			server.Config.Handler.ServeHTTP(w, r)
			if r.Method == http.MethodPut && strings.HasSuffix(r.URL.Path, "config/manifest") && !dropped {
				dropped = true
				control(server, "/restore")
			}
		}))
		defer restoring.Close()
		_, err := submit.Submit(ctx, client, example(1))
		Expect(err).NotTo(HaveOccurred())
		control(server, "/copy")
		loseResponses.Store(1)
		_, err = submit.Submit(ctx, platform.New(restoring.URL), example(2))
		Expect(code.Is(err, code.SubmitUnknown)).To(BeTrue(), "%v", err)
	})

	It("lists every fault of an invalid manifest", func() {
		m := example(0)
		m.Accounts[0].Share = -1
		m.Endpoints[0].Zone = "none"
		data, _ := json.Marshal(m)
		_, err := submit.Parse(data)
		Expect(err).To(MatchError(And(ContainSubstring("share"), ContainSubstring("slots"), ContainSubstring("zone"))))
	})

	It("rejects a change of the number of shards once an order is recorded", func() {
		_, err := submit.Submit(ctx, client, example(1))
		Expect(err).NotTo(HaveOccurred())
		m := example(1)
		m.Orders.Shards = 8
		_, err = submit.Submit(ctx, client, m)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Put(ctx, fmt.Sprintf("orders/%d/%d", 3, 1), []byte("{}"), 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = submit.Submit(ctx, client, example(1))
		Expect(code.Is(err, code.BadManifest)).To(BeTrue())
		Expect(err.Error()).To(ContainSubstring("orders.shards"))
	})
})
