package admission

import (
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/route"
)

// account is the state of one client account.
type account struct {
	cfg      Account
	declared bool      // in the manifest in force
	used     bool      // has had a request
	plain    queue     // requests that may use every endpoint
	picky    queue     // requests that may not
	queued   fair.Cost // estimates of both

	firstAvg time.Duration // mean time to first token at warm endpoints
}

func (a *account) waiting() int { return a.plain.len + a.picky.len }

// queue is a list of waiting requests, oldest first.
type queue struct {
	first, last *request
	len         int
}

// request waits in a queue of its account or holds a slot at an endpoint.
type request struct {
	want     Request
	account  *account
	estimate fair.Cost
	deadline time.Time

	in         *queue // nil: not waiting
	prev, next *request

	endpoint *endpoint // nil: no slot
	running  fair.Charge
	granted  time.Time // zero: by another owner
	ghost    time.Time // when the slot of a lost or settled request is free; zero: held
	settled  bool      // released, but its endpoint may still run it

	attended  bool // its router has a session
	suspect   bool // crashed an endpoint before
	isolated  bool // a suspect without any progress
	firstSeen bool // the time to first token is known
	slow      bool // and was a sign of a cold endpoint
}

func (q *queue) push(r *request) {
	r.in, r.prev, r.next = q, q.last, nil
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
	r.in, r.prev, r.next = nil, nil, nil
	q.len--
}

func (p *Pool) newRequest(w Request, a *account) *request {
	if n := len(p.unused); n > 0 {
		r := p.unused[n-1]
		p.unused = p.unused[:n-1]
		*r = request{want: w, account: a}
		return r
	}
	return &request{want: w, account: a}
}

func (p *Pool) reuse(r *request) {
	*r = request{}
	p.unused = append(p.unused, r)
}

// drop forgets a request that neither waits nor holds a slot.
func (p *Pool) drop(r *request) {
	delete(p.requests, r.want.ID)
	p.reuse(r)
}

func (p *Pool) enqueue(now time.Time, r *request) {
	a := r.account
	p.use(a)
	r.deadline = now.Add(a.cfg.MaxWait)
	p.requests[r.want.ID] = r
	q := &a.plain
	if len(r.want.Avoid) > 0 || p.quarantine.Suspected(now, r.want.Fingerprint) {
		q = &a.picky
	}
	q.push(r)
	a.queued += r.estimate
	p.scheduler.Enqueue(a.cfg.Name)
	p.due(r.deadline)
}

func (p *Pool) use(a *account) {
	if !a.used {
		a.used = true
		p.used = append(p.used, a)
	}
}

// dequeue takes a waiting request out of its queue.
func (p *Pool) dequeue(r *request) {
	a := r.account
	r.in.remove(r)
	a.queued -= r.estimate
	if a.waiting() == 0 {
		a.queued = 0 // no rounding errors are kept
	}
	p.scheduler.Dequeue(a.cfg.Name)
}

// dequeueFor takes a request out of its queue and charges it.
func (p *Pool) dequeueFor(r *request) {
	r.running = p.scheduler.Dispatch(r.account.cfg.Name, r.estimate)
	p.dequeue(r)
}

// pick returns the account's next request that can use a free slot, and the
// endpoint; nil if there is none.
func (p *Pool) pick(now time.Time, a *account) (*request, *endpoint) {
	for r := a.picky.first; r != nil; r = r.next {
		if e := p.choosePicky(now, r); e != nil {
			return r, e
		}
	}
	r := a.plain.first
	if r == nil {
		return nil, nil
	}
	place := p.table.Choose(route.Request{Zone: r.want.Zone, Prefix: r.want.Prefix})
	if place == nil {
		return nil, nil
	}
	return r, p.endpoints[place.Name]
}

// choosePicky keeps a request from the endpoints that failed it, and two
// suspects of a crash from one endpoint, so that a second crash tells which
// one is at fault.
func (p *Pool) choosePicky(now time.Time, r *request) *endpoint {
	suspect := p.quarantine.Suspected(now, r.want.Fingerprint)
	place := p.table.ChooseFunc(route.Request{Zone: r.want.Zone}, func(e *route.Endpoint) bool {
		return !avoids(&r.want, e.Name) && !(suspect && p.endpoints[e.Name].isolated > 0)
	})
	if place == nil {
		return nil
	}
	return p.endpoints[place.Name]
}

// anyOpen reports whether an open endpoint is left for the request.
func (p *Pool) anyOpen(w *Request) bool {
	if len(w.Avoid) == 0 {
		return p.open > 0
	}
	for _, e := range p.ordered {
		if e.cfg.Open && !avoids(w, e.cfg.Name) {
			return true
		}
	}
	return false
}

func avoids(w *Request, endpoint string) bool {
	for _, name := range w.Avoid {
		if name == endpoint {
			return true
		}
	}
	return false
}

// expireWaits refuses the requests that have waited their account's time.
func (p *Pool) expireWaits(now time.Time) {
	for _, a := range p.used {
		p.expireQueue(now, &a.plain)
		p.expireQueue(now, &a.picky)
	}
}

func (p *Pool) expireQueue(now time.Time, q *queue) {
	for r := q.first; r != nil; r = q.first {
		if now.Before(r.deadline) {
			p.due(r.deadline)
			return
		}
		p.end(r, code.WaitTooLong, p.retryAfter(r))
	}
}

// end refuses a waiting request.
func (p *Pool) end(r *request, c code.Code, after time.Duration) {
	p.refuse(r.want.ID, c, after)
	p.dequeue(r)
	p.drop(r)
}

// endWhere refuses the waiting requests for which may not holds any more.
func (p *Pool) endWhere(c code.Code, over func(*request) bool) {
	for _, a := range p.used {
		for _, q := range []*queue{&a.plain, &a.picky} {
			for r := q.first; r != nil; {
				next := r.next
				if over(r) {
					p.end(r, c, atLeast(a.cfg.MaxWait))
				}
				r = next
			}
		}
	}
}
