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
	It("is not blamed on a stream that had begun", func() {
		breakOff := func(n int, s receivedRequest) reply {
			return reply{raw: streamHead(s) + chunk(event(1)), close: true}
		}
		a, b := newFakeEndpoint(breakOff), newFakeEndpoint(breakOff)
		server, _ := newServer(topology.Route{Kind: topology.Stream, Resumable: true, MaxAttempts: 2}, a, b)
		reached := func() int { return len(a.requests()) + len(b.requests()) }
		for range 3 {
			before := reached()
			_, _, err := send(server, http.MethodPost, "/p/x", "same body")
			Expect(err).To(HaveOccurred(), "the stream is incomplete")
			Expect(reached()).To(BeNumerically(">", before))
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
