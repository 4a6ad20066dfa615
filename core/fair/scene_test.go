package fair_test

import (
	"fmt"

	"pgregory.net/rapid"

	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
)

// policy chooses the next account; the book is one, the naive ones others.
type policy interface {
	enqueue(account string)
	next() string
	dispatch(account string, estimate fair.Cost) fair.Charge
	adopt(account string, r fair.Charge)
	advance(account string, r fair.Charge, known fair.Cost) fair.Charge
	finish(account string, r fair.Charge, cost fair.Cost)
	share(account string, share float64)
}

type bookPolicy struct{ *fair.Scheduler }

func newBookPolicy() policy { return bookPolicy{fair.NewScheduler(fair.DefaultRemoteLimit)} }

func (p bookPolicy) enqueue(account string)              { p.Enqueue(account) }
func (p bookPolicy) share(account string, share float64) { p.SetShare(account, share) }
func (p bookPolicy) adopt(account string, r fair.Charge) { p.ChargeOutstanding(account, r) }

func (p bookPolicy) next() string {
	name, _ := p.Next()
	return name
}

func (p bookPolicy) dispatch(account string, estimate fair.Cost) fair.Charge {
	r := p.Dispatch(account, estimate)
	p.Dequeue(account)
	return r
}

func (p bookPolicy) advance(account string, r fair.Charge, known fair.Cost) fair.Charge {
	return p.UpdateProgress(account, r, known)
}

func (p bookPolicy) finish(account string, r fair.Charge, cost fair.Cost) {
	p.Finish(account, r, cost)
}

// firstCome serves in order of arrival.
type firstCome struct{ queue []string }

func newFirstCome() policy { return &firstCome{} }

func (p *firstCome) enqueue(account string) { p.queue = append(p.queue, account) }
func (p *firstCome) next() string           { return p.queue[0] }
func (p *firstCome) dispatch(account string, estimate fair.Cost) fair.Charge {
	p.queue = p.queue[1:]
	return fair.Charge{}
}
func (p *firstCome) advance(string, fair.Charge, fair.Cost) fair.Charge { return fair.Charge{} }
func (p *firstCome) finish(string, fair.Charge, fair.Cost)              {}
func (p *firstCome) adopt(string, fair.Charge)                          {}
func (p *firstCome) share(string, float64)                              {}

// roundRobin serves the accounts in turn, whatever their requests cost.
type roundRobin struct {
	firstCome
	waiting map[string]int
	turn    []string
}

func newRoundRobin() policy { return &roundRobin{waiting: map[string]int{}} }

func (p *roundRobin) enqueue(account string) {
	if _, known := p.waiting[account]; !known {
		p.turn = append(p.turn, account)
	}
	p.waiting[account]++
}

func (p *roundRobin) next() string {
	for p.waiting[p.turn[0]] == 0 {
		p.turn = append(p.turn[1:], p.turn[0])
	}
	return p.turn[0]
}

func (p *roundRobin) dispatch(account string, estimate fair.Cost) fair.Charge {
	p.waiting[account]--
	p.turn = append(p.turn[1:], p.turn[0])
	return fair.Charge{}
}

// request is one unit of work; it advances by one cost unit a tick.
type request struct {
	account        *account
	estimate, cost fair.Cost
	done           fair.Cost
	running        fair.Charge
}

type account struct {
	name     string
	share    float64
	queue    []*request
	service  fair.Cost // true cost of the work done
	inFlight int
	most     int  // in flight at once
	idle     bool // sends nothing for now
}

// scene is one scope: accounts, slots and the policy under test.
type scene struct {
	newPolicy func() policy
	policy    policy
	accounts  []*account
	slots     int
	running   []*request
	largest   fair.Cost
	windows   map[[2]int]*window
	granted   func(account int) // called before each grant
	gap       float64           // worst so far, with its bound
	bound     float64
}

// window is the time during which two accounts are backlogged.
type window struct {
	low    float64 // lowest difference of service in it
	owners int     // owner changes in it
	gap    float64 // greatest rise above low
}

func newScene(newPolicy func() policy, slots int, largest fair.Cost, shares []float64) *scene {
	s := &scene{newPolicy: newPolicy, policy: newPolicy(), slots: slots, largest: largest, windows: map[[2]int]*window{}, granted: func(int) {}}
	for i, share := range shares {
		a := &account{name: fmt.Sprintf("account-%d", i), share: share}
		s.accounts = append(s.accounts, a)
		s.policy.share(a.name, share)
	}
	return s
}

func drawScene(r *rapid.T, newPolicy func() policy) *scene {
	shares := rapid.SliceOfN(rapid.SampledFrom([]float64{0.5, 1, 2, 3, 10}), 2, 5).Draw(r, "shares")
	return newScene(newPolicy, rapid.IntRange(1, 6).Draw(r, "slots"), fair.Cost(rapid.IntRange(1, 12).Draw(r, "largest")), shares)
}

// flood fills the queue of one account before the other arrives; the first
// one's requests cost the most, those of the other the least.
func flood(newPolicy func() policy) *scene {
	s := newScene(newPolicy, 2, 10, []float64{1, 1})
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

func (s *scene) tick(r *rapid.T) {
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
	s.report(r)
	if rapid.IntRange(0, 60).Draw(r, "owner change") == 60 {
		s.changeOwner()
	}
	s.run()
}

func (s *scene) arrive(a *account, estimate, cost fair.Cost) {
	a.queue = append(a.queue, &request{account: a, estimate: estimate, cost: cost})
	s.policy.enqueue(a.name)
}

// report tells the policy of the progress of some requests.
func (s *scene) report(r *rapid.T) {
	for _, q := range s.running {
		if rapid.Bool().Draw(r, "report") {
			q.running = s.policy.advance(q.account.name, q.running, q.done)
		}
	}
}

// changeOwner starts a new policy that knows only what is reported anew.
func (s *scene) changeOwner() {
	s.policy = s.newPolicy()
	for _, a := range s.accounts {
		s.policy.share(a.name, a.share)
	}
	for _, q := range s.running {
		s.policy.adopt(q.account.name, q.running)
	}
	for _, a := range s.accounts {
		for range a.queue {
			s.policy.enqueue(a.name)
		}
	}
	for _, w := range s.windows {
		w.owners++
	}
}

// run fills the slots and does one tick of work.
func (s *scene) run() {
	for len(s.running) < s.slots && s.waiting() {
		s.grant()
	}
	var still []*request
	for _, q := range s.running {
		q.done++
		q.account.service++
		if q.done < q.cost {
			still = append(still, q)
			continue
		}
		s.policy.finish(q.account.name, q.running, q.cost)
		q.account.inFlight--
	}
	s.running = still
	s.measure()
}

func (s *scene) grant() {
	name := s.policy.next()
	for i, a := range s.accounts {
		if a.name != name {
			continue
		}
		s.granted(i)
		q := a.queue[0]
		a.queue = a.queue[1:]
		a.inFlight++
		a.most = max(a.most, a.inFlight)
		q.running = s.policy.dispatch(name, q.estimate)
		s.running = append(s.running, q)
	}
}

func (s *scene) waiting() bool {
	for _, a := range s.accounts {
		if len(a.queue) > 0 {
			return true
		}
	}
	return false
}

func (s *scene) measure() {
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
			diff := float64(a.service)/a.share - float64(b.service)/b.share
			w := s.windows[key]
			if w == nil {
				w = &window{low: diff}
				s.windows[key] = w
			}
			w.low = min(w.low, diff)
			w.gap = max(w.gap, diff-w.low)
			s.note(a, b, w)
		}
	}
}

// note keeps the gap that is nearest to its bound, or furthest over it. The
// bound is 3 M (n_i/w_i + n_j/w_j) for each owner in the window.
func (s *scene) note(a, b *account, w *window) {
	inFlight := float64(max(1, a.most))/a.share + float64(max(1, b.most))/b.share
	formula := 3 * float64(s.largest) * inFlight * float64(w.owners+1)
	if s.bound == 0 || w.gap/formula > s.gap/s.bound {
		s.gap, s.bound = w.gap, formula
	}
}
