package closing_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/internal/closing"
)

const (
	testTimeout = 20 * time.Second
	request     = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
)

// heldConn is a connection of a server that has no CPU time: each read waits for
// before, and one that got bytes then for after.
type heldConn struct {
	*net.TCPConn
	before, after chan struct{}
	got           chan int
}

func (c *heldConn) Read(p []byte) (int, error) {
	<-c.before
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.got <- n
		<-c.after
	}
	return n, err
}

type heldListener struct {
	net.Listener
	conns chan *heldConn
}

func (l heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	held := &heldConn{TCPConn: c.(*net.TCPConn), before: make(chan struct{}), after: make(chan struct{}), got: make(chan int, 100)}
	l.conns <- held
	return held, nil
}

// testServer is a server with one client, whose connection is held.
type testServer struct {
	t          *testing.T
	server     *http.Server
	conns      *closing.Conns
	incomplete chan closing.Incomplete
	idle       chan struct{}
	held       *heldConn
	client     net.Conn
	responses  *bufio.Reader
}

func newTestServer(t *testing.T, configure func(*http.Server)) *testServer {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{t: t, idle: make(chan struct{}, 10), incomplete: make(chan closing.Incomplete, 10)}
	s.conns = closing.NewConns(func(r closing.Incomplete) { s.incomplete <- r })
	s.server = &http.Server{ConnState: func(c net.Conn, state http.ConnState) {
		s.conns.ConnState(c, state)
		if state == http.StateIdle {
			s.idle <- struct{}{}
		}
	}, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })}
	configure(s.server)
	l := heldListener{tcp, make(chan *heldConn, 1)}
	go s.server.Serve(s.conns.Listener(l))
	t.Cleanup(func() { s.server.Close() })
	if s.client, err = net.Dial("tcp", tcp.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.client.Close() })
	s.client.SetDeadline(time.Now().Add(testTimeout))
	s.responses = bufio.NewReader(s.client)
	s.held = <-l.conns
	return s
}

// send sends bytes and waits until they are in the server's socket buffer.
func (s *testServer) send(bytes string) {
	s.t.Helper()
	if _, err := io.WriteString(s.client, bytes); err != nil {
		s.t.Fatal(err)
	}
	for !closing.HasUnread(s.held) {
		time.Sleep(time.Millisecond)
	}
}

// expect reads a response.
func (s *testServer) expect(status int) {
	s.t.Helper()
	resp, err := http.ReadResponse(s.responses, nil)
	if err != nil {
		s.t.Fatalf("no response: %v", err)
	}
	if resp.StatusCode != status {
		s.t.Errorf("status %d, want %d", resp.StatusCode, status)
	}
}

// serveOne sends a request and lets the server respond to it. The next read is held.
func (s *testServer) serveOne() {
	s.t.Helper()
	s.send(request)
	s.held.before <- struct{}{}
	<-s.held.got
	s.held.after <- struct{}{}
	s.held.before <- struct{}{} // net/http reads while the handler runs
	s.expect(http.StatusNoContent)
	<-s.idle
}

// release gives the server CPU time.
func (s *testServer) release() {
	close(s.held.before)
	close(s.held.after)
}

// TestRequestThatWasReadAsIdleConnectionsCloseGetsAResponse guards against requests that
// a stopping server reads and drops because net/http still counts their connection as idle.
func TestRequestThatWasReadAsIdleConnectionsCloseGetsAResponse(t *testing.T) {
	for _, first := range []string{request, request[:1], request[:len(request)-1]} {
		s := newTestServer(t, func(*http.Server) {})
		s.serveOne()
		s.send(first)
		s.held.before <- struct{}{}
		<-s.held.got
		if rest := request[len(first):]; rest != "" {
			s.send(rest)
		}
		s.conns.CloseIdle()
		s.release()
		s.expect(http.StatusNoContent)
	}
}

// TestRequestThatWaitsInTheSocketAsIdleConnectionsCloseGetsAResponse guards against
// requests that a stopping server resets because it had no CPU time to read them.
func TestRequestThatWaitsInTheSocketAsIdleConnectionsCloseGetsAResponse(t *testing.T) {
	s := newTestServer(t, func(*http.Server) {})
	s.serveOne()
	s.send(request)
	s.conns.CloseIdle()
	s.release()
	s.expect(http.StatusNoContent)
}

// TestNewConnectionWithARequestGetsAResponse guards against a stopping server that drops
// the first request of a connection.
func TestNewConnectionWithARequestGetsAResponse(t *testing.T) {
	s := newTestServer(t, func(*http.Server) {})
	s.send(request)
	s.conns.CloseIdle()
	s.release()
	s.expect(http.StatusNoContent)
}

// TestIdleConnectionsClose guards against stops that wait for connections without a request.
func TestIdleConnectionsClose(t *testing.T) {
	for _, used := range []bool{false, true} {
		s := newTestServer(t, func(*http.Server) {})
		if used {
			s.serveOne()
		}
		s.conns.CloseIdle()
		s.release()
		if _, err := s.responses.ReadByte(); err != io.EOF {
			t.Errorf("used before: %v: read error %v, want EOF", used, err)
		}
		for deadline := time.Now().Add(testTimeout); s.conns.Open() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%d connections are open", s.conns.Open())
			}
		}
	}
}

// TestRequestThatArrivesBeforeALateLimitGetsAResponse guards against limits of time that
// end connections with bytes in the socket because the process was suspended.
func TestRequestThatArrivesBeforeALateLimitGetsAResponse(t *testing.T) {
	const limit = 10 * time.Millisecond
	t.Run("idle", func(t *testing.T) {
		s := newTestServer(t, func(h *http.Server) { h.IdleTimeout = limit })
		s.serveOne()
		s.send(request)
		time.Sleep(5 * limit)
		s.release()
		s.expect(http.StatusNoContent)
	})
	t.Run("head", func(t *testing.T) {
		s := newTestServer(t, func(h *http.Server) { h.ReadHeaderTimeout = limit })
		s.send(request[:5])
		s.held.before <- struct{}{}
		<-s.held.got
		s.send(request[5:])
		time.Sleep(5 * limit)
		s.release()
		s.expect(http.StatusNoContent)
	})
}

// TestIncompleteRequestIsRefusedAndReported guards against requests that end without a
// response or a trace because only a part of their head was read.
func TestIncompleteRequestIsRefusedAndReported(t *testing.T) {
	for _, c := range []struct {
		name, sent string
		limit      time.Duration
		status     int
	}{
		{"stop in the request line", request[:10], time.Hour, http.StatusServiceUnavailable},
		{"stop in a field", request[:20], time.Hour, http.StatusServiceUnavailable},
		{"limit in the request line", request[:10], 10 * time.Millisecond, http.StatusRequestTimeout},
		{"limit in a field", request[:20], 10 * time.Millisecond, http.StatusRequestTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestServer(t, func(h *http.Server) { h.ReadHeaderTimeout = c.limit })
			s.send(c.sent)
			s.held.before <- struct{}{}
			<-s.held.got
			if c.status == http.StatusServiceUnavailable {
				s.conns.CloseIdle()
			}
			s.release()
			s.expect(c.status)
			select {
			case r := <-s.incomplete:
				if r != (closing.Incomplete{Status: c.status, Answered: true}) {
					t.Errorf("reported %+v", r)
				}
			case <-time.After(testTimeout):
				t.Error("not reported")
			}
		})
	}
}

// TestPipelinedRequestDoesNotDestroyTheResponseBefore guards against a reset that
// discards the end of a response because the next request was not read.
func TestPipelinedRequestDoesNotDestroyTheResponseBefore(t *testing.T) {
	const size = 8 << 20 // exceeds the socket buffers
	s := newTestServer(t, func(h *http.Server) {
		h.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			_, _ = io.WriteString(w, strings.Repeat("x", size))
		})
	})
	s.release()
	if _, err := fmt.Fprint(s.client, request, strings.Repeat(request, 2000)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(s.responses, nil)
	if err != nil {
		t.Fatal(err)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if n != size || err != nil {
		t.Errorf("read %d of %d bytes: %v", n, size, err)
	}
}
