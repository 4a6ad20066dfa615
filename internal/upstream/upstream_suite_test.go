package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/cyclamenwinch/cyclamenwinch/internal/upstream"
)

func TestUpstream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Upstream")
}

// serveResponse starts a server that sends the given bytes in response to each
// request and then calls after with the connection. It returns the address.
func serveResponse(response string, after func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					io.Copy(io.Discard, req.Body)
					io.WriteString(c, response)
					after(c)
				}
			}()
		}
	}()
	return l.Addr().String()
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

var _ = Describe("Pool", func() {
	var pool *upstream.Pool
	BeforeEach(func() { pool = upstream.NewPool() })

	exchange := func(address string, body []byte) *upstream.Conn {
		c, err := pool.Get(context.Background(), address, "", false)
		Expect(err).NotTo(HaveOccurred())
		req, err := http.NewRequest("POST", "http://x/", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Send(req, body)).To(Succeed())
		resp, err := c.Receive(req)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, resp.Body)
		Expect(err).NotTo(HaveOccurred())
		pool.Put(c, resp)
		return c
	}
	reused := func(address string) bool {
		c, err := pool.Get(context.Background(), address, "", false)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		return c.Reused
	}

	It("resets a connection that is closed before its response has arrived", func() {
		// Without the reset, a request that had been sent to another endpoint half
		// a second later still reached the first one once a network partition
		// healed.
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		ended := make(chan error, 1)
		go func() {
			c, err := l.Accept()
			if err == nil {
				r := bufio.NewReader(c)
				if _, err = http.ReadRequest(r); err == nil {
					_, err = r.ReadByte()
				}
			}
			ended <- err
		}()
		c, err := pool.Get(context.Background(), l.Addr().String(), "", false)
		Expect(err).NotTo(HaveOccurred())
		req, err := http.NewRequest("POST", "http://x/", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Send(req, nil)).To(Succeed())
		Expect(c.Close()).To(Succeed())
		var readErr error
		Eventually(ended).WithTimeout(time.Minute).Should(Receive(&readErr))
		Expect(errors.Is(readErr, syscall.ECONNRESET)).To(BeTrue(), "%v", readErr)
	})

	It("leaves it to the router to end a connection whose request may not have arrived", func() {
		option := func(c *upstream.Conn, level, name int) (value int) {
			raw, err := c.Conn.(*net.TCPConn).SyscallConn()
			Expect(err).NotTo(HaveOccurred())
			Expect(raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), level, name) })).To(Succeed())
			Expect(err).NotTo(HaveOccurred())
			return value
		}
		address := serveResponse(ok, func(net.Conn) {})
		for range 2 {
			c, err := pool.Get(context.Background(), address, "", false)
			Expect(err).NotTo(HaveOccurred())
			req, err := http.NewRequest("POST", "http://x/", nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(c.Send(req, nil)).To(Succeed())
			Expect(option(c, unix.SOL_SOCKET, unix.SO_KEEPALIVE)).To(BeZero())
			Expect(option(c, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)).To(BeZero())
			resp, err := c.Receive(req)
			Expect(err).NotTo(HaveOccurred())
			// A probe begun while the connection is idle ends it after the next request.
			Expect(option(c, unix.SOL_SOCKET, unix.SO_KEEPALIVE)).To(BeZero())
			Expect(option(c, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)).To(BeZero())
			_, err = io.Copy(io.Discard, resp.Body)
			Expect(err).NotTo(HaveOccurred())
			pool.Put(c, resp)
		}
	})

	It("keeps a connection whose response is complete", func() {
		address := serveResponse(ok, func(net.Conn) {})
		exchange(address, nil)
		Expect(reused(address)).To(BeTrue())
	})

	It("opens a new connection on request", func() {
		address := serveResponse(ok, func(net.Conn) {})
		exchange(address, nil)
		c, err := pool.Get(context.Background(), address, "", true)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		Expect(c.Reused).To(BeFalse())
	})

	DescribeTable("does not reuse a connection",
		func(response string, after func(net.Conn)) {
			address := serveResponse(response, after)
			exchange(address, nil)
			Eventually(func() bool { return reused(address) }).Should(BeFalse())
		},
		Entry("that the endpoint closed", ok, func(c net.Conn) { c.Close() }),
		Entry("with unsolicited bytes", ok, func(c net.Conn) { io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n") }),
		Entry("whose response has Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", func(net.Conn) {}),
		Entry("whose idle timeout is 0", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", func(net.Conn) {}),
	)

	It("closes idle connections to addresses that are no longer used", func() {
		address := serveResponse(ok, func(net.Conn) {})
		exchange(address, nil)
		pool.Prune(func(string) bool { return false })
		Expect(reused(address)).To(BeFalse())
	})

	It("closes idle connections to an endpoint that has fallen silent", func() {
		address := serveResponse(ok, func(net.Conn) {})
		exchange(address, nil)
		pool.CloseIdle(address)
		Expect(reused(address)).To(BeFalse())
	})

	It("returns ErrUnreachable if it can't connect", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l.Close()
		_, err = pool.Get(context.Background(), l.Addr().String(), "", false)
		Expect(errors.Is(err, upstream.ErrUnreachable)).To(BeTrue())
	})

	It("reads a response sent before a large body has been read, and closes the connection", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		closed := make(chan struct{})
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			io.WriteString(c, "HTTP/1.1 413 No\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(50 * time.Millisecond)
			io.Copy(io.Discard, c)
			close(closed)
		}()
		exchange(l.Addr().String(), make([]byte, 64<<20))
		Eventually(closed).Should(BeClosed())
	})
})
