// Package fair accounts the service of client accounts and says which of
// them is next.
//
// Service is cost divided by share. The book charges an estimate when a
// request is dispatched, counts what is known of running work and corrects
// the charge when the cost is known.
//
// Virtual time is the highest service at which a request was dispatched. An
// account that becomes backlogged is lifted to it, so idle time earns no
// credit. Service received elsewhere puts an account back by at most a few of
// the largest requests for each request that it is granted here, so an old
// high count starves nobody.
// docs/design/fairness.md states and proves the bounds.
package fair

// Cost is an amount of work in cost units: a token for model requests, one
// call for orders and plain services.
type Cost float64

// DefaultRemoteLimit is the lead that service elsewhere may give an account between
// two of its dispatches, in largest requests.
const DefaultRemoteLimit = 8

// Charge is the charge of one request in progress.
type Charge struct {
	Estimate Cost // charged at dispatch
	Known    Cost // cost known so far
}

// outstanding is the part of the charge that is not yet known cost.
func (r Charge) outstanding() Cost { return max(0, r.Estimate-r.Known) }

// Scheduler keeps the virtual service of each client account.
// The zero value is not usable; call NewBook.
type Scheduler struct {
	accounts map[string]*entry
	heap     heap // backlogged accounts that are not skipped
	skipped  []*entry
	now      float64 // virtual time
	largest  Cost    // largest single charge seen
	lead     Cost    // in largest requests
	shares   float64 // of all backlogged accounts
}

type entry struct {
	name        string
	share       float64
	service     float64 // cost over share, with lifts
	known       Cost    // cost known here
	outstanding Cost    // charged here beyond the known cost
	remote      Cost    // cost known elsewhere
	heard       bool    // remote was set
	pushed      float64 // service added by remote since the last dispatch
	waiting     int     // queued requests
	pos         int     // in the heap, or absent
}

// NewScheduler returns an empty book. Between two dispatches of an account,
// service elsewhere counts for at most lead largest requests.
func NewScheduler(lead Cost) *Scheduler {
	return &Scheduler{accounts: map[string]*entry{}, lead: lead}
}

// SetShare declares an account's share; share must be over 0. What is
// outstanding counts by the new share.
func (b *Scheduler) SetShare(account string, share float64) {
	e := b.entry(account)
	if e.share == share {
		return
	}
	if e.waiting > 0 {
		b.shares += share - e.share
	}
	e.service += float64(e.outstanding) * (1/share - 1/e.share)
	e.share = share
	b.heap.fix(e)
}

// Enqueue notes one more waiting request of the account.
func (b *Scheduler) Enqueue(account string) {
	e := b.entry(account)
	e.waiting++
	if e.waiting > 1 {
		return
	}
	b.shares += e.share
	b.enter(e)
	b.heap.push(e)
}

// Dequeue notes one waiting request less.
func (b *Scheduler) Dequeue(account string) {
	e := b.entry(account)
	e.waiting--
	if e.waiting > 0 {
		return
	}
	b.shares -= e.share
	if len(b.heap)+len(b.skipped) <= 1 {
		b.shares = 0 // no rounding errors are kept
	}
	b.heap.remove(e)
	b.unskip(e)
}

// Next returns the backlogged account of least service that is not skipped;
// ties go to the lower name.
func (b *Scheduler) Next() (string, bool) {
	if len(b.heap) == 0 {
		return "", false
	}
	return b.heap[0].name, true
}

// Skip takes a backlogged account out of the choice until Resume, because
// none of its requests can use what is free.
func (b *Scheduler) Skip(account string) {
	e := b.entry(account)
	if e.pos == absent {
		return
	}
	b.heap.remove(e)
	b.skipped = append(b.skipped, e)
}

// RestoreSkipped takes all skipped accounts back into the choice.
func (b *Scheduler) RestoreSkipped() {
	for _, e := range b.skipped {
		b.heap.push(e)
	}
	b.skipped = b.skipped[:0]
}

// Dispatch charges the estimate of a request that starts now. Virtual time
// moves up to the account's service before the charge.
func (b *Scheduler) Dispatch(account string, estimate Cost) Charge {
	e := b.entry(account)
	b.now = max(b.now, e.service)
	e.pushed = 0
	r := Charge{Estimate: estimate}
	b.hold(e, r)
	return r
}

// ChargeOutstanding charges what is outstanding of a request that another book
// dispatched. Virtual time stays.
func (b *Scheduler) ChargeOutstanding(account string, r Charge) { b.hold(b.entry(account), r) }

// RefundOutstanding takes back what is outstanding of a request in progress: it isn't
// known any more.
func (b *Scheduler) RefundOutstanding(account string, r Charge) {
	e := b.entry(account)
	b.settle(e, r, Charge{Estimate: r.Known, Known: r.Known})
}

// UpdateProgress notes that a request in progress has cost known so far. A lower
// figure than before changes nothing.
func (b *Scheduler) UpdateProgress(account string, r Charge, known Cost) Charge {
	if known <= r.Known {
		return r
	}
	next := Charge{Estimate: r.Estimate, Known: known}
	b.settle(b.entry(account), r, next)
	return next
}

// Finish corrects the charge of a request that ended with the given cost. A
// cost under what was known counts as what was known.
func (b *Scheduler) Finish(account string, r Charge, cost Cost) {
	cost = max(cost, r.Known)
	b.settle(b.entry(account), r, Charge{Estimate: cost, Known: cost})
}

// SetRemoteCost sets the cost known elsewhere in the fleet. The first figure is
// the start of counting; a lower one than before means that a part of the
// history is gone, and earns no credit.
func (b *Scheduler) SetRemoteCost(account string, total Cost) {
	e := b.entry(account)
	delta := total - e.remote
	e.remote = total
	if !e.heard || delta <= 0 {
		e.heard = true
		return
	}
	b.push(e, float64(delta)/e.share)
	b.heap.fix(e)
}

// Service returns the account's virtual service, in cost units per share.
func (b *Scheduler) Service(account string) float64 { return b.entry(account).service }

// KnownCost returns the account's cost known to this book: finished work and the
// known part of running work, in cost units. It never falls.
func (b *Scheduler) KnownCost(account string) Cost { return b.entry(account).known }

// Lead returns how far the account is ahead of virtual time, in cost units
// per share.
func (b *Scheduler) Lead(account string) float64 {
	return max(0, b.entry(account).service-b.now)
}

// BackloggedShares returns the sum of the backlogged accounts' shares.
func (b *Scheduler) BackloggedShares() float64 { return b.shares }

func (b *Scheduler) hold(e *entry, r Charge) {
	b.largest = max(b.largest, r.Estimate)
	e.outstanding += r.outstanding()
	e.service += float64(r.outstanding()) / e.share
	b.heap.fix(e)
}

// settle replaces the charge of one request.
func (b *Scheduler) settle(e *entry, old, next Charge) {
	b.largest = max(b.largest, next.Known)
	known := next.Known - old.Known
	held := next.outstanding() - old.outstanding()
	e.known += known
	e.outstanding += held
	e.service += float64(known+held) / e.share
	b.heap.fix(e)
}

// enter brings an account that becomes backlogged to virtual time: up if it
// was idle, down to the lead if an old count is higher.
func (b *Scheduler) enter(e *entry) {
	held := float64(e.outstanding) / e.share
	e.service = max(e.service, b.now)
	e.service = min(e.service, b.now+held+b.mostPushed(e))
	e.pushed = max(0, e.service-b.now-held)
}

// push adds service received elsewhere. An idle account's is limited when it
// becomes backlogged.
func (b *Scheduler) push(e *entry, service float64) {
	if e.waiting > 0 {
		service = min(service, max(0, b.mostPushed(e)-e.pushed))
		e.pushed += service
	}
	e.service += service
}

func (b *Scheduler) mostPushed(e *entry) float64 {
	return float64(b.lead*b.largest) / e.share
}

func (b *Scheduler) unskip(e *entry) {
	for i, other := range b.skipped {
		if other == e {
			b.skipped = append(b.skipped[:i], b.skipped[i+1:]...)
			return
		}
	}
}

func (b *Scheduler) entry(account string) *entry {
	e, ok := b.accounts[account]
	if !ok {
		e = &entry{name: account, share: 1, pos: absent}
		b.accounts[account] = e
	}
	return e
}
