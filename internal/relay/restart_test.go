package relay_test

import (
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
	"github.com/cyclamenwinch/cyclamenwinch/internal/relay"
)

var _ = Describe("An endpoint that loses its connections", func() {
	// lose sends two requests at once and ends both in the same way.
	lose := func(end func(s receivedRequest) reply) func() []dispatch.ColdReport {
		var both sync.WaitGroup
		both.Add(2)
		f := newFakeEndpoint(func(_ int, s receivedRequest) reply {
			both.Done()
			both.Wait()
			return end(s)
		})
		server, _, dispatcher := newServerWithDispatcher(relay.Options{}, topology.Route{Kind: topology.AtMostOnce, MaxAttempts: 1}, f)
		dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) {
			d.SetTable(topology.NewTable(topology.Config{Services: []topology.Service{{Name: "s", ColdFor: time.Hour, ColdPerSecond: 1}}}))
		})
		var requests sync.WaitGroup
		for _, id := range []string{"a", "b"} {
			requests.Go(func() {
				defer GinkgoRecover()
				_, _, err := send(server, "POST", "/p/x", "", "Test-Id", id)
				Expect(err).NotTo(HaveOccurred())
			})
		}
		requests.Wait()
		return func() (cold []dispatch.ColdReport) {
			dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) { cold = d.Report(now).Cold })
			return cold
		}
	}

	It("counts as cold, since it may have started again", func() {
		Eventually(lose(func(receivedRequest) reply { return reply{close: true} }), "10s").ShouldNot(BeEmpty())
	})

	It("does not count as cold if this router broke the connections for oversized heads", func() {
		long := "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 1<<20) + "\r\n"
		Consistently(lose(func(receivedRequest) reply { return reply{raw: long, close: true} }), "500ms").Should(BeEmpty())
	})
})
