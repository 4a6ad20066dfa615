// Package fair implements a weighted fair scheduler: it accounts for the
// service of client accounts and selects the account to serve next.
//
// Service is cost divided by share. The scheduler charges an estimate when a
// request is dispatched, follows the cost of the request while it runs and
// corrects the charge when the final cost is known.
//
// Virtual time is the highest service at which a request was dispatched. The
// service of an account that becomes backlogged is raised to virtual time, so
// idle time earns no credit. Between two dispatches of an account, the cost
// charged by other schedulers counts for at most the remote limit, a multiple of
// the largest request. Usage elsewhere, or a high total from the past, can
// therefore delay an account, but not starve it.
// docs/design/fairness.md states and proves the bounds.
package fair

// Cost is an amount of work in cost units: a token for model requests, one
// call for orders and plain services.
type Cost float64

// DefaultRemoteLimitFactor is the default limit on the service from other
// schedulers that counts against an account between two of its dispatches, as
// a multiple of the largest request.
const DefaultRemoteLimitFactor = 8

// Charge is the cost charged for one request in progress.
type Charge struct {
	Estimate Cost // charged at dispatch
	Known    Cost // cost known so far
}

// outstanding returns the part of the estimate that exceeds the known cost.
func (c Charge) outstanding() Cost { return max(0, c.Estimate-c.Known) }

// Scheduler keeps the virtual service of each client account.
// The zero value is not usable; call NewScheduler.
type Scheduler struct {
	accounts          map[string]*accountState
	heap              heap // backlogged accounts that are not skipped
	skipped           []*accountState
	virtualTime       float64
	largest           Cost    // largest single charge seen
	remoteLimitFactor Cost    // limit on remote cost, as a multiple of largest; without a unit
	backloggedShares  float64 // sum over all backlogged accounts
}

type accountState struct {
	name         string
	share        float64
	service      float64 // cost over share, including raises to virtual time
	known        Cost    // known cost charged here
	outstanding  Cost    // charged here beyond the known cost
	remoteCost   Cost    // known cost charged elsewhere in the fleet
	remoteSet    bool    // remoteCost was set at least once
	remoteCharge float64 // service added for remote cost since the last dispatch
	queued       int     // requests waiting in the queue
	heapIndex    int     // position in the heap, or notInHeap
}

// NewScheduler returns an empty scheduler. Between two dispatches of an
// account, cost charged elsewhere counts for at most remoteLimitFactor times the
// largest request.
func NewScheduler(remoteLimitFactor Cost) *Scheduler {
	return &Scheduler{accounts: map[string]*accountState{}, remoteLimitFactor: remoteLimitFactor}
}

// SetShare sets an account's share, which must be greater than 0. The
// account's outstanding charges are converted to the new share.
func (s *Scheduler) SetShare(account string, share float64) {
	a := s.state(account)
	if a.share == share {
		return
	}
	if a.queued > 0 {
		s.backloggedShares += share - a.share
	}
	a.service += float64(a.outstanding) * (1/share - 1/a.share)
	a.share = share
	s.heap.fix(a)
}

// Enqueue records one more waiting request of the account.
func (s *Scheduler) Enqueue(account string) {
	a := s.state(account)
	a.queued++
	if a.queued > 1 {
		return
	}
	s.backloggedShares += a.share
	s.activate(a)
	s.heap.push(a)
}

// Dequeue records one waiting request less.
func (s *Scheduler) Dequeue(account string) {
	a := s.state(account)
	a.queued--
	if a.queued > 0 {
		return
	}
	s.backloggedShares -= a.share
	if len(s.heap)+len(s.skipped) <= 1 {
		s.backloggedShares = 0 // discards accumulated rounding errors
	}
	s.heap.remove(a)
	s.removeSkipped(a)
}

// Next returns the backlogged account with the least service among those not
// skipped; ties go to the name that sorts first.
func (s *Scheduler) Next() (string, bool) {
	if len(s.heap) == 0 {
		return "", false
	}
	return s.heap[0].name, true
}

// SkipAccount excludes a backlogged account from Next until RestoreSkipped. It is
// for accounts none of whose requests can use the free capacity.
func (s *Scheduler) SkipAccount(account string) {
	a := s.state(account)
	if a.heapIndex == notInHeap {
		return
	}
	s.heap.remove(a)
	s.skipped = append(s.skipped, a)
}

// RestoreSkipped makes all skipped accounts eligible for Next again.
func (s *Scheduler) RestoreSkipped() {
	for _, a := range s.skipped {
		s.heap.push(a)
	}
	s.skipped = s.skipped[:0]
}

// Dispatch charges the estimate of a request that starts now. Virtual time
// advances to the account's service before the charge.
func (s *Scheduler) Dispatch(account string, estimate Cost) Charge {
	a := s.state(account)
	s.virtualTime = max(s.virtualTime, a.service)
	a.remoteCharge = 0
	c := Charge{Estimate: estimate}
	s.charge(a, c)
	return c
}

// ChargeOutstanding charges the outstanding part of a request that another
// scheduler dispatched. Virtual time does not change.
func (s *Scheduler) ChargeOutstanding(account string, c Charge) { s.charge(s.state(account), c) }

// RefundOutstanding refunds the outstanding part of a request in progress
// that this scheduler no longer tracks.
func (s *Scheduler) RefundOutstanding(account string, c Charge) {
	a := s.state(account)
	s.updateCharge(a, c, Charge{Estimate: c.Known, Known: c.Known})
}

// UpdateProgress records the cost known so far of a request in progress. A cost
// that is not higher than the previous one is ignored.
func (s *Scheduler) UpdateProgress(account string, c Charge, known Cost) Charge {
	if known <= c.Known {
		return c
	}
	next := Charge{Estimate: c.Estimate, Known: known}
	s.updateCharge(s.state(account), c, next)
	return next
}

// Finish replaces the charge of a finished request by its final cost. A cost
// below the known cost counts as the known cost.
func (s *Scheduler) Finish(account string, c Charge, cost Cost) {
	cost = max(cost, c.Known)
	s.updateCharge(s.state(account), c, Charge{Estimate: cost, Known: cost})
}

// SetRemoteCost sets the account's total cost known elsewhere in the fleet.
// The first total is the baseline and is not charged. A total lower than the
// previous one means that part of the history was lost; it earns no credit.
func (s *Scheduler) SetRemoteCost(account string, total Cost) {
	a := s.state(account)
	delta := total - a.remoteCost
	a.remoteCost = total
	if !a.remoteSet || delta <= 0 {
		a.remoteSet = true
		return
	}
	s.chargeRemote(a, float64(delta)/a.share)
	s.heap.fix(a)
}

// Service returns the account's virtual service, in cost units per share.
func (s *Scheduler) Service(account string) float64 { return s.state(account).service }

// KnownCost returns the account's cost known to this scheduler, in cost
// units: that of finished requests and the known part of running ones. It
// never decreases.
func (s *Scheduler) KnownCost(account string) Cost { return s.state(account).known }

// Lead returns how far the account's service is ahead of virtual time, in
// cost units per share.
func (s *Scheduler) Lead(account string) float64 {
	return max(0, s.state(account).service-s.virtualTime)
}

// BackloggedShares returns the sum of the backlogged accounts' shares.
func (s *Scheduler) BackloggedShares() float64 { return s.backloggedShares }

// charge adds the outstanding part of a request to the account's service.
func (s *Scheduler) charge(a *accountState, c Charge) {
	s.largest = max(s.largest, c.Estimate)
	a.outstanding += c.outstanding()
	a.service += float64(c.outstanding()) / a.share
	s.heap.fix(a)
}

// updateCharge replaces the charge of one request.
func (s *Scheduler) updateCharge(a *accountState, old, next Charge) {
	s.largest = max(s.largest, next.Known)
	known := next.Known - old.Known
	outstanding := next.outstanding() - old.outstanding()
	a.known += known
	a.outstanding += outstanding
	a.service += float64(known+outstanding) / a.share
	s.heap.fix(a)
}

// activate adjusts the service of an account that becomes backlogged: it is
// raised to virtual time if the account was idle, and reduced to the limit on
// remote charges if a total from the past puts it higher.
func (s *Scheduler) activate(a *accountState) {
	outstanding := float64(a.outstanding) / a.share
	a.service = max(a.service, s.virtualTime)
	a.service = min(a.service, s.virtualTime+outstanding+s.maxRemoteCharge(a))
	a.remoteCharge = max(0, a.service-s.virtualTime-outstanding)
}

// chargeRemote adds service received elsewhere. For a backlogged account the
// limit applies here; for an idle one it applies in activate.
func (s *Scheduler) chargeRemote(a *accountState, service float64) {
	if a.queued > 0 {
		service = min(service, max(0, s.maxRemoteCharge(a)-a.remoteCharge))
		a.remoteCharge += service
	}
	a.service += service
}

func (s *Scheduler) maxRemoteCharge(a *accountState) float64 {
	return float64(s.remoteLimitFactor*s.largest) / a.share
}

func (s *Scheduler) removeSkipped(a *accountState) {
	for i, other := range s.skipped {
		if other == a {
			s.skipped = append(s.skipped[:i], s.skipped[i+1:]...)
			return
		}
	}
}

// state returns the account's state and creates it with share 1 on first use.
func (s *Scheduler) state(account string) *accountState {
	a, ok := s.accounts[account]
	if !ok {
		a = &accountState{name: account, share: 1, heapIndex: notInHeap}
		s.accounts[account] = a
	}
	return a
}
