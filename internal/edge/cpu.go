package edge

import (
	"math"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	choice "github.com/cyclamenwinch/cyclamenwinch/core/forward"
	"github.com/cyclamenwinch/cyclamenwinch/internal/overload"
)

const (
	// useInterval is the least time between two looks at the CPU time that was used.
	useInterval = 50 * time.Millisecond
	// useDecay is the time constant of the mean use.
	useDecay = 300 * time.Millisecond
)

// cpuUse measures the mean CPU use of the process. It is safe for concurrent use.
type cpuUse struct {
	mu   sync.Mutex
	at   time.Time
	used time.Duration // by the process until then
	mean float64       // in cores
}

// recent returns the mean use of the last time, in cores.
func (u *cpuUse) recent(now time.Time) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.at.IsZero() && now.Sub(u.at) < useInterval {
		return u.mean
	}
	var r unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &r); err != nil {
		return math.Inf(1) // unknown, so that nothing is offered
	}
	u.add(now, time.Duration(r.Utime.Nano()+r.Stime.Nano()))
	return u.mean
}

// add adds a look at the CPU time that was used.
func (u *cpuUse) add(now time.Time, used time.Duration) {
	if !u.at.IsZero() && now.After(u.at) {
		since := now.Sub(u.at)
		weight := 1 - math.Exp(-since.Seconds()/useDecay.Seconds())
		u.mean += weight * ((used-u.used).Seconds()/since.Seconds() - u.mean)
	}
	u.at, u.used = now, used
}

// spareCPU returns the CPU time that this router offers to others, in thousandths of a
// core.
func (e *Edge) spareCPU(now time.Time) int {
	if !e.settings.forwards() {
		return 0
	}
	use := e.cpu.recent(now)
	return choice.Spare(e.settings.CPUShare, use, e.leaving.Load() || e.lagMeter.Lag() > overload.MaxTimingLag)
}
