package prepared

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
)

// Host serves a runner at one address, over any number of starts. It is safe
// for concurrent use.
type Host struct {
	Runner *Runner

	mu      sync.Mutex
	address string
	current *incarnation // nil: not running
	handler http.Handler
	version int // of the weights
}

// incarnation is a runner from a start to the next crash.
type incarnation struct {
	server   http.Server
	listener net.Listener
	stop     context.CancelFunc // of the context of all requests
	conns    map[net.Conn]bool
	crashed  bool
}

// NewHost starts a runner at an address, with version 1 of the weights. A port of the
// system's choice may be taken by an outgoing connection while the runner is down.
func NewHost(r *Runner, address string) (*Host, error) {
	h := &Host{Runner: r, address: address, handler: r, version: 1}
	return h, h.Start()
}

// Address returns the runner's IP:port. It stays the same over all starts.
func (h *Host) Address() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.address
}

// Running reports whether the runner has been started and has not crashed since.
func (h *Host) Running() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current != nil
}

// Start starts the runner again after a crash. It does nothing if it is running.
func (h *Host) Start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current != nil {
		return nil
	}
	l, err := net.Listen("tcp", h.address)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	i := &incarnation{listener: l, stop: stop, conns: map[net.Conn]bool{}}
	i.server = http.Server{
		Handler:     h,
		BaseContext: func(net.Listener) context.Context { return ctx },
		ConnState:   func(c net.Conn, state http.ConnState) { h.track(i, c, state) },
	}
	h.address, h.current = l.Addr().String(), i
	go i.server.Serve(l)
	return nil
}

func (h *Host) track(i *incarnation, c net.Conn, state http.ConnState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case state == http.StateClosed:
		delete(i.conns, c)
	case state == http.StateNew && i.crashed:
		c.Close() // accepted while the runner crashed
	case state == http.StateNew:
		i.conns[c] = true
	}
}

// Crash resets all connections, hijacked ones included, and refuses new ones
// until Start.
func (h *Host) Crash() {
	h.mu.Lock()
	i := h.current
	if i == nil {
		h.mu.Unlock()
		return
	}
	h.current, i.crashed = nil, true
	i.listener.Close()
	for c := range i.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only on a closed connection
		}
		c.Close()
	}
	h.mu.Unlock()
	i.server.Close()
	i.stop() // after the connections, so that no handler ends a response
	h.Runner.dropCache()
}

// SetHandler replaces the handler of requests. nil: the runner.
func (h *Host) SetHandler(handler http.Handler) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if handler == nil {
		handler = h.Runner
	}
	h.handler = handler
}

// SetVersion changes the version of the weights. Requests that expect another one
// get 421.
func (h *Host) SetVersion(version int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version = version
}

// Version returns the version of the weights.
func (h *Host) Version() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version
}

// ServeHTTP executes a request, or rejects it with 421 if it expects another
// version of the weights.
func (h *Host) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h.mu.Lock()
	handler, version := h.handler, strconv.Itoa(h.version)
	h.mu.Unlock()
	instance := req.Header.Get("X-Expected-Instance")
	if want := req.Header.Get("X-Expected-Version"); want != "" && want != version && (instance == "" || instance == h.Runner.ID) {
		w.Header().Set("X-Attempt-Id", req.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Instance-Id", h.Runner.ID)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Weight-Versions", version)
	handler.ServeHTTP(w, req)
}
