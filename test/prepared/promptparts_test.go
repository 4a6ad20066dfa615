package prepared_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/standin/prepared"
)

const (
	// partsMemoryMB is the memory limit of each router.
	partsMemoryMB = 64
	// partsClients is the number of clients, partsRequests that of the requests of each,
	// and partsPerPrompt that of the parts of a prompt, none of which comes twice. Such a
	// head has some 8 KB.
	partsClients   = 32
	partsRequests  = 150
	partsPerPrompt = 750
)

// promptOfParts returns the prompt of request n as a header value: parts that no other
// request has.
func promptOfParts(n, tokens int) string {
	parts := make([]string, partsPerPrompt)
	for i := range parts {
		parts[i] = fmt.Sprintf("%08x:%d", n*partsPerPrompt+i+1, tokens)
	}
	return strings.Join(parts, ",")
}

// Guards against state that grows with the parts of prompts: in the router that gets the
// requests, and in those to which it reports them.
var _ = Describe("Prompts of many parts", Serial, func() {
	var routers []*router
	BeforeEach(func() {
		store := prepared.NewStore()
		server := httptest.NewServer(store)
		DeferCleanup(func() { server.CloseClientConnections(); server.Close() })
		chat := newRunner(store, "m1", "model", "a")
		chat.EventCount, chat.EventInterval = 1, time.Millisecond
		chat.record["slots"] = 64
		chat.publish()
		orders := newRunner(store, "o1", "orders", "a")
		orders.record["slots"] = 64
		orders.publish()
		c := config(1, []string{"key-small"})
		store.Put("config", "main", c)
		routers = startPair(strings.TrimPrefix(server.URL, "http://"), partsMemoryMB, 1000)
	})

	DescribeTable("do not use up the memory of routers, nor silence one for the others", func(tokens int) {
		front := routers[0].listenAddress("frontend")
		transport := &http.Transport{MaxIdleConnsPerHost: partsClients}
		DeferCleanup(transport.CloseIdleConnections)
		var clients sync.WaitGroup
		var mu sync.Mutex
		statuses := map[int]int{}
		for client := range partsClients {
			clients.Go(func() {
				defer GinkgoRecover()
				for i := range partsRequests {
					n := client*partsRequests + i
					// No response, status 0, is allowed.
					status, _, _, _ := callWith(transport, front, "POST", "/chat/x", "key-small", fmt.Sprint("parts-", n), strings.NewReader("x"), io.ReadAll,
						"X-Model", "m", "X-Token-Usage", fmt.Sprintf("%d,2", max(100, partsPerPrompt*tokens)), "X-Prefix-Hash", promptOfParts(n, tokens))
					mu.Lock()
					statuses[status]++
					mu.Unlock()
				}
			})
		}
		clients.Wait()
		AddReportEntry("responses by status", statuses)
		for i, r := range routers {
			pid := r.session.Command.Process.Pid
			peak := peakMB(pid)
			AddReportEntry(r.name+", peak memory in MB", peak)
			Expect(peak).To(BeNumerically("<", partsMemoryMB))
			Expect(string(r.session.Out.Contents())).NotTo(ContainSubstring("mesh.beat_not_sent"))
			n := 0
			Eventually(func() int { n++; return small(r, fmt.Sprint("after-", i, "-", n)) }).Should(Equal(200))
		}
		By("answering a single such request")
		n := partsClients * partsRequests
		Eventually(func() int {
			n++
			status, _, _, _ := call(front, "POST", "/chat/x", "key-small", fmt.Sprint("single-", n), "x",
				"X-Model", "m", "X-Token-Usage", fmt.Sprintf("%d,2", max(100, partsPerPrompt*tokens)), "X-Prefix-Hash", promptOfParts(n, tokens))
			return status
		}).Should(Equal(200))
	},
		Entry("without tokens", 0),
		Entry("of one token each", 1),
	)
})
