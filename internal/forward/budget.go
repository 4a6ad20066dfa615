package forward

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// cpuFraction is the part of the router's CPU time that forwarding may use. The rest is
	// for the requests that the router serves itself, and for its control functions.
	cpuFraction = 0.7
	// maxUnusedCPU limits how much unused time is kept for a burst, as wall-clock time of the
	// fraction. It is the time that clients notice as a delay.
	maxUnusedCPU = 100 * time.Millisecond
	// newCost is what a connection is expected to take, before it is measured and where it
	// can't be.
	newCost = 100 * time.Microsecond
)

// cpuBudget limits the CPU time of the copier. It is not safe for concurrent use.
type cpuBudget struct {
	share float64 // of a core
	at    time.Time
	left  time.Duration // negative: too much was used
}

// earn adds the time since the last call.
func (b *cpuBudget) earn(now time.Time) {
	since := min(max(0, now.Sub(b.at)), maxUnusedCPU)
	b.at = now
	b.left = min(b.left+time.Duration(b.share*float64(since)), time.Duration(b.share*float64(maxUnusedCPU)))
}

// take reserves the expected time of a new connection.
func (b *cpuBudget) take() bool {
	if b.left <= 0 {
		return false
	}
	b.left -= newCost
	return true
}

// settle replaces what was reserved for connections by the time that was used.
func (b *cpuBudget) settle(connections int, used time.Duration) {
	b.left += time.Duration(connections)*newCost - used
}

// cpuClock measures the CPU time of the thread.
type cpuClock struct {
	thread int
	at     time.Duration
}

func startClock() cpuClock { return cpuClock{thread: unix.Gettid(), at: threadTime()} }

// used returns the CPU time since the start; false: it is not known, since the runtime has
// moved the goroutine to another thread.
func (c cpuClock) used() (time.Duration, bool) {
	used := threadTime() - c.at
	return used, used > 0 && unix.Gettid() == c.thread
}

func threadTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t) != nil {
		return 0 // the clock is not supported, so used returns false
	}
	return time.Duration(t.Nano())
}
