// Package wake aligns the periodic work of a process. Timers of different parts
// that expire at the same instant cost one wake-up of the process instead of one
// each, and on a mostly idle router the wake-ups are most of the CPU time.
package wake

import (
	"context"
	"time"
)

// start is the origin of the instants that timers are aligned to.
var start = time.Now()

// Until returns the time from now until the next multiple of an interval since the
// start of the process. It is positive and at most the interval.
func Until(now time.Time, interval time.Duration) time.Duration {
	since := now.Sub(start) % interval
	if since < 0 {
		since += interval // the time of a test may begin before the process
	}
	return interval - since
}

// Ticker waits for the multiples of an interval since the start of the process. A
// late caller misses instants; they are not made up for. It is for one goroutine.
type Ticker struct {
	interval time.Duration
	timer    *time.Timer
}

// NewTicker returns a ticker. Stop releases it.
func NewTicker(interval time.Duration) *Ticker {
	t := &Ticker{interval: interval, timer: time.NewTimer(interval)}
	t.timer.Stop()
	return t
}

// Stop stops the ticker.
func (t *Ticker) Stop() { t.timer.Stop() }

// SetInterval changes the interval from the next call on.
func (t *Ticker) SetInterval(interval time.Duration) { t.interval = interval }

// Next returns a channel that receives the time at the next instant. Each call
// replaces the channel of the last one.
func (t *Ticker) Next() <-chan time.Time {
	t.timer.Reset(Until(time.Now(), t.interval))
	return t.timer.C
}

// Wait waits for the next instant. It returns the context's error if that ends
// first.
func (t *Ticker) Wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.Next():
		return nil
	}
}
