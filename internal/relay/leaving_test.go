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
