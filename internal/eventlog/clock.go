package eventlog

import (
	"sync"
	"time"
)

// counterBits is the number of low bits of a clock value that count events
// within one millisecond. The higher bits are the Unix time in milliseconds.
const counterBits = 16

// Time returns the physical part of a clock value.
func Time(clock int64) time.Time { return time.UnixMilli(clock >> counterBits) }

// Clock is a hybrid logical clock: it increases monotonically, and its next value
// exceeds every value passed to Observe. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last int64
}

// Now returns the next clock value, which is higher than all before it.
func (c *Clock) Now() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, time.Now().UnixMilli()<<counterBits)
	return c.last
}

// Observe advances the clock to at least a value received from another router.
func (c *Clock) Observe(other int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, other)
}

// MinClock returns the lowest clock value whose physical part is t.
func MinClock(t time.Time) int64 { return t.UnixMilli() << counterBits }
