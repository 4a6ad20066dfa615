package fair_test

import (
	"fmt"

	"pgregory.net/rapid"

	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
)

// policy chooses the next account: the scheduler, or a naive policy to compare
// it with.
type policy interface {
	enqueue(account string)
	next() string
	dispatch(account string, estimate fair.Cost) fair.Charge
	chargeOutstanding(account string, c fair.Charge)
	updateProgress(account string, c fair.Charge, known fair.Cost) fair.Charge
	finish(account string, c fair.Charge, cost fair.Cost)
	share(account string, share float64)
}

type schedulerPolicy struct{ *fair.Scheduler }

func newSchedulerPolicy() policy {
	return schedulerPolicy{fair.NewScheduler(fair.DefaultRemoteLimitFactor)}
}

func (p schedulerPolicy) enqueue(account string)              { p.Enqueue(account) }
func (p schedulerPolicy) share(account string, share float64) { p.SetShare(account, share) }
func (p schedulerPolicy) chargeOutstanding(account string, c fair.Charge) {
	p.ChargeOutstanding(account, c)
}

func (p schedulerPolicy) next() string {
	name, _ := p.Next()
	return name
}

func (p schedulerPolicy) dispatch(account string, estimate fair.Cost) fair.Charge {
	charge := p.Dispatch(account, estimate)
	p.Dequeue(account)
	return charge
}

func (p schedulerPolicy) updateProgress(account string, c fair.Charge, known fair.Cost) fair.Charge {
	return p.UpdateProgress(account, c, known)
}

func (p schedulerPolicy) finish(account string, c fair.Charge, cost fair.Cost) {
	p.Finish(account, c, cost)
}

// fcfs serves requests first come, first served.
type fcfs struct{ queue []string }

func newFCFS() policy { return &fcfs{} }

func (p *fcfs) enqueue(account string) { p.queue = append(p.queue, account) }
func (p *fcfs) next() string           { return p.queue[0] }
func (p *fcfs) dispatch(account string, estimate fair.Cost) fair.Charge {
	p.queue = p.queue[1:]
	return fair.Charge{}
}
func (p *fcfs) updateProgress(string, fair.Charge, fair.Cost) fair.Charge { return fair.Charge{} }
func (p *fcfs) finish(string, fair.Charge, fair.Cost)                     {}
func (p *fcfs) chargeOutstanding(string, fair.Charge)                     {}
func (p *fcfs) share(string, float64)                                     {}

// roundRobin serves the accounts in turn and ignores the cost of requests.
type roundRobin struct {
	fcfs
	queued map[string]int
	order  []string
}

func newRoundRobin() policy { return &roundRobin{queued: map[string]int{}} }

func (p *roundRobin) enqueue(account string) {
	if _, known := p.queued[account]; !known {
		p.order = append(p.order, account)
	}
	p.queued[account]++
}

func (p *roundRobin) next() string {
	for p.queued[p.order[0]] == 0 {
		p.order = append(p.order[1:], p.order[0])
	}
	return p.order[0]
}

func (p *roundRobin) dispatch(account string, estimate fair.Cost) fair.Charge {
	p.queued[account]--
	p.order = append(p.order[1:], p.order[0])
	return fair.Charge{}
}

// request receives one cost unit of service per tick while it runs.
type request struct {
	account        *account
	estimate, cost fair.Cost
	served         fair.Cost
	charge         fair.Charge
}

type account struct {
	name        string
	share       float64
	queue       []*request
	cost        fair.Cost // true cost of the work done for it
	inFlight    int
	maxInFlight int  // highest inFlight so far
	idle        bool // sends no requests at present
}

// simulation is one scheduling scope: accounts, slots and the policy under test.
type simulation struct {
	newPolicy  func() policy
	policy     policy
	accounts   []*account
	slots      int
	running    []*request
	largest    fair.Cost
	windows    map[[2]int]*window
	onGrant    func(account int) // called before each grant
	worstGap   float64           // gap nearest to or furthest over its bound so far
	worstBound float64           // the bound of worstGap
}

// window is a period during which two accounts are continuously backlogged.
type window struct {
	minDiff      float64 // lowest difference of service in the window
	ownerChanges int
	maxRise      float64 // greatest rise above minDiff
}

func newSimulation(newPolicy func() policy, slots int, largest fair.Cost, shares []float64) *simulation {
	s := &simulation{newPolicy: newPolicy, policy: newPolicy(), slots: slots, largest: largest, windows: map[[2]int]*window{}, onGrant: func(int) {}}
	for i, share := range shares {
		a := &account{name: fmt.Sprintf("account-%d", i), share: share}
		s.accounts = append(s.accounts, a)
		s.policy.share(a.name, share)
	}
	return s
}

func drawSimulation(r *rapid.T, newPolicy func() policy) *simulation {
	shares := rapid.SliceOfN(rapid.SampledFrom([]float64{0.5, 1, 2, 3, 10}), 2, 5).Draw(r, "shares")
	return newSimulation(newPolicy, rapid.IntRange(1, 6).Draw(r, "slots"), fair.Cost(rapid.IntRange(1, 12).Draw(r, "largest")), shares)
}

// floodOneAccount fills the queue of one account before the other arrives.
// Requests of the first account have the highest cost, those of the other the
// lowest.
func floodOneAccount(newPolicy func() policy) *simulation {
	s := newSimulation(newPolicy, 2, 10, []float64{1, 1})
	for range 400 {
		s.arrive(s.accounts[0], 10, 10)
	}
	for range 400 {
		s.arrive(s.accounts[1], 10, 1)
	}
	for range 600 {
		s.run()
	}
	return s
}

func (s *simulation) tick(r *rapid.T) {
	for _, a := range s.accounts {
		if rapid.IntRange(0, 20).Draw(r, "idle or busy") == 20 {
			a.idle = !a.idle
		}
		if a.idle {
			continue
		}
		for range rapid.SampledFrom([]int{0, 0, 0, 1, 1, 3}).Draw(r, "arrivals") {
			cost := fair.Cost(rapid.IntRange(1, int(s.largest)).Draw(r, "cost"))
			s.arrive(a, fair.Cost(rapid.IntRange(0, int(s.largest)).Draw(r, "estimate")), cost)
		}
	}
	s.reportProgress(r)
	if rapid.IntRange(0, 60).Draw(r, "owner change") == 60 {
		s.changeOwner()
	}
	s.run()
}

func (s *simulation) arrive(a *account, estimate, cost fair.Cost) {
	a.queue = append(a.queue, &request{account: a, estimate: estimate, cost: cost})
	s.policy.enqueue(a.name)
}

// reportProgress reports the progress of randomly drawn requests to the policy.
func (s *simulation) reportProgress(r *rapid.T) {
	for _, q := range s.running {
		if rapid.Bool().Draw(r, "report") {
			q.charge = s.policy.updateProgress(q.account.name, q.charge, q.served)
		}
	}
}

// changeOwner replaces the policy by a new one that receives the shares, the
// charges of running requests and the queues, but no service history.
func (s *simulation) changeOwner() {
	s.policy = s.newPolicy()
	for _, a := range s.accounts {
		s.policy.share(a.name, a.share)
	}
	for _, q := range s.running {
		s.policy.chargeOutstanding(q.account.name, q.charge)
	}
	for _, a := range s.accounts {
		for range a.queue {
			s.policy.enqueue(a.name)
		}
	}
	for _, w := range s.windows {
		w.ownerChanges++
	}
}

// run fills the free slots and serves the running requests for one tick.
func (s *simulation) run() {
	for len(s.running) < s.slots && s.hasQueued() {
		s.grantSlot()
	}
	var unfinished []*request
	for _, q := range s.running {
		q.served++
		q.account.cost++
		if q.served < q.cost {
			unfinished = append(unfinished, q)
			continue
		}
		s.policy.finish(q.account.name, q.charge, q.cost)
		q.account.inFlight--
	}
	s.running = unfinished
	s.measureGaps()
}

func (s *simulation) grantSlot() {
	name := s.policy.next()
	for i, a := range s.accounts {
		if a.name != name {
			continue
		}
		s.onGrant(i)
		q := a.queue[0]
		a.queue = a.queue[1:]
		a.inFlight++
		a.maxInFlight = max(a.maxInFlight, a.inFlight)
		q.charge = s.policy.dispatch(name, q.estimate)
		s.running = append(s.running, q)
	}
}

func (s *simulation) hasQueued() bool {
	for _, a := range s.accounts {
		if len(a.queue) > 0 {
			return true
		}
	}
	return false
}

func (s *simulation) measureGaps() {
	for i, a := range s.accounts {
		for j, b := range s.accounts {
			if i == j {
				continue
			}
			key := [2]int{i, j}
			if len(a.queue) == 0 || len(b.queue) == 0 {
				delete(s.windows, key)
				continue
			}
			diff := float64(a.cost)/a.share - float64(b.cost)/b.share
			w := s.windows[key]
			if w == nil {
				w = &window{minDiff: diff}
				s.windows[key] = w
			}
			w.minDiff = min(w.minDiff, diff)
			w.maxRise = max(w.maxRise, diff-w.minDiff)
			s.recordWorst(a, b, w)
		}
	}
}

// recordWorst keeps the gap that is nearest to its bound, or furthest over it.
// The bound is 3 M (n_i/w_i + n_j/w_j) per owner in the window, where M is the
// largest request, n the most requests in flight at once and w the share.
func (s *simulation) recordWorst(a, b *account, w *window) {
	inFlight := float64(max(1, a.maxInFlight))/a.share + float64(max(1, b.maxInFlight))/b.share
	bound := 3 * float64(s.largest) * inFlight * float64(w.ownerChanges+1)
	if s.worstBound == 0 || w.maxRise/bound > s.worstGap/s.worstBound {
		s.worstGap, s.worstBound = w.maxRise, bound
	}
}
