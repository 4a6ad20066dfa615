package test_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/load"
)

const (
	// untrustedConns is the number of connections of each kind of client.
	untrustedConns = 1000
	// untrustedPeriod is for how long they send. Most connections are stalled by then.
	untrustedPeriod = 4 * time.Second
	// untrustedMemory is the request_memory_bytes of the router, and untrustedMemoryMB what
	// its process may take with it: 128 MiB are for everything else.
	untrustedMemory   = 64 << 20
	untrustedMemoryMB = untrustedMemory>>20 + 128
	// untrustedSenders is the number of callers that send complete requests.
	untrustedSenders = 40
	// largeBody is the default of max_body_bytes.
	largeBody = 1 << 20
)

// residentMB returns how much memory a process uses now, without the pages of files.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	Expect(err).NotTo(HaveOccurred(), "the process has ended")
	for line := range strings.Lines(string(data)) {
		var kb int
		if _, err := fmt.Sscanf(line, "RssAnon: %d kB", &kb); err == nil {
			return kb >> 10
		}
	}
	return 0
}

// completeRequests are kinds of requests that arrive completely, and how many of them each
// of untrustedSenders sends.
var completeRequests = []struct {
	name     string
	requests int
	request  func(model string) (path, body string)
}{
	{"name models that fill their bodies", 25, func(string) (string, string) {
		return chatPath, `{"model":"` + strings.Repeat("x", largeBody-100) + `","messages":[{"role":"user","content":"x"}]}`
	}},
	{"name paths that fill their heads", 250, func(string) (string, string) { return "/" + strings.Repeat("x", 60_000), "" }},
	{"have prompts of very many messages", 25, func(model string) (string, string) {
		const start, message, end = `{"model":"%s","messages":[`, `{},`, `{"role":"user","content":"x"}],"max_tokens":5}`
		return chatPath, fmt.Sprintf(start, model) + strings.Repeat(message, (largeBody-200)/len(message)) + end
	}},
	{"have one message that fills their bodies", 5, func(model string) (string, string) {
		return chatPath, fmt.Sprintf(`{"model":"%s","messages":[{"role":"user","content":"%s"}],"max_tokens":5}`, model, strings.Repeat("x", largeBody-200))
	}},
	{"nest arrays as deeply as their bodies allow", 25, func(model string) (string, string) {
		return chatPath, `{"model":"` + model + `","messages":[` + strings.Repeat("[", largeBody-200)
	}},
}

const chatPath = "/v1/chat/completions"

// expectServed checks that a request of an ordinary caller is answered.
func expectServed(c *cluster, account string) {
	GinkgoHelper()
	s := &callers{cluster: c, target: load.NewRoutersTarget(c.Fleet), startedAt: time.Now()}
	n := 0
	Eventually(func() load.Outcome {
		n++
		return s.send(load.Arrival{Account: account, Zone: c.manifest.Zones[0].Name, Prompt: fmt.Sprint("a bar stool ", n), Tokens: 5}).Outcome
	}).Should(Equal(load.Completed))
}

// expectBorne opens untrustedConns connections at an address of a router, sends a text on
// each and checks that the router stays within its memory, and that a request of an
// ordinary caller is answered while they are open.
func expectBorne(c *cluster, pid int, at, text, ordinary string) {
	GinkgoHelper()
	stop := make(chan struct{})
	var senders sync.WaitGroup
	for range untrustedConns {
		senders.Go(func() {
			conn, err := net.Dial("tcp", at)
			if err != nil {
				return // the router may refuse it
			}
			go func() { <-stop; conn.Close() }()
			_, _ = conn.Write([]byte(text)) // fails for those that are refused
			<-stop
		})
	}
	peak := 0
	for end := time.Now().Add(untrustedPeriod); time.Now().Before(end); time.Sleep(pollInterval) {
		peak = max(peak, residentMB(pid))
	}
	expectServed(c, ordinary)
	close(stop)
	senders.Wait()
	AddReportEntry("peak memory in MB", peak)
	Expect(peak).To(BeNumerically("<", untrustedMemoryMB))
}

// Guards against callers that end a router by the memory of their connections, of heads of
// requests and of bodies without an end.
var _ = Describe("Untrusted callers", Serial, func() {
	var c *cluster
	BeforeEach(func() {
		s := smallSize()
		s.routers, s.requestMemory = 1, untrustedMemory
		c = startCluster(s)
	})

	head := func(key string) string {
		return "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + key + "\r\nTransfer-Encoding: chunked\r\n"
	}
	var fields strings.Builder
	for n := range 8000 {
		fmt.Fprintf(&fields, "%x:\r\n", n+0x1000)
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("x", 64<<10))
	for name, message := range map[string]func(key string) string{
		"heads of many fields without their end":  func(key string) string { return head(key) + fields.String() },
		"bodies in chunks without the last chunk": func(key string) string { return head(key) + "\r\n" + strings.Repeat(chunk, 15) },
		"bodies of an unknown account":            func(string) string { return head("unknown") + "\r\n" + strings.Repeat(chunk, 15) },
	} {
		It("that send "+name+" do not use up the memory of a router", func() {
			attacker, ordinary := c.manifest.Accounts[0].Name, c.manifest.Accounts[1].Name
			front, pid := address(c.Routers[0].CallerURL), c.routers[0].running().Command.Process.Pid
			expectBorne(c, pid, front, message("demo-"+attacker), ordinary)
		})
	}

	for _, kind := range completeRequests {
		It("whose complete requests "+kind.name+" do not use up the memory of a router", func() {
			attacker, ordinary := c.manifest.Accounts[0].Name, c.manifest.Accounts[1].Name
			url, pid := c.Routers[0].CallerURL, c.routers[0].running().Command.Process.Pid
			path, text := kind.request(modelOf(c.manifest))
			var senders sync.WaitGroup
			var sending atomic.Int64
			sending.Store(untrustedSenders)
			for range untrustedSenders {
				senders.Go(func() {
					defer sending.Add(-1)
					client := &http.Client{Transport: &http.Transport{}, Timeout: hangTimeout}
					defer client.CloseIdleConnections()
					for range kind.requests {
						req, err := http.NewRequest("POST", url+path, strings.NewReader(text))
						if err != nil {
							return
						}
						req.Header.Set("Authorization", "Bearer demo-"+attacker)
						if resp, err := client.Do(req); err == nil { // the router may refuse it
							_, _ = io.Copy(io.Discard, resp.Body)
							resp.Body.Close()
						}
					}
				})
			}
			peak := 0
			for sending.Load() > 0 {
				peak = max(peak, residentMB(pid))
				time.Sleep(pollInterval)
			}
			senders.Wait()
			expectServed(c, ordinary)
			AddReportEntry("peak memory in MB", peak)
			Expect(peak).To(BeNumerically("<", untrustedMemoryMB))
		})
	}
})

// modelOf returns the name of a model that a pool serves.
func modelOf(m *manifest.Manifest) string {
	for _, p := range m.Pools {
		if len(p.Models) > 0 {
			return p.Models[0]
		}
	}
	return ""
}
