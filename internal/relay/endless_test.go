package relay_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
	"github.com/cyclamenwinch/cyclamenwinch/internal/memory"
	"github.com/cyclamenwinch/cyclamenwinch/internal/relay"
)

var _ = Describe("Responses without end", func() {
	filler := strings.Repeat("x", 16<<10)
	head := "HTTP/1.1 200 OK\r\nTest-Id: id-1\r\n"
	stale := "HTTP/1.1 200 OK\r\nTest-Id: other\r\n"
	chunked := "Transfer-Encoding: chunked\r\n\r\n"

	DescribeTable("are given up at a size limit, before the deadline",
		func(route topology.Route, raw, repeat string) {
			f := newFakeEndpoint(func(int, receivedRequest) reply { return reply{raw: raw, repeat: repeat} })
			server, _ := newServerWithOptions(relay.Options{Memory: memory.NewBudget(16 << 20)}, route, f)
			resp, _, err := send(server, "POST", "/p/", "x", "Test-Wait", "20000")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(502), "504 would be the deadline")
			Eventually(f.disconnected).WithTimeout(time.Minute).Should(Receive())
		},
		Entry("in the status line", atMostOnce, "HTTP/1.1 200 ", filler),
		Entry("in a header field", atMostOnce, head+"Filler: ", filler),
		Entry("in header fields", atMostOnce, head, "Filler: "+filler+"\r\n"),
		Entry("in interim responses", atMostOnce, "", "HTTP/1.1 102 Processing\r\n\r\n"),
		Entry("in a body without a length", atMostOnce, head+"\r\n", filler),
		Entry("in a chunked body", atMostOnce, head+chunked, chunk(filler)),
		Entry("in a chunk extension", atMostOnce, head+chunked+"4;", filler),
		Entry("in the trailer", atMostOnce, head+chunked+"0\r\n", "Filler: "+filler+"\r\n"),
		Entry("in a body with a length", atMostOnce, head+"Content-Length: 1000000000000\r\n\r\n", filler),
		Entry("in a late response to another request", atMostOnce, stale+chunked, chunk(filler)),
		Entry("in the first event of a stream", stream, head+"Content-Type: text/event-stream\r\n"+chunked, chunk(filler)),
		Entry("in the first event of a stream that is not chunked", stream, head+"Content-Type: text/event-stream\r\n\r\n", filler),
	)

	It("release the memory for responses", func() {
		f := newFakeEndpoint(func(n int, s receivedRequest) reply {
			if n <= 3 {
				return reply{raw: head + "\r\n", repeat: filler}
			}
			return reply{raw: response(s, 200, strings.Repeat("y", 100<<10))}
		})
		server, _ := newServerWithOptions(relay.Options{Memory: memory.NewBudget(16 << 20)}, atMostOnce, f)
		for range 3 {
			resp, _, err := send(server, "POST", "/p/", "x")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(502))
		}
		_, body, err := send(server, "POST", "/p/", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(HaveLen(100 << 10))
	})

	It("of complete events are cut at a size limit, before the deadline", func() {
		events := strings.Repeat(event(1), 4096)
		f := newFakeEndpoint(func(_ int, s receivedRequest) reply { return reply{raw: streamHead(s), repeat: chunk(events)} })
		server, _ := newServer(stream, f)
		_, body, err := send(server, "POST", "/p/", "x", "Test-Wait", "60000")
		Expect(err).To(HaveOccurred(), "the client can tell that the response is incomplete")
		Expect(len(body)).To(And(BeNumerically(">", 1<<20), BeNumerically("<=", 64<<20)))
	})

	It("that never complete an event are resumed elsewhere, although bytes arrive", func() {
		silent := true
		script := func(_ int, s receivedRequest) reply {
			if silent {
				silent = false
				return reply{raw: streamHead(s) + chunk(event(1)), repeat: chunk(":"), pause: 50 * time.Millisecond}
			}
			return reply{raw: streamHead(s) + chunk(event(2)) + "0\r\n\r\n"}
		}
		f, g := newFakeEndpoint(script), newFakeEndpoint(script)
		server, _ := newServer(resumable, f, g)
		_, body, err := send(server, "POST", "/p/", "x", "Test-Wait", "60000")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(event(1) + event(2)))
	})
})
