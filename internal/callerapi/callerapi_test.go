package callerapi_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/callerapi"
	"github.com/cyclamenwinch/cyclamenwinch/internal/endpoint"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/pool"
)

func TestCallerAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Callers' API")
}

const (
	chatPath = "/v1/chat/completions"
	chatBody = `{"model":"tender-writer","stream":true,"messages":[{"role":"user","content":"stools"}]}`
	// testTimeout limits waits that take this long only if a test fails.
	testTimeout = 30 * time.Second
	// silence is the progress timeout of the specs that run into it. Sound
	// endpoints of a busy machine respond within it.
	silence = 500 * time.Millisecond
)

// testRouter is a callers' API with its event log.
type testRouter struct {
	api    *callerapi.API
	events *eventlog.Log
}

// newTestRouter returns a router with one endpoint of each kind, which runs
// handle. The client account may have one open request, which may wait for the
// given time.
func newTestRouter(wait time.Duration, handle http.HandlerFunc) testRouter {
	return newTestRouterWith(wait, testTimeout, 1, handle)
}

// newTestRouterWith is newTestRouter with the given number of endpoints of each
// kind. An attempt fails if its endpoint sends nothing for progressTimeout.
func newTestRouterWith(wait, progressTimeout time.Duration, endpoints int, handle http.HandlerFunc) testRouter {
	return newTestRouterOptions(wait, progressTimeout, endpoints, handle, func(*callerapi.Options) {})
}

// newTestRouterOptions is newTestRouterWith with a change of the API's options.
func newTestRouterOptions(wait, progressTimeout time.Duration, endpoints int, handle http.HandlerFunc, change func(*callerapi.Options)) testRouter {
	server := httptest.NewServer(handle)
	DeferCleanup(server.Close)
	zone := manifest.Zone{Name: "z", Region: "r", State: manifest.In}
	m := &manifest.Manifest{
		Generation: 1,
		Zones:      []manifest.Zone{zone},
		Accounts:   []manifest.Account{{Name: "hotels", Share: 1, KeyDigests: []string{manifest.KeyDigest("secret")}, MaxQueue: 5, MaxWaitMillis: int(wait.Milliseconds())}},
		Pools:      []manifest.Pool{{Name: "drafting", Kind: manifest.Model, Models: []string{"tender-writer"}}, {Name: "stock", Kind: manifest.Service, Path: "/stock"}},
	}
	for i := range endpoints {
		model := manifest.Endpoint{Name: fmt.Sprintf("runner-%d", i+1), Pool: "drafting", URL: server.URL, Zone: "z", State: manifest.In, Slots: 4, ColdSlots: 4}
		stock := model
		stock.Name, stock.Pool = fmt.Sprintf("stock-%d", i+1), "stock"
		m.Endpoints = append(m.Endpoints, model, stock)
	}
	fleet := staticFleet{m}
	events := eventlog.New("router-a", 100)
	host := pool.NewHost(fleet, events)
	ctx, stop := context.WithCancel(context.Background())
	go host.Serve(ctx)
	client := pool.NewClient(fleet, host, nil)
	DeferCleanup(func() {
		client.Close()
		stop()
	})
	opts := callerapi.Options{
		Fleet: fleet, Pools: client, Endpoints: endpoint.New(progressTimeout), Events: events,
		Addresses: http.NotFoundHandler(), MaxBodyBytes: 4096, MaxAccountRequests: 1,
	}
	change(&opts)
	return testRouter{events: events, api: callerapi.New(opts)}
}

func (router testRouter) send(path, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer secret")
	w := httptest.NewRecorder()
	router.api.Handler().ServeHTTP(w, r)
	return w
}

func decodeProblem(w *httptest.ResponseRecorder) code.Problem {
	var p code.Problem
	Expect(json.Unmarshal(w.Body.Bytes(), &p)).To(Succeed(), w.Body.String())
	return p
}

// eventKinds returns the kinds of a request's events.
func (router testRouter) eventKinds(request string) []eventlog.Kind {
	var kinds []eventlog.Kind
	for _, e := range router.events.Select(eventlog.Filter{Request: request}).Events {
		kinds = append(kinds, e.Kind)
	}
	return kinds
}

var _ = Describe("the callers' API", func() {
	DescribeTable("doesn't report not_run after an attempt at an endpoint",
		func(path, body string) {
			var runs atomic.Int32
			router := newTestRouter(testTimeout, func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				panic(http.ErrAbortHandler)
			})
			p := decodeProblem(router.send(path, body))
			Expect(runs.Load()).To(BeNumerically(">", 0))
			Expect(p.NotRun).To(BeFalse(), "%+v", p)
		},
		Entry("a chat completion", chatPath, chatBody),
		Entry("a plain service", "/stock", `{}`),
	)

	DescribeTable("doesn't pass on an endpoint's status that promises that the request did not run",
		func(path, body string) {
			for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
				router := newTestRouter(testTimeout, func(w http.ResponseWriter, r *http.Request) { http.Error(w, "ran and failed", status) })
				w := router.send(path, body)
				Expect(w.Code).To(Equal(http.StatusBadGateway), "status %d", status)
				Expect(decodeProblem(w).NotRun).To(BeFalse())
			}
		},
		Entry("a chat completion", chatPath, chatBody),
		Entry("a chat completion in one piece", chatPath, strings.Replace(chatBody, "true", "false", 1)),
		Entry("a plain service", "/stock", `{}`),
	)

	It("records the grant and the end of a plain request", func() {
		router := newTestRouter(testTimeout, func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "asked "+r.RequestURI) })
		w := router.send("/stock/a%2Fb?item=low%20stool", `{}`)
		Expect(w.Code).To(Equal(http.StatusOK))
		Expect(w.Body.String()).To(Equal("asked /stock/a%2Fb?item=low%20stool"))
		Expect(router.eventKinds(w.Header().Get(endpoint.RequestIDHeader))).To(Equal([]eventlog.Kind{eventlog.RequestGranted, eventlog.RequestEnded}))
	})

	DescribeTable("finds the pool of a plain service by the path as it was sent",
		func(path string, want int) {
			router := newTestRouter(testTimeout, func(http.ResponseWriter, *http.Request) {})
			Expect(router.send(path, `{}`).Code).To(Equal(want))
		},
		Entry("a letter in percent-encoding", "/%73tock/a", http.StatusOK),
		Entry("an encoded slash, which doesn't end a segment", "/stock%2Fa", http.StatusNotFound),
	)

	It("stops retrying once the retry budget is exhausted", func() {
		var attempts atomic.Int32
		router := newTestRouterWith(testTimeout, testTimeout, manyEndpoints, func(w http.ResponseWriter, r *http.Request) {
			attempts.Add(1)
			http.Error(w, "broken", http.StatusInternalServerError)
		})
		codes := map[int]int{}
		for range 52 {
			p := decodeProblem(router.send(chatPath, chatBody))
			Expect(p.NotRun).To(BeFalse())
			codes[p.Code]++
		}
		Expect(codes).To(Equal(map[int]int{int(code.EndpointError): 50, int(code.RetryBudget): 2}))
		Expect(attempts.Load()).To(Equal(int32(50*3 + 2)))
	})

	It("limits the open requests of a client account", func() {
		started, release := make(chan struct{}), make(chan struct{})
		router := newTestRouter(testTimeout, func(w http.ResponseWriter, r *http.Request) {
			close(started)
			<-release
		})
		first := make(chan int, 1)
		go func() { first <- router.send("/stock", `{}`).Code }()
		Eventually(started, testTimeout).Should(BeClosed())
		w := router.send("/stock", `{}`)
		Expect(decodeProblem(w).Code).To(Equal(int(code.TooManyRequests)))
		Expect(w.Header().Get("Retry-After")).To(Equal("1"))
		close(release)
		Eventually(first, testTimeout).Should(Receive(Equal(http.StatusOK)))
		Expect(router.api.OpenRequests()).To(BeZero())
	})
})
