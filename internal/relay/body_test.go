package relay_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A request body that can't be read", func() {
	It("is refused rather than left without a response", func() {
		f := newFakeEndpoint(func(_ int, s receivedRequest) reply { return reply{raw: response(s, 200, "")} })
		server, _ := newServer(atMostOnce, f)
		client, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer client.Close()
		_, err = fmt.Fprintf(client, "POST /p/ HTTP/1.1\r\nHost: 127.0.0.1\r\nTest-Id: id\r\nTest-Key: key\r\nTransfer-Encoding: chunked\r\n\r\nnot a chunk\r\n")
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(bufio.NewReader(client), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
		Expect(resp.Close).To(BeTrue())
		Expect(f.requests()).To(BeEmpty())
	})
})

var _ = Describe("A request whose body arrives after its deadline", func() {
	It("is refused rather than left without a response", func() {
		f := newFakeEndpoint(func(_ int, s receivedRequest) reply { return reply{raw: response(s, 200, "")} })
		server, _ := newServer(atMostOnce, f)
		client, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer client.Close()
		_, err = fmt.Fprintf(client, "POST /p/ HTTP/1.1\r\nHost: 127.0.0.1\r\nTest-Id: id\r\nTest-Key: key\r\nTest-Wait: 1\r\nContent-Length: 1\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second) // longer than responses may be written after the deadline
		_, err = fmt.Fprint(client, "x")
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(bufio.NewReader(client), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(f.requests()).To(BeEmpty())
	})
})

var _ = Describe("A large request body that is incomplete at the deadline", func() {
	It("is refused rather than held in memory", func() {
		f := newFakeEndpoint(func(_ int, s receivedRequest) reply { return reply{raw: response(s, 200, "")} })
		server, _ := newServer(atMostOnce, f)
		client, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer client.Close()
		_, err = fmt.Fprintf(client, "POST /p/ HTTP/1.1\r\nHost: 127.0.0.1\r\nTest-Id: id\r\nTest-Key: key\r\nTest-Wait: 100\r\nContent-Length: 1000000\r\n\r\nx")
		Expect(err).NotTo(HaveOccurred())
		Expect(client.SetReadDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
		resp, err := http.ReadResponse(bufio.NewReader(client), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(f.requests()).To(BeEmpty())
	})
})
