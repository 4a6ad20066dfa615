// Package retry decides when something that failed may be tried again: by
// exponential backoff with jitter, by one gate for all calls to a service
// that is down, and by a budget that successes earn.
package retry

import "time"

// Backoff grows from First to Longest, doubling with each failure.
type Backoff struct {
	Initial time.Duration
	Max     time.Duration
}

// Delay returns the wait after the given number of failures in a row, at
// least 1. random is uniform in [0, 1); the delay is uniform between half of
// the backoff and all of it.
func (b Backoff) Delay(failures int, random float64) time.Duration {
	d := b.Initial
	for i := 1; i < failures && d < b.Max; i++ {
		d *= 2
	}
	d = min(d, b.Max)
	return d/2 + time.Duration(random*float64(d/2))
}

// Pacer spaces the retries of all users of one service. While the service
// fails, retries start one after the other, a backoff apart; once it
// succeeds they are free again. It is not safe for concurrent use.
type Pacer struct {
	backoff  Backoff
	failures int
	next     time.Time
}

// NewPacer returns an open gate.
func NewPacer(b Backoff) *Pacer { return &Pacer{backoff: b} }

// Failed notes that a call failed.
func (g *Pacer) Failed() { g.failures++ }

// Succeeded notes that a call succeeded. It reports whether the gate was
// closed.
func (g *Pacer) Succeeded() bool {
	closed := g.failures > 0
	g.failures = 0
	g.next = time.Time{}
	return closed
}

// Reserve returns how long one retry has to wait from now.
func (g *Pacer) Reserve(now time.Time, random float64) time.Duration {
	if g.failures == 0 {
		return 0
	}
	if g.next.Before(now) {
		g.next = now
	}
	g.next = g.next.Add(g.backoff.Delay(g.failures, random))
	return g.next.Sub(now)
}

// Budget allows retries in proportion to successes, so that a failing
// service gets at most Ratio more calls than it would without retries. It is
// not safe for concurrent use.
type Budget struct {
	ratio  float64
	most   float64
	tokens float64
}

// NewBudget returns a full budget. Each success earns ratio retries, up to
// most.
func NewBudget(ratio, most float64) *Budget {
	return &Budget{ratio: ratio, most: most, tokens: most}
}

// Succeeded notes a request that ended well.
func (b *Budget) Succeeded() { b.tokens = min(b.most, b.tokens+b.ratio) }

// Take spends one retry, if there is one.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
