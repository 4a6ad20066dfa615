package opsapi_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/core/order"
	"github.com/cyclamenwinch/cyclamenwinch/core/route"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/opsapi"
)

func TestOpsAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Operations API")
}

const token = "operators-token"

// fakeFleet is a fleet with a single router.
type fakeFleet struct {
	self     member.Router
	manifest *manifest.Manifest
}

func (f *fakeFleet) Self() member.Router               { return f.self }
func (f *fakeFleet) View() member.View                 { return member.NewView([]member.Router{f.self}) }
func (f *fakeFleet) Manifest() *manifest.Manifest      { return f.manifest }
func (f *fakeFleet) Generations() map[string]int64     { return map[string]int64{f.self.Name: 1} }
func (f *fakeFleet) RemoteUsage() map[string]fair.Cost { return map[string]fair.Cost{"hotels": 2} }

// fakeOrders stores a single record.
type fakeOrders struct{ record order.Record }

func (f *fakeOrders) Lookup(_ context.Context, account, key string) (order.Record, error) {
	if account != f.record.Account || key != f.record.Key {
		return order.Record{}, code.Refuse(code.NotRecorded, key)
	}
	return f.record, nil
}

func (f *fakeOrders) UnknownOrders(context.Context) ([]order.Record, error) {
	if f.record.State != order.Unknown {
		return nil, nil
	}
	return []order.Record{f.record}, nil
}

func (f *fakeOrders) Settle(_ context.Context, _, _ string, outcome order.State) (order.Record, error) {
	f.record.State = outcome
	return f.record, nil
}

// fakeQuarantine keeps crashes until the quarantine of their request is lifted.
type fakeQuarantine struct{ crashes []route.Crash }

func (f *fakeQuarantine) Crashes() []route.Crash { return f.crashes }
func (f *fakeQuarantine) Lift(fingerprint uint64) bool {
	before := len(f.crashes)
	f.crashes = slices.DeleteFunc(f.crashes, func(c route.Crash) bool { return c.Fingerprint == fingerprint })
	return len(f.crashes) < before
}

var _ = Describe("the operations API", func() {
	var (
		fleet  *fakeFleet
		orders *fakeOrders
		events *eventlog.Log
		h      http.Handler
	)

	BeforeEach(func() {
		fleet = &fakeFleet{self: member.Router{Name: "router-a", Zone: "z1"}, manifest: &manifest.Manifest{
			Generation: 1,
			Zones:      []manifest.Zone{{Name: "z1", Region: "r", State: manifest.Out}},
			Accounts:   []manifest.Account{{Name: "hotels", Share: 3}},
			Endpoints:  []manifest.Endpoint{{Name: "runner-1", Pool: "drafting", Zone: "z1", State: manifest.In}},
		}}
		orders = &fakeOrders{record: order.Record{Account: "hotels", Key: "k", State: order.Unknown}}
		events = eventlog.New("router-a", 100)
		h = opsapi.New(opsapi.Options{
			Fleet: fleet, Events: events, Token: token, Orders: orders,
			OpenRequests: func() int { return 4 },
			Usage:        func() map[string]fair.Cost { return map[string]fair.Cost{"hotels": 5} },
			Quarantine: &fakeQuarantine{crashes: []route.Crash{
				{Fingerprint: 1, Endpoint: "runner-1", Age: time.Minute},
				{Fingerprint: 10, Endpoint: "runner-1", Age: time.Minute},
				{Fingerprint: 10, Endpoint: "runner-2", Age: time.Second},
			}},
			Pools: func() []opsapi.PoolState {
				return []opsapi.PoolState{{
					Scope:     "drafting/r",
					Endpoints: []opsapi.EndpointLoad{{Endpoint: "runner-1", State: opsapi.Cold, Busy: 1, Limit: 2}},
					Accounts:  []opsapi.AccountQueue{{Account: "hotels", Waiting: 3}},
				}}
			},
		}).Handler()
	})

	// call sends a request and returns the status. It decodes the body of a 200
	// response into out and that of any other response into the problem.
	call := func(credential, method, path, body string, out any) (int, code.Problem) {
		r := httptest.NewRequest(method, path, strings.NewReader(body))
		r.Header.Set("Authorization", credential)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		var p code.Problem
		if w.Code != http.StatusOK {
			Expect(w.Header().Get("Content-Type")).To(Equal(code.ProblemType))
			Expect(json.Unmarshal(w.Body.Bytes(), &p)).To(Succeed())
		} else if out != nil {
			Expect(json.Unmarshal(w.Body.Bytes(), out)).To(Succeed())
		}
		return w.Code, p
	}
	get := func(path string, out any) (int, code.Problem) {
		return call("Bearer "+token, "GET", path, "", out)
	}

	DescribeTable("rejects any other credential", func(credential string) {
		for _, path := range []string{"/status", "/timeline", "/metrics", "/orders", "/orders/unknown", "/quarantine", "/anything"} {
			status, p := call(credential, "GET", path, "", nil)
			Expect(status).To(Equal(http.StatusUnauthorized), path)
			Expect(p.Code).To(Equal(int(code.NotAuthorized)))
		}
		status, _ := call(credential, "POST", "/orders/settle", `{"account":"hotels","key":"k","outcome":"done"}`, nil)
		Expect(status).To(Equal(http.StatusUnauthorized))
		Expect(orders.record.State).To(Equal(order.Unknown))
	},
		Entry("none", ""),
		Entry("a caller's key", "Bearer demo-hotels"),
		Entry("the token without its scheme", token),
		Entry("a prefix of the token", "Bearer "+token[:4]),
	)

	It("reports the state", func() {
		var s opsapi.Status
		Expect(get("/status", &s)).To(Equal(http.StatusOK))
		Expect(s.Generation).To(Equal(int64(1)))
		Expect(s.OpenRequests).To(Equal(4))
		Expect(s.Service).To(Equal([]opsapi.AccountService{{Account: "hotels", Share: 3, Cost: 7}}))
		Expect(s.Zones).To(Equal([]opsapi.ZoneState{{Zone: "z1", Region: "r", State: manifest.Out}}))
		Expect(s.Endpoints).To(Equal([]opsapi.EndpointState{{Endpoint: "runner-1", Pool: "drafting", Zone: "z1"}}))
		Expect(s.Pools).To(HaveLen(1))
	})

	It("reports the state while no manifest is in force", func() {
		fleet.manifest = nil
		var s opsapi.Status
		Expect(get("/status", &s)).To(Equal(http.StatusOK))
		Expect(s.Generation).To(BeZero())
	})

	It("writes the gauges of its state", func() {
		r := httptest.NewRequest("GET", "/metrics", nil)
		r.Header.Set("Authorization", "Bearer "+token)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		for _, line := range []string{
			"cyclamenwinch_generation 1\n",
			"cyclamenwinch_members 1\n",
			"cyclamenwinch_open_requests 4\n",
			"cyclamenwinch_ready 1\n",
			"cyclamenwinch_slots_limit{scope=\"drafting/r\",endpoint=\"runner-1\"} 2\n",
			"cyclamenwinch_waiting_requests{scope=\"drafting/r\",account=\"hotels\"} 3\n",
		} {
			Expect(w.Body.String()).To(ContainSubstring(line))
		}
	})

	It("is ready only with a manifest and while the router is not leaving", func() {
		Expect(call("", "GET", "/ready", "", nil)).To(Equal(http.StatusOK))
		fleet.self.Leaving = true
		_, p := call("", "GET", "/ready", "", nil)
		Expect(p.Code).To(Equal(int(code.Stopping)))
		fleet.self.Leaving, fleet.manifest = false, nil
		_, p = call("", "GET", "/ready", "", nil)
		Expect(p.Code).To(Equal(int(code.NoManifest)))
	})

	It("filters and limits the timeline", func() {
		for _, request := range []string{"1", "2", "1"} {
			events.Add(eventlog.Event{Request: request})
		}
		var page eventlog.Page
		Expect(get("/timeline?request=1", &page)).To(Equal(http.StatusOK))
		Expect(page.Events).To(HaveLen(2))
		page = eventlog.Page{}
		Expect(get("/timeline?limit=1", &page)).To(Equal(http.StatusOK))
		Expect(page.Events).To(HaveLen(1))
		Expect(page.Truncated).To(BeTrue())
		Expect(page.Events[0].Request).To(Equal("1"))
	})

	DescribeTable("reports errors of a query with a code and the next step", func(path string, want code.Code) {
		_, p := get(path, nil)
		Expect(p.Code).To(Equal(int(want)))
		Expect(p.Next).NotTo(BeEmpty())
	},
		Entry("limit of 0", "/timeline?limit=0", code.BadRequest),
		Entry("limit above the maximum", "/timeline?limit=1000000", code.BadRequest),
		Entry("invalid from", "/timeline?from=today", code.BadRequest),
		Entry("an order that is not recorded", "/orders?account=hotels&key=other", code.NotRecorded),
		Entry("an unknown path", "/nothing", code.UnknownPath),
	)

	It("lists and lifts the quarantine", func() {
		var list []opsapi.Suspect
		Expect(get("/quarantine", &list)).To(Equal(http.StatusOK))
		Expect(list).To(Equal([]opsapi.Suspect{
			{Fingerprint: "0000000000000001", Endpoints: []string{"runner-1"}, AgeSeconds: 60},
			{Fingerprint: "000000000000000a", Endpoints: []string{"runner-1", "runner-2"}, AgeSeconds: 1, Quarantined: true},
		}))
		_, p := call("Bearer "+token, "POST", "/quarantine/lift", `{"fingerprint":"ten"}`, nil)
		Expect(p.Code).To(Equal(int(code.BadRequest)))
		status, _ := call("Bearer "+token, "POST", "/quarantine/lift", `{"fingerprint":"000000000000000a"}`, nil)
		Expect(status).To(Equal(http.StatusOK))
		Expect(get("/quarantine", &list)).To(Equal(http.StatusOK))
		Expect(list).To(HaveLen(1))
	})

	It("looks up, lists and settles orders", func() {
		var found order.Record
		Expect(get("/orders?account=hotels&key=k", &found)).To(Equal(http.StatusOK))
		Expect(found.State).To(Equal(order.Unknown))
		var list []order.Record
		Expect(get("/orders/unknown", &list)).To(Equal(http.StatusOK))
		Expect(list).To(HaveLen(1))
		_, p := call("Bearer "+token, "POST", "/orders/settle", `{"account":"hotels","key":"k","outcome":"claimed"}`, nil)
		Expect(p.Code).To(Equal(int(code.BadRequest)))
		status, _ := call("Bearer "+token, "POST", "/orders/settle", `{"account":"hotels","key":"k","outcome":"done"}`, nil)
		Expect(status).To(Equal(http.StatusOK))
		Expect(get("/orders/unknown", &list)).To(Equal(http.StatusOK))
		Expect(list).To(BeEmpty())
	})
})
