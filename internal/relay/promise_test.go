package relay_test

import (
	"net/http"
	"strconv"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

var _ = Describe("A status that promises that a request did not run", func() {
	routes := map[string]topology.Route{
		"an order":                       {Kind: topology.AtMostOnce, MaxAttempts: 2},
		"a stream that can't be resumed": {Kind: topology.Stream, MaxAttempts: 2},
		"a stream that can be resumed":   {Kind: topology.Stream, Resumable: true, MaxAttempts: 2},
		"an idempotent request":          {Kind: topology.Idempotent, MaxAttempts: 2},
	}
	for name, route := range routes {
		for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
			failed := func(_ int, s receivedRequest) reply { return reply{raw: response(s, status, "ran and failed")} }
			expectNoPromise := func(resp *http.Response, body string, err error) {
				GinkgoHelper()
				Expect(err).NotTo(HaveOccurred())
				Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
				Expect(resp.Header).NotTo(HaveKey("Seal"), "the endpoint gave another status")
				Expect(body).NotTo(ContainSubstring("ran and failed"))
			}
			label := name + ", status " + strconv.Itoa(status)

			It("is not passed on for a request that may have run: "+label, func() {
				f, g := newFakeEndpoint(failed), newFakeEndpoint(failed)
				server, _ := newServer(route, f, g)
				expectNoPromise(send(server, "POST", "/p/", "x"))
				sent := 1
				if route.Repeatable() {
					sent = 2
				}
				Expect(len(f.requests()) + len(g.requests())).To(Equal(sent))
			})

			It("is not passed on after another endpoint has rejected the request: "+label, func() {
				var received atomic.Int64 // the second endpoint receives it after the first has responded
				script := func(n int, s receivedRequest) reply {
					if received.Add(1) == 1 {
						return reply{raw: response(s, 503, "full", "Test-Not-Run: 1\r\n")}
					}
					return failed(n, s)
				}
				server, _ := newServer(route, newFakeEndpoint(script), newFakeEndpoint(script))
				expectNoPromise(send(server, "POST", "/p/", "x"))
				Expect(received.Load()).To(BeEquivalentTo(2))
			})
		}
	}

	It("is not given by the router after an attempt that may have run the request", func() {
		var received atomic.Int64
		script := func(_ int, s receivedRequest) reply {
			if received.Add(1) == 1 {
				return reply{close: true}
			}
			return reply{raw: response(s, 503, "full", "Test-Not-Run: 1\r\n")}
		}
		server, _ := newServer(topology.Route{Kind: topology.Idempotent, MaxAttempts: 2}, newFakeEndpoint(script), newFakeEndpoint(script))
		resp, body, err := send(server, "POST", "/p/", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(received.Load()).To(BeEquivalentTo(2))
		Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(body).To(ContainSubstring(`"not_run":false`))
	})
})
