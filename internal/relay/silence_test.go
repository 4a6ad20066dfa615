package relay_test

import (
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
