package prepared_test

import (
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/standin/netproxy"
	"github.com/cyclamenwinch/cyclamenwinch/standin/prepared"
)

// The soak runs router processes under random faults from outside and checks
// what clients and endpoints see. CYCLAMENWINCH_SOAK_SEEDS names other seeds
// than the short run's, as "1,2,3" or "1-50", CYCLAMENWINCH_SOAK_FAULTS how
// many faults each has, CYCLAMENWINCH_SOAK_ROUTERS how many routers.
const (
	soakSeeds   = "1,3"
	soakFaults  = 12
	soakRouters = 3
	soakClients = 12
	// mostFault is the longest time that a fault lasts: longer than the
	// time-outs of a router's connections.
	mostFault = 2500 * time.Millisecond
	// mostPause is the longest time between the starts of two faults, so that
	// they overlap.
	mostPause = 600 * time.Millisecond
)

// regressions are seeds that once failed, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{2, "SIGHUP ended a router that was starting: the signal was asked for only after the settings were read"},
}

func setting(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
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

// soak is one run.
type soak struct {
	store    *prepared.Store
	routers  []*router
	gates    []*netproxy.Proxy // between each router and the store
	runners  []*runner
	lines    []*netproxy.Proxy // between the routers and each runner
	versions atomic.Int64
	busy     []sync.Mutex // one fault at a router at a time
	log      *notes
}

// notes collects what broke a promise, and the faults.
type notes struct {
	mu     sync.Mutex
	broken []string
	faults []string
	asked  int
	served int

	refused map[string]int // orders by attempt: the status that promised that they don't run
}

func (n *notes) broke(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.broken = append(n.broken, fmt.Sprintf(format, args...))
}

func newSoak(seed uint64) *soak {
	s := &soak{store: prepared.NewStore(), log: &notes{refused: map[string]int{}}}
	server := httptest.NewServer(s.store)
	DeferCleanup(func() { server.CloseClientConnections(); server.Close() })
	proxy := func(to string) *netproxy.Proxy {
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
		line := proxy(r.address)
		r.entry["address"] = line.Address()
		r.publish()
		s.runners, s.lines = append(s.runners, r), append(s.lines, line)
	}
	s.versions.Store(1)
	s.store.Put("config", "main", config(1, []string{"key-1"}))
	peers := freePort()
	count := setting("CYCLAMENWINCH_SOAK_ROUTERS", soakRouters)
	s.busy = make([]sync.Mutex, count)
	for i := range count {
		gate := proxy(strings.TrimPrefix(server.URL, "http://"))
		r := newRouter(fmt.Sprint("r", i), fmt.Sprintf("127.0.%d.%d", seed%200+1, i+1), string("ab"[i%2]), gate.Address(), peers, fmt.Sprintf("127.0.%d.1", seed%200+1))
		r.start()
		s.routers, s.gates = append(s.routers, r), append(s.gates, gate)
	}
	DeferCleanup(func() {
		for _, r := range s.routers {
			r.session.Kill().Wait(hang)
		}
	})
	for _, r := range s.routers {
		Eventually(r.ready).Should(Equal(200))
		Eventually(r.addresses).Should(HaveLen(count))
	}
	return s
}

// begun waits for a process's first line: until the program has begun, the
// kernel ends the process at any signal, and it has taken nothing on.
func begun(r *router) {
	Eventually(func() int { return len(r.session.Out.Contents()) }).Should(BeNumerically(">", 0), r.name+" has begun")
}

// fault is something that goes wrong for a while.
type fault struct {
	name string
	run  func(rng *rand.Rand, length time.Duration)
}

func (s *soak) faults() []fault {
	at := func(do func(r *router, gate *netproxy.Proxy, length time.Duration)) func(*rand.Rand, time.Duration) {
		return func(rng *rand.Rand, length time.Duration) {
			i := rng.IntN(len(s.routers))
			s.busy[i].Lock()
			defer s.busy[i].Unlock()
			do(s.routers[i], s.gates[i], length)
		}
	}
	line := func(do func(r *runner, p *netproxy.Proxy, length time.Duration)) func(*rand.Rand, time.Duration) {
		return func(rng *rand.Rand, length time.Duration) {
			i := rng.IntN(len(s.lines))
			do(s.runners[i], s.lines[i], length)
		}
	}
	storeFault := func(f prepared.Faults) func(*rand.Rand, time.Duration) {
		return func(_ *rand.Rand, length time.Duration) {
			s.store.SetFaults(f)
			time.Sleep(length)
			s.store.SetFaults(prepared.Faults{})
		}
	}
	return []fault{
		{"router killed", at(func(r *router, _ *netproxy.Proxy, length time.Duration) {
			r.session.Kill().Wait(hang)
			time.Sleep(length / 4)
			r.start()
		})},
		{"router stopped and started", at(func(r *router, _ *netproxy.Proxy, _ time.Duration) {
			begun(r)
			r.session.Terminate().Wait(hang)
			if r.session.ExitCode() != 0 {
				s.log.broke("%s: exit code %d after SIGTERM", r.name, r.session.ExitCode())
			}
			r.start()
		})},
		{"router paused", at(func(r *router, _ *netproxy.Proxy, length time.Duration) {
			r.session.Signal(syscall.SIGSTOP)
			time.Sleep(length)
			r.session.Signal(syscall.SIGCONT)
		})},
		{"settings read again", at(func(r *router, _ *netproxy.Proxy, _ time.Duration) {
			begun(r)
			r.session.Signal(syscall.SIGHUP)
		})},
		{"router cut off from the store", at(func(_ *router, gate *netproxy.Proxy, length time.Duration) {
			gate.Disconnect()
			time.Sleep(length)
			gate.Restore()
		})},
		{"router's calls to the store arrive nowhere", at(func(_ *router, gate *netproxy.Proxy, length time.Duration) {
			gate.DropClientData()
			time.Sleep(length)
			gate.Restore()
		})},
		{"router's connections to the store go silent", at(func(_ *router, gate *netproxy.Proxy, _ time.Duration) { gate.Stall() })},
		{"store down", storeFault(prepared.Faults{Down: true})},
		{"store silent", storeFault(prepared.Faults{Silent: true})},
		{"store slow", storeFault(prepared.Faults{Delay: 300 * time.Millisecond})},
		{"store's answers lost", storeFault(prepared.Faults{LoseResponse: true})},
		{"store's history dropped", func(*rand.Rand, time.Duration) { s.store.Compact() }},
		{"endpoint's connections reset", line(func(_ *runner, p *netproxy.Proxy, _ time.Duration) { p.CloseConns() })},
		{"endpoint's connections go silent", line(func(_ *runner, p *netproxy.Proxy, _ time.Duration) { p.Stall() })},
		{"endpoint slow to reach", line(func(_ *runner, p *netproxy.Proxy, length time.Duration) {
			p.SetDelay(50 * time.Millisecond)
			time.Sleep(length)
			p.Restore()
		})},
		{"endpoint gone and back", line(func(r *runner, p *netproxy.Proxy, length time.Duration) {
			p.Disconnect()
			time.Sleep(length)
			p.Restore()
		})},
		{"stream broken off inside an event", line(func(r *runner, _ *netproxy.Proxy, _ time.Duration) { r.BreakNextStream(4) })},
		{"configuration changed", func(*rand.Rand, time.Duration) {
			s.store.Put("config", "main", config(int(s.versions.Add(1)), []string{"key-1"}))
		}},
		{"zone out and back", func(_ *rand.Rand, length time.Duration) {
			s.store.Put("evacuations", "b", map[string]any{})
			time.Sleep(length)
			s.store.Delete("evacuations", "b")
		}},
	}
}

// client sends requests to addresses that the routers name, until told to end.
func (s *soak) client(n int, rng *rand.Rand, over <-chan struct{}) {
	var addresses []string
	for i := 0; ; i++ {
		select {
		case <-over:
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

// refusals are the statuses that promise that the request has not run.
var refusals = map[int]bool{408: true, 421: true, 429: true, 503: true}

func (s *soak) order(address, attempt string) {
	status, body, _, err := call(address, "POST", "/order/new", "key-1", attempt, "order "+attempt)
	s.seen(status == 200 && err == nil)
	if refusals[status] {
		s.log.mu.Lock()
		s.log.refused[attempt] = status
		s.log.mu.Unlock()
	}
	switch {
	case status == 200 && err == nil && body != "done order "+attempt:
		s.log.broke("order %s got %q", attempt, body)
	case status/100 == 4 && !refusals[status]:
		s.log.broke("order %s got status %d", attempt, status)
	}
}

func (s *soak) stream(address, attempt string) {
	status, body, _, err := call(address, "POST", "/chat/x", "key-1", attempt, "body of "+attempt, chatHeaders...)
	s.seen(status == 200 && err == nil)
	switch {
	case status == 200 && err == nil && body != events(attempt, 6):
		s.log.broke("stream %s ended as whole with %q", attempt, body)
	case status == 200 && err != nil && !strings.HasPrefix(events(attempt, 6), body):
		s.log.broke("stream %s broke off after %q", attempt, body)
	case status/100 == 4 && !refusals[status]:
		s.log.broke("stream %s got status %d", attempt, status)
	}
}

func (s *soak) seen(served bool) {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	s.log.asked++
	if served {
		s.log.served++
	}
}

// judge checks what only the end can show.
func (s *soak) judge() {
	orders := map[string]int{}
	for _, r := range s.runners {
		for _, run := range r.Requests() {
			if run.Tenant != "acc" {
				s.log.broke("%s ran for account %q", run.Attempt, run.Tenant)
			}
			if strings.HasPrefix(run.URI, "/order/") {
				orders[run.Attempt]++
			}
		}
	}
	for attempt, n := range orders {
		if n > 1 {
			s.log.broke("order %s ran %d times", attempt, n)
		}
		if status := s.log.refused[attempt]; status > 0 {
			s.log.broke("order %s was refused with %d and ran", attempt, status)
		}
	}
}

// run plays faults in series that overlap while clients call, and then waits
// until every router serves again.
func (s *soak) run(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	over := make(chan struct{})
	var clients, faults sync.WaitGroup
	for n := range soakClients {
		own := rand.New(rand.NewPCG(seed, uint64(100+n)))
		clients.Go(func() { defer GinkgoRecover(); s.client(n, own, over) })
	}
	all := s.faults()
	for i := range setting("CYCLAMENWINCH_SOAK_FAULTS", soakFaults) {
		f := all[rng.IntN(len(all))]
		length := time.Duration(rng.Int64N(int64(mostFault)))
		s.log.faults = append(s.log.faults, fmt.Sprintf("%s for %v", f.name, length.Round(time.Millisecond)))
		own := rand.New(rand.NewPCG(seed, uint64(1000+i)))
		faults.Go(func() { defer GinkgoRecover(); f.run(own, length) })
		time.Sleep(time.Duration(rng.Int64N(int64(mostPause))))
	}
	faults.Wait()
	close(over)
	clients.Wait()
	s.settle()
	s.judge()
}

// settle waits until all faults are over for every router.
func (s *soak) settle() {
	s.store.SetFaults(prepared.Faults{})
	for _, r := range s.routers {
		Expect(r.session.ExitCode()).To(Equal(-1), r.name+" has ended by itself")
		Eventually(r.ready).Should(Equal(200))
		Eventually(r.addresses).Should(HaveLen(len(s.routers)))
		Eventually(func() string {
			attempt := fmt.Sprint("last-", r.name, "-", time.Now().UnixNano())
			_, body, _, _ := call(r.listen("frontend"), "POST", "/chat/x", "key-1", attempt, "hello", chatHeaders...)
			return strings.ReplaceAll(body, attempt, "#")
		}).Should(Equal(events("#", 6)))
	}
}

var _ = Describe("Under random faults", func() {
	It("keep every promise", func() {
		for _, seed := range seeds() {
			s := newSoak(seed)
			s.run(seed)
			AddReportEntry("soak", fmt.Sprintf("seed %d: %d of %d requests served", seed, s.log.served, s.log.asked))
			Expect(s.log.broken).To(BeEmpty(), "seed %d, faults: %s", seed, strings.Join(s.log.faults, "; "))
			for _, r := range s.routers {
				r.session.Kill().Wait(hang)
			}
		}
	})
})
