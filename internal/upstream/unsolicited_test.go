package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/cyclamenwinch/cyclamenwinch/internal/upstream"
)

var _ = Describe("An endpoint that sends bytes without end after a sound response", func() {
	const hangTimeout = 20 * time.Second
	const kept = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=3600\r\n"
	filler := strings.Repeat("x", 64<<10)

	exchange := func(pool *upstream.Pool, address string) *upstream.Conn {
		c, err := pool.Get(context.Background(), address, "", false)
		Expect(err).NotTo(HaveOccurred())
		req, err := http.NewRequest("POST", "http://x/", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Send(req, nil)).To(Succeed())
		resp, err := c.Receive(req)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, resp.Body)
		Expect(err).NotTo(HaveOccurred())
		pool.Put(c, resp)
		return c
	}
	unread := func(c *upstream.Conn) (n int) {
		raw, err := c.Conn.(*net.TCPConn).SyscallConn()
		Expect(err).NotTo(HaveOccurred())
		Expect(raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })).To(Succeed())
		Expect(err).NotTo(HaveOccurred())
		return n
	}

	It("can't fill the memory of the kernel", func() {
		begin := make(chan struct{})
		large := strings.Repeat(filler, 256) // the kernel enlarges the buffer of a connection that is read fast
		address := serveResponse(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", kept, len(large), large), func(c net.Conn) {
			<-begin
			for _, err := io.WriteString(c, filler); err == nil; _, err = io.WriteString(c, filler) {
			}
		})
		c := exchange(upstream.NewPool(), address)
		defer c.Close()
		close(begin)
		Eventually(func() int { return unread(c) }).WithTimeout(hangTimeout).Should(BeNumerically(">", 8<<10))
		Consistently(func() int { return unread(c) }).WithTimeout(time.Second).Should(BeNumerically("<", 128<<10))
	})

	It("loses its idle connection at the next check of the pool", func() {
		begin, ended := make(chan struct{}), make(chan struct{})
		address := serveResponse(kept+"Content-Length: 2\r\n\r\nok", func(c net.Conn) {
			<-begin
			for _, err := io.WriteString(c, filler); err == nil; _, err = io.WriteString(c, filler) {
			}
			close(ended)
		})
		pool := upstream.NewPool()
		c := exchange(pool, address)
		close(begin)
		Eventually(c.Readable).WithTimeout(hangTimeout).Should(BeTrue())
		pool.Prune(func(string) bool { return true })
		Eventually(ended).WithTimeout(hangTimeout).Should(BeClosed())
	})
})
