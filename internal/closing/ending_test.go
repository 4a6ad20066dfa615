package closing

import (
	"net"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"
)

// deadlineConn keeps its read deadline.
type deadlineConn struct {
	*net.TCPConn
	read time.Time
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.read = t
	return nil
}

func (c *deadlineConn) SyscallConn() (syscall.RawConn, error) { return nil, net.ErrClosed }

// TestDeadlinesThatCrossTheStop guards against requests that the deadline of idle
// connections cancels, and idle connections that stay open, as a stop begins.
func TestDeadlinesThatCrossTheStop(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for range 20 {
		conns := NewConns(func(Incomplete) {})
		request, idle := &deadlineConn{}, &deadlineConn{}
		first, second := &conn{socketConn: request, conns: conns}, &conn{socketConn: idle, conns: conns}
		conns.open[first], conns.open[second] = struct{}{}, struct{}{}
		crossStop(conns, func() { first.setState(http.StateActive) }, func() {
			if err := second.SetReadDeadline(time.Now().Add(time.Hour)); err != nil {
				t.Error(err)
			}
		})
		if !request.read.IsZero() {
			t.Errorf("a request has the read deadline %v", request.read)
		}
		if !idle.read.Equal(past) {
			t.Errorf("an idle connection has the read deadline %v", idle.read)
		}
	}
}

// crossStop calls f and then CloseIdle while they wait for the lock of conns. It makes
// them wait for so long that each release of the lock runs the next that waits.
func crossStop(conns *Conns, f ...func()) {
	const starving = 2 * time.Millisecond // see sync.Mutex
	var all sync.WaitGroup
	conns.mu.Lock()
	for _, f := range append(f, conns.CloseIdle) {
		all.Go(f)
		time.Sleep(starving)
	}
	conns.mu.Unlock()
	conns.mu.Lock()
	time.Sleep(starving)
	conns.mu.Unlock()
	all.Wait()
}
