package overload

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// testInput is a value that a test sets and a listener reads, in ns.
type testInput struct {
	atomic.Int64
	seen atomic.Int64 // what the listener has read last
}

func (i *testInput) read() int64 {
	value := i.Load()
	i.seen.Store(value)
	return value
}

// set sets the value and returns when the listener, which must be overloaded, has
// read it.
func (i *testInput) set(t *testing.T, value time.Duration) {
	t.Helper()
	i.Store(int64(value))
	for deadline := time.Now().Add(20 * time.Second); i.seen.Load() != int64(value); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the listener does not read the value")
		}
	}
}

// testLoad is what a listener under test goes by.
type testLoad struct {
	lag  testInput // wait for the CPU
	time testInput // since the start of the test
}

// echo accepts connections and echoes what is sent, when read is closed.
func echo(t *testing.T, load *testLoad, read chan struct{}) string {
	t.Helper()
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	l, err := NewListener(tcp, func() time.Duration { return time.Duration(load.lag.read()) })
	if err != nil {
		t.Fatal(err)
	}
	l.now = func() time.Time { return time.Unix(1_700_000_000, load.time.read()) }
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				<-read
				b := make([]byte, 1)
				if _, err := c.Read(b); err == nil {
					c.Write(b)
				}
			}()
		}
	}()
	return tcp.Addr().String()
}

// served reports whether a new connection is served, rather than reset.
func served(t *testing.T, address string) bool {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := c.Write([]byte("x")); err != nil {
		return false
	}
	_, err = io.ReadFull(c, make([]byte, 1))
	return err == nil
}

// TestOverloadedListenerResetsConnections guards against a process that spends its
// CPU time on refusing requests.
func TestOverloadedListenerResetsConnections(t *testing.T) {
	var load testLoad
	read := make(chan struct{})
	close(read)
	address := echo(t, &load, read)
	if !served(t, address) {
		t.Error("a connection was reset without overload")
	}
	load.lag.Store(int64(maxAcceptLag + time.Millisecond))
	for range 3 {
		if served(t, address) {
			t.Error("an overloaded process served a new connection")
		}
	}
	load.lag.set(t, 0) // a round of resets may be in progress
	if !served(t, address) {
		t.Error("a connection was reset after the overload")
	}
}

// TestOverloadedListenerAcceptsSomeConnections guards against a router that says it
// is ready and serves no new client.
func TestOverloadedListenerAcceptsSomeConnections(t *testing.T) {
	var load testLoad
	read := make(chan struct{})
	close(read)
	address := echo(t, &load, read)
	load.lag.Store(int64(maxAcceptLag + time.Millisecond))
	for round := range 3 {
		if !served(t, address) {
			t.Errorf("round %d: no connection accepted for %v", round, maxAcceptGap)
		}
		if served(t, address) {
			t.Errorf("round %d: served two connections at once", round)
		}
		load.time.set(t, time.Duration(round+1)*maxAcceptGap)
	}
}

// TestBusyListenerBoundsUnreadConnections guards against accepting more connections
// than can be read from soon.
func TestBusyListenerBoundsUnreadConnections(t *testing.T) {
	var load testLoad
	load.lag.Store(int64(minQueueLag + time.Millisecond))
	read := make(chan struct{})
	address := echo(t, &load, read)
	var open []net.Conn
	for range maxUnread {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		open = append(open, c)
	}
	if served(t, address) {
		t.Errorf("served a connection beside %d that nothing was read from", maxUnread)
	}
	close(read)
	for _, c := range open {
		c.SetDeadline(time.Now().Add(20 * time.Second))
		c.Write([]byte("x"))
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			t.Errorf("an accepted connection was not served: %v", err)
		}
	}
	if !served(t, address) {
		t.Error("a connection was reset although all others had been read from")
	}
}

// TestResetsAreReportedWithTheWaitOfTheirRequests guards against requests that wait
// long and are then reset without a trace.
func TestResetsAreReportedWithTheWaitOfTheirRequests(t *testing.T) {
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	l, err := NewListener(tcp, func() time.Duration { return maxAcceptLag + 1 })
	if err != nil {
		t.Fatal(err)
	}
	l.acceptedAt = time.Now()
	l.now = func() time.Time { return l.acceptedAt }
	defer l.Close()
	reported := make(chan Resets, 1)
	l.OnReset(func(r Resets) { reported <- r })
	c, err := net.Dial("tcp", tcp.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	before := lateResets.Get()
	time.Sleep(longWait + 50*time.Millisecond)
	l.resetWaiting()
	if r := <-reported; r.Count != 1 || r.Waited < longWait {
		t.Errorf("reported %+v, want one reset after %v", r, longWait)
	}
	if n := lateResets.Get() - before; n != 1 {
		t.Errorf("counted %d late resets, want 1", n)
	}
}
