package admission

import (
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/route"
)

// account is the state of one client account.
type account struct {
	cfg          Account
	declared     bool      // in the manifest in force
	seen         bool      // has had a request
	unrestricted queue     // requests that may use every endpoint
	restricted   queue     // requests that may not use every endpoint
	queuedCost   fair.Cost // sum of the estimates in both queues

	// Times to first token at warm endpoints.
	meanTTFT     time.Duration // 0: unknown
	shortestTTFT time.Duration
	ttftSamples  int
}

func (a *account) waiting() int { return a.unrestricted.len + a.restricted.len }

// queue is a doubly linked list of waiting requests, oldest first.
type queue struct {
	first, last *request
	len         int
}

// request is a request that waits in a queue of its account or holds a slot at
// an endpoint.
type request struct {
	req      Request
	account  *account
	estimate fair.Cost // req.CostHint, corrected by the learned ratio
	deadline time.Time

	queue      *queue // nil: not waiting
	prev, next *request

	endpoint  *endpoint // nil: no slot
	charge    fair.Charge
	grantedAt time.Time // zero: granted by another owner
	freeAt    time.Time // when the slot is freed without a release; zero: never
	lingering bool      // released, but its endpoint may still run it

	observed        bool // updates from its router arrive
	unattended      bool // its router has stalled since the grant; its updates may be old
	suspect         bool // crashed an endpoint before
	withoutProgress bool // a suspect that has made no progress yet; see chooseRestricted
	ttftSeen        bool // the time to first token is known
	slowTTFT        bool // the time to first token was a sign of a cold endpoint
}

func (q *queue) push(r *request) {
	r.queue, r.prev, r.next = q, q.last, nil
	if q.last == nil {
		q.first = r
	} else {
		q.last.next = r
	}
	q.last = r
	q.len++
}

func (q *queue) remove(r *request) {
	if r.prev == nil {
		q.first = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		q.last = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.queue, r.prev, r.next = nil, nil, nil
	q.len--
}

func (p *Pool) newRequest(req Request, a *account) *request {
	if n := len(p.freeRequests); n > 0 {
		r := p.freeRequests[n-1]
		p.freeRequests = p.freeRequests[:n-1]
		*r = request{req: req, account: a}
		return r
	}
	return &request{req: req, account: a}
}

func (p *Pool) recycle(r *request) {
	*r = request{}
	p.freeRequests = append(p.freeRequests, r)
}

// discard removes a request that neither waits nor holds a slot.
func (p *Pool) discard(r *request) {
	delete(p.requests, r.req.ID)
	p.recycle(r)
}

func (p *Pool) enqueue(now time.Time, r *request) {
	a := r.account
	p.markSeen(a)
	r.deadline = now.Add(a.cfg.MaxWait)
	p.requests[r.req.ID] = r
	q := &a.unrestricted
	if len(r.req.Avoid) > 0 || p.quarantine.Suspected(now, r.req.Fingerprint) {
		q = &a.restricted
	}
	q.push(r)
	a.queuedCost += r.estimate
	p.scheduler.Enqueue(a.cfg.Name)
	p.scheduleExpiry(r.deadline)
}

func (p *Pool) markSeen(a *account) {
	if !a.seen {
		a.seen = true
		p.seenAccounts = append(p.seenAccounts, a)
	}
}

// dequeue removes a waiting request from its queue.
func (p *Pool) dequeue(r *request) {
	a := r.account
	r.queue.remove(r)
	a.queuedCost -= r.estimate
	if a.waiting() == 0 {
		a.queuedCost = 0 // clears accumulated rounding errors
	}
	p.scheduler.Dequeue(a.cfg.Name)
}

// dispatch removes a request from its queue and charges its estimate.
func (p *Pool) dispatch(r *request) {
	r.charge = p.scheduler.Dispatch(r.account.cfg.Name, r.estimate)
	p.dequeue(r)
}

// pickNext returns the account's next request that can use a free slot, and the
// endpoint with that slot; nil if there is none.
func (p *Pool) pickNext(now time.Time, a *account) (*request, *endpoint) {
	for r := a.restricted.first; r != nil; r = r.next {
		if e := p.chooseRestricted(now, r); e != nil {
			return r, e
		}
	}
	r := a.unrestricted.first
	if r == nil {
		return nil, nil
	}
	chosen := p.table.Choose(route.Request{Zone: r.req.Zone, Prefix: r.req.Prefix})
	if chosen == nil {
		return nil, nil
	}
	return r, p.endpoints[chosen.Name]
}

// chooseRestricted returns an endpoint with a free slot for a restricted
// request, or nil. It excludes the endpoints that the request avoids and, if
// the request is suspected of a crash, those that run another suspect which has
// made no progress yet: if the endpoint crashes again, this shows which of the
// two is at fault.
func (p *Pool) chooseRestricted(now time.Time, r *request) *endpoint {
	suspect := p.quarantine.Suspected(now, r.req.Fingerprint)
	chosen := p.table.ChooseFunc(route.Request{Zone: r.req.Zone}, func(e *route.Endpoint) bool {
		return !avoids(&r.req, e.Name) && !(suspect && p.endpoints[e.Name].suspectsWithoutProgress > 0)
	})
	if chosen == nil {
		return nil
	}
	return p.endpoints[chosen.Name]
}

// hasUsableEndpoint reports whether an endpoint that accepts work may run the
// request.
func (p *Pool) hasUsableEndpoint(req *Request) bool {
	if len(req.Avoid) == 0 {
		return p.acceptingEndpoints > 0
	}
	for _, e := range p.sortedEndpoints {
		if e.cfg.AcceptsWork && !avoids(req, e.cfg.Name) {
			return true
		}
	}
	return false
}

func avoids(req *Request, endpoint string) bool {
	for _, name := range req.Avoid {
		if name == endpoint {
			return true
		}
	}
	return false
}

// expireWaits refuses the requests that have reached their account's wait
// limit.
func (p *Pool) expireWaits(now time.Time) {
	for _, a := range p.seenAccounts {
		p.expireQueue(now, &a.unrestricted)
		p.expireQueue(now, &a.restricted)
	}
}

func (p *Pool) expireQueue(now time.Time, q *queue) {
	for r := q.first; r != nil; r = q.first {
		if now.Before(r.deadline) {
			p.scheduleExpiry(r.deadline)
			return
		}
		p.refuseWaiting(r, code.WaitTooLong, p.retryAfter(r))
	}
}

func (p *Pool) refuseWaiting(r *request, c code.Code, retryAfter time.Duration) {
	p.refuse(r.req.ID, c, retryAfter)
	p.dequeue(r)
	p.discard(r)
}

// refuseWhere refuses the waiting requests for which invalid returns true.
func (p *Pool) refuseWhere(c code.Code, invalid func(*request) bool) {
	for _, a := range p.seenAccounts {
		for _, q := range []*queue{&a.unrestricted, &a.restricted} {
			for r := q.first; r != nil; {
				next := r.next
				if invalid(r) {
					p.refuseWaiting(r, c, clampRetryAfter(a.cfg.MaxWait))
				}
				r = next
			}
		}
	}
}
