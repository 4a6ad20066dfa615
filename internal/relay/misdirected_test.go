package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
	"github.com/cyclamenwinch/cyclamenwinch/internal/relay"
)

var _ = Describe("A response 421", func() {
	// withWeights is an endpoint that has one version of the weights, and states its ID
	// if it rejects a request for another version.
	withWeights := func(id, version string) *fakeEndpoint {
		return newFakeEndpoint(func(_ int, s receivedRequest) reply {
			if want := s.header.Get("Test-Version"); want != "" && want != version {
				return reply{raw: response(s, 421, "", "Test-Not-Run: 1\r\nTest-From: "+id+"\r\n")}
			}
			return reply{raw: response(s, 200, "ok", "Test-Weights: "+version+"\r\n")}
		})
	}
	idempotent := topology.Route{Kind: topology.Idempotent, MaxAttempts: 3}
	status := func(resp *http.Response, _ string, err error) int {
		GinkgoHelper()
		Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode
	}

	It("for other weights takes the endpoint away from no other request", func() {
		f := withWeights("e0", "2")
		server, _ := newServer(idempotent, f)
		Expect(status(send(server, "GET", "/p/", "", "Test-Version", "1"))).To(Equal(503))
		Expect(status(send(server, "GET", "/p/", ""))).To(Equal(200))
		Expect(status(send(server, "GET", "/p/", "", "Test-Version", "2"))).To(Equal(200))
	})

	It("for other weights is not sought again where the weights are known", func() {
		f, g := withWeights("e0", "2"), withWeights("e1", "1")
		server, _, dispatcher := newServerWithDispatcher(relay.Options{}, idempotent, f, g)
		dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) {
			all := declared(f, g)
			all[0].Models, all[1].Models = []topology.ModelWeights{{Name: "m", Version: "2"}}, []topology.ModelWeights{{Name: "m", Version: "1"}}
			d.SetEndpoints(now, all)
		})
		for range 6 {
			Expect(status(send(server, "GET", "/p/", "", "Test-Version", "1"))).To(Equal(200))
		}
		Expect(f.requests()).To(BeEmpty())
	})

	It("of another endpoint at the address takes it away from all requests", func() {
		f := newFakeEndpoint(func(_ int, s receivedRequest) reply {
			return reply{raw: response(s, 421, "", "Test-Not-Run: 1\r\nTest-From: e7\r\n")}
		})
		server, _ := newServer(idempotent, f)
		Expect(status(send(server, "GET", "/p/", "", "Test-Version", "1"))).To(Equal(503))
		Expect(status(send(server, "GET", "/p/", ""))).To(Equal(503))
		Expect(f.requests()).To(HaveLen(1))
	})

	It("for other weights is the end of a stream that no endpoint can go on with", func() {
		var endpoints []*fakeEndpoint
		for i := range 4 {
			endpoints = append(endpoints, newFakeEndpoint(func(_ int, s receivedRequest) reply {
				if s.header.Get("Test-Resume") != "" {
					return reply{raw: response(s, 421, "", fmt.Sprintf("Test-Not-Run: 1\r\nTest-From: e%d\r\n", i))}
				}
				return reply{raw: streamHead(s) + chunk(event(1)), close: true}
			}))
		}
		server, _ := newServer(topology.Route{Kind: topology.Stream, Resumable: true, MaxAttempts: 5}, endpoints...)
		_, body, err := send(server, "POST", "/p/", "x", "Test-Version", "1")
		Expect(err).To(HaveOccurred(), "the stream is incomplete")
		Expect(strings.Count(body, "data:")).To(Equal(1))
		sent := 0
		for _, f := range endpoints {
			sent += len(f.requests())
		}
		Expect(sent).To(Equal(2))
	})
})
