package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A response to a client", func() {
	It("that is a refusal does not stay open while the client is slow to send a body that is not read", func() {
		f := newFakeEndpoint(func(_ int, s receivedRequest) reply { return reply{raw: response(s, 200, "ok")} })
		_, h := newServer(idempotent, f)
		handled := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			h.ServeHTTP(w, r)
			close(handled)
		}))
		DeferCleanup(server.Close)
		c, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		fmt.Fprintf(c, "POST /unknown HTTP/1.1\r\nHost: 127.0.0.1\r\nTest-Key: key\r\nContent-Length: 1000\r\n\r\nhalf")
		Eventually(handled).WithTimeout(20 * time.Second).Should(BeClosed())
		Expect(h.OpenRequests()).To(BeZero())
	})

	DescribeTable("declares its length", func(method, want string) {
		f := newFakeEndpoint(func(_ int, s receivedRequest) reply {
			return reply{raw: "HTTP/1.1 200 OK\r\nTest-Id: " + s.header.Get("Test-Id") + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"}
		})
		server, _ := newServer(idempotent, f)
		c, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		fmt.Fprintf(c, "%s /p/ HTTP/1.1\r\nHost: 127.0.0.1\r\nTest-Id: a\r\nTest-Key: key\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx", method)
		all, err := io.ReadAll(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(all)).To(ContainSubstring(want))
	}, Entry("that is 0", "POST", "Content-Length: 0"))
})
