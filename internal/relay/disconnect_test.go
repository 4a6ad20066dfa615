package relay_test

import (
	"fmt"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

var _ = Describe("A client that disconnects as soon as it has its response", func() {
	It("does not end the connection, which serves the next request", func() {
		served := make(chan struct{}, 1)
		var client net.Conn
		f := newFakeEndpoint(func(n int, s receivedRequest) reply {
			if n == 1 {
				return reply{raw: response(s, 200, strings.Repeat("x", 6<<20))}
			}
			// The first client leaves while the second request is under way.
			Expect(client.Close()).To(Succeed())
			<-served
			return reply{raw: response(s, 200, "second")}
		})
		server, _ := newServer(topology.Route{Kind: topology.Idempotent, MaxAttempts: 2, Objective: time.Minute, Timeout: time.Minute}, f)
		var err error
		client, err = net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		Expect(client.(*net.TCPConn).SetReadBuffer(4 << 10)).To(Succeed())
		_, err = fmt.Fprintf(client, "GET /p/ HTTP/1.1\r\nHost: 127.0.0.1\r\nTest-Id: id\r\nTest-Key: key\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Read(make([]byte, 1)) // the response is complete and being written
		Expect(err).NotTo(HaveOccurred())
		time.AfterFunc(200*time.Millisecond, func() { served <- struct{}{} })
		_, body, err := send(server, "GET", "/p/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("second"))
		Expect(f.requests()).To(HaveLen(2), "the second request was not sent again")
	})
})
