package load

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Policy names a baseline, or the fleet's routers.
type Policy string

// The policies that a run can be made against.
const (
	Routers    Policy = "routers"
	FCFS       Policy = "fcfs"        // first come first served, least busy runner
	RoundRobin Policy = "round-robin" // first come first served, runners in turn
)

// naiveTarget plays routers that don't know of each other: each keeps one
// queue in order of arrival and uses its static part of every runner's
// slots.
type naiveTarget struct {
	routers []*naiveRouter
	zones   map[string][]*naiveRouter
	caller  *Caller

	mu   sync.Mutex
	next map[string]int // by zone
}

// NewNaiveTarget returns a baseline without our routers. It has no ledger
// and refuses orders.
func NewNaiveTarget(f Fleet, policy Policy) Target {
	t := &naiveTarget{zones: map[string][]*naiveRouter{}, next: map[string]int{}, caller: NewCallerWithSeeds(nil, "")}
	for _, r := range f.Routers {
		n := newNaiveRouter(r.Name, f.Models, len(f.Routers), policy)
		t.routers = append(t.routers, n)
		t.zones[r.Zone] = append(t.zones[r.Zone], n)
	}
	return t
}

// Send queues the request at a router of the caller's zone and sends it to
// a runner once it has a slot.
func (t *naiveTarget) Send(ctx context.Context, a Arrival, r Request) (string, Reply, error) {
	if a.Key != "" {
		return "", Reply{}, errors.New("a baseline takes no orders")
	}
	n := t.router(a.Zone)
	sent := time.Now()
	runner, err := n.acquire(ctx)
	if err != nil {
		return n.name, Reply{}, err
	}
	defer n.release(runner)
	waited := time.Since(sent)
	reply, err := t.caller.Send(ctx, n.runners[runner].URL, r)
	reply.Total += waited
	if reply.FirstToken > 0 {
		reply.FirstToken += waited
	}
	return n.name, reply, err
}

func (t *naiveTarget) router(zone string) *naiveRouter {
	t.mu.Lock()
	defer t.mu.Unlock()
	routers := t.zones[zone]
	if len(routers) == 0 {
		routers = t.routers
	}
	t.next[zone]++
	return routers[t.next[zone]%len(routers)]
}

// naiveRouter is one router on its own. It is safe for concurrent use.
type naiveRouter struct {
	name    string
	runners []Runner
	limits  []int
	policy  Policy

	mu    sync.Mutex
	busy  []int
	turn  int
	queue []chan int // in order of arrival
}

func newNaiveRouter(name string, runners []Runner, routers int, policy Policy) *naiveRouter {
	n := &naiveRouter{name: name, runners: runners, policy: policy, busy: make([]int, len(runners))}
	for _, r := range runners {
		n.limits = append(n.limits, max(1, r.Slots/routers))
	}
	return n
}

// acquire waits for a slot and returns its runner's index.
func (n *naiveRouter) acquire(ctx context.Context) (int, error) {
	n.mu.Lock()
	if i := n.choose(); i >= 0 && len(n.queue) == 0 {
		n.busy[i]++
		n.mu.Unlock()
		return i, nil
	}
	granted := make(chan int, 1)
	n.queue = append(n.queue, granted)
	n.mu.Unlock()
	select {
	case i := <-granted:
		return i, nil
	case <-ctx.Done():
		n.leave(granted)
		return 0, ctx.Err()
	}
}

// leave drops a queued request, or passes on the slot that it got meanwhile.
func (n *naiveRouter) leave(granted chan int) {
	n.mu.Lock()
	for i, c := range n.queue {
		if c == granted {
			n.queue = append(n.queue[:i], n.queue[i+1:]...)
			n.mu.Unlock()
			return
		}
	}
	n.mu.Unlock()
	n.release(<-granted)
}

func (n *naiveRouter) release(i int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.busy[i]--
	if len(n.queue) == 0 {
		return
	}
	next := n.choose()
	n.busy[next]++
	n.queue[0] <- next
	n.queue = n.queue[1:]
}

// choose returns a runner with a free slot, or -1. The caller holds mu.
func (n *naiveRouter) choose() int {
	best := -1
	for k := range n.runners {
		i := (n.turn + k) % len(n.runners)
		if n.busy[i] >= n.limits[i] {
			continue
		}
		if n.policy == RoundRobin {
			n.turn = i + 1
			return i
		}
		if best < 0 || n.busy[i] < n.busy[best] {
			best = i
		}
	}
	return best
}
