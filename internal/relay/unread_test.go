package relay

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/internal/upstream"
)

// TestBytesThatWaitAreNoSilence guards against sound endpoints that count as silent after
// this process was suspended.
func TestBytesThatWaitAreNoSilence(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		if c, err := l.Accept(); err == nil {
			_, _ = io.WriteString(c, "here")
		}
	}()
	c, err := upstream.NewPool().Get(context.Background(), l.Addr().String(), "", true)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for !c.Readable() {
		time.Sleep(time.Millisecond)
	}
	c.SetReadDeadline(time.Now().Add(-time.Second))
	x := &exchange{deadline: time.Now().Add(time.Minute)} // without a dispatcher, which would seek another endpoint
	c.WaitOn = func() bool { return x.waitOn(context.Background(), c, nil) }
	buf := make([]byte, 10)
	if n, err := c.Read(buf); err != nil || string(buf[:n]) != "here" {
		t.Errorf("read %q, %v", buf[:n], err)
	}
}
