package relay_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
	"github.com/cyclamenwinch/cyclamenwinch/internal/relay"
)

// socketEnded reports, without waiting, whether the other end of a connection has
// closed or reset it.
func socketEnded(c net.Conn) (ended bool) {
	raw, err := c.(syscall.Conn).SyscallConn()
	Expect(err).NotTo(HaveOccurred())
	Expect(raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ended = err == nil && n == 0 || err == unix.ECONNRESET
	})).To(Succeed())
	return ended
}

var _ = Describe("A router without spare CPU time", func() {
	It("ends the run of a client that has disconnected before requests that were waiting for the CPU", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		endpoint := &fakeEndpoint{listener: l}
		server, h := newServerWithOptions(relay.Options{Lag: func() time.Duration { return 100 * time.Millisecond }, MaxLag: time.Hour}, stream, endpoint)
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		go h.DetectDisconnects(ctx)

		client, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		_, err = fmt.Fprintf(client, "POST /p/ HTTP/1.1\r\nHost: 127.0.0.1\r\nTest-Id: id\r\nTest-Key: key\r\nTest-Wait: 60000\r\nContent-Length: 1\r\n\r\nx")
		Expect(err).NotTo(HaveOccurred())
		running, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(running.Close)
		Expect(running.Read(make([]byte, 64<<10))).To(BeNumerically(">", 0))

		// Each waiting goroutine stands for a request that needs CPU time again and
		// again. The number of turns they take is a clock that does not depend on
		// the machine.
		const waiting = 2000
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
		var turns atomic.Int64
		var done atomic.Bool
		defer done.Store(true)
		for range waiting {
			go func() {
				for !done.Load() {
					turns.Add(1)
					for began := time.Now(); time.Since(began) < 500*time.Microsecond; {
					}
					runtime.Gosched()
				}
			}()
		}
		time.Sleep(50 * time.Millisecond)
		Expect(client.Close()).To(Succeed())
		closedAt := turns.Load()
		Eventually(func() bool { return socketEnded(running) }).WithTimeout(time.Minute).Should(BeTrue())
		Expect(turns.Load()-closedAt).To(BeNumerically("<", waiting), "requests that had been waiting before the close took their turns first")
	})
})

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
