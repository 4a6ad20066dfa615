package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
)

const (
	// pollEvery is how often requests that wait are looked at, beside each
	// time that a request of this router ends.
	pollEvery = 8 * time.Millisecond
	// pollRest is the least time between two looks, so that a flood of
	// requests does not spend the router's time on the queue.
	pollRest = 3 * time.Millisecond
	// pollShare bounds the part of the time that goes to looking at the queue,
	// however long it is.
	pollShare = 0.1
	// forgetEvery is how often the reports of silent peers are dropped.
	forgetEvery = 200 * time.Millisecond
)

// SharedDispatcher lets many goroutines use one dispatcher. It is safe for concurrent
// use.
type SharedDispatcher struct {
	mu      sync.Mutex
	core    *dispatch.Dispatcher
	waiting map[*dispatch.Ticket]chan struct{}
	waited  bool // requests waited at the last poll

	polledAt time.Time
	pollCost time.Duration // of the last look
}

// NewSharedDispatcher returns a desk that owns the dispatcher.
func NewSharedDispatcher(core *dispatch.Dispatcher) *SharedDispatcher {
	return &SharedDispatcher{core: core, waiting: map[*dispatch.Ticket]chan struct{}{}}
}

// Acquire returns a ticket that is granted or refused. The error is that of
// the context; nothing is held then.
func (d *SharedDispatcher) Acquire(ctx context.Context, r dispatch.Request) (*dispatch.Ticket, error) {
	d.mu.Lock()
	now := time.Now()
	t := d.core.Submit(now, r)
	if t.State != dispatch.Waiting {
		d.mu.Unlock()
		return t, nil
	}
	decided := make(chan struct{})
	d.waiting[t] = decided
	d.poll(now)
	d.mu.Unlock()
	select {
	case <-decided:
		return t, nil
	case <-ctx.Done():
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.waiting, t)
		d.core.Cancel(time.Now(), t)
		return nil, ctx.Err()
	}
}

// FirstEvent notes that the answer has begun.
func (d *SharedDispatcher) FirstEvent(t *dispatch.Ticket) {
	d.Update(func(now time.Time, core *dispatch.Dispatcher) { core.RecordFirstEvent(now, t) })
}

// Generated notes how long some tokens of a stream took.
func (d *SharedDispatcher) Generated(t *dispatch.Ticket, tokens int, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.RecordTokens(t, tokens, took)
}

// Finish ends a granted ticket.
func (d *SharedDispatcher) Finish(t *dispatch.Ticket, how dispatch.Outcome) {
	d.Update(func(now time.Time, core *dispatch.Dispatcher) { core.Finish(now, t, how) })
}

// Update changes the dispatcher's state and then grants what has become
// possible.
func (d *SharedDispatcher) Update(change func(now time.Time, core *dispatch.Dispatcher)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	change(now, d.core)
	d.poll(now)
}

func (d *SharedDispatcher) poll(now time.Time) {
	if len(d.waiting) == 0 && !d.waited || now.Sub(d.polledAt) < max(pollRest, time.Duration(float64(d.pollCost)/pollShare)) {
		return
	}
	d.polledAt = now
	defer func() { d.pollCost = time.Since(now) }()
	d.waited = len(d.waiting) > 0 // one more poll follows the last that waited
	for _, t := range d.core.Poll(now) {
		close(d.waiting[t])
		delete(d.waiting, t)
	}
}

// Serve polls until the context ends.
func (d *SharedDispatcher) Serve(ctx context.Context) error {
	ticks := time.NewTicker(pollEvery)
	defer ticks.Stop()
	forgot := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticks.C:
			d.mu.Lock()
			if now.Sub(forgot) >= forgetEvery {
				d.core.DropStalePeers(now)
				forgot = now
			}
			d.poll(now)
			d.mu.Unlock()
		}
	}
}
