package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cyclamenwinch/cyclamenwinch/core/forward"
	"github.com/cyclamenwinch/cyclamenwinch/internal/memory"
)

// hangTimeout bounds each wait. Only a copier that hangs runs into it.
const hangTimeout = 20 * time.Second

// router is a copier under test with its listener, which is always overloaded.
type router struct {
	*Copier
	address string // for clients
	cancel  func()
	ended   chan error

	mu      sync.Mutex
	targets []forward.Target
	sums    Sums
	onSums  func(Sums) // called with each report

	passed atomic.Int64 // time that the copier sees beside the real one, in ns
}

// pass makes the copier see that time passes.
func (r *router) pass(d time.Duration) { r.passed.Add(int64(d)) }

func (r *router) setTargets(targets ...forward.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targets = targets
}

// unlimited makes the router take each connection.
func (r *router) unlimited() {
	r.Copier.mu.Lock()
	defer r.Copier.mu.Unlock()
	r.budget.left, r.budget.share = time.Hour, 1e6
}

// newRouter returns a router that forwards to the port at some addresses.
func newRouter(t testing.TB, port uint16, change func(*Options), targets ...string) *router {
	t.Helper()
	tcp, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	r := &router{address: tcp.Addr().String(), ended: make(chan error, 1)}
	for _, a := range targets {
		r.targets = append(r.targets, forward.Target{Name: a, Address: netip.MustParseAddr(a), Spare: 200})
	}
	opts := Options{Via: tcp.Addr().(*net.TCPAddr).AddrPort(), Port: port, MaxOpen: func() int { return 100 }, CPUShare: 1, Memory: memory.NewBudget(0),
		Targets: func() ([]forward.Target, bool) {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.targets, true
		},
		Report: func(s Sums) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.sums.Failed += s.Failed
			r.sums.Rejected += s.Rejected
			r.sums.Limited += s.Limited
			if r.onSums != nil {
				r.onSums(s)
			}
		}}
	if change != nil {
		change(&opts)
	}
	opts.Via = netip.AddrPortFrom(opts.Via.Addr().Unmap(), opts.Via.Port())
	if r.Copier, err = New(opts); err != nil {
		t.Fatal(err)
	}
	r.Copier.now = func() time.Time { return time.Now().Add(time.Duration(r.passed.Load())) }
	r.Copier.running = true // no connection is refused before Serve runs
	raw, err := tcp.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go func() { r.ended <- r.Serve(ctx) }()
	go func() {
		for raw.Control(r.acceptWaiting) == nil { // until the listener is closed
			time.Sleep(time.Millisecond)
		}
	}()
	t.Cleanup(func() { cancel(); tcp.Close() })
	return r
}

// acceptWaiting does as overload.Listener does.
func (r *router) acceptWaiting(listener uintptr) {
	for {
		fd, from, err := unix.Accept4(int(listener), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err != nil {
			return
		}
		v4 := from.(*unix.SockaddrInet4)
		if r.Take(fd, netip.AddrPortFrom(netip.AddrFrom4(v4.Addr), uint16(v4.Port))) {
			r.Flush()
			continue
		}
		r.Reject(fd)
		unix.Close(fd)
	}
}

// newTarget returns a server of forwarded connections at 127.0.0.2 and the port.
func newTarget(t testing.TB, h http.HandlerFunc) (*http.Server, uint16) {
	t.Helper()
	return newTargetAt(t, net.IPv4(127, 0, 0, 2), h)
}

func newTargetAt(t testing.TB, ip net.IP, h http.HandlerFunc) (*http.Server, uint16) {
	t.Helper()
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: ip})
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		h(w, r)
	}), ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }}
	go server.Serve(&Listener{TCPListener: l, HeaderTimeout: hangTimeout})
	t.Cleanup(func() { server.Close() })
	return server, uint16(l.Addr().(*net.TCPAddr).Port)
}

type connKey struct{}

func dialClient(t testing.TB, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(hangTimeout))
	return c
}

func get(t *testing.T, address string) (*http.Response, error) {
	t.Helper()
	c := dialClient(t, address)
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(c), nil)
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(hangTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(what)
		}
	}
}

// TestRequestIsForwardedWithItsClientsAddress guards against requests that are changed on
// their way or can't be traced to their client and to the forwarding router.
func TestRequestIsForwardedWithItsClientsAddress(t *testing.T) {
	const parts, partBytes = 40, 8 << 10
	origin := make(chan Origin, 1)
	_, port := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		o, _ := r.Context().Value(connKey{}).(*Conn).Origin()
		origin <- o
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		fmt.Fprint(w, r.Method, " ", len(body), "\n")
		for range parts {
			fmt.Fprint(w, strings.Repeat("y", partBytes))
		}
	})
	r := newRouter(t, port, nil, "127.0.0.2")
	for _, bodyBytes := range []int{0, 10, 300 << 10} {
		c := dialClient(t, r.address)
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("x", bodyBytes))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if want := fmt.Sprint("POST ", bodyBytes, "\n", strings.Repeat("y", parts*partBytes)); err != nil || string(body) != want || !resp.Close {
			t.Errorf("%d bytes, %v, close %v", len(body), err, resp.Close)
		}
		if o := <-origin; o.Client.String() != c.LocalAddr().String() || o.Via.String() != r.address {
			t.Errorf("origin %+v, want %v via %v", o, c.LocalAddr(), r.address)
		}
	}
	await(t, "connections stay open", func() bool { return r.Open() == 0 })
}

// TestClientThatLeavesResetsTheTarget guards against requests that run on after their clients have left.
func TestClientThatLeavesResetsTheTarget(t *testing.T) {
	begun, cancelled := make(chan struct{}), make(chan struct{})
	_, port := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		http.NewResponseController(w).Flush()
		close(begun)
		<-r.Context().Done()
		close(cancelled)
	})
	r := newRouter(t, port, nil, "127.0.0.2")
	c := dialClient(t, r.address)
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-begun
	c.Close()
	select {
	case <-cancelled:
	case <-time.After(hangTimeout):
		t.Fatal("the request was not cancelled")
	}
	await(t, "the connection stays open", func() bool { return r.Open() == 0 })
}

// TestTargetThatFailsEndsTheConnection guards against clients that wait for a target that
// is gone, or take a part of a response for all of it.
func TestTargetThatFailsEndsTheConnection(t *testing.T) {
	_, port := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/begun" {
			fmt.Fprint(w, "part")
			http.NewResponseController(w).Flush()
			time.Sleep(2 * responseInterval)
		}
		c := r.Context().Value(connKey{}).(*Conn)
		c.SetLinger(0)
		c.Close()
		panic(http.ErrAbortHandler)
	})
	r := newRouter(t, port, nil, "127.0.0.2")
	for _, path := range []string{"/", "/begun"} {
		c := dialClient(t, r.address)
		fmt.Fprintf(c, "GET %s HTTP/1.0\r\nHost: h\r\n\r\n", path) // its response has no length
		if _, err := io.ReadAll(c); err == nil {
			t.Errorf("%s: the connection ends as a complete response does", path)
		} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
			t.Errorf("%s: the connection stays open", path)
		}
	}
	await(t, "the connections stay open", func() bool { return r.Open() == 0 })
}

// TestUnreachableTargetIsReplacedOnce guards against requests that fail although nothing
// was sent, and against endless attempts.
func TestUnreachableTargetIsReplacedOnce(t *testing.T) {
	_, port := newTarget(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
	r := newRouter(t, port, nil, "127.0.0.3", "127.0.0.2") // nothing listens at the first
	for range 10 {
		resp, err := get(t, r.address)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("response %v, %v", resp, err)
		}
	}
	r = newRouter(t, port, nil, "127.0.0.3", "127.0.0.4", "127.0.0.5")
	before := connectErrors.Get()
	resp, err := get(t, r.address)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("response %v, %v, want a rejection", resp, err)
	}
	if n := connectErrors.Get() - before; n != 2 {
		t.Errorf("tried %d targets, want 2", n)
	}
	await(t, "the connection stays open", func() bool { return r.Open() == 0 })
}

// TestLimitsRejectCompleteRequests guards against resets that destroy a response, and
// against responses without a time to return.
func TestLimitsRejectCompleteRequests(t *testing.T) {
	var open atomic.Int64
	release := make(chan struct{})
	_, port := newTarget(t, func(http.ResponseWriter, *http.Request) { open.Add(1); <-release })
	defer close(release)
	for name, r := range map[string]*router{
		"connections": newRouter(t, port, func(o *Options) { o.MaxOpen = func() int { return 1 } }, "127.0.0.2"),
		"cpu":         newRouter(t, port, func(o *Options) { o.CPUShare = math.SmallestNonzeroFloat64 }, "127.0.0.2"),
		"no target":   newRouter(t, port, nil),
	} {
		if name == "connections" {
			io.WriteString(dialClient(t, r.address), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			await(t, "not forwarded", func() bool { return open.Load() == 1 })
		}
		// The request may not have arrived when the connection is accepted, which resets it.
		await(t, name+": no rejection", func() bool {
			resp, err := get(t, r.address)
			return err == nil && resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != ""
		})
		c := dialClient(t, r.address)
		io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nfou")
		if b, err := io.ReadAll(c); len(b) > 0 {
			t.Errorf("%s: incomplete request got %q, %v", name, b, err)
		}
	}
}

// TestClientThatDoesNotReadIsBounded guards against responses that fill the memory, and
// against clients that hold a connection without end.
func TestClientThatDoesNotReadIsBounded(t *testing.T) {
	sent, ended := atomic.Int64{}, make(chan error, 1)
	_, port := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		for {
			n, err := w.Write(make([]byte, 32<<10))
			sent.Add(int64(n))
			if err != nil {
				ended <- err
				return
			}
		}
	})
	budget := memory.NewBudget(1 << 20)
	r := newRouter(t, port, func(o *Options) { o.Memory = budget }, "127.0.0.2")
	c := dialClient(t, r.address)
	c.(*net.TCPConn).SetReadBuffer(4 << 10)
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	await(t, "nothing is forwarded", func() bool { return sent.Load() > 0 })
	// The copier may be about to read more when the time passes, so it passes again.
	await(t, "the response is never given up", func() bool {
		r.pass(maxStall)
		time.Sleep(2 * roundInterval)
		return r.Open() == 0
	})
	<-ended
	if !budget.Reserve(memory.Responses, memoryHolder, 0).Resize(120_000) { // more than it gets beside bufferBytes
		t.Error("memory stays reserved")
	}
}

// TestSilentTargetEndsTheConnection guards against clients that wait for a router that
// is cut off, which no connection tells of while both sides wait.
func TestSilentTargetEndsTheConnection(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	_, port := newTarget(t, func(http.ResponseWriter, *http.Request) { close(begun); <-release })
	defer close(release)
	r := newRouter(t, port, nil, "127.0.0.2")
	c := dialClient(t, r.address)
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-begun
	r.pass(2 * userTimeout) // the target is heard all the time
	time.Sleep(5 * roundInterval)
	if r.Open() != 1 {
		t.Fatal("the connection to a live target was closed")
	}
	r.setTargets()
	r.pass(2 * userTimeout)
	if b, err := io.ReadAll(c); len(b) > 0 || err == nil {
		t.Errorf("read %q, %v", b, err)
	}
	await(t, "the connection stays open", func() bool { return r.Open() == 0 })
}

// TestUnansweredConnectIsGivenUp guards against clients that wait for a target which is
// cut off, although another one could serve them.
func TestUnansweredConnectIsGivenUp(t *testing.T) {
	_, port := newTarget(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(fd)
	to := &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 3}, Port: int(port)}
	if err := unix.Bind(fd, to); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	for range 2 { // fill the queue, so that the kernel answers no further connection
		c, err := dial(to)
		if err != nil {
			t.Fatal(err)
		}
		defer unix.Close(c)
	}
	r := newRouter(t, port, nil, "127.0.0.3")
	c := dialClient(t, r.address)
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	await(t, "not taken", func() bool { return r.Open() == 1 })
	r.setTargets(forward.Target{Name: "b", Address: netip.AddrFrom4([4]byte{127, 0, 0, 2}), Spare: 200})
	r.pass(2 * targetsInterval)
	if resp, err := get(t, r.address); err != nil || resp.StatusCode != http.StatusOK { // which lets the copier see the other target
		t.Fatalf("response %v, %v", resp, err)
	}
	r.pass(connectTimeout)
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("response %v, %v", resp, err)
	}
}

// TestStopKeepsConnections guards against a stopping router that cuts what it forwards,
// or that takes more.
func TestStopKeepsConnections(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	_, port := newTarget(t, func(w http.ResponseWriter, _ *http.Request) { close(begun); <-release; fmt.Fprint(w, "ok") })
	r := newRouter(t, port, nil, "127.0.0.2")
	c := dialClient(t, r.address)
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-begun
	r.Stop()
	await(t, "no rejection", func() bool {
		resp, err := get(t, r.address)
		return err == nil && resp.StatusCode == http.StatusServiceUnavailable
	})
	close(release)
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("response %v, %v", resp, err)
	}
	r.cancel()
	if err := <-r.ended; err != context.Canceled {
		t.Error(err)
	}
}
