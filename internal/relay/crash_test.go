package relay_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/route"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
	"github.com/cyclamenwinch/cyclamenwinch/internal/relay"
)

var _ = Describe("A crash of an endpoint", func() {
	It("counts for a request though the endpoint has started again under its ID", func() {
		f := newFakeEndpoint(func(int, receivedRequest) reply { return reply{close: true} })
		server, _, dispatcher := newServerWithDispatcher(relay.Options{}, topology.Route{Kind: topology.AtMostOnce, MaxAttempts: 1}, f)
		for i := range 4 {
			dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) {
				started := declared(f)
				started[0].StartMillis = int64(1 + i)
				d.SetEndpoints(now, started)
			})
			resp, _, err := send(server, http.MethodPost, "/p/x", "the same")
			Expect(err).NotTo(HaveOccurred())
			if i < 2 {
				Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
			} else {
				Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable), "quarantined")
			}
		}
		Expect(f.requests()).To(HaveLen(2))
	})

	It("does not count against the prompt parts of interrupted streams while others with the same parts are complete", func() {
		f := newFakeEndpoint(func(n int, s receivedRequest) reply {
			if n%2 == 1 {
				return reply{raw: streamHead(s) + chunk(event(1)), close: true}
			}
			return reply{raw: streamHead(s) + chunk(event(1)) + chunk("")}
		})
		server, _, dispatcher := newServerWithDispatcher(relay.Options{}, topology.Route{Kind: topology.Stream, MaxAttempts: 1}, f)
		for i := range 4 * route.PartQuarantineCrashes {
			dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) {
				started := declared(f)
				started[0].StartMillis = int64(1 + i)
				d.SetEndpoints(now, started)
			})
			_, _, err := send(server, http.MethodPost, "/p/x", fmt.Sprint("body ", i), "Test-Parts", fmt.Sprint("1 2 ", 100+i))
			Expect(f.requests()).To(HaveLen(i + 1))
			if i%2 == 0 {
				Expect(err).To(HaveOccurred(), "the stream is incomplete")
				continue
			}
			Expect(err).NotTo(HaveOccurred())
			dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) { Expect(d.Report(now).PartCrashes).To(BeEmpty()) })
		}
	})

	for name, streams := range map[string]topology.Route{
		"streams that can't be resumed": {Kind: topology.Stream, MaxAttempts: 1},
		"streams that can be resumed":   {Kind: topology.Stream, Resumable: true, MaxAttempts: 2},
	} {
		It("after the first event is put down to the prompt part that the requests have in common: "+name, func() {
			var crashes atomic.Int64
			var endpoints []*fakeEndpoint
			for range 8 {
				endpoints = append(endpoints, newFakeEndpoint(func(_ int, s receivedRequest) reply {
					if slices.Contains(strings.Fields(s.header.Get("Test-Parts")), "2") {
						crashes.Add(1)
						return reply{raw: streamHead(s) + chunk(event(1)), close: true}
					}
					return reply{raw: streamHead(s) + chunk(event(1)) + chunk("")}
				}))
			}
			server, _, dispatcher := newServerWithDispatcher(relay.Options{}, streams, endpoints...)
			for i := range 20 {
				dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) {
					started := declared(endpoints...)
					for e := range started {
						started[e].StartMillis = 1 + crashes.Load()
					}
					d.SetEndpoints(now, started)
				})
				resp, body, err := send(server, http.MethodPost, "/p/x", fmt.Sprint("body ", i), "Test-Parts", fmt.Sprint("1 2 3 ", 100+i))
				if i >= route.PartQuarantineCrashes {
					Expect(err).NotTo(HaveOccurred())
					Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
					Expect(body).To(ContainSubstring("prompt part 2"))
				}
				resp, _, err = send(server, http.MethodPost, "/p/x", fmt.Sprint("sound ", i), "Test-Parts", fmt.Sprint("1 3 ", 200+i))
				Expect(err).NotTo(HaveOccurred())
				Expect(resp.StatusCode).To(Equal(http.StatusOK), "shares the other parts and the account")
			}
			Expect(crashes.Load()).To(BeNumerically("<=", route.PartQuarantineCrashes))
		})
	}

	It("counts for requests without a body that ask for the same", func() {
		crash := func(_ int, s receivedRequest) reply {
			if strings.HasPrefix(s.uri, "/p/deadly") {
				return reply{close: true}
			}
			return reply{raw: response(s, 200, "ok")}
		}
		endpoints := []*fakeEndpoint{newFakeEndpoint(crash), newFakeEndpoint(crash), newFakeEndpoint(crash), newFakeEndpoint(crash), newFakeEndpoint(crash)}
		server, _, dispatcher := newServerWithDispatcher(relay.Options{}, topology.Route{Kind: topology.Idempotent, MaxAttempts: 2}, endpoints...)
		var status []int
		for i := range 6 {
			dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) {
				started := declared(endpoints...)
				for e := range started {
					started[e].StartMillis = int64(1 + i)
				}
				d.SetEndpoints(now, started)
			})
			resp, _, err := send(server, http.MethodGet, "/p/deadly?id=1", "")
			Expect(err).NotTo(HaveOccurred())
			status = append(status, resp.StatusCode)
			for _, other := range []string{"/p/sound", "/p/sound?id=1"} {
				resp, _, err = send(server, http.MethodGet, other, "")
				Expect(err).NotTo(HaveOccurred())
				Expect(resp.StatusCode).To(Equal(http.StatusOK))
			}
		}
		Expect(status).To(Equal([]int{502, 502, 503, 503, 503, 503}))
		reached := 0
		for _, f := range endpoints {
			for _, r := range f.requests() {
				if strings.HasPrefix(r.uri, "/p/deadly") {
					reached++
				}
			}
		}
		Expect(reached).To(Equal(route.ResourceQuarantineCrashes))
	})

	It("does not count for requests without a body while others that ask for the same are served", func() {
		script := func(_ int, s receivedRequest) reply {
			if s.header.Get("Test-Kind") == "deadly" {
				return reply{close: true}
			}
			return reply{raw: response(s, 200, "ok")}
		}
		endpoints := []*fakeEndpoint{newFakeEndpoint(script), newFakeEndpoint(script), newFakeEndpoint(script)}
		server, _ := newServer(topology.Route{Kind: topology.Idempotent, MaxAttempts: 2}, endpoints...)
		for range 10 {
			resp, _, err := send(server, http.MethodGet, "/p/x", "", "Test-Kind", "deadly")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
			resp, _, err = send(server, http.MethodGet, "/p/x", "", "Test-Kind", "sound")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
		}
	})

	It("is recognised by the prompt part that the requests have in common", func() {
		const deadly = "2"
		var crashes atomic.Int64
		var endpoints []*fakeEndpoint
		for range 8 {
			endpoints = append(endpoints, newFakeEndpoint(func(_ int, s receivedRequest) reply {
				if slices.Contains(strings.Fields(s.header.Get("Test-Parts")), deadly) {
					crashes.Add(1)
					return reply{close: true}
				}
				return reply{raw: response(s, 200, "ok")}
			}))
		}
		server, _, dispatcher := newServerWithDispatcher(relay.Options{}, topology.Route{Kind: topology.Idempotent, MaxAttempts: 2}, endpoints...)
		request := func(own int, parts string) (*http.Response, string) {
			dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) {
				started := declared(endpoints...)
				for i := range started {
					started[i].StartMillis = crashes.Load() // those that crashed have started again
				}
				d.SetEndpoints(now, started)
			})
			resp, body, err := send(server, http.MethodPost, "/p/x", fmt.Sprint("body ", own), "Test-Parts", fmt.Sprint(parts, " ", own))
			Expect(err).NotTo(HaveOccurred())
			return resp, body
		}
		for i := range 20 {
			request(100+i, "1 2 3")
			resp, _ := request(200+i, "1 3")
			Expect(resp.StatusCode).To(Equal(http.StatusOK), "shares the other parts and the account")
		}
		Expect(crashes.Load()).To(BeNumerically("<=", route.PartQuarantineCrashes))
		resp, body := request(300, "1 2 3")
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(body).To(ContainSubstring("prompt part 2"))
	})
})
