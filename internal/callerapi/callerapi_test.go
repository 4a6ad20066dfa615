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
	// hang bounds waits that only a fault makes long.
	hang = 30 * time.Second
)

// oneRouter serves callers from one endpoint, which answers by handle.
type oneRouter struct {
	api    *callerapi.API
	events *eventlog.Log
}

// newOneRouter returns a router whose client account may keep a request
// waiting for the given time and have one open request.
func newOneRouter(wait time.Duration, handle http.HandlerFunc) oneRouter {
	return newRouterWith(wait, hang, 1, handle)
}

// newRouterWith returns such a router that has a number of endpoints of each
// kind and takes one as failed after the given silence.
func newRouterWith(wait, silence time.Duration, endpoints int, handle http.HandlerFunc) oneRouter {
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
	fleet := closedFleet{m}
	events := eventlog.New("router-a", 100)
	host := pool.NewHost(fleet, events)
	ctx, stop := context.WithCancel(context.Background())
	go host.Serve(ctx)
	client := pool.NewClient(fleet, host, nil)
	DeferCleanup(func() {
		client.Close()
		stop()
	})
	return oneRouter{events: events, api: callerapi.New(callerapi.Options{
		Fleet: fleet, Pools: client, Endpoints: endpoint.New(silence), Events: events,
		Addresses: http.NotFoundHandler(), MaxBodyBytes: 4096, MaxAccountRequests: 1,
	})}
}

func (o oneRouter) send(path, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer secret")
	w := httptest.NewRecorder()
	o.api.Handler().ServeHTTP(w, r)
	return w
}

func problemOf(w *httptest.ResponseRecorder) code.Problem {
	var p code.Problem
	Expect(json.Unmarshal(w.Body.Bytes(), &p)).To(Succeed(), w.Body.String())
	return p
}

// kinds returns the kinds of a request's events.
func (o oneRouter) kinds(request string) []eventlog.Kind {
	var kinds []eventlog.Kind
	for _, e := range o.events.Select(eventlog.Filter{Request: request}).Events {
		kinds = append(kinds, e.Kind)
	}
	return kinds
}

var _ = Describe("the callers' API", func() {
	DescribeTable("doesn't say not run after an endpoint was tried",
		func(path, body string) {
			var runs atomic.Int32
			o := newOneRouter(100*time.Millisecond, func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				panic(http.ErrAbortHandler)
			})
			p := problemOf(o.send(path, body))
			Expect(runs.Load()).To(BeNumerically(">", 0))
			Expect(p.NotRun).To(BeFalse(), "%+v", p)
		},
		Entry("a chat completion", chatPath, chatBody),
		Entry("a plain service", "/stock", `{}`),
	)

	It("notes grant and end of a plain call", func() {
		o := newOneRouter(hang, func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "asked "+r.RequestURI) })
		w := o.send("/stock/a%2Fb?item=low%20stool", `{}`)
		Expect(w.Code).To(Equal(http.StatusOK))
		Expect(w.Body.String()).To(Equal("asked /stock/a%2Fb?item=low%20stool"))
		Expect(o.kinds(w.Header().Get(endpoint.RequestIDHeader))).To(Equal([]eventlog.Kind{eventlog.RequestGranted, eventlog.RequestEnded}))
	})

	It("stops retries once their budget is used up", func() {
		o := newOneRouter(time.Millisecond, func(w http.ResponseWriter, r *http.Request) { http.Error(w, "broken", http.StatusInternalServerError) })
		codes := map[int]int{}
		for range 102 {
			p := problemOf(o.send(chatPath, chatBody))
			Expect(p.NotRun).To(BeFalse())
			codes[p.Code]++
		}
		Expect(codes).To(Equal(map[int]int{int(code.EndpointError): 100, int(code.RetryBudget): 2}))
	})

	It("bounds the open requests of a client account", func() {
		begun, release := make(chan struct{}), make(chan struct{})
		o := newOneRouter(hang, func(w http.ResponseWriter, r *http.Request) {
			close(begun)
			<-release
		})
		first := make(chan int, 1)
		go func() { first <- o.send("/stock", `{}`).Code }()
		Eventually(begun, hang).Should(BeClosed())
		w := o.send("/stock", `{}`)
		Expect(problemOf(w).Code).To(Equal(int(code.TooManyRequests)))
		Expect(w.Header().Get("Retry-After")).To(Equal("1"))
		close(release)
		Eventually(first, hang).Should(Receive(Equal(http.StatusOK)))
		Expect(o.api.OpenRequests()).To(BeZero())
	})
})
