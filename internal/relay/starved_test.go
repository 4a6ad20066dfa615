package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
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

var _ = Describe("The events of a stream", func() {
	// chunks returns how many chunks a router whose work waits for the CPU sends for a
	// stream of twenty events, and the events themselves.
	chunks := func(lag time.Duration) (int, string) {
		const events = 20
		f := newFakeEndpoint(func(_ int, s receivedRequest) reply {
			return reply{raw: streamHead(s) + chunk(event(1)), repeat: chunk(": \n\n"), pause: 5 * time.Millisecond}
		})
		server, _ := newServerWithOptions(relay.Options{MaxLag: time.Second, Lag: func() time.Duration { return lag }},
			topology.Route{Kind: topology.Stream, MaxAttempts: 1}, f)
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		fmt.Fprintf(c, "POST /p/x HTTP/1.1\r\nHost: 127.0.0.1\r\nTest-Id: id-1\r\nTest-Key: key\r\nContent-Length: 0\r\n\r\n")
		var received strings.Builder
		buf := make([]byte, 4096)
		for strings.Count(received.String(), "\n\n") < events {
			n, err := c.Read(buf)
			Expect(err).NotTo(HaveOccurred())
			received.Write(buf[:n])
		}
		return strings.Count(received.String(), "\n\n\r\n"), received.String()
	}

	It("are gathered while the router has no CPU time to spare", func() {
		n, body := chunks(10 * time.Millisecond)
		Expect(n).To(BeNumerically("<=", 10))
		Expect(body).To(ContainSubstring("piece 1"))
	})
})
