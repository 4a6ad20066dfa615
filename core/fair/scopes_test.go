package fair_test

import (
	"pgregory.net/rapid"

	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
)

// unlimitedRemoteFactor is a remote limit that no simulation reaches.
const unlimitedRemoteFactor = 1e9

// twoScopes simulates two scopes whose owners exchange usage every period
// ticks; a report arrives one period after it was taken. Each account is
// backlogged in one scope or in both.
type twoScopes struct {
	scopes       [2]*simulation
	backloggedAt [2][]bool // by scope and account
	exchange     bool
	period       int
	now          int
	inTransit    [2]map[string]fair.Cost // usage reported by each scope and not yet delivered
	worstGap     float64                 // gap at a grant that is nearest to or furthest over its bound
	worstBound   float64                 // the bound of worstGap
}

func newTwoScopes(slots [2]int, largest fair.Cost, shares []float64, backloggedAt [2][]bool) *twoScopes {
	t := &twoScopes{backloggedAt: backloggedAt, exchange: true, period: 5, inTransit: [2]map[string]fair.Cost{{}, {}}}
	for i := range t.scopes {
		scheduler := fair.NewScheduler(unlimitedRemoteFactor)
		s := newSimulation(func() policy { return schedulerPolicy{scheduler} }, slots[i], largest, shares)
		s.onGrant = func(index int) { t.checkGrant(i, index) }
		for _, a := range s.accounts {
			scheduler.SetRemoteCost(a.name, 0)
		}
		t.scopes[i] = s
	}
	return t
}

func drawTwoScopes(r *rapid.T) *twoScopes {
	first := drawSimulation(r, newSchedulerPolicy)
	var shares []float64
	var backloggedAt [2][]bool
	for _, a := range first.accounts {
		shares = append(shares, a.share)
		at := rapid.IntRange(0, 2).Draw(r, "uses")
		backloggedAt[0] = append(backloggedAt[0], at != 1)
		backloggedAt[1] = append(backloggedAt[1], at != 0)
	}
	slots := [2]int{first.slots, rapid.IntRange(1, 6).Draw(r, "slots elsewhere")}
	t := newTwoScopes(slots, first.largest, shares, backloggedAt)
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
			for t.backloggedAt[i][k] && len(a.queue) < s.slots+1 {
				s.arrive(a, draw("estimate", 0), draw("cost", 1))
			}
		}
		for _, q := range s.running {
			q.charge = s.policy.updateProgress(q.account.name, q.charge, q.served)
		}
		s.run()
	}
}

// exchangeUsage delivers the usage of the last period and takes new reports.
func (t *twoScopes) exchangeUsage() {
	for i, s := range t.scopes {
		other := t.scopes[1-i]
		for account, cost := range t.inTransit[i] {
			other.policy.(schedulerPolicy).SetRemoteCost(account, cost)
		}
		for _, a := range s.accounts {
			t.inTransit[i][a.name] = s.policy.(schedulerPolicy).KnownCost(a.name)
		}
	}
}

// checkGrant compares the account that a scope grants a slot with the accounts
// that wait there. The bound on its lead in service, summed over both scopes,
// is (3 M n_i + X_i)/w_i + (3 M n_j + X_j)/w_j. M is the largest request, n the
// most requests in flight at once in both scopes, w the share, and X the most
// that one scope can serve in the two periods that a report takes.
func (t *twoScopes) checkGrant(scope, granted int) {
	for j, other := range t.scopes[scope].accounts {
		if j == granted || len(other.queue) == 0 {
			continue
		}
		gap, bound := t.service(granted)-t.service(j), t.allowance(granted)+t.allowance(j)
		if t.worstBound == 0 || gap/bound > t.worstGap/t.worstBound {
			t.worstGap, t.worstBound = gap, bound
		}
	}
}

func (t *twoScopes) service(i int) float64 {
	a, b := t.scopes[0].accounts[i], t.scopes[1].accounts[i]
	return float64(a.cost+b.cost) / a.share
}

// allowance returns one account's term of the bound in checkGrant.
func (t *twoScopes) allowance(i int) float64 {
	a, b := t.scopes[0].accounts[i], t.scopes[1].accounts[i]
	inFlight := float64(max(1, a.maxInFlight) + max(1, b.maxInFlight))
	exchanged := float64(2 * t.period * max(a.maxInFlight, b.maxInFlight))
	return (3*float64(t.scopes[0].largest)*inFlight + exchanged) / a.share
}
