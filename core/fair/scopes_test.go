package fair_test

import (
	"pgregory.net/rapid"

	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
)

// unlimited is a lead that no scene reaches.
const unlimited = 1e9

// twoScopes are two owners that exchange usage every period ticks; the news
// arrives one period later. Each account is backlogged at one or both.
type twoScopes struct {
	scopes   [2]*scene
	uses     [2][]bool // by account
	exchange bool
	period   int
	now      int
	told     [2]map[string]fair.Cost // usage on its way from each scope
	gap      float64                 // worst at a grant, with its bound
	bound    float64
}

func newTwoScopes(slots [2]int, largest fair.Cost, shares []float64, uses [2][]bool) *twoScopes {
	t := &twoScopes{uses: uses, exchange: true, period: 5, told: [2]map[string]fair.Cost{{}, {}}}
	for i := range t.scopes {
		book := fair.NewScheduler(unlimited)
		s := newScene(func() policy { return bookPolicy{book} }, slots[i], largest, shares)
		s.granted = func(index int) { t.check(i, index) }
		for _, a := range s.accounts {
			book.SetRemoteCost(a.name, 0)
		}
		t.scopes[i] = s
	}
	return t
}

func drawTwoScopes(r *rapid.T) *twoScopes {
	first := drawScene(r, newBookPolicy)
	var shares []float64
	var uses [2][]bool
	for _, a := range first.accounts {
		shares = append(shares, a.share)
		at := rapid.IntRange(0, 2).Draw(r, "uses")
		uses[0] = append(uses[0], at != 1)
		uses[1] = append(uses[1], at != 0)
	}
	slots := [2]int{first.slots, rapid.IntRange(1, 6).Draw(r, "slots elsewhere")}
	t := newTwoScopes(slots, first.largest, shares, uses)
	t.period = rapid.IntRange(1, 10).Draw(r, "period")
	return t
}

func (t *twoScopes) tick(draw func(label string, least int) fair.Cost) {
	if t.exchange && t.now%t.period == 0 {
		t.exchangeUsage()
	}
	t.now++
	for i, s := range t.scopes {
		for k, a := range s.accounts {
			for t.uses[i][k] && len(a.queue) < s.slots+1 {
				s.arrive(a, draw("estimate", 0), draw("cost", 1))
			}
		}
		for _, q := range s.running {
			q.running = s.policy.advance(q.account.name, q.running, q.done)
		}
		s.run()
	}
}

// exchangeUsage delivers the figures of the last period and takes new ones.
func (t *twoScopes) exchangeUsage() {
	for i, s := range t.scopes {
		other := t.scopes[1-i]
		for account, cost := range t.told[i] {
			other.policy.(bookPolicy).SetRemoteCost(account, cost)
		}
		for _, a := range s.accounts {
			t.told[i][a.name] = s.policy.(bookPolicy).KnownCost(a.name)
		}
	}
}

// check compares the account that a scope grants a slot with those that wait
// there. The bound on its lead in service over the fleet is
// (3 M n_i + X_i)/w_i + (3 M n_j + X_j)/w_j, where n counts both scopes and X
// is the most that one scope can serve in the two periods that news takes.
func (t *twoScopes) check(scope, granted int) {
	for j, other := range t.scopes[scope].accounts {
		if j == granted || len(other.queue) == 0 {
			continue
		}
		gap, bound := t.service(granted)-t.service(j), t.slack(granted)+t.slack(j)
		if t.bound == 0 || gap/bound > t.gap/t.bound {
			t.gap, t.bound = gap, bound
		}
	}
}

func (t *twoScopes) service(i int) float64 {
	a, b := t.scopes[0].accounts[i], t.scopes[1].accounts[i]
	return float64(a.service+b.service) / a.share
}

func (t *twoScopes) slack(i int) float64 {
	a, b := t.scopes[0].accounts[i], t.scopes[1].accounts[i]
	inFlight := float64(max(1, a.most) + max(1, b.most))
	exchanged := float64(2 * t.period * max(a.most, b.most))
	return (3*float64(t.scopes[0].largest)*inFlight + exchanged) / a.share
}
