package load

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Policy selects what a run sends its requests to: the fleet's routers, or a
// baseline with a simple scheduling policy.
type Policy string

// Policies of a run.
const (
	Routers    Policy = "routers"
	FCFS       Policy = "fcfs"        // first come, first served; runner with the fewest requests
	RoundRobin Policy = "round-robin" // first come, first served; runners in rotation
)

// baselineTarget simulates routers that share no state: each has one FIFO
// queue and a fixed, equal part of every runner's slots (at least one).
type baselineTarget struct {
	routers []*baselineRouter
	zones   map[string][]*baselineRouter
	caller  *Caller

	mu         sync.Mutex
	nextRouter map[string]int // rotation index by zone
}

// NewBaselineTarget returns a baseline that bypasses the fleet's routers and
// sends requests straight to the model runners. It has no ledger and rejects
// orders.
func NewBaselineTarget(f Fleet, policy Policy) Target {
	t := &baselineTarget{zones: map[string][]*baselineRouter{}, nextRouter: map[string]int{}, caller: NewCallerWithSeeds(nil, "")}
	for _, r := range f.Routers {
		n := newBaselineRouter(r.Name, f.Models, len(f.Routers), policy)
		t.routers = append(t.routers, n)
		t.zones[r.Zone] = append(t.zones[r.Zone], n)
	}
	return t
}

// Send queues the request at a simulated router of the caller's zone, waits for
// a slot and sends the request to the slot's runner. The wait counts toward the
// times of the reply.
func (t *baselineTarget) Send(ctx context.Context, a Arrival, r Request) (string, Reply, error) {
	if a.Key != "" {
		return "", Reply{}, errors.New("a baseline target does not support orders")
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

func (t *baselineTarget) router(zone string) *baselineRouter {
	t.mu.Lock()
	defer t.mu.Unlock()
	routers := t.zones[zone]
	if len(routers) == 0 {
		routers = t.routers
	}
	t.nextRouter[zone]++
	return routers[t.nextRouter[zone]%len(routers)]
}

// baselineRouter simulates one router. It is safe for concurrent use.
type baselineRouter struct {
	name    string
	runners []Runner
	limits  []int
	policy  Policy

	mu         sync.Mutex
	busy       []int
	nextRunner int
	queue      []chan int // waiting requests in order of arrival
}

func newBaselineRouter(name string, runners []Runner, routers int, policy Policy) *baselineRouter {
	n := &baselineRouter{name: name, runners: runners, policy: policy, busy: make([]int, len(runners))}
	for _, r := range runners {
		n.limits = append(n.limits, max(1, r.Slots/routers))
	}
	return n
}

// acquire waits for a free slot and returns the index of its runner.
func (n *baselineRouter) acquire(ctx context.Context) (int, error) {
	n.mu.Lock()
	if i := n.chooseRunner(); i >= 0 && len(n.queue) == 0 {
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
		n.cancelWait(granted)
		return 0, ctx.Err()
	}
}

// cancelWait removes a request from the queue. If the request was granted a slot
// in the meantime, cancelWait releases the slot.
func (n *baselineRouter) cancelWait(granted chan int) {
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

func (n *baselineRouter) release(i int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.busy[i]--
	if len(n.queue) == 0 {
		return
	}
	next := n.chooseRunner()
	n.busy[next]++
	n.queue[0] <- next
	n.queue = n.queue[1:]
}

// chooseRunner returns the index of a runner with a free slot, or -1. The caller
// must hold mu.
func (n *baselineRouter) chooseRunner() int {
	best := -1
	for k := range n.runners {
		i := (n.nextRunner + k) % len(n.runners)
		if n.busy[i] >= n.limits[i] {
			continue
		}
		if n.policy == RoundRobin {
			n.nextRunner = i + 1
			return i
		}
		if best < 0 || n.busy[i] < n.busy[best] {
			best = i
		}
	}
	return best
}
