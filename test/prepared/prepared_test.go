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

// events is the whole stream of a runner stand-in.
func events(attempt string, n int) string {
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
	next := func() string { attempts++; return fmt.Sprint("attempt-", attempts) }
	chat := func(r *router) (int, string, error) {
		code, body, _, err := call(r.listen("frontend"), "POST", "/chat/x", "key-1", next(), "hello", chatHeaders...)
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
		r1.session.Kill().Wait(hang)
		r2.session.Kill().Wait(hang)
	})

	It("say that they are not ready while the store is away and no configuration is known", func() {
		Eventually(r1.ready).Should(Equal(503))
		Eventually(func() int { code, _, _ := chat(r1); return code }).Should(Equal(503))
		store.Put("config", "main", config(1, []string{"key-1", "key-2"}))
		store.SetFaults(prepared.Faults{})
		Eventually(r1.ready).Should(Equal(200))
		Eventually(r2.ready).Should(Equal(200))
		Eventually(r1.addresses).Should(ConsistOf(r1.listen("frontend"), r2.listen("frontend")))
		Eventually(r2.addresses).Should(ConsistOf(r1.listen("frontend"), r2.listen("frontend")))
	})

	It("serve a session as clients see it", func() {
		var transcript strings.Builder
		record := func(what string, code int, body string, header map[string][]string, err error) {
			fmt.Fprintf(&transcript, "== %s\n%d", what, code)
			if seal := header["X-Response-Seal"]; len(seal) > 0 {
				fmt.Fprintf(&transcript, " %s", regexp.MustCompile(`m[12]`).ReplaceAllString(seal[0], "m#"))
			}
			fmt.Fprintf(&transcript, "\n%s\n", body)
			if err != nil {
				fmt.Fprintln(&transcript, "broken off")
			}
		}
		send := func(what, body, method, path, key string, header ...string) {
			code, answer, h, err := call(r1.listen("frontend"), method, path, key, strings.ReplaceAll(what, " ", "-"), body, header...)
			record(what, code, answer, h, err)
		}
		// Each request has a body of its own, as clients' requests do.
		do := func(what, method, path, key string, header ...string) {
			send(what, "body of "+what, method, path, key, header...)
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

	It("send nothing to a runner that drains, nor to a zone that is out", func() {
		served := func(r *runner) func() int {
			return func() int {
				before := len(r.Requests())
				_, _, err := chat(r1)
				Expect(err).NotTo(HaveOccurred())
				return len(r.Requests()) - before
			}
		}
		m1.entry["state"] = "draining"
		m1.publish()
		Eventually(served(m2)).Should(Equal(1))
		gone := len(m1.Requests())
		for range 8 {
			code, _, err := chat(r2)
			Expect(err).NotTo(HaveOccurred())
			Expect(code).To(Equal(200))
		}
		Expect(m1.Requests()).To(HaveLen(gone))
		m1.entry["state"] = "ready"
		m1.publish()
		store.Put("evacuations", "b", map[string]any{})
		Eventually(served(m1)).Should(Equal(1))
		store.Delete("evacuations", "b")
		Eventually(served(m2)).Should(Equal(1))
	})

	It("put a configuration in force everywhere, also where the store can't be reached", func() {
		store.Put("config", "main", config(2, []string{"key-1"}, map[string]any{
			"name": "new", "host": "h.example", "path-prefix": "/new/", "type": "idempotent", "service": "orders", "max-attempts": 2, "timeout-ms": 1000}))
		for _, r := range []*router{r1, r2} {
			Eventually(func() int {
				code, _, _, _ := call(r.listen("frontend"), "GET", "/new/", "key-1", next(), "")
				return code
			}).Should(Equal(200))
			code, _, _, _ := call(r.listen("frontend"), "GET", "/new/", "key-2", next(), "")
			Expect(code).To(Equal(401), "the key was taken away")
		}
	})

	It("serve on while the store is away", func() {
		store.SetFaults(prepared.Faults{Silent: true})
		Eventually(r1.session.Out).Should(gbytes.Say(`"event":"store.lost"`))
		code, body, err := chat(r1)
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(Equal(200))
		Expect(body).To(Equal(events(fmt.Sprint("attempt-", attempts), 6)))
		By("starting anew from what another router knows")
		r1.session.Kill().Wait(hang)
		r1.settings["seeds"] = []string{"127.0.0.2:1"}
		r1.write()
		r1.start()
		Eventually(r1.ready).Should(Equal(200))
		store.SetFaults(prepared.Faults{})
		Eventually(r1.session.Out).Should(gbytes.Say(`"event":"registration.done"`))
	})

	It("read their settings again on a signal and when the file changes", func() {
		r1.session.Signal(syscall.SIGHUP)
		Eventually(r1.session.Out).Should(gbytes.Say(`"event":"settings.reloaded".*"cause":"signal"`))
		r1.settings["bounds"].(map[string]any)["budget-slack"] = 60
		r1.write()
		Eventually(r1.session.Out).Should(gbytes.Say(`"event":"settings.reloaded".*"cause":"file"`))
	})

	It("stop without cutting what is in progress", func() {
		m1.EventInterval, m2.EventInterval = 300*time.Millisecond, 300*time.Millisecond
		type ended struct {
			body string
			err  error
		}
		done := make(chan ended)
		attempt := next()
		before := len(m1.Requests()) + len(m2.Requests())
		go func() {
			_, body, _, err := call(r1.listen("frontend"), "POST", "/chat/x", "key-1", attempt, "hello", chatHeaders...)
			done <- ended{body, err}
		}()
		Eventually(func() int { return len(m1.Requests()) + len(m2.Requests()) }).Should(BeNumerically(">", before))
		r1.session.Terminate()
		Eventually(r1.ready).Should(Equal(503))
		Eventually(r2.addresses).Should(ConsistOf(r2.listen("frontend")))
		Eventually(done).Should(Receive(Equal(ended{events(attempt, 6), nil})))
		Eventually(r1.session).Should(gexec.Exit(0))
		Expect(r1.session.Out).To(gbytes.Say(`"event":"router.stopped".*"cut":0`))
	})
})
