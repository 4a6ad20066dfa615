package prepared_test

import (
	"fmt"
	"net/http/httptest"
	"regexp"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"
	"github.com/sebdah/goldie/v2"

	"github.com/cyclamenwinch/cyclamenwinch/standin/prepared"
)

var chatHeaders = []string{"X-Model", "m", "X-Token-Usage", "1460,80", "X-Prefix-Hash", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"}

// expectedStream returns the complete stream of a runner stand-in, with n
// events.
func expectedStream(attempt string, n int) string {
	var b strings.Builder
	for id := 1; id <= n; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d of %s\n\n", id, id, attempt)
	}
	return b.String()
}

var _ = Describe("Two routers on the prepared platform", Ordered, func() {
	var store *prepared.Store
	var m1, m2, orders *runner
	var r1, r2 *router
	var attempts int
	nextAttempt := func() string { attempts++; return fmt.Sprint("attempt-", attempts) }
	chat := func(r *router) (int, string, error) {
		code, body, _, err := call(r.listenAddress("frontend"), "POST", "/chat/x", "key-1", nextAttempt(), "hello", chatHeaders...)
		return code, body, err
	}

	BeforeAll(func() {
		store = prepared.NewStore()
		server := httptest.NewServer(store)
		DeferCleanup(func() { server.CloseClientConnections(); server.Close() })
		m1 = newRunner(store, "m1", "model", "a")
		m2 = newRunner(store, "m2", "model", "b")
		orders = newRunner(store, "o1", "orders", "a")
		store.SetFaults(prepared.Faults{Down: true})
		address, peers := strings.TrimPrefix(server.URL, "http://"), freePort()
		r1 = newRouter("r1", "127.0.0.1", "a", address, peers, "127.0.0.2")
		r2 = newRouter("r2", "127.0.0.2", "b", address, peers)
		r1.start()
		r2.start()
	})

	AfterAll(func() {
		r1.session.Kill().Wait(hangTimeout)
		r2.session.Kill().Wait(hangTimeout)
	})

	It("are not ready while the store is unreachable and no configuration is known", func() {
		Eventually(r1.ready).Should(Equal(503))
		Eventually(func() int { code, _, _ := chat(r1); return code }).Should(Equal(503))
		store.Put("config", "main", config(1, []string{"key-1", "key-2"}))
		store.SetFaults(prepared.Faults{})
		Eventually(r1.ready).Should(Equal(200))
		Eventually(r2.ready).Should(Equal(200))
		Eventually(r1.addresses).Should(ConsistOf(r1.listenAddress("frontend"), r2.listenAddress("frontend")))
		Eventually(r2.addresses).Should(ConsistOf(r1.listenAddress("frontend"), r2.listenAddress("frontend")))
	})

	It("serve a client session", func() {
		var transcript strings.Builder
		record := func(step string, code int, body string, header map[string][]string, err error) {
			fmt.Fprintf(&transcript, "== %s\n%d", step, code)
			if seal := header["X-Response-Seal"]; len(seal) > 0 {
				fmt.Fprintf(&transcript, " %s", regexp.MustCompile(`m[12]`).ReplaceAllString(seal[0], "m#"))
			}
			fmt.Fprintf(&transcript, "\n%s\n", body)
			if err != nil {
				fmt.Fprintln(&transcript, "broken off")
			}
		}
		send := func(step, body, method, path, key string, header ...string) {
			code, response, h, err := call(r1.listenAddress("frontend"), method, path, key, strings.ReplaceAll(step, " ", "-"), body, header...)
			record(step, code, response, h, err)
		}
		// Each request has a body of its own, as the requests of clients do.
		do := func(step, method, path, key string, header ...string) {
			send(step, "body of "+step, method, path, key, header...)
		}
		do("an order", "POST", "/order/new?x=1", "key-1")
		do("a stream", "POST", "/chat/a", "key-1", chatHeaders...)
		do("a key that nobody holds", "POST", "/order/new", "other")
		do("a path without a route", "GET", "/nothing/", "key-1")
		m1.BreakNextStream(4)
		m2.BreakNextStream(4)
		do("a stream that breaks off twice", "POST", "/chat/a", "key-1", chatHeaders...)
		send("the same sent again", "body of a stream that breaks off twice", "POST", "/chat/a", "key-1", chatHeaders...)
		m1.BreakNextStream(4)
		do("a stream that is resumed or whole", "POST", "/chat/a", "key-1", chatHeaders...)
		m1.BreakNextStream(0)
		m2.BreakNextStream(0)
		goldie.New(GinkgoTB()).Assert(GinkgoTB(), "session", []byte(transcript.String()))
		Expect(orders.Requests()).To(ConsistOf(prepared.RecordedRequest{Attempt: "an-order", Tenant: "acc", Method: "POST", URI: "/order/new?x=1", Body: "body of an order"}))
	})

	It("send no requests to a draining runner or to a zone that is taken out", func() {
		requestsPerCall := func(r *runner) func() int {
			return func() int {
				before := len(r.Requests())
				_, _, err := chat(r1)
				Expect(err).NotTo(HaveOccurred())
				return len(r.Requests()) - before
			}
		}
		m1.record["state"] = "draining"
		m1.publish()
		Eventually(requestsPerCall(m2)).Should(Equal(1))
		requestsWhileDraining := len(m1.Requests())
		for range 8 {
			code, _, err := chat(r2)
			Expect(err).NotTo(HaveOccurred())
			Expect(code).To(Equal(200))
		}
		Expect(m1.Requests()).To(HaveLen(requestsWhileDraining))
		m1.record["state"] = "ready"
		m1.publish()
		store.Put("evacuations", "b", map[string]any{})
		Eventually(requestsPerCall(m1)).Should(Equal(1))
		store.Delete("evacuations", "b")
		Eventually(requestsPerCall(m2)).Should(Equal(1))
	})

	It("apply a new configuration on every router", func() {
		store.Put("config", "main", config(2, []string{"key-1"}, map[string]any{
			"name": "new", "host": "h.example", "path-prefix": "/new/", "type": "idempotent", "service": "orders", "max-attempts": 2, "timeout-ms": 1000}))
		for _, r := range []*router{r1, r2} {
			Eventually(func() int {
				code, _, _, _ := call(r.listenAddress("frontend"), "GET", "/new/", "key-1", nextAttempt(), "")
				return code
			}).Should(Equal(200))
			code, _, _, _ := call(r.listenAddress("frontend"), "GET", "/new/", "key-2", nextAttempt(), "")
			Expect(code).To(Equal(401), "the key was removed")
		}
	})

	It("keep serving while the store is unreachable", func() {
		store.SetFaults(prepared.Faults{Silent: true})
		Eventually(r1.session.Out).Should(gbytes.Say(`"event":"store.lost"`))
		code, body, err := chat(r1)
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(Equal(200))
		Expect(body).To(Equal(expectedStream(fmt.Sprint("attempt-", attempts), 6)))
		By("restarting a router, which takes the configuration from another router")
		r1.session.Kill().Wait(hangTimeout)
		r1.settings["seeds"] = []string{"127.0.0.2:1"}
		r1.write()
		r1.start()
		Eventually(r1.ready).Should(Equal(200))
		store.SetFaults(prepared.Faults{})
		Eventually(r1.session.Out).Should(gbytes.Say(`"event":"registration.done"`))
	})

	It("reload their settings on a signal and when the file changes", func() {
		r1.session.Signal(syscall.SIGHUP)
		Eventually(r1.session.Out).Should(gbytes.Say(`"event":"settings.reloaded".*"cause":"signal"`))
		r1.settings["bounds"].(map[string]any)["budget-slack"] = 60
		r1.write()
		Eventually(r1.session.Out).Should(gbytes.Say(`"event":"settings.reloaded".*"cause":"file"`))
	})

	It("stop gracefully without interrupting a request in progress", func() {
		m1.EventInterval, m2.EventInterval = 300*time.Millisecond, 300*time.Millisecond
		type result struct {
			body string
			err  error
		}
		done := make(chan result)
		attempt := nextAttempt()
		before := len(m1.Requests()) + len(m2.Requests())
		go func() {
			_, body, _, err := call(r1.listenAddress("frontend"), "POST", "/chat/x", "key-1", attempt, "hello", chatHeaders...)
			done <- result{body, err}
		}()
		Eventually(func() int { return len(m1.Requests()) + len(m2.Requests()) }).Should(BeNumerically(">", before))
		r1.session.Terminate()
		Eventually(r1.ready).Should(Equal(503))
		Eventually(r2.addresses).Should(ConsistOf(r2.listenAddress("frontend")))
		Eventually(done).Should(Receive(Equal(result{expectedStream(attempt, 6), nil})))
		Eventually(r1.session).Should(gexec.Exit(0))
		Expect(r1.session.Out).To(gbytes.Say(`"event":"router.stopped".*"cut":0`))
	})
})
