package relay_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
	"github.com/cyclamenwinch/cyclamenwinch/internal/relay"
)

var _ = Describe("A request whose endpoint begins to leave before it is sent", func() {
	DescribeTable("goes to another endpoint",
		func(leave func(all []topology.Endpoint, id string) []topology.Endpoint) {
			serve := func(_ int, s receivedRequest) reply { return reply{raw: response(s, 200, "here")} }
			f, g := newFakeEndpoint(serve), newFakeEndpoint(serve)
			var dispatcher *relay.SharedDispatcher
			chosen := ""
			protocol := testProtocol{beforeSend: func(id string) {
				if chosen != "" {
					return
				}
				chosen = id
				dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) { d.SetEndpoints(now, leave(declared(f, g), id)) })
			}}
			server, _, d := newServerWithDispatcher(relay.Options{Protocol: protocol}, atMostOnce, f, g)
			dispatcher = d
			resp, _, err := send(server, "POST", "/p/", "x")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(200))
			left := map[string]*fakeEndpoint{"e0": f, "e1": g}[chosen]
			Expect(left.requests()).To(BeEmpty())
		},
		Entry("if it is draining", func(all []topology.Endpoint, id string) []topology.Endpoint {
			for i := range all {
				all[i].Draining = all[i].ID == id
			}
			return all
		}),
		Entry("if it is gone", func(all []topology.Endpoint, id string) []topology.Endpoint {
			return slices.DeleteFunc(all, func(e topology.Endpoint) bool { return e.ID == id })
		}),
	)
})

var _ = Describe("An endpoint that says in a response", func() {
	DescribeTable("what ends its use gets no further request",
		func(status int, header, prefix string) {
			f := newFakeEndpoint(func(_ int, s receivedRequest) reply {
				return reply{raw: prefix + response(s, status, "", header)}
			})
			server, _ := newServer(atMostOnce, f)
			for range 3 {
				_, _, err := send(server, "POST", "/p/", "x")
				Expect(err).NotTo(HaveOccurred())
			}
			Expect(f.requests()).To(HaveLen(1))
		},
		Entry("that it leaves", 200, "Test-Leaving: 1\r\n", ""),
		Entry("that it leaves, with a rejection", 503, "Test-Not-Run: 1\r\nTest-Leaving: 1\r\n", ""),
		Entry("that it leaves, in a late response to another request", 200, "", "HTTP/1.1 200 OK\r\nTest-Id: other\r\nTest-Leaving: 1\r\nContent-Length: 0\r\n\r\n"),
		Entry("that it wants a pause", 503, "Test-Not-Run: 1\r\nTest-Pause: 1m\r\n", ""),
	)
})
