package connlimit

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"

	"github.com/cyclamenwinch/cyclamenwinch/internal/memory"
)

// connect opens a connection and returns both ends.
func connect(t *testing.T, l *Listener) (client, server net.Conn) {
	t.Helper()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	if server, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return client, server
}

func listen(t *testing.T, limits Limits) *Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	limits.Server = "test"
	return New(l, limits)
}

// free returns how many bytes a budget has left for a server.
func free(b *memory.Budget) (sum int64) {
	r := b.Reserve(memory.Control, "other", 0)
	defer r.Release()
	for r.Resize(sum + 1<<10) {
		sum += 1 << 10
	}
	return sum
}

// TestLongestOpenConnectionMakesRoom guards against a crowd that leaves no connection for
// others, whatever it does on its own.
func TestLongestOpenConnectionMakesRoom(t *testing.T) {
	l := listen(t, Limits{Max: 2, MakeRoom: true})
	first, _ := connect(t, l)
	second, server := connect(t, l)
	connect(t, l)
	if _, err := first.Read(make([]byte, 1)); err == nil {
		t.Error("the longest open connection is still open")
	}
	go func() { _, _ = server.Write([]byte("x")) }()
	if _, err := io.ReadFull(second, make([]byte, 1)); err != nil {
		t.Errorf("a later connection: %v", err)
	}
}

// TestOpenConnectionsStayWithoutMakeRoom guards against a crowd that ends the connections of
// others.
func TestOpenConnectionsStayWithoutMakeRoom(t *testing.T) {
	l := listen(t, Limits{Max: 1})
	first, server := connect(t, l)
	refused, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer refused.Close()
	go func() { _, _ = l.Accept() }() // until the listener is closed
	if _, err := refused.Read(make([]byte, 1)); err == nil {
		t.Error("a connection beyond the limit is admitted")
	}
	go func() { _, _ = server.Write([]byte("x")) }()
	if _, err := io.ReadFull(first, make([]byte, 1)); err != nil {
		t.Errorf("the open connection: %v", err)
	}
}

// TestCallsReserveMemory guards against calls that no budget counts, or that are counted
// after their end.
func TestCallsReserveMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := memory.NewBudget(4 << 20)
		before := free(b)
		l := New(nil, Limits{Memory: b, Server: "test"})
		ctx, end := context.WithCancel(context.Background())
		calls := 0
		for l.Call(ctx) {
			calls++
		}
		if calls == 0 || calls > 16 {
			t.Errorf("%d calls", calls)
		}
		end()
		synctest.Wait()
		if got := free(b); got != before {
			t.Errorf("%d bytes are free after the calls, %d before", got, before)
		}
	})
}

// TestConnectionsReserveMemory guards against connections and unread responses that no
// budget counts, or that are counted after their end.
func TestConnectionsReserveMemory(t *testing.T) {
	b := memory.NewBudget(16 << 20)
	before := free(b)
	l := listen(t, Limits{Memory: b})
	client, server := connect(t, l)
	if got := free(b); got >= before {
		t.Errorf("%d bytes are free with a connection, %d without", got, before)
	}
	open := free(b)
	if !l.Respond(server.RemoteAddr(), 100<<10) {
		t.Fatal("no memory for a response")
	}
	if got := free(b); got >= open {
		t.Errorf("%d bytes are free with an unread response, %d without", got, open)
	}
	if l.Respond(server.RemoteAddr(), 2<<20) {
		t.Error("a second response that exceeds the memory is admitted")
	}
	go func() { _, _ = io.Copy(io.Discard, client) }()
	if _, err := server.Write(make([]byte, 110<<10)); err != nil {
		t.Fatal(err)
	}
	if got := free(b); got != open {
		t.Errorf("%d bytes are free after the response, %d before", got, open)
	}
	l.Respond(server.RemoteAddr(), 100<<10)
	server.Close()
	server.Close()
	if got := free(b); got != before {
		t.Errorf("%d bytes are free after the close, %d before", got, before)
	}
	if !l.Respond(server.RemoteAddr(), 2<<20) {
		t.Error("the response on a closed connection is refused")
	}
}

// TestLargeResponseIsAdmittedAlone guards against a collection that no router can fetch since
// it exceeds the memory for responses by itself.
func TestLargeResponseIsAdmittedAlone(t *testing.T) {
	l := listen(t, Limits{Memory: memory.NewBudget(16 << 20)})
	client, server := connect(t, l)
	_, other := connect(t, l)
	if !l.Respond(server.RemoteAddr(), 8<<20) {
		t.Fatal("the only response is refused")
	}
	if l.Respond(other.RemoteAddr(), 8<<20) || l.Respond(server.RemoteAddr(), 8<<20) {
		t.Error("a second one is admitted")
	}
	go func() { _, _ = io.Copy(io.Discard, client) }()
	if _, err := server.Write(make([]byte, 8<<20)); err != nil {
		t.Fatal(err)
	}
	if !l.Respond(other.RemoteAddr(), 8<<20) {
		t.Error("the next one is refused after the first was read")
	}
	other.Close()
	if !l.Respond(server.RemoteAddr(), 8<<20) {
		t.Error("the next one is refused after the connection of the first was closed")
	}
}

// TestConnectionsWithoutMemoryAreRefused guards against a crowd that exceeds the budget.
func TestConnectionsWithoutMemoryAreRefused(t *testing.T) {
	b := memory.NewBudget(4 << 20) // an eighth for control, half of it for one server
	l := listen(t, Limits{Memory: b, MakeRoom: true})
	for range 20 {
		connect(t, l)
	}
	if got := l.open.Len(); got == 0 || got > 4 {
		t.Errorf("%d connections are open", got)
	}
}
