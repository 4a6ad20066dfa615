package overload

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// testLag is the wait for the CPU that a test sets, in ns.
type testLag struct {
	atomic.Int64
	seen atomic.Int64 // what the listener has read last
}

func (l *testLag) read() time.Duration {
	lag := l.Load()
	l.seen.Store(lag)
	return time.Duration(lag)
}

// set sets the lag and returns when the listener, which must be overloaded, has read
// it.
func (l *testLag) set(t *testing.T, lag time.Duration) {
	t.Helper()
	l.Store(int64(lag))
	for deadline := time.Now().Add(20 * time.Second); l.seen.Load() != int64(lag); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the listener does not read the lag")
		}
	}
}

// echo accepts connections and echoes what is sent, once told to read.
func echo(t *testing.T, lag *testLag, read chan struct{}) string {
	t.Helper()
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	l, err := NewListener(tcp, lag.read)
	if err != nil {
		t.Fatal(err)
	}
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
	var lag testLag
	read := make(chan struct{})
	close(read)
	address := echo(t, &lag, read)
	if !served(t, address) {
		t.Error("a connection was reset without overload")
	}
	lag.Store(int64(maxAcceptLag + time.Millisecond))
	for range 3 {
		if served(t, address) {
			t.Error("an overloaded process served a new connection")
		}
	}
	lag.set(t, 0) // a round of resets may be in progress
	if !served(t, address) {
		t.Error("a connection was reset after the overload")
	}
}

// TestBusyListenerBoundsUnreadConnections guards against accepting more connections
// than can be read from soon.
func TestBusyListenerBoundsUnreadConnections(t *testing.T) {
	var lag testLag
	lag.Store(int64(minQueueLag + time.Millisecond))
	read := make(chan struct{})
	address := echo(t, &lag, read)
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
