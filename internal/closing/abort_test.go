package closing

import (
	"io"
	"net"
	"testing"
	"time"
)

// observedConn reports the read deadlines that are set.
type observedConn struct {
	*net.TCPConn
	deadlines chan time.Time
}

func (c observedConn) SetReadDeadline(t time.Time) error {
	c.deadlines <- t
	return c.TCPConn.SetReadDeadline(t)
}

// TestAbortEndsClosesThatReadOn guards against stops that outlast their grace because
// http.Server.Close waits for a connection that reads what its client still sends.
func TestAbortEndsClosesThatReadOn(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer tcp.Close()
	client, err := net.Dial("tcp", tcp.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	accepted, err := tcp.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(client, "x"); err != nil {
		t.Fatal(err)
	}
	socket := observedConn{accepted.(*net.TCPConn), make(chan time.Time, 10)}
	for !hasUnread(socket) {
		time.Sleep(time.Millisecond)
	}
	conns := NewConns(func(Incomplete) {})
	c := &conn{socketConn: socket, conns: conns}
	conns.open[c] = struct{}{}
	closed := make(chan error, 1)
	go func() { closed <- c.Close() }()
	<-socket.deadlines // of the rest
	conns.Abort()
	if err := <-closed; err != nil {
		t.Error(err)
	}
	select {
	case deadline := <-socket.deadlines:
		if !deadline.Equal(past) {
			t.Errorf("read deadline %v", deadline)
		}
	default:
		t.Error("the close read on until its limit")
	}
}
