// Package retry decides when a failed operation may be retried. It provides
// exponential backoff with jitter, a pacer that spaces the retries of all
// goroutines of a router that use the same failing dependency, and a retry
// budget that is replenished by successes.
package retry

import "time"

// Backoff is an exponential backoff. It starts at Initial and doubles with
// each failure up to Max.
type Backoff struct {
	Initial time.Duration
	Max     time.Duration
}

// Delay returns the delay after the given number of consecutive failures, at
// least 1. random is uniform in [0, 1); the delay is uniform between half of
// the backoff and the full backoff.
func (b Backoff) Delay(failures int, random float64) time.Duration {
	d := b.Initial
	for i := 1; i < failures && d < b.Max; i++ {
		d *= 2
	}
	d = min(d, b.Max)
	return d/2 + time.Duration(random*float64(d/2))
}

// Pacer spaces the retries of all users of one dependency, such as the platform.
// While its calls fail, retries are scheduled one after the other, a backoff
// apart. After a success, they are no longer delayed. It is not safe for
// concurrent use.
type Pacer struct {
	backoff  Backoff
	failures int
	next     time.Time
}

// NewPacer returns a pacer that doesn't delay retries until a call fails.
func NewPacer(b Backoff) *Pacer { return &Pacer{backoff: b} }

// Failed records a failed call.
func (p *Pacer) Failed() { p.failures++ }

// Succeeded records a successful call. It reports whether retries were
// delayed until now.
func (p *Pacer) Succeeded() bool {
	delayed := p.failures > 0
	p.failures = 0
	p.next = time.Time{}
	return delayed
}

// Reserve schedules one retry and returns how long to wait for it from now.
func (p *Pacer) Reserve(now time.Time, random float64) time.Duration {
	if p.failures == 0 {
		return 0
	}
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(p.backoff.Delay(p.failures, random))
	return p.next.Sub(now)
}

// Budget allows retries in proportion to successes, so that retries add at
// most the given ratio to the calls that a failing dependency receives. It
// bounds one router, unlike the budget of dispatch.Dispatcher, which is
// declared for a whole fleet. It is not safe for concurrent use.
type Budget struct {
	ratio     float64
	maxTokens float64
	tokens    float64
}

// NewBudget returns a full budget of maxTokens retries. Each success adds
// ratio retries, up to maxTokens.
func NewBudget(ratio, maxTokens float64) *Budget {
	return &Budget{ratio: ratio, maxTokens: maxTokens, tokens: maxTokens}
}

// Succeeded records a successful request.
func (b *Budget) Succeeded() { b.tokens = min(b.maxTokens, b.tokens+b.ratio) }

// Take consumes one retry. It returns false if none is left.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
