package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/internal/upstream"
)

var _ = Describe("A connection whose read deadline has passed", func() {
	It("is read on, in the middle of a response, once WaitOn has set a later one", func() {
		const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfi"
		goOn := make(chan struct{})
		address := serveResponse(head, func(c net.Conn) {
			<-goOn
			io.WriteString(c, "rst\r\n0\r\n\r\n")
		})
		c, err := upstream.NewPool().Get(context.Background(), address, "", true)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		deadlines := 0
		c.WaitOn = func() bool {
			if deadlines++; deadlines == 1 {
				Expect(c.Readable()).To(BeFalse())
				close(goOn)
				Eventually(c.Readable).WithTimeout(20 * time.Second).Should(BeTrue())
			}
			return c.SetReadDeadline(time.Now().Add(time.Minute)) == nil
		}
		req, err := http.NewRequest("GET", "http://x/", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Send(req, nil)).To(Succeed())
		resp, err := c.Receive(req)
		Expect(err).NotTo(HaveOccurred())
		two := make([]byte, 2)
		_, err = io.ReadFull(resp.Body, two)
		Expect(err).NotTo(HaveOccurred())
		c.SetReadDeadline(time.Now())
		rest, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(two) + string(rest)).To(Equal("first"))
		Expect(deadlines).To(Equal(1))
	})
})
