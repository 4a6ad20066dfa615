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

	"github.com/cyclamenwinch/cyclamenwinch/internal/upstream"
)

func TestUpstream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Upstream")
}

// listenAndAnswer answers each request with the given bytes; after says what
// happens to the connection then.
func listenAndAnswer(raw string, after func(net.Conn)) string {
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
					io.WriteString(c, raw)
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
		c, err := pool.Get(context.Background(), address, false)
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
		c, err := pool.Get(context.Background(), address, false)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		return c.Reused
	}

	It("resets a connection that is given up before its answer came", func() {
		// Seen on nileperch-router, own day reuse: a request that was sent elsewhere
		// after half a second reached its first endpoint when a cut healed.
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
		c, err := pool.Get(context.Background(), l.Addr().String(), false)
		Expect(err).NotTo(HaveOccurred())
		req, err := http.NewRequest("POST", "http://x/", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Send(req, nil)).To(Succeed())
		Expect(c.Close()).To(Succeed())
		var seen error
		Eventually(ended).WithTimeout(time.Minute).Should(Receive(&seen))
		Expect(errors.Is(seen, syscall.ECONNRESET)).To(BeTrue(), "%v", seen)
	})

	It("keeps a connection whose answer came whole", func() {
		address := listenAndAnswer(ok, func(net.Conn) {})
		exchange(address, nil)
		Expect(reused(address)).To(BeTrue())
	})

	It("gives a new one when asked for it", func() {
		address := listenAndAnswer(ok, func(net.Conn) {})
		exchange(address, nil)
		c, err := pool.Get(context.Background(), address, true)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		Expect(c.Reused).To(BeFalse())
	})

	DescribeTable("does not use a connection again",
		func(raw string, after func(net.Conn)) {
			address := listenAndAnswer(raw, after)
			exchange(address, nil)
			Eventually(func() bool { return reused(address) }).Should(BeFalse())
		},
		Entry("that the endpoint closed", ok, func(c net.Conn) { c.Close() }),
		Entry("with bytes that nobody asked for", ok, func(c net.Conn) { io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n") }),
		Entry("that the endpoint wants closed", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", func(net.Conn) {}),
		Entry("that is kept for no time", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", func(net.Conn) {}),
	)

	It("drops connections to addresses that are not used any more", func() {
		address := listenAndAnswer(ok, func(net.Conn) {})
		exchange(address, nil)
		pool.Prune(func(string) bool { return false })
		Expect(reused(address)).To(BeFalse())
	})

	It("says that nothing was sent when there is no connection", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l.Close()
		_, err = pool.Get(context.Background(), l.Addr().String(), false)
		Expect(errors.Is(err, upstream.ErrUnreachable)).To(BeTrue())
	})

	It("reads an answer that comes before a large body has been read, and closes the connection", func() {
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
