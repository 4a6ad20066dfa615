package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/relay"
	"github.com/cyclamenwinch/cyclamenwinch/internal/upstream"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Relay")
}

// testProtocol is a relay.Protocol with header fields for tests. beforeSend, if
// set, is called when a request to an endpoint has been built.
type testProtocol struct{ beforeSend func(endpoint string) }

func (testProtocol) ReadRequest(h http.Header) relay.RequestMeta {
	m := relay.RequestMeta{ID: h.Get("Test-Id"), APIKey: h.Get("Test-Key"), LastEventID: h.Get("Test-Resume"),
		Weights: dispatch.Weights{Model: "m", Version: h.Get("Test-Version")}}
	ms, _ := strconv.Atoi(h.Get("Test-Wait"))
	m.Timeout = time.Duration(ms) * time.Millisecond
	for _, id := range strings.Fields(h.Get("Test-Parts")) {
		n, _ := strconv.ParseUint(id, 10, 64)
		m.Parts = append(m.Parts, dispatch.PromptPart{ID: n, Tokens: 100})
		m.PromptTokens += 100
	}
	h.Del("Test-Key")
	return m
}

func (p testProtocol) WriteRequest(h http.Header, f relay.ForwardMeta) {
	if p.beforeSend != nil {
		p.beforeSend(f.Endpoint)
	}
	h.Set("Test-Endpoint", f.Endpoint)
	h.Set("Test-Account", f.Account)
	h.Set("Test-Left", strconv.FormatInt(f.Remaining.Milliseconds(), 10))
	if f.LastEventID != "" {
		h.Set("Test-Resume", f.LastEventID)
	}
}

func (testProtocol) ReadResponse(_ int, h http.Header) relay.ResponseMeta {
	pause, _ := time.ParseDuration(h.Get("Test-Pause"))
	return relay.ResponseMeta{ID: h.Get("Test-Id"), NotRun: h.Get("Test-Not-Run") != "",
		Endpoint: h.Get("Test-From"), Weights: h.Get("Test-Weights"), Leaving: h.Get("Test-Leaving") != "", Pause: pause}
}

// receivedRequest is a request as an endpoint received it.
type receivedRequest struct {
	method, uri, body string
	header            http.Header
}

// fakeEndpoint is an endpoint whose raw responses come from a script function.
type fakeEndpoint struct {
	listener     net.Listener
	accepted     atomic.Int64 // connections
	mu           sync.Mutex
	received     []receivedRequest
	disconnected chan string // IDs of requests whose connection was closed by the router
}

// reply is what a fakeEndpoint writes. close ends the connection afterwards; hang
// keeps it open, without writing more, until the router closes it. repeat is
// written again and again, each time after pause, until the router closes it or, if
// times is set, that often. rest is written once, after pause.
type reply struct {
	raw         string
	close, hang bool
	repeat      string
	times       int
	rest        string
	pause       time.Duration
}

func newFakeEndpoint(script func(n int, s receivedRequest) reply) *fakeEndpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { l.Close() })
	f := &fakeEndpoint{listener: l, disconnected: make(chan string, 10)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			f.accepted.Add(1)
			go f.serve(c, script)
		}
	}()
	return f
}

func (f *fakeEndpoint) serve(c net.Conn, script func(n int, s receivedRequest) reply) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		s := receivedRequest{method: req.Method, uri: req.RequestURI, body: string(body), header: req.Header}
		f.mu.Lock()
		f.received = append(f.received, s)
		n := len(f.received)
		f.mu.Unlock()
		rep := script(n, s)
		io.WriteString(c, rep.raw)
		if rep.rest != "" {
			time.Sleep(rep.pause)
			io.WriteString(c, rep.rest)
		}
		for i := 0; rep.repeat != "" && (rep.times == 0 || i < rep.times); i++ {
			if _, err := io.WriteString(c, rep.repeat); err != nil {
				f.disconnected <- req.Header.Get("Test-Id")
				return
			}
			time.Sleep(rep.pause)
		}
		if rep.hang {
			io.Copy(io.Discard, r)
			f.disconnected <- req.Header.Get("Test-Id")
			return
		}
		if rep.close {
			return
		}
	}
}

func (f *fakeEndpoint) requests() []receivedRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]receivedRequest(nil), f.received...)
}

// response returns a complete response to a request.
func response(s receivedRequest, status int, body string, header ...string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nTest-Id: %s\r\nSeal: ok\r\n%sContent-Length: %d\r\n\r\n%s",
		status, s.header.Get("Test-Id"), strings.Join(header, ""), len(body), body)
}

// chunk encodes one chunk of a chunked body.
func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func streamHead(s receivedRequest) string {
	return "HTTP/1.1 200 OK\r\nTest-Id: " + s.header.Get("Test-Id") + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

// newServer starts a relay in front of the given endpoints. Host, path prefix,
// targets and a default timeout are added to the route.
func newServer(route topology.Route, endpoints ...*fakeEndpoint) (*httptest.Server, *relay.Relay) {
	return newServerWithOptions(relay.Options{}, route, endpoints...)
}

// newServerWithOptions is newServer with options for the relay. Dispatcher and
// Pool are set here.
func newServerWithOptions(opts relay.Options, route topology.Route, endpoints ...*fakeEndpoint) (*httptest.Server, *relay.Relay) {
	server, h, _ := newServerWithDispatcher(opts, route, endpoints...)
	return server, h
}

// newServerWithDispatcher is newServerWithOptions that returns the dispatcher too.
func newServerWithDispatcher(opts relay.Options, route topology.Route, endpoints ...*fakeEndpoint) (*httptest.Server, *relay.Relay, *relay.SharedDispatcher) {
	inner := dispatch.New(dispatch.Options{Self: "r", Zone: "z", RetryRatio: 1, RetrySlack: 100, RetryWindow: 10 * time.Second})
	route.Host, route.Prefix = "127.0.0.1", "/p/"
	route.Targets = []topology.Target{{Service: "s", Weight: 1}}
	if route.Timeout == 0 {
		route.Timeout = 5 * time.Second
	}
	table := topology.NewTable(topology.Config{
		Version: 1, HasAccounts: true, Routes: []topology.Route{route}, Services: []topology.Service{{Name: "s"}},
		Accounts: []topology.Account{{Name: "acc", Keys: []string{"key"}}},
	})
	inner.SetTable(table)
	inner.SetEndpoints(time.Now(), declared(endpoints...))
	dispatcher := relay.NewSharedDispatcher(inner)
	if opts.Log == nil {
		opts.Log = oplog.New(io.Discard)
	}
	if opts.Protocol == nil {
		opts.Protocol = testProtocol{}
	}
	opts.Dispatcher, opts.Pool = dispatcher, upstream.NewPool()
	h := relay.New(opts)
	h.SetTable(table)
	ctx, stop := context.WithCancel(context.Background())
	go dispatcher.Serve(ctx)
	server := httptest.NewUnstartedServer(h)
	server.Config.ConnContext = h.ConnContext
	server.Start()
	DeferCleanup(func() { server.CloseClientConnections(); server.Close(); stop() })
	return server, h, dispatcher
}

// declared returns the endpoints as the platform declares them, with the IDs e0, e1
// and so on.
func declared(endpoints ...*fakeEndpoint) (out []topology.Endpoint) {
	for i, f := range endpoints {
		out = append(out, topology.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Address: f.listener.Addr().String(), Zone: "z", Slots: 4})
	}
	return out
}

// send sends a request with a default ID and API key.
func send(server *httptest.Server, method, path, body string, header ...string) (*http.Response, string, error) {
	req, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Test-Id", "id-1")
	req.Header.Set("Test-Key", "key")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

var _ = Describe("Requests that crash endpoints", func() {
	It("are refused after two crashes, whatever their request ID", func() {
		crash := func(int, receivedRequest) reply { return reply{close: true} }
		a, b, c := newFakeEndpoint(crash), newFakeEndpoint(crash), newFakeEndpoint(crash)
		server, _ := newServer(topology.Route{Kind: topology.Idempotent, MaxAttempts: 2}, a, b, c)
		reached := func() int { return len(a.requests()) + len(b.requests()) + len(c.requests()) }
		resp, _, err := send(server, "POST", "/p/x", "poison", "Test-Id", "first")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(reached()).To(Equal(2))
		resp, _, err = send(server, "POST", "/p/x", "poison", "Test-Id", "again")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(reached()).To(Equal(2))

		By("forwarding a request with another body")
		_, _, err = send(server, "POST", "/p/x", "harmless", "Test-Id", "other")
		Expect(err).NotTo(HaveOccurred())
		Expect(reached()).To(BeNumerically(">", 2))
	})
})

var _ = Describe("An overloaded router", func() {
	It("refuses new requests at once and accepts them again after the overload", func() {
		f := newFakeEndpoint(func(_ int, s receivedRequest) reply { return reply{raw: response(s, 200, "ok")} })
		var lag atomic.Int64
		lag.Store(int64(time.Second))
		server, _ := newServerWithOptions(relay.Options{MaxLag: time.Millisecond, Lag: func() time.Duration { return time.Duration(lag.Load()) }},
			topology.Route{Kind: topology.Idempotent, MaxAttempts: 1}, f)
		resp, _, err := send(server, "GET", "/p/x", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusTooManyRequests))
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(resp.Close).To(BeTrue(), "the client has to retry on a new connection")
		Expect(f.requests()).To(BeEmpty())
		lag.Store(0)
		resp, _, err = send(server, "GET", "/p/x", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
	})
})
