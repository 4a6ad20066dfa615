package relay_test

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
	"github.com/cyclamenwinch/cyclamenwinch/internal/relay"
)

var _ = Describe("A response whose endpoint falls silent and goes on", func() {
	const silence = 2 * time.Second
	streamed := func(s receivedRequest) reply {
		return reply{raw: streamHead(s) + chunk(event(1)), pause: silence, rest: chunk(event(2)) + "0\r\n\r\n"}
	}
	delayed := func(s receivedRequest) reply {
		return reply{pause: silence, rest: streamHead(s) + chunk(event(1)+event(2)) + "0\r\n\r\n"}
	}
	half := func(s receivedRequest) reply {
		all := streamHead(s) + chunk(event(1)+event(2)) + "0\r\n\r\n"
		return reply{raw: all[:40], pause: silence, rest: all[40:]}
	}
	plain := func(s receivedRequest) reply {
		return reply{pause: silence, rest: response(s, 200, event(1)+event(2))}
	}
	scripts := func(what func(receivedRequest) reply) func(int, receivedRequest) reply {
		return func(_ int, s receivedRequest) reply { return what(s) }
	}

	DescribeTable("is delivered if there is no other endpoint",
		func(route topology.Route, what func(receivedRequest) reply) {
			f := newFakeEndpoint(scripts(what))
			server, _ := newServer(route, f)
			_, body, err := send(server, "POST", "/p/", "x")
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(event(1) + event(2)))
			Expect(f.requests()).To(HaveLen(1))
		},
		Entry("a stream that has begun", resumable, streamed),
		Entry("a stream that has not begun", resumable, delayed),
		Entry("half a head", resumable, half),
		Entry("an idempotent request", idempotent, plain),
	)

	It("is delivered if the retry budget is used up", func() {
		f, g := newFakeEndpoint(scripts(streamed)), newFakeEndpoint(scripts(streamed))
		server, _, dispatcher := newServerWithDispatcher(relay.Options{}, resumable, f, g)
		dispatcher.Update(func(_ time.Time, d *dispatch.Dispatcher) { d.SetRetryBudget(0, 0, 10*time.Second) })
		_, body, err := send(server, "POST", "/p/", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(event(1) + event(2)))
		Expect(len(f.requests()) + len(g.requests())).To(Equal(1))
	})

	It("is delivered if the other endpoint refuses connections", func() {
		f, g := newFakeEndpoint(scripts(streamed)), newFakeEndpoint(scripts(streamed))
		server, _, dispatcher := newServerWithDispatcher(relay.Options{}, resumable, f)
		ended := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(ended)
			_, body, err := send(server, "POST", "/p/", "x")
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(event(1) + event(2)))
		}()
		Eventually(f.requests).Should(HaveLen(1))
		g.listener.Close()
		dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) { d.SetEndpoints(now, declared(f, g)) })
		Eventually(ended).WithTimeout(20 * time.Second).Should(BeClosed())
	})

	It("is resumed by another endpoint that has room", func() {
		script := func(_ int, s receivedRequest) reply {
			if s.header.Get("Test-Resume") == "" {
				return reply{raw: streamHead(s) + chunk(event(1)), hang: true}
			}
			return reply{raw: streamHead(s) + chunk(event(2)) + "0\r\n\r\n"}
		}
		f, g := newFakeEndpoint(script), newFakeEndpoint(script)
		server, _ := newServer(resumable, f, g)
		_, body, err := send(server, "POST", "/p/", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(event(1) + event(2)))
		Expect(len(f.requests()) + len(g.requests())).To(Equal(2))
	})
})

var _ = Describe("A long stream whose endpoint breaks off while all others are full", func() {
	It("waits for a place as long as its client waits for the next event", func() {
		const lasts, gap = 2400 * time.Millisecond, 200 * time.Millisecond // longer than clients wait for a first event
		release := make(chan struct{})
		var g *fakeEndpoint
		f := newFakeEndpoint(func(_ int, s receivedRequest) reply {
			Eventually(func() int { return len(g.requests()) }).WithTimeout(20 * time.Second).Should(Equal(2))
			return reply{raw: streamHead(s) + chunk(event(1)), repeat: chunk(": \n\n"), times: int(lasts / gap), pause: gap, close: true}
		})
		g = newFakeEndpoint(func(_ int, s receivedRequest) reply {
			if s.header.Get("Test-Resume") == "" {
				<-release
			}
			return reply{raw: streamHead(s) + chunk(event(2)) + "0\r\n\r\n"}
		})
		route := resumable
		route.Timeout = 30 * time.Second
		server, _, dispatcher := newServerWithDispatcher(relay.Options{}, route, f)
		var clients sync.WaitGroup
		defer clients.Wait()
		var body string
		var err error
		ended := make(chan struct{})
		clients.Go(func() {
			defer GinkgoRecover()
			defer close(ended)
			_, body, err = send(server, "POST", "/p/", "x")
		})
		Eventually(f.requests).WithTimeout(20 * time.Second).Should(HaveLen(1))
		dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) {
			both := declared(f, g)
			both[0].Draining, both[1].Slots = true, 1
			d.SetEndpoints(now, both)
		})
		for range 2 { // as many as fit
			clients.Go(func() {
				defer GinkgoRecover()
				send(server, "POST", "/p/", "y", "Test-Id", "filler")
			})
		}
		Eventually(func() (n int) {
			select {
			case <-ended:
				return -1
			default:
			}
			dispatcher.Update(func(_ time.Time, d *dispatch.Dispatcher) { n = d.QueueLength() })
			return n
		}).WithTimeout(20 * time.Second).WithPolling(time.Millisecond).ShouldNot(BeZero())
		close(release)
		Eventually(ended).WithTimeout(20 * time.Second).Should(BeClosed())
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(HavePrefix(event(1)))
		Expect(body).To(HaveSuffix(event(2)))
	})
})
