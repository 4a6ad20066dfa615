package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// usageWindow is the time constant over which the usage of an account is
	// compared with its share. It is well below the seconds over which
	// unfairness is noticed, so that an account is not locked out for earlier
	// usage.
	usageWindow = 2 * time.Second
	// throughputWindow is the time constant over which a router's own
	// throughput is measured.
	throughputWindow = 2 * time.Second
	// usageRefreshInterval is how often the usage of the accounts is
	// recomputed.
	usageRefreshInterval = 20 * time.Millisecond
	// shareRefreshInterval is how often the fair share is recomputed.
	shareRefreshInterval = 100 * time.Millisecond

	// overloadThreshold is the ratio of demand to capacity above which a
	// service counts as overloaded. It exceeds 1 because requests that wait
	// briefly are part of the demand before they are served.
	overloadThreshold = 1.15
	// saturationThreshold is the ratio of demand to what is granted above which a
	// service counts as saturated, whatever its configured capacity. It exceeds
	// overloadThreshold because a rising demand is granted a little later.
	saturationThreshold = 1.25
	// underservedFraction is the fraction of what an account is entitled to below
	// which it counts as underserved.
	underservedFraction = 0.8
	// maxUsageRatio is how much more an account may get than the least underserved
	// one. Below two, since usage at other routers is known late.
	maxUsageRatio = 1.7
	// minShareFraction is the fraction of its max-min share that an account may use
	// however little another one gets.
	minShareFraction = 0.6
	// maxWaitFraction limits the expected wait of a request within its
	// account's share, as a fraction of the time that the caller waits for a
	// first event. Beyond it, the request is refused at once, while the caller
	// can still go elsewhere.
	maxWaitFraction = 0.5
	// queueTimeoutFraction is the fraction of that time after which a waiting
	// request is refused: a first event would not come in time.
	queueTimeoutFraction = 0.8
	// overShareMaxWaitFactor limits the expected wait of a request beyond its
	// account's share, as a multiple of the objective.
	overShareMaxWaitFactor = 1.0

	// minRetryAfter is the least advice in a refusal. It may be below a second,
	// since callers of a prepared platform receive a decimal number of seconds;
	// package admission sends whole ones.
	minRetryAfter        = 50 * time.Millisecond
	noEndpointRetryAfter = 300 * time.Millisecond
)

// serviceState is the state shared by all requests of one service.
type serviceState struct {
	queue      []*Ticket
	accounts   map[string]*accountCost
	throughput decayingSum // cost granted by this router, retries included
	errors     errorRate
	retries    retryWindow
	profile    *serviceProfile // nil: not used or nothing observed

	fairShare      float64 // cost an account may use in usageWindow; +Inf: no limit
	shareUpdatedAt time.Time
	usageUpdatedAt time.Time

	overloaded   bool    // demand exceeds capacity
	saturated    bool    // demand is within the configured capacity and still exceeds what is granted
	underserved  bool    // an account gets much less than its share and asks for it
	demandFactor float64 // of the demand seen at this router, see Dispatcher.SetDemandFactor
}

// accountCost is the cost that an account recently requested and was granted, by
// this router and by its peers.
type accountCost struct {
	demand, granted         decayingSum
	peerDemand, peerGranted float64 // sums of the reports of peers

	fleetGranted float64 // recent cost granted in the whole fleet, at the last refresh
	queuedCost   float64 // cost of its requests that wait at this router

	blocked BlockedEndpoints // summed over the attempts to place its requests, since the last report
}

func newServiceState() *serviceState {
	return &serviceState{accounts: map[string]*accountCost{}, fairShare: math.Inf(1), demandFactor: 1}
}

func (s *serviceState) account(name string) *accountCost {
	u, ok := s.accounts[name]
	if !ok {
		u = &accountCost{}
		s.accounts[name] = u
	}
	return u
}

func (s *serviceState) addDemand(now time.Time, account string, cost float64) {
	s.account(account).demand.add(now, cost, usageWindow)
}

func (s *serviceState) addGranted(now time.Time, account string, cost float64) {
	u := s.account(account)
	u.granted.add(now, cost, usageWindow)
	u.fleetGranted += cost
}

// refreshUsage recomputes the recent usage of each account in the whole fleet.
func (s *serviceState) refreshUsage(now time.Time) {
	if now.Sub(s.usageUpdatedAt) < usageRefreshInterval {
		return
	}
	s.usageUpdatedAt = now
	for _, u := range s.accounts {
		u.fleetGranted = u.granted.value(now, usageWindow) + u.peerGranted
	}
}

// updateShare sets on a ticket its account's recent usage, the max-min fair
// share of the service's capacity, and whether the usage exceeds it. The capacity of a
// plain service is not configured: what is granted is shared where more is asked for.
func (d *Dispatcher) updateShare(now time.Time, s *serviceState, t *Ticket) {
	perSecond := d.tokensPerSecond(t.Request.Service)
	if perSecond <= 0 && !d.sharesPlainServices() {
		return
	}
	if now.Sub(s.shareUpdatedAt) >= shareRefreshInterval {
		s.shareUpdatedAt = now
		s.demandFactor = d.demandFactor
		s.refreshUsage(now)
		granted, demand := s.totalGranted(), s.totalDemand(now)
		capacity := max(perSecond*usageWindow.Seconds(), granted)
		s.overloaded = perSecond > 0 && demand > overloadThreshold*capacity
		s.saturated = !s.overloaded && demand > saturationThreshold*granted && (perSecond > 0 || d.slotsTaken(t.Request.Service))
		if s.saturated {
			capacity = granted
		}
		s.fairShare = s.maxMinShare(now, capacity)
		if perSecond <= 0 && !s.saturated {
			s.fairShare = math.Inf(1) // the capacity is not known
		}
		s.limitToUnderserved(now)
	}
	s.refreshUsage(now)
	t.RecentUsage, t.FairShare = s.account(t.Request.Account).fleetGranted, s.fairShare
	t.OverShare = t.RecentUsage > t.FairShare
}

// sharesPlainServices reports whether plain services have shares: in a grid, where an
// overloaded router forwards the requests of a flooding account to all others.
func (d *Dispatcher) sharesPlainServices() bool { return d.inGrid }

// slotsTaken reports whether the requests in progress fill the slots of a service's
// endpoints beyond plainOverShareFraction. More may be asked for than is granted for other
// reasons, as when requests begin to come.
func (d *Dispatcher) slotsTaken(service string) bool {
	active, slots := 0, 0
	for _, ep := range d.sortedEndpoints {
		if ep.Service == service && !ep.Draining {
			active += ep.totalLoad().Active
			slots += slotsOf(ep)
		}
	}
	return float64(active) >= plainOverShareFraction*float64(slots)
}

// fleetDemand returns the recent demand of an account in the whole fleet.
func (s *serviceState) fleetDemand(now time.Time, u *accountCost) float64 {
	return s.demandFactor*u.demand.value(now, usageWindow) + u.peerDemand
}

// leastUnderserved returns the least recent usage of an account that asks for more
// than its share and gets much less; false if there is none. Accounts that ask for
// less are left out: one request more or less is a large part of their demand.
func (s *serviceState) leastUnderserved(now time.Time) (usage float64, ok bool) {
	usage = underservedFraction * s.fairShare
	for _, u := range s.accounts {
		if s.fleetDemand(now, u) > s.fairShare && u.fleetGranted < usage {
			usage, ok = u.fleetGranted, true
		}
	}
	return usage, ok
}

// limitToUnderserved lowers the share while an account is underserved, so that no
// other account gets much more than twice as much. What that account lacks may be
// CPU time of its router, which no other request takes from it; the share is
// therefore not lowered below minShareFraction.
func (s *serviceState) limitToUnderserved(now time.Time) {
	usage, ok := s.leastUnderserved(now)
	s.underserved = ok && s.overloaded
	if s.underserved {
		s.fairShare = min(s.fairShare, max(maxUsageRatio*usage, minShareFraction*s.fairShare))
	}
}

// totalGranted returns the recent usage of all accounts in the whole fleet.
// Where it exceeds the configured capacity, it is the capacity to share.
func (s *serviceState) totalGranted() float64 {
	total := 0.0
	for _, u := range s.accounts {
		total += u.fleetGranted
	}
	return total
}

// totalDemand returns the recent demand of all accounts in the whole fleet.
func (s *serviceState) totalDemand(now time.Time) float64 {
	total := 0.0
	for _, u := range s.accounts {
		total += s.fleetDemand(now, u)
	}
	return total
}

// maxMinShare returns the most that any account receives when the capacity is
// shared by max-min fairness: accounts that ask for less receive their demand,
// the others equal amounts. It is +Inf while the capacity covers all demand.
func (s *serviceState) maxMinShare(now time.Time, capacity float64) float64 {
	demands := make([]float64, 0, len(s.accounts))
	for _, u := range s.accounts {
		demands = append(demands, s.fleetDemand(now, u))
	}
	slices.Sort(demands)
	for i, demand := range demands {
		even := capacity / float64(len(demands)-i)
		if demand > even {
			return even
		}
		capacity -= demand
	}
	return math.Inf(1)
}

func (s *serviceState) enqueue(t *Ticket) {
	s.queue = append(s.queue, t)
	s.account(t.Request.Account).queuedCost += t.Request.cost()
}

// dequeue subtracts a ticket that no longer waits from its account's queued
// cost. The caller removes it from the queue.
func (s *serviceState) dequeue(t *Ticket) {
	u := s.account(t.Request.Account)
	u.queuedCost = max(0, u.queuedCost-t.Request.cost())
}

// sortQueue orders the waiting requests by priority, then those that can still
// meet their objective before the others, then by least recent usage of the
// account, then by earliest objective.
func (d *Dispatcher) sortQueue(now time.Time, s *serviceState) {
	s.refreshUsage(now)
	for _, t := range s.queue {
		t.accountUsage = s.account(t.Request.Account).fleetGranted
		t.ObjectiveMissed = t.missesObjective(now, s)
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

// missesObjective reports whether the first event would come too late even if the
// request were sent now. A slot used for it makes another request late.
func (t *Ticket) missesObjective(now time.Time, s *serviceState) bool {
	least := cachedFirstToken
	if s.profile != nil {
		least = s.profile.leastFirstEvent
	}
	return t.Request.Objective.Sub(now) < max(least, t.fastestFirstEvent)
}

// waitDeadline returns the time at which a request that still waits is refused.
func (t *Ticket) waitDeadline() time.Time {
	total := t.Request.FirstEventDeadline.Sub(t.Request.Arrived)
	return t.Request.Arrived.Add(time.Duration(queueTimeoutFraction * float64(total)))
}

// expectedWait returns the time until the queue ahead of a new request is
// served, at a throughput of perSecond in cost per second.
func (s *serviceState) expectedWait(now time.Time, t *Ticket, perSecond float64) time.Duration {
	s.refreshUsage(now)
	granted := s.account(t.Request.Account).fleetGranted
	ahead := 0.0
	for _, u := range s.accounts {
		if u.fleetGranted <= granted {
			ahead += u.queuedCost
		}
	}
	return time.Duration(ahead / perSecond * float64(time.Second))
}

// maxWait returns the longest expected wait with which a new request is
// accepted.
func (t *Ticket) maxWait(now time.Time, s *serviceState) time.Duration {
	left := time.Duration(maxWaitFraction * float64(t.Request.FirstEventDeadline.Sub(now)))
	if s.profile != nil { // the endpoint needs its time, too
		left = min(left, t.Request.FirstEventDeadline.Sub(now)-max(s.profile.leastFirstEvent, t.fastestFirstEvent))
	}
	if t.OverShare && !s.saturated {
		objective := t.Request.Objective.Sub(t.Request.Arrived)
		return min(left, time.Duration(overShareMaxWaitFactor*float64(objective)))
	}
	return left
}

// ownThroughput returns the cost per second that this router can serve: its
// recent throughput, or the capacity that the other routers leave unused, if
// more. It is at least half of an even share of the capacity. The capacity is
// that of all model runners, also for a plain service, whose requests cost 1
// each.
func (d *Dispatcher) ownThroughput(s *serviceState, now time.Time) float64 {
	const minThroughput = 100 // cost per second
	total := d.table.Config.Limits.TokensPerSec
	peerGranted := 0.0
	for _, u := range s.accounts {
		peerGranted += u.peerGranted
	}
	unused := total - peerGranted/usageWindow.Seconds()
	evenShare := total / float64(len(d.routers))
	return max(s.throughput.value(now, throughputWindow)/throughputWindow.Seconds(), unused, evenShare/2, minThroughput)
}

func decayFactor(dt, tau time.Duration) float64 { return math.Exp(-float64(dt) / float64(tau)) }
