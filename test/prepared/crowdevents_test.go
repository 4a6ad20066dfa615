package prepared_test

import (
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/standin/prepared"
)

const (
	// passingRounds is how often a crowd comes and goes, and passingConns the number of its
	// connections each time.
	passingRounds = 40
	passingConns  = 100
	// spareFiles is by how much the open descriptors may differ once the crowd has gone:
	// idle connections to endpoints and to the store.
	spareFiles = 20
)

func openFiles(pid int) int {
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	Expect(err).NotTo(HaveOccurred(), "the process has ended")
	return len(files)
}

// startPair starts two routers with limits, and waits until they know each other and serve.
func startPair(store string, memoryMB, maxFDs int) (routers []*router) {
	GinkgoHelper()
	peerPort := freePort()
	for i, seeds := range [][]string{nil, {"127.0.0.1"}} {
		r := newRouter(fmt.Sprint("r", i+1), fmt.Sprint("127.0.0.", i+1), "a", store, peerPort, seeds...)
		r.settings["limits"] = map[string]any{"memory-mb": memoryMB, "max-fds": maxFDs}
		r.write()
		r.start()
		DeferCleanup(func() { r.session.Kill().Wait(hangTimeout) })
		routers = append(routers, r)
	}
	for _, r := range routers {
		Eventually(r.ready).Should(Equal(200))
		Eventually(func() int { return small(r, "first") }).Should(Equal(200))
		Eventually(r.addresses).Should(HaveLen(len(routers)))
	}
	return routers
}

// passOnce opens a connection, sends a request that nothing else has in common, and closes
// the connection in one of several ways.
func passOnce(address string, n int) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return // the router may refuse it
	}
	c := conn.(*net.TCPConn)
	defer c.Close()
	c.SetDeadline(time.Now().Add(hangTimeout))
	head := fmt.Sprintf("POST /order/%d HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %d\r\nX-Deadline-Ms: 1000\r\nAuthorization: Token key-%d\r\n", n, n, n)
	known := fmt.Sprintf("POST /order/%d HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %d\r\nX-Deadline-Ms: 1000\r\nAuthorization: Token key-large\r\n", n, n)
	text := []string{"", head, head + "\r\n", known + "Content-Length: 20000\r\n\r\n" + strings.Repeat("x", 10_000),
		known + chunked + "5\r\nhello\r\n", known + "Content-Length: 1\r\n\r\nx"}[n%6]
	_, _ = c.Write([]byte(text)) // fails where the router has closed it
	switch n / 6 % 3 {
	case 0:
		_ = c.SetLinger(0) // the close is a reset
	case 1:
		_ = c.CloseWrite()
		_, _ = c.Read(make([]byte, 1<<10))
	}
}

// Guards against what crowds leave behind, and against routers that end, hang or do not
// stop because of a crowd beside other events.
var _ = Describe("Crowds beside other events", Serial, func() {
	var store *prepared.Store
	var server *httptest.Server
	var routers []*router
	BeforeEach(func() {
		store = prepared.NewStore()
		server = httptest.NewServer(store)
		DeferCleanup(func() { server.CloseClientConnections(); server.Close() })
		newSink(store, "s1", "sink")
		orders := newRunner(store, "o1", "orders", "a")
		orders.record["slots"] = 64
		orders.publish()
		c := config(1, []string{"key-small"}, route("sink", "non_idempotent"))
		c["limits"].(map[string]any)["max-body-bytes"] = maxBodyBytes
		c["services"] = append(c["services"].([]any), map[string]any{"name": "sink"})
		c["tenants"] = append(c["tenants"].([]any), map[string]any{"name": "large", "api-keys": []string{"key-large"}})
		store.Put("config", "main", c)
		routers = startPair(strings.TrimPrefix(server.URL, "http://"), fewMemoryMB, fewMaxFDs)
	})

	served := func(r *router, name string) {
		GinkgoHelper()
		n := 0
		Eventually(func() int { n++; return small(r, fmt.Sprint(name, "-", n)) }).Should(Equal(200))
	}

	It("that come and go leave no descriptors and no memory behind", func() {
		r := routers[0]
		pid, front := r.session.Command.Process.Pid, r.listenAddress("frontend")
		before := openFiles(pid)
		for round := range passingRounds {
			var conns sync.WaitGroup
			for i := range passingConns {
				conns.Go(func() { passOnce(front, round*passingConns+i) })
			}
			conns.Wait()
		}
		served(r, "after")
		Eventually(func() int { return openFiles(pid) }).Should(BeNumerically("<=", before+spareFiles))
		AddReportEntry("peak memory in MB", peakMB(pid))
		Expect(peakMB(pid)).To(BeNumerically("<", fewMemoryMB))
	})

	It("are borne while settings are read again, the store is away and a neighbour restarts, and do not keep a router from stopping", func() {
		r, neighbour := routers[0], routers[1]
		pid, front := r.session.Command.Process.Pid, r.listenAddress("frontend")
		stop := make(chan struct{})
		var crowds []*sync.WaitGroup
		for _, kind := range untrustedClients[:bodyKinds] {
			crowds = append(crowds, sendUntrusted(front, kind, fewConns/bodyKinds, stop))
		}
		for event, happen := range []func(){
			func() { r.session.Signal(syscall.SIGHUP) },
			func() { server.CloseClientConnections(); store.SetFaults(prepared.Faults{Down: true}) },
			func() { neighbour.session.Kill().Wait(hangTimeout); neighbour.start() },
			func() { store.SetFaults(prepared.Faults{}) },
			func() { r.session.Signal(syscall.SIGHUP) },
		} {
			happen()
			served(r, fmt.Sprint("event-", event))
			Expect(peakMB(pid)).To(BeNumerically("<", fewMemoryMB))
			Expect(openFiles(pid)).To(BeNumerically("<", fewMaxFDs))
		}
		Eventually(neighbour.ready).Should(Equal(200))
		r.session.Signal(syscall.SIGTERM)
		Eventually(r.session.Exited).Should(BeClosed(), "the router stops while the crowd's connections are open")
		Expect(r.session.ExitCode()).To(BeZero())
		served(neighbour, "neighbour")
		close(stop)
		for _, crowd := range crowds {
			crowd.Wait()
		}
	})
})
