package prepared_test

import (
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/standin/netproxy"
	"github.com/cyclamenwinch/cyclamenwinch/standin/prepared"
)

// The soak test runs router processes under random external faults and checks
// what clients and endpoints observe. Environment variables override the
// defaults of the short run: CYCLAMENWINCH_SOAK_SEEDS the seeds, as "1,2,3" or
// "1-50", CYCLAMENWINCH_SOAK_FAULTS the number of faults for each seed, and
// CYCLAMENWINCH_SOAK_ROUTERS the number of routers.
const (
	soakSeeds   = "1,3"
	soakFaults  = 12
	soakRouters = 3
	soakClients = 12
	// maxFaultDuration is longer than the timeouts of a router's connections,
	// so that some faults outlast them.
	maxFaultDuration = 2500 * time.Millisecond
	// maxFaultInterval bounds the time between the starts of two faults. It is
	// shorter than most faults, so that faults overlap.
	maxFaultInterval = 600 * time.Millisecond
)

// regressions are seeds that failed in the past, with the cause; the short run
// includes them.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{2, "SIGHUP terminated a router during its start: the signal handler was installed only after the settings were read"},
}

func intFromEnv(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// seeds returns the seeds to run.
func seeds() (out []uint64) {
	list := os.Getenv("CYCLAMENWINCH_SOAK_SEEDS")
	if list == "" {
		list = soakSeeds
		for _, r := range regressions {
			out = append(out, r.seed)
		}
	}
	for _, part := range strings.Split(list, ",") {
		from, to, ranged := strings.Cut(part, "-")
		first, err := strconv.ParseUint(from, 10, 64)
		Expect(err).NotTo(HaveOccurred())
		last := first
		if ranged {
			last, err = strconv.ParseUint(to, 10, 64)
			Expect(err).NotTo(HaveOccurred())
		}
		for seed := first; seed <= last; seed++ {
			out = append(out, seed)
		}
	}
	return out
}

// soak is the fleet of one run.
type soak struct {
	store           *prepared.Store
	routers         []*router
	storeProxies    []*netproxy.Proxy // one between each router and the store
	runners         []*runner
	endpointProxies []*netproxy.Proxy // one between the routers and each runner
	operator        operator
	faultLocks      []sync.Mutex // by router; allow one fault at a time
	results         *soakResults
}

// soakResults collects violated guarantees, injected faults and request counts.
type soakResults struct {
	mu         sync.Mutex
	violations []string
	faults     []string
	sent       int
	served     int

	refused map[string]int // by attempt ID of an order: the status which guarantees that it has not run
}

func (n *soakResults) addViolation(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.violations = append(n.violations, fmt.Sprintf(format, args...))
}

func (n *soakResults) addFault(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = append(n.faults, fmt.Sprintf(format, args...))
}

func newSoak(seed uint64) *soak {
	s := &soak{store: prepared.NewStore(), results: &soakResults{refused: map[string]int{}}}
	server := httptest.NewServer(s.store)
	DeferCleanup(func() { server.CloseClientConnections(); server.Close() })
	newProxy := func(to string) *netproxy.Proxy {
		p, err := netproxy.New(to)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
		return p
	}
	for i := range 6 {
		service := "model"
		if i >= 4 {
			service = "orders"
		}
		r := newRunner(s.store, fmt.Sprint("e", i), service, string("ab"[i%2]))
		endpointProxy := newProxy(r.address)
		r.record["address"] = endpointProxy.Address()
		r.publish()
		s.runners, s.endpointProxies = append(s.runners, r), append(s.endpointProxies, endpointProxy)
	}
	s.operator.store = s.store
	s.operator.changeConfig()
	peers := freePort()
	count := intFromEnv("CYCLAMENWINCH_SOAK_ROUTERS", soakRouters)
	s.faultLocks = make([]sync.Mutex, count)
	for i := range count {
		storeProxy := newProxy(strings.TrimPrefix(server.URL, "http://"))
		r := newRouter(fmt.Sprint("r", i), fmt.Sprintf("127.0.%d.%d", seed%200+1, i+1), string("ab"[i%2]), storeProxy.Address(), peers, fmt.Sprintf("127.0.%d.1", seed%200+1))
		r.start()
		s.routers, s.storeProxies = append(s.routers, r), append(s.storeProxies, storeProxy)
	}
	DeferCleanup(func() {
		for _, r := range s.routers {
			r.session.Kill().Wait(hangTimeout)
		}
	})
	for _, r := range s.routers {
		Eventually(r.ready).Should(Equal(200))
		Eventually(r.addresses).Should(HaveLen(count))
	}
	return s
}

// awaitFirstOutput waits for the first line that a router prints. Before the
// program runs, it has no signal handlers, so that SIGTERM and SIGHUP end the
// process with an error although it has accepted no work.
func awaitFirstOutput(r *router) {
	Eventually(func() int { return len(r.session.Out.Contents()) }).Should(BeNumerically(">", 0), r.name+" prints its first line")
}

// client sends requests to the addresses that the routers list until stop is
// closed.
func (s *soak) client(n int, rng *rand.Rand, stop <-chan struct{}) {
	var addresses []string
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		if i%10 == 0 || len(addresses) == 0 {
			if got := s.routers[rng.IntN(len(s.routers))].addresses(); len(got) > 0 {
				addresses = got
			}
		}
		if len(addresses) == 0 {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		attempt := fmt.Sprintf("c%d-%d", n, i)
		if rng.IntN(3) == 0 {
			s.order(addresses[rng.IntN(len(addresses))], attempt)
		} else {
			s.stream(addresses[rng.IntN(len(addresses))], attempt)
		}
	}
}

// notRunStatuses are the statuses which guarantee that the request has not run.
var notRunStatuses = map[int]bool{408: true, 421: true, 429: true, 503: true}

func (s *soak) order(address, attempt string) {
	status, body, _, err := call(address, "POST", "/order/new", "key-1", attempt, "order "+attempt)
	s.countRequest(status == 200 && err == nil)
	if notRunStatuses[status] {
		s.results.mu.Lock()
		s.results.refused[attempt] = status
		s.results.mu.Unlock()
	}
	switch {
	case status == 200 && err == nil && body != "done order "+attempt:
		s.results.addViolation("order %s got %q", attempt, body)
	case status/100 == 4 && !notRunStatuses[status]:
		s.results.addViolation("order %s got status %d", attempt, status)
	}
}

func (s *soak) stream(address, attempt string) {
	status, body, _, err := call(address, "POST", "/chat/x", "key-1", attempt, "body of "+attempt, chatHeaders...)
	s.countRequest(status == 200 && err == nil)
	switch {
	case status == 200 && err == nil && body != expectedStream(attempt, 6):
		s.results.addViolation("stream %s ended without an error after %q", attempt, body)
	case status == 200 && err != nil && !strings.HasPrefix(expectedStream(attempt, 6), body):
		s.results.addViolation("stream %s was interrupted after %q", attempt, body)
	case status/100 == 4 && !notRunStatuses[status]:
		s.results.addViolation("stream %s got status %d", attempt, status)
	}
}

func (s *soak) countRequest(served bool) {
	s.results.mu.Lock()
	defer s.results.mu.Unlock()
	s.results.sent++
	if served {
		s.results.served++
	}
}

// checkResults checks the runs that the endpoints recorded: every request ran
// for its account, no order ran twice, and no refused order ran.
func (s *soak) checkResults() {
	orders := map[string]int{}
	for _, r := range s.runners {
		for _, run := range r.Requests() {
			if run.Tenant != "acc" {
				s.results.addViolation("%s ran for account %q", run.Attempt, run.Tenant)
			}
			if strings.HasPrefix(run.URI, "/order/") {
				orders[run.Attempt]++
			}
		}
	}
	for attempt, n := range orders {
		if n > 1 {
			s.results.addViolation("order %s ran %d times", attempt, n)
		}
		if status := s.results.refused[attempt]; status > 0 {
			s.results.addViolation("order %s was refused with %d and ran", attempt, status)
		}
	}
}

// run injects faults that overlap while clients send requests, waits until
// every router serves again and checks the results.
func (s *soak) run(seed uint64) {
	stopWriting := make(chan struct{})
	defer close(stopWriting)
	go s.writeEntries(stopWriting)
	stop := make(chan struct{})
	var clients, faults sync.WaitGroup
	for n := range soakClients {
		clientRNG := rand.New(rand.NewPCG(seed, uint64(100+n)))
		clients.Go(func() { defer GinkgoRecover(); s.client(n, clientRNG, stop) })
	}
	count := intFromEnv("CYCLAMENWINCH_SOAK_FAULTS", soakFaults)
	faults.Go(func() { defer GinkgoRecover(); s.inject(seed, 1, s.faults(), count, maxFaultInterval) })
	// These kinds were added later. They are drawn apart, so that a seed still
	// injects the same faults of the other kinds at the same times.
	faults.Go(func() { defer GinkgoRecover(); s.inject(seed, 2, s.laterFaults(), count/4, 4*maxFaultInterval) })
	faults.Wait()
	close(stop)
	clients.Wait()
	s.awaitRecovery()
	s.checkResults()
}

// writeEntries writes the entries of the endpoints every writeInterval until stop is
// closed.
func (s *soak) writeEntries(stop <-chan struct{}) {
	ticks := time.NewTicker(writeInterval)
	defer ticks.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticks.C:
		}
		for _, r := range s.runners {
			r.publish()
		}
	}
}

// inject starts a number of faults of the given kinds at random intervals, and
// returns when all are over. Different streams of a seed are independent.
func (s *soak) inject(seed, stream uint64, kinds []fault, count int, maxInterval time.Duration) {
	rng := rand.New(rand.NewPCG(seed, stream))
	var faults sync.WaitGroup
	for i := range count {
		f := kinds[rng.IntN(len(kinds))]
		duration := time.Duration(rng.Int64N(int64(maxFaultDuration)))
		s.results.addFault("%s for %v", f.name, duration.Round(time.Millisecond))
		faultRNG := rand.New(rand.NewPCG(seed, 1000*stream+uint64(i)))
		faults.Go(func() { defer GinkgoRecover(); f.run(faultRNG, duration) })
		time.Sleep(time.Duration(rng.Int64N(int64(maxInterval))))
	}
	faults.Wait()
}

// awaitRecovery ends the faults of the store and waits until every router
// lists all routers, is registered and serves a request with a key that only the
// newest configuration has.
func (s *soak) awaitRecovery() {
	s.store.SetFaults(prepared.Faults{})
	for _, r := range s.routers {
		Expect(r.session.ExitCode()).To(Equal(-1), r.name+" exited unexpectedly")
		Eventually(r.ready).Should(Equal(200))
		Eventually(r.addresses).Should(HaveLen(len(s.routers)))
		Eventually(func() string {
			attempt := fmt.Sprint("last-", r.name, "-", time.Now().UnixNano())
			_, body, _, _ := call(r.listenAddress("frontend"), "POST", "/chat/x", s.operator.newestKey(), attempt, "hello", chatHeaders...)
			return strings.ReplaceAll(body, attempt, "#")
		}).Should(Equal(expectedStream("#", 6)), "%s has the newest configuration", r.name)
		Eventually(func() map[string]int64 { return objectRevisions(s.store, "cyclamenwinch-routers") }).Should(HaveKey(r.name))
	}
}

var _ = Describe("Under random faults", func() {
	It("keep every promise", func() {
		for _, seed := range seeds() {
			s := newSoak(seed)
			s.run(seed)
			AddReportEntry("soak", fmt.Sprintf("seed %d: %d of %d requests served", seed, s.results.served, s.results.sent))
			Expect(s.results.violations).To(BeEmpty(), "seed %d, faults: %s", seed, strings.Join(s.results.faults, "; "))
			for _, r := range s.routers {
				r.session.Kill().Wait(hangTimeout)
			}
		}
	})
})
