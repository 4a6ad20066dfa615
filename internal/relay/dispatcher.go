package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/internal/wake"
)

const (
	// pollInterval is how often waiting requests are examined, in addition to
	// each time that a request of this router ends.
	pollInterval = 8 * time.Millisecond
	// minPollGap is the least time between two polls. It keeps a burst of
	// requests from spending the router's CPU time on the queue.
	minPollGap = 3 * time.Millisecond
	// maxPollShare limits the fraction of time spent on polling, however long
	// the queue is.
	maxPollShare = 0.1
	// stalePeerInterval is how often the reports of unresponsive peers are
	// dropped.
	stalePeerInterval = 200 * time.Millisecond
)

// SharedDispatcher makes a dispatch.Dispatcher safe for concurrent use and polls
// its queue.
type SharedDispatcher struct {
	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	waiting    map[*dispatch.Ticket]chan struct{}
	hadWaiting bool          // requests were waiting at the last poll
	queued     chan struct{} // receives when a request has begun to wait
	stopped    chan struct{} // closed by StopWaiting

	lastPoll         time.Time
	lastPollDuration time.Duration
}

// NewSharedDispatcher returns a SharedDispatcher for d. Afterwards d must be
// used only through it.
func NewSharedDispatcher(d *dispatch.Dispatcher) *SharedDispatcher {
	return &SharedDispatcher{dispatcher: d, waiting: map[*dispatch.Ticket]chan struct{}{}, queued: make(chan struct{}, 1), stopped: make(chan struct{})}
}

// errStopped means that a request no longer waits because the process is about to exit.
var errStopped = errors.New("the router is stopping")

// StopWaiting ends the wait of all requests. It must be called only once.
func (d *SharedDispatcher) StopWaiting() { close(d.stopped) }

// Acquire submits a request and waits until its ticket is granted or refused. If
// the context ends first, it cancels the ticket and returns the context's error, or
// errStopped after StopWaiting.
func (d *SharedDispatcher) Acquire(ctx context.Context, r dispatch.Request) (*dispatch.Ticket, error) {
	t, decided := d.Submit(r)
	select {
	case <-decided:
		return t, nil
	case <-ctx.Done():
		d.Cancel(t)
		return nil, ctx.Err()
	case <-d.stopped:
		d.Cancel(t)
		return nil, errStopped
	}
}

// Submit submits a request without waiting. The channel is closed once the ticket is
// granted or refused; until then, the ticket must not be read.
func (d *SharedDispatcher) Submit(r dispatch.Request) (*dispatch.Ticket, <-chan struct{}) {
	decided := make(chan struct{})
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	t := d.dispatcher.Submit(now, r)
	if t.State != dispatch.Waiting {
		close(decided)
		return t, decided
	}
	d.waiting[t] = decided
	select {
	case d.queued <- struct{}{}:
	default: // Serve has not yet seen an earlier request
	}
	d.poll(now)
	return t, decided
}

// Cancel withdraws a ticket that may still be waiting.
func (d *SharedDispatcher) Cancel(t *dispatch.Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, t)
	d.dispatcher.Cancel(time.Now(), t)
}

// RetryAllowed reports whether the budget of a service allows a retry.
func (d *SharedDispatcher) RetryAllowed(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dispatcher.RetryAllowed(time.Now(), service)
}

// Confirm reports whether the endpoint of a granted ticket may still receive the
// request.
func (d *SharedDispatcher) Confirm(t *dispatch.Ticket) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dispatcher.Confirm(time.Now(), t)
}

// RecordFirstEvent records that the response has started, and how long it took if
// timed is set.
func (d *SharedDispatcher) RecordFirstEvent(t *dispatch.Ticket, timed bool) {
	d.Update(func(now time.Time, inner *dispatch.Dispatcher) { inner.RecordFirstEvent(now, t, timed) })
}

// RecordBegun records that the endpoint has begun the response.
func (d *SharedDispatcher) RecordBegun(t *dispatch.Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dispatcher.RecordBegun(time.Now(), t)
}

// RecordCompleted records that the endpoint has sent the complete response.
func (d *SharedDispatcher) RecordCompleted(t *dispatch.Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dispatcher.RecordCompleted(time.Now(), t)
}

// RecordSilence records that the endpoint has sent nothing for too long.
func (d *SharedDispatcher) RecordSilence(t *dispatch.Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dispatcher.RecordSilence(time.Now(), t)
}

// RecordTokens records how long a stream took to produce a number of tokens.
func (d *SharedDispatcher) RecordTokens(t *dispatch.Ticket, tokens int, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dispatcher.RecordTokens(time.Now(), t, tokens, took)
}

// ReportAccount returns the recent demand and usage of an account.
func (d *SharedDispatcher) ReportAccount(account string) dispatch.AccountUsage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dispatcher.ReportAccount(time.Now(), account)
}

// Finish ends a granted ticket with the outcome of its request.
func (d *SharedDispatcher) Finish(t *dispatch.Ticket, outcome dispatch.Outcome) {
	d.Update(func(now time.Time, inner *dispatch.Dispatcher) { inner.Finish(now, t, outcome) })
}

// Update calls change with the dispatcher while it is locked, then polls for
// waiting requests that can be decided now.
func (d *SharedDispatcher) Update(change func(now time.Time, inner *dispatch.Dispatcher)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	change(now, d.dispatcher)
	d.poll(now)
}

// poll wakes the requests that the dispatcher has decided. It does nothing if no
// request waits or if the last poll was too recent.
func (d *SharedDispatcher) poll(now time.Time) {
	if len(d.waiting) == 0 && !d.hadWaiting || now.Sub(d.lastPoll) < max(minPollGap, time.Duration(float64(d.lastPollDuration)/maxPollShare)) {
		return
	}
	d.lastPoll = now
	defer func() { d.lastPollDuration = time.Since(now) }()
	d.hadWaiting = len(d.waiting) > 0 // poll once more after the queue has emptied
	for _, t := range d.dispatcher.Poll(now) {
		close(d.waiting[t])
		delete(d.waiting, t)
	}
}

// Serve polls the queue while requests wait, until the context ends.
func (d *SharedDispatcher) Serve(ctx context.Context) error {
	cleanup, ticks := wake.NewTicker(stalePeerInterval), wake.NewTicker(pollInterval)
	defer cleanup.Stop()
	defer ticks.Stop()
	cleanupDue := cleanup.Next()
	for {
		var pollDue <-chan time.Time // nil: no request waits
		if d.mustPoll() {
			pollDue = ticks.Next()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.queued:
		case now := <-pollDue:
			d.mu.Lock()
			d.poll(now)
			d.mu.Unlock()
		case now := <-cleanupDue:
			cleanupDue = cleanup.Next()
			d.mu.Lock()
			d.dispatcher.DropStalePeers(now)
			d.mu.Unlock()
		}
	}
}

// mustPoll reports whether requests wait, or did at the last poll.
func (d *SharedDispatcher) mustPoll() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.waiting) > 0 || d.hadWaiting
}
