package prepared_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/cyclamenwinch/cyclamenwinch/standin/prepared"
)

// writeInterval is how often endpoints write their entries.
const writeInterval = time.Second

// storeLink is the path of one router to the store. It records what the router
// has read.
type storeLink struct {
	store *prepared.Store
	cut   atomic.Bool // calls are closed without a response

	mu      sync.Mutex
	reads   map[string]int  // by kind and era: 2 for each list, 1 for each watch
	applied map[string]bool // kinds and eras whose state the router has
}

func (l *storeLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if l.cut.Load() {
		panic(http.ErrAbortHandler)
	}
	recorder := &statusRecorder{ResponseWriter: w}
	kind, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	if r.Method == http.MethodGet {
		l.recordCall(kind)
	}
	l.store.ServeHTTP(recorder, r)
	if r.Method == http.MethodGet && recorder.status == http.StatusOK {
		weight := 2
		if r.URL.Query().Has("watch") {
			weight = 1
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.reads[kind+" "+w.Header().Get("Store-Era")] += weight
	}
}

// recordCall records that the router has applied what it has read of a kind, since
// it calls for the next change only then. A single watch may only have shown it that
// the era is new.
func (l *storeLink) recordCall(kind string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, n := range l.reads {
		if strings.HasPrefix(key, kind+" ") && n >= 2 {
			l.applied[key] = true
		}
	}
}

func (l *storeLink) hasApplied(kind string, era int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.applied[fmt.Sprint(kind, " ", era)]
}

type statusRecorder struct {
	http.ResponseWriter
	status int
}

func (s *statusRecorder) WriteHeader(status int) {
	s.status = status
	s.ResponseWriter.WriteHeader(status)
}

var _ = Describe("Routers whose store is restored from an older copy", func() {
	var store *prepared.Store
	var m1, m2, orders *runner
	var routers []*router
	var links []*storeLink
	var peers, attempts int

	startRouter := func(seeds ...string) *router {
		l := &storeLink{store: store, reads: map[string]int{}, applied: map[string]bool{}}
		server := httptest.NewServer(l)
		DeferCleanup(func() { server.CloseClientConnections(); server.Close() })
		n := len(routers)
		r := newRouter(fmt.Sprint("r", n+1), fmt.Sprint("127.0.0.", n+1), string("ab"[n%2]), strings.TrimPrefix(server.URL, "http://"), peers, seeds...)
		r.start()
		DeferCleanup(func() { r.session.Kill().Wait(hangTimeout) })
		routers, links = append(routers, r), append(links, l)
		return r
	}
	awaitFleet := func() {
		for _, r := range routers {
			Eventually(r.ready).Should(Equal(200))
			Eventually(r.addresses).Should(HaveLen(len(routers)))
			Eventually(r.session.Out.Contents).Should(ContainSubstring(`"event":"registration.done"`))
		}
	}
	BeforeEach(func() {
		store, routers, links, peers = prepared.NewStore(), nil, nil, freePort()
		m1, m2 = newRunner(store, "m1", "model", "a"), newRunner(store, "m2", "model", "b")
		orders = newRunner(store, "o1", "orders", "a")
		store.Put("config", "main", config(1, []string{"key-1"}))
		startRouter("127.0.0.2")
		startRouter("127.0.0.1")
		awaitFleet()
	})

	// putConfig writes a version of the configuration with one more route.
	putConfig := func(version int, route string) {
		store.Put("config", "main", config(version, []string{"key-1"}, map[string]any{"name": route, "host": "h.example",
			"path-prefix": "/" + route + "/", "type": "idempotent", "service": "orders", "max-attempts": 2, "timeout-ms": 10000}))
	}
	// get returns the status of a request on a route that putConfig added.
	get := func(r *router, route string) int {
		attempts++
		code, _, _, _ := call(r.listenAddress("frontend"), "GET", "/"+route+"/", "key-1", fmt.Sprint("get-", attempts), "")
		return code
	}
	// chat sends a stream with a prompt of its own, so that none is placed where an
	// earlier one was.
	chat := func(r *router) int {
		attempts++
		code, _, _, _ := call(r.listenAddress("frontend"), "POST", "/chat/x", "key-1", fmt.Sprint("chat-", attempts), fmt.Sprint("body ", attempts),
			"X-Model", "m", "X-Token-Usage", "400,20", "X-Prefix-Hash", fmt.Sprintf("%x:400", 4096+attempts))
		return code
	}
	awaitRoute := func(route string) {
		for _, r := range routers {
			Eventually(func() int { return get(r, route) }).Should(Equal(200), "%s serves the route %s", r.name, route)
		}
	}
	awaitLog := func(pattern string) {
		for _, r := range routers {
			Eventually(r.session.Out.Contents).Should(MatchRegexp(pattern), r.name)
		}
	}
	// drain makes an endpoint drain and waits until all routers know.
	drain := func(r *runner) {
		r.record["state"] = "draining"
		r.publish()
		awaitLog(fmt.Sprintf(`"event":"endpoint.changed".*"endpoint":"%s".*"draining":true`, r.ID))
	}
	// awaitRequests sends requests by each router until they reach the endpoint.
	awaitRequests := func(endpoint *prepared.Runner, send func(r *router) int) {
		for _, r := range routers {
			Eventually(func() int { n := len(endpoint.Requests()); send(r); return len(endpoint.Requests()) - n }).Should(Equal(1), r.name)
		}
	}
	// restore makes the store unavailable, restores a copy, and lets write change
	// the store before routers can read it.
	restore := func(older prepared.Copy, write func()) {
		store.SetFaults(prepared.Faults{Down: true})
		store.Restore(older)
		write()
		store.SetFaults(prepared.Faults{})
	}
	unchanged := func() {}
	// holds calls check for each router until the condition holds for all of them.
	holds := func(check func(r *router), condition func(n int) bool) {
		Eventually(func() (waiting []string) {
			for n, r := range routers {
				check(r)
				if !condition(n) {
					waiting = append(waiting, r.name)
				}
			}
			return waiting
		}).Should(BeEmpty())
	}
	// read returns a condition: a router has the state of a kind as of the era after
	// the first restoration.
	read := func(kind string) func(n int) bool {
		return func(n int) bool { return links[n].hasApplied(kind, 2) }
	}
	logged := func(format string, args ...any) func(n int) bool {
		pattern := regexp.MustCompile(fmt.Sprintf(format, args...))
		return func(n int) bool { return pattern.Match(routers[n].session.Out.Contents()) }
	}
	objects := func(kind string) map[string]int64 { return objectRevisions(store, kind) }
	writeZones := func(n int) {
		for range n {
			store.Put("evacuations", "other", map[string]any{})
			store.Delete("evacuations", "other")
		}
	}

	It("don't ignore a configuration whose revision is lower than one that they knew", func() {
		older := store.Copy()
		writeZones(5)
		putConfig(2, "lost")
		awaitRoute("lost")
		known := objects("config")["main"]
		restore(older, func() { putConfig(3, "new") })
		Expect(objects("config")["main"]).To(BeNumerically("<", known))
		awaitRoute("new")
	})

	It("don't take a configuration for the one that had its revision before", func() {
		older := store.Copy()
		putConfig(2, "lost")
		awaitRoute("lost")
		known := objects("config")["main"]
		restore(older, func() { putConfig(3, "new") })
		Expect(objects("config")["main"]).To(Equal(known))
		awaitRoute("new")
	})

	It("don't miss a configuration when the store has passed their revision by the time they read it", func() {
		older := store.Copy()
		putConfig(2, "lost")
		awaitRoute("lost")
		restore(older, func() { putConfig(3, "new"); writeZones(20) })
		awaitRoute("new")
	})

	It("don't go back to the older configuration of the copy", func() {
		older := store.Copy()
		putConfig(2, "lost")
		awaitRoute("lost")
		restore(older, unchanged)
		holds(func(r *router) { Expect(get(r, "lost")).To(Equal(200), r.name) }, read("config"))
	})

	It("don't miss the configuration after the one that is written again", func() {
		older := store.Copy()
		writeZones(5)
		putConfig(2, "lost")
		awaitRoute("lost")
		restore(older, unchanged)
		holds(func(*router) {}, read("config"))
		putConfig(2, "lost")
		putConfig(3, "new")
		awaitRoute("new")
		for _, r := range routers {
			Expect(get(r, "lost")).To(Equal(404), r.name)
		}
	})

	// leaves expects that no request reaches m1, which the copy lists as ready, when
	// it writes or loses its entry as endpoints do, and afterwards.
	leaves := func(older prepared.Copy, write func()) {
		restored := len(m1.Requests())
		check := func(r *router) {
			Expect(chat(r)).To(Equal(200), r.name)
			Expect(m1.Requests()).To(HaveLen(restored), r.name)
		}
		restore(older, unchanged)
		entry := objects("servers")["m1"]
		time.AfterFunc(writeInterval, write)
		holds(check, read("servers"))
		holds(check, func(int) bool { return objects("servers")["m1"] != entry })
		m2.record["slots"] = 9
		m2.publish()
		holds(check, logged(`"event":"endpoint.changed".*"endpoint":"m2".*"revision":%d,`, objects("servers")["m2"]))
	}

	It("don't send requests to a draining endpoint while its older entry is back", func() {
		older := store.Copy()
		drain(m1)
		leaves(older, m1.publish)
	})

	It("don't send requests to an endpoint that has left while its older entry is back", func() {
		older := store.Copy()
		drain(m1)
		remove := func() { store.Delete("servers", "m1") }
		remove()
		awaitLog(`"event":"endpoint.gone".*"endpoint":"m1"`)
		leaves(older, remove)
	})

	It("use an endpoint that drained once it has started again", func() {
		older := store.Copy()
		drain(m1)
		restore(older, unchanged)
		m1.record["state"], m1.record["born"], m1.record["sequence"] = "ready", 2, 0
		m1.publish()
		drain(m2)
		awaitRequests(m1.Runner, chat)
	})

	It("don't take an endpoint's entry for the one that had its revision before", func() {
		older := store.Copy()
		orders.record["slots"] = 9
		orders.publish()
		known := objects("servers")["o1"]
		awaitLog(fmt.Sprintf(`"event":"endpoint.changed".*"endpoint":"o1".*"revision":%d,`, known))
		moved := &prepared.Runner{ID: "o1"}
		server := httptest.NewServer(moved)
		DeferCleanup(func() { server.CloseClientConnections(); server.Close() })
		orders.record["born"], orders.record["address"] = 2, strings.TrimPrefix(server.URL, "http://")
		restore(older, orders.publish)
		Expect(objects("servers")["o1"]).To(Equal(known))
		putConfig(2, "moved")
		awaitRequests(moved, func(r *router) int { return get(r, "moved") })
	})

	It("don't send requests to a zone that is out while the copy lacks its entry", func() {
		older := store.Copy()
		store.Put("evacuations", "b", map[string]any{})
		awaitLog(`"event":"zones.out".*"zones":\["b"\]`)
		before := len(m2.Requests())
		restore(older, unchanged)
		check := func(r *router) {
			Expect(chat(r)).To(Equal(200), r.name)
			Expect(m2.Requests()).To(HaveLen(before), r.name)
		}
		holds(check, read("evacuations"))
		By("reading again that the zone is out, and then that it is back")
		writeZones(5)
		store.Put("evacuations", "b", map[string]any{})
		holds(check, logged(`"event":"zones.out".*"zones":\["b"\],"revision":%d,`, objects("evacuations")["b"]))
		store.Delete("evacuations", "b")
		drain(m1)
		awaitRequests(m2.Runner, chat)
	})

	It("register again when the copy lacks their entries", func() {
		older := store.Copy()
		startRouter("127.0.0.1")
		awaitFleet()
		Expect(objects("cyclamenwinch-routers")).To(HaveKey("r3"))
		restore(older, unchanged)
		Eventually(func() map[string]int64 { return objects("cyclamenwinch-routers") }).Should(And(HaveKey("r1"), HaveKey("r2"), HaveKey("r3")))
		awaitFleet()
	})

	It("follow a store that is restored twice in a row", func() {
		older := store.Copy()
		writeZones(5)
		putConfig(2, "lost")
		awaitRoute("lost")
		restore(older, func() { putConfig(3, "third") })
		awaitRoute("third")
		restore(older, func() { putConfig(4, "fourth") })
		awaitRoute("fourth")
		By("restoring it twice before it responds again")
		restore(older, func() { putConfig(5, "fifth"); store.Restore(older); putConfig(6, "sixth") })
		awaitRoute("sixth")
	})

	DescribeTable("don't keep a router that restarts in the older state", func(startWhileAway bool) {
		older := store.Copy()
		writeZones(5)
		putConfig(2, "lost")
		awaitRoute("lost")
		restarted := routers[1]
		restarted.session.Kill().Wait(hangTimeout)
		restore(older, func() {
			if startWhileAway {
				restarted.start()
				Eventually(restarted.ready).Should(Equal(200), "has its records from the other router")
			}
		})
		if !startWhileAway {
			restarted.start()
			Eventually(restarted.ready).Should(Equal(200))
		}
		putConfig(2, "lost")
		awaitRoute("lost")
		putConfig(3, "new")
		awaitRoute("new")
	},
		Entry("while the store is away", true),
		Entry("when the store is back", false),
	)

	It("don't leave a router behind that only hears of the restored store from its peer", func() {
		older := store.Copy()
		writeZones(5)
		putConfig(2, "lost")
		awaitRoute("lost")
		links[1].cut.Store(true)
		Eventually(routers[1].session.Out).Should(gbytes.Say(`"event":"store.lost"`))
		restore(older, func() { putConfig(3, "new") })
		awaitRoute("new")
		drain(m1)
	})
})
