package eventlog

import (
	"sync"
	"time"
)

// counterBits is the number of low bits of a clock value that count events
// within one millisecond; the bits above hold Unix milliseconds.
const counterBits = 16

// Time returns the physical part of a clock value.
func Time(clock int64) time.Time { return time.UnixMilli(clock >> counterBits) }

// Clock is a hybrid logical clock: it never falls, and it exceeds every
// value that Observe has seen. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last int64
}

// Now returns the next value.
func (c *Clock) Now() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, time.Now().UnixMilli()<<counterBits)
	return c.last
}

// Observe moves the clock past a value from another router.
func (c *Clock) Observe(other int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, other)
}

// MinClock returns the lowest clock value of an instant.
func MinClock(t time.Time) int64 { return t.UnixMilli() << counterBits }
