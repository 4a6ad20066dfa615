package relay_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
	"github.com/cyclamenwinch/cyclamenwinch/internal/relay"
)

var _ = Describe("A router without CPU time to spare", func() {
	// latencyFactor returns what a router whose work waits for the CPU believes of an
	// endpoint after some slow responses.
	latencyFactor := func(lag time.Duration) float64 {
		f := newFakeEndpoint(func(_ int, s receivedRequest) reply {
			time.Sleep(100 * time.Millisecond)
			return reply{raw: response(s, 200, "ok")}
		})
		server, _, dispatcher := newServerWithDispatcher(relay.Options{MaxLag: time.Second, Lag: func() time.Duration { return lag }},
			topology.Route{Kind: topology.Idempotent, MaxAttempts: 1, Objective: time.Second}, f)
		table := topology.NewTable(topology.Config{Services: []topology.Service{{Name: "s", Engine: &topology.Engine{Slots: 4}}}})
		dispatcher.Update(func(_ time.Time, d *dispatch.Dispatcher) { d.SetTable(table) })
		for range 5 {
			resp, _, err := send(server, http.MethodGet, "/p/x", "")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
		}
		return dispatcher.ReportAccount("acc").Endpoints.LatencyFactor
	}

	It("does not take its own delays for slow endpoints", func() {
		Expect(latencyFactor(20 * time.Millisecond)).To(Equal(1.0))
	})

	It("learns that endpoints are slow while it has CPU time", func() {
		Expect(latencyFactor(0)).To(BeNumerically(">", 1.05))
	})
})
