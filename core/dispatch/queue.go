package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// usageWindow is the time over which the use of an account is compared
	// with its share: well below the seconds over which fairness is felt, so
	// that an account that got much before is not shut out for it.
	usageWindow = 2 * time.Second
	// throughputWindow is the time over which a router's own throughput is
	// measured.
	throughputWindow = 2 * time.Second
	// usageRefreshInterval is how often it is worked out what the accounts got.
	usageRefreshInterval = 20 * time.Millisecond
	// shareRefreshInterval is how often the shares are worked out anew.
	shareRefreshInterval = 100 * time.Millisecond

	// overloadThreshold is how far what is asked for exceeds what is done before the
	// service counts as overloaded: what waits for a moment is asked for and
	// not yet done.
	overloadThreshold = 1.15
	// maxWaitFraction is the part of the time for which its caller waits for a
	// first event that a request within its account's share may be expected
	// to wait; beyond it the request is refused at once, while the caller can
	// still go elsewhere.
	maxWaitFraction = 0.5
	// queueTimeoutFraction is the part of that time after which a request that still
	// waits is refused: there would be no event in time.
	queueTimeoutFraction = 0.8
	// overShareMaxWait bounds the wait of a request beyond its account's share,
	// in objectives.
	overShareMaxWait = 1.0

	minRetryAfter        = 50 * time.Millisecond
	noEndpointRetryAfter = 300 * time.Millisecond
)

// serviceState is what the requests of one service share.
type serviceState struct {
	queue      []*Ticket
	accounts   map[string]*usage
	throughput decayingSum // cost granted here
	errors     errorRate
	retries    retryWindow

	fairShare      float64 // cost an account may use in shareWindow; +Inf: no limit
	shareUpdatedAt time.Time
	usageUpdatedAt time.Time

	overloaded bool // more is asked for than can be done
}

// usage is what an account asked for and got, here and at the peers.
type usage struct {
	demand, served         decayingSum
	peerDemand, peerServed float64 // sums of the peers' reports

	fleetServed float64 // what the account got of late in the whole fleet, as last worked out
	queuedCost  float64 // cost of its requests that wait here
}

func newServiceState() *serviceState {
	return &serviceState{accounts: map[string]*usage{}, fairShare: math.Inf(1)}
}

func (s *serviceState) account(name string) *usage {
	u, ok := s.accounts[name]
	if !ok {
		u = &usage{}
		s.accounts[name] = u
	}
	return u
}

func (s *serviceState) addDemand(now time.Time, account string, cost float64) {
	s.account(account).demand.add(now, cost, usageWindow)
}

func (s *serviceState) addServed(now time.Time, account string, cost float64) {
	u := s.account(account)
	u.served.add(now, cost, usageWindow)
	u.fleetServed += cost
}

// refreshUsage works out what each account got of late, in the whole fleet.
func (s *serviceState) refreshUsage(now time.Time) {
	if now.Sub(s.usageUpdatedAt) < usageRefreshInterval {
		return
	}
	s.usageUpdatedAt = now
	for _, u := range s.accounts {
		u.fleetServed = u.served.value(now, usageWindow) + u.peerServed
	}
}

// updateShare notes on a ticket whether its account has used up its max-min
// share of what the service does. Plain services have no shares.
func (d *Dispatcher) updateShare(now time.Time, s *serviceState, t *Ticket) {
	perSecond := d.tokensPerSecond(t.Request.Service)
	if perSecond <= 0 {
		return
	}
	if now.Sub(s.shareUpdatedAt) >= shareRefreshInterval {
		s.shareUpdatedAt = now
		s.refreshUsage(now)
		capacity := max(perSecond*usageWindow.Seconds(), s.totalServed())
		s.fairShare = s.maxMinShare(now, capacity)
		s.overloaded = s.totalDemand(now) > overloadThreshold*capacity
	}
	s.refreshUsage(now)
	t.RecentUsage, t.FairShare = s.account(t.Request.Account).fleetServed, s.fairShare
	t.OverShare = t.RecentUsage > t.FairShare
}

// totalServed is what all accounts got in the whole fleet: where that is more
// than the stated capacity, it is what there is to share.
func (s *serviceState) totalServed() float64 {
	total := 0.0
	for _, u := range s.accounts {
		total += u.fleetServed
	}
	return total
}

// totalDemand is what all accounts asked for in the whole fleet.
func (s *serviceState) totalDemand(now time.Time) float64 {
	total := 0.0
	for _, u := range s.accounts {
		total += u.demand.value(now, usageWindow) + u.peerDemand
	}
	return total
}

// maxMinShare returns the level up to which every account is served when capacity
// is shared by max-min: accounts that ask for less get what they ask for, the
// others the same. It is +Inf while the capacity covers all.
func (s *serviceState) maxMinShare(now time.Time, capacity float64) float64 {
	asked := make([]float64, 0, len(s.accounts))
	for _, u := range s.accounts {
		asked = append(asked, u.demand.value(now, usageWindow)+u.peerDemand)
	}
	slices.Sort(asked)
	for i, a := range asked {
		even := capacity / float64(len(asked)-i)
		if a > even {
			return even
		}
		capacity -= a
	}
	return math.Inf(1)
}

func (s *serviceState) enqueue(t *Ticket) {
	s.queue = append(s.queue, t)
	s.account(t.Request.Account).queuedCost += t.Request.cost()
}

// dequeue notes that a ticket waits no longer.
func (s *serviceState) dequeue(t *Ticket) {
	u := s.account(t.Request.Account)
	u.queuedCost = max(0, u.queuedCost-t.Request.cost())
}

// sortQueue orders the requests that wait: by priority, then what can still
// meet its objective before what is late, then the account that got least, then the earliest
// objective.
func (d *Dispatcher) sortQueue(now time.Time, s *serviceState) {
	s.refreshUsage(now)
	for _, t := range s.queue {
		t.accountUsage = s.account(t.Request.Account).fleetServed
		t.ObjectiveMissed = t.Request.Objective.Sub(now) < cachedFirstToken
	}
	slices.SortStableFunc(s.queue, func(a, b *Ticket) int {
		if a.Request.Priority != b.Request.Priority {
			return cmp.Compare(a.Request.Priority, b.Request.Priority)
		}
		if a.ObjectiveMissed != b.ObjectiveMissed {
			if b.ObjectiveMissed {
				return -1
			}
			return 1
		}
		if a.accountUsage != b.accountUsage {
			return cmp.Compare(a.accountUsage, b.accountUsage)
		}
		return a.Request.Objective.Compare(b.Request.Objective)
	})
}

// waitDeadline is the instant at which a request that still waits is refused.
func (t *Ticket) waitDeadline() time.Time {
	whole := t.Request.FirstEventDeadline.Sub(t.Request.Arrived)
	return t.Request.Arrived.Add(time.Duration(queueTimeoutFraction * float64(whole)))
}

// expectedWait is the time until the queue before a new request is worked
// off at the router's throughput, in cost a second.
func (s *serviceState) expectedWait(now time.Time, t *Ticket, perSecond float64) time.Duration {
	s.refreshUsage(now)
	level := s.account(t.Request.Account).fleetServed
	ahead := 0.0
	for _, u := range s.accounts {
		if u.fleetServed <= level {
			ahead += u.queuedCost
		}
	}
	return time.Duration(ahead / perSecond * float64(time.Second))
}

// maxWait is the longest wait for which a new request is taken on.
func (t *Ticket) maxWait(now time.Time) time.Duration {
	left := time.Duration(maxWaitFraction * float64(t.Request.FirstEventDeadline.Sub(now)))
	if t.OverShare {
		objective := t.Request.Objective.Sub(t.Request.Arrived)
		return min(left, time.Duration(overShareMaxWait*float64(objective)))
	}
	return left
}

// ownThroughput is the cost a second that this router gets through: what it
// did of late, or what the others leave of all that the service does.
func (d *Dispatcher) ownThroughput(s *serviceState, now time.Time) float64 {
	const minThroughput = 100 // cost a second; a plain service's requests cost one
	all := d.table.Config.Limits.TokensPerSec
	elsewhere := 0.0
	for _, u := range s.accounts {
		elsewhere += u.peerServed
	}
	left := all - elsewhere/usageWindow.Seconds()
	even := all / float64(len(d.routers))
	return max(s.throughput.value(now, throughputWindow)/throughputWindow.Seconds(), left, even/2, minThroughput)
}

func decayFactor(dt, tau time.Duration) float64 { return math.Exp(-float64(dt) / float64(tau)) }
