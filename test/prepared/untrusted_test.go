package prepared_test

import (
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/standin/prepared"
)

const (
	// untrustedMemoryMB and untrustedMaxFDs are the limits of the smallest instances.
	untrustedMemoryMB = 112
	untrustedMaxFDs   = 3075
	// untrustedConns is the number of connections that a kind of client opens.
	untrustedConns = 1500
	// fewMemoryMB and fewMaxFDs are lowered limits, and fewConns is the number of
	// connections that is a crowd for them.
	fewMemoryMB = 48
	fewMaxFDs   = 1000
	fewConns    = 400
	// bodyKinds is the number of kinds of clients that send bodies, the first ones.
	bodyKinds = 7
	// untrustedPeriod is for how long they send. Most connections are stalled by then.
	untrustedPeriod = 5 * time.Second
	// sampleInterval is the time between two samples of memory and descriptors.
	sampleInterval = 20 * time.Millisecond
)

// untrustedClient is a kind of client that tries to use up the memory or the descriptors
// of a router. Its connections stay open once all is sent.
type untrustedClient struct {
	name string
	// send returns the start of what connection n sends, and what it repeats after
	// that for a number of times.
	send func(n int) (start, repeat string, times int)
}

// untrustedHead returns the head of a POST request without its end.
func untrustedHead(path, key string, n int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: untrusted-%d\r\nX-Deadline-Ms: 60000\r\nAuthorization: Token %s\r\n", path, n, key)
}

// inChunks returns the first n bytes of a chunked body in chunks of a size.
func inChunks(n, size int) (chunk string, times int) {
	return fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)), n / size
}

// chunkedBodies sends the first n bytes of a body in chunks of a size; keys are used in turn.
func chunkedBodies(n, size int, keys ...string) func(int) (string, string, int) {
	chunk, times := inChunks(n, size)
	return func(n int) (string, string, int) {
		return untrustedHead("/sink/x", keys[n%len(keys)], n) + chunked, chunk, times
	}
}

var untrustedClients = []untrustedClient{
	{"bodies in large chunks without the last chunk", chunkedBodies(3<<20, 1<<20, "key-large")},
	{"bodies in chunks of one byte without the last chunk", chunkedBodies(200<<10, 1, "key-large")},
	{"bodies of two accounts just short of the limit", chunkedBodies(maxBodyBytes-64<<10, 64<<10, "key-large", "key-other")},
	{"chunked bodies far over the limit", chunkedBodies(64<<20, 64<<10, "key-large")},
	{"bodies with a length far over the limit", func(n int) (string, string, int) {
		return untrustedHead("/sink/x", "key-large", n) + fmt.Sprintf("Content-Length: %d\r\n\r\n", 64<<20), strings.Repeat("x", 64<<10), 1 << 10
	}},
	{"bodies of an unknown account", chunkedBodies(3<<20, 1<<20, "key-unknown")},
	{"bodies with a length without their last byte", func(n int) (string, string, int) {
		return untrustedHead("/sink/x", "key-large", n) + "Content-Length: 20000\r\n\r\n", strings.Repeat("x", 19999), 1
	}},
	{"chunk extensions without end", func(n int) (string, string, int) {
		return untrustedHead("/sink/x", "key-large", n) + chunked + "1", ";x=" + strings.Repeat("y", 1<<10), 1 << 10
	}},
	{"trailers without end", func(n int) (string, string, int) {
		return untrustedHead("/sink/x", "key-large", n) + chunked + "1\r\nx\r\n0\r\n", "X-Trailer: " + strings.Repeat("y", 100) + "\r\n", 10 << 10
	}},
	{"heads of many fields without their end", func(n int) (string, string, int) {
		var fields strings.Builder
		for f := range 8000 {
			fmt.Fprintf(&fields, "%x:\r\n", f+0x1000) // 7 bytes each, below 64 KiB together
		}
		return untrustedHead("/sink/x", "key-large", n) + fields.String(), "", 0
	}},
	{"heads of one long field without their end", func(n int) (string, string, int) {
		return untrustedHead("/sink/x", "key-large", n) + "X-Long: " + strings.Repeat("y", 63<<10), "", 0
	}},
	{"no request", func(int) (string, string, int) { return "", "", 0 }},
	{"requests whose large responses they do not read", func(n int) (string, string, int) {
		return untrustedHead("/order/new", "key-large", n) + fmt.Sprintf("Content-Length: %d\r\n\r\n", 256<<10), strings.Repeat("x", 256), 1 << 10
	}},
	{"pipelined requests whose responses they do not read", func(n int) (string, string, int) {
		return "", untrustedHead("/order/new", "key-large", n) + "Content-Length: 1000\r\n\r\n" + strings.Repeat("x", 1000), 1000
	}},
}

// kernelBytesAt returns how many bytes the kernel holds, unread or unacknowledged, for
// connections at an IPv4 address.
func kernelBytesAt(address string) (sum int64) {
	received, sent := queuesAt(address)
	return received + sent
}

// procValueMB returns a value of /proc/PID/status that is in kB, in MB.
func procValueMB(pid int, name string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	Expect(err).NotTo(HaveOccurred(), "the process has ended")
	for line := range strings.Lines(string(data)) {
		var kb int
		if _, err := fmt.Sscanf(line, name+": %d kB", &kb); err == nil {
			return kb >> 10
		}
	}
	return 0
}

// sendUntrusted opens the connections of a kind of client and sends on them. They are
// open until stop is closed.
func sendUntrusted(address string, kind untrustedClient, conns int, stop <-chan struct{}) *sync.WaitGroup {
	var clients sync.WaitGroup
	for n := range conns {
		clients.Go(func() {
			c, err := net.Dial("tcp", address)
			if err != nil {
				return // the router may refuse it
			}
			end := time.AfterFunc(hangTimeout, func() { c.Close() })
			defer end.Stop()
			go func() { <-stop; c.Close() }()
			start, repeat, times := kind.send(n)
			_, err = c.Write([]byte(start))
			whole := []byte(strings.Repeat(repeat, max(1, min(times, (64<<10)/max(1, len(repeat))))))
			for left := times * len(repeat); left > 0 && err == nil; {
				var sent int
				sent, err = c.Write(whole[:min(left, len(whole))])
				left -= sent
			}
			<-stop
		})
	}
	return &clients
}

// Guards against a router that untrusted clients end: of one that exceeds the memory of its
// instance, with what the kernel holds for its connections, or that has no descriptors left.
var _ = Describe("Untrusted clients", Serial, func() {
	var r *router
	start := func(memoryMB, maxFDs int) {
		store := prepared.NewStore()
		server := httptest.NewServer(store)
		DeferCleanup(func() { server.CloseClientConnections(); server.Close() })
		newSink(store, "s1", "sink")
		orders := newRunner(store, "o1", "orders", "a")
		orders.record["slots"] = 64
		orders.publish()
		c := config(1, nil, route("sink", "non_idempotent"))
		c["limits"].(map[string]any)["max-body-bytes"] = maxBodyBytes
		c["services"] = append(c["services"].([]any), map[string]any{"name": "sink"})
		c["tenants"] = nil
		for _, name := range []string{"large", "other", "small"} {
			tenants, _ := c["tenants"].([]any)
			c["tenants"] = append(tenants, map[string]any{"name": name, "api-keys": []string{"key-" + name}})
		}
		store.Put("config", "main", c)
		r = newRouter("r1", "127.0.0.1", "a", strings.TrimPrefix(server.URL, "http://"), freePort())
		r.settings["limits"] = map[string]any{"memory-mb": memoryMB, "max-fds": maxFDs}
		r.write()
		r.start()
		DeferCleanup(func() { r.session.Kill().Wait(hangTimeout) })
		Eventually(r.ready).Should(Equal(200))
		Eventually(func() int { return small(r, "first") }).Should(Equal(200))
	}

	for _, kind := range untrustedClients {
		It("that send "+kind.name+" do not use up the memory of a router", func() {
			start(untrustedMemoryMB, untrustedMaxFDs)
			expectBorne(r, r.listenAddress("frontend"), kind, untrustedConns, untrustedMemoryMB, untrustedMaxFDs)
		})
	}
	for _, kind := range untrustedClients[:bodyKinds] {
		It("in a small crowd that send "+kind.name+" do not use up the memory of a router with lowered limits", func() {
			start(fewMemoryMB, fewMaxFDs)
			expectBorne(r, r.listenAddress("frontend"), kind, fewConns, fewMemoryMB, fewMaxFDs)
		})
	}
})

// expectBorne checks that a router stays within its limits while a kind of client sends at
// an address of it, and that an ordinary request is answered while the connections of the
// crowd are still open.
func expectBorne(r *router, address string, kind untrustedClient, conns, memoryMB, maxFDs int) {
	GinkgoHelper()
	pid := r.session.Command.Process.Pid
	stop := make(chan struct{})
	clients := sendUntrusted(address, kind, conns, stop)
	var total, kernel, files int
	for end := time.Now().Add(untrustedPeriod); time.Now().Before(end); time.Sleep(sampleInterval) {
		held := int(kernelBytesAt(address) >> 20)
		kernel, total = max(kernel, held), max(total, held+procValueMB(pid, "RssAnon"))
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		Expect(err).NotTo(HaveOccurred(), "the process has ended")
		files = max(files, len(open))
	}
	n := 0
	Eventually(func() int { n++; return small(r, fmt.Sprint("after-", n)) }).Should(Equal(200))
	close(stop)
	clients.Wait()
	AddReportEntry("MB: peak of the process, peak in the kernel, peak of both together; descriptors",
		fmt.Sprint(peakMB(pid), " ", kernel, " ", total, "; ", files))
	Expect(peakMB(pid)).To(BeNumerically("<", memoryMB))
	Expect(total).To(BeNumerically("<", memoryMB))
	Expect(files).To(BeNumerically("<", maxFDs))
}
