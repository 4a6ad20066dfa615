package relay_test

import (
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
	"github.com/cyclamenwinch/cyclamenwinch/internal/relay"
)

func queueLength(d *relay.SharedDispatcher) func() int {
	return func() (n int) {
		d.Update(func(_ time.Time, inner *dispatch.Dispatcher) { n = inner.QueueLength() })
		return n
	}
}

// generating is a testProtocol whose requests have an expected output.
type generating struct{ testProtocol }

func (g generating) ReadRequest(h http.Header) relay.RequestMeta {
	m := g.testProtocol.ReadRequest(h)
	m.OutputHint, m.MaxOutput = 10, 10
	return m
}

var _ = Describe("A silent attempt", func() {
	It("of a generation is resumed elsewhere although room appears late", func() {
		f := newFakeEndpoint(func(_ int, s receivedRequest) reply {
			return reply{raw: streamHead(s) + chunk(event(1)), hang: true}
		})
		g := newFakeEndpoint(func(_ int, s receivedRequest) reply {
			return reply{raw: streamHead(s) + chunk(event(2)) + "0\r\n\r\n"}
		})
		route := resumable
		route.Timeout = 30 * time.Second
		server, _, dispatcher := newServerWithDispatcher(relay.Options{Protocol: generating{}}, route, f)
		time.AfterFunc(2500*time.Millisecond, func() { // later than clients wait for a first event
			dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) { d.SetEndpoints(now, declared(f, g)) })
		})
		_, body, err := send(server, "POST", "/p/", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(event(1) + event(2)))
	})

	It("is kept if the endpoint of its standby begins to leave before the request is sent there", func() {
		release := make(chan struct{})
		f := newFakeEndpoint(func(_ int, s receivedRequest) reply {
			return reply{raw: streamHead(s) + chunk(event(1)), pause: 3 * time.Second, rest: chunk(event(2)) + "0\r\n\r\n"}
		})
		g := newFakeEndpoint(func(_ int, s receivedRequest) reply {
			if s.header.Get("Test-Id") == "filler" {
				<-release
			}
			return reply{raw: streamHead(s) + chunk(event(2)) + "0\r\n\r\n"}
		})
		defer close(release)
		route := resumable
		route.Timeout, route.Objective = 30*time.Second, 5*time.Second // clients wait for long
		server, _, dispatcher := newServerWithDispatcher(relay.Options{}, route, f)
		var clients sync.WaitGroup
		var body string
		var err error
		ended := make(chan struct{})
		clients.Go(func() {
			defer GinkgoRecover()
			defer close(ended)
			_, body, err = send(server, "POST", "/p/", "x")
		})
		Eventually(f.requests).WithTimeout(20 * time.Second).Should(HaveLen(1))
		both := declared(f, g)
		both[0].Draining, both[1].Slots = true, 1
		dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) { d.SetEndpoints(now, both) })
		for range 2 { // as many as fit
			go func() {
				defer GinkgoRecover()
				send(server, "POST", "/p/", "y", "Test-Id", "filler")
			}()
		}
		queue := queueLength(dispatcher)
		Eventually(g.requests).WithTimeout(20 * time.Second).Should(HaveLen(2))
		Eventually(queue).WithTimeout(20 * time.Second).WithPolling(time.Millisecond).ShouldNot(BeZero())
		dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) { both[1].Slots = 8; d.SetEndpoints(now, both) })
		Eventually(queue).WithTimeout(20 * time.Second).WithPolling(100 * time.Microsecond).Should(BeZero())
		dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) { both[1].Draining = true; d.SetEndpoints(now, both) })
		Eventually(ended).WithTimeout(20 * time.Second).Should(BeClosed())
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(event(1) + event(2)))
	})

	It("takes one retry from the budget when it is resumed elsewhere", func() {
		script := func(_ int, s receivedRequest) reply {
			if s.header.Get("Test-Resume") == "" {
				return reply{raw: streamHead(s) + chunk(event(1)), hang: true}
			}
			return reply{raw: streamHead(s) + chunk(event(2)) + "0\r\n\r\n"}
		}
		f, g := newFakeEndpoint(script), newFakeEndpoint(script)
		server, _, dispatcher := newServerWithDispatcher(relay.Options{}, resumable, f, g)
		dispatcher.Update(func(_ time.Time, d *dispatch.Dispatcher) { d.SetRetryBudget(0, 10, time.Minute) })
		_, body, err := send(server, "POST", "/p/", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(event(1) + event(2)))
		left := func(service string) (n int) {
			dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) {
				for d.TakeRetry(now, service) {
					n++
				}
			})
			return n
		}
		Expect(left("s")).To(Equal(left("unused") - 1))
	})

	It("of a request that may run once is not sent elsewhere", func() {
		plain := func(_ int, s receivedRequest) reply {
			return reply{pause: 2500 * time.Millisecond, rest: response(s, 200, "ok")}
		}
		f, g := newFakeEndpoint(plain), newFakeEndpoint(plain)
		server, _ := newServer(topology.Route{Kind: topology.AtMostOnce, MaxAttempts: 2, Objective: 100 * time.Millisecond}, f, g)
		_, body, err := send(server, "POST", "/p/", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("ok"))
		Expect(len(f.requests()) + len(g.requests())).To(Equal(1))
	})
})
