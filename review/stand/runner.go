package stand

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the interval at which runners write their entries; the store removes an
// entry after three of them without a write.
const heartbeat = 1200 * time.Millisecond

// Arrival is a request that reached a runner and was not answered with 421.
type Arrival struct {
	At      time.Time
	Attempt string
	Path    string
	Body    string
	Parts   string // of the prompt
	Cold    bool
}

// Runner is a stand-in for one runner. Its exported fields are set before Start.
type Runner struct {
	ID, Service, Zone string
	Slots, Queue      int
	Work              time.Duration // of a plain request
	Events            int           // of a stream
	EventGap          time.Duration
	ColdFor           time.Duration // how long it is cold after a restart
	Version           atomic.Int64  // of the weights
	// Crashes, if set, is asked for each request that begins to run and for each arrival
	// while cold; true: the runner crashes.
	Crashes func(r *Runner, a Arrival, runs bool) bool
	// CrashesInAnswer, if set, is asked after the first event of a stream; true: the
	// runner crashes then.
	CrashesInAnswer func(r *Runner, a Arrival) bool
	// Fails, if set, is asked at the end of a plain request that has run; another status
	// than 0 is the answer then.
	Fails func(r *Runner, a Arrival) int
	Store *Store
	Log   *Record

	mu       sync.Mutex
	address  string
	born     int64
	sequence int
	cold     time.Time // until then
	up       bool
	stop     context.CancelFunc
	listener net.Listener
	conns    map[net.Conn]bool
	busy     chan struct{}
	arrivals []Arrival
	runs     map[string]int // by attempt
	starts   int
}

// Start starts the runner, cold if cold is set. A runner that starts again keeps its
// address.
func (r *Runner) Start(cold bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	address := r.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	r.address, r.listener, r.up = l.Addr().String(), l, true
	r.conns, r.busy = map[net.Conn]bool{}, make(chan struct{}, r.Slots)
	if r.runs == nil {
		r.runs = map[string]int{}
	}
	r.starts++
	r.born, r.sequence, r.cold = time.Now().UnixMilli(), 0, time.Time{}
	if cold {
		r.cold = time.Now().Add(r.ColdFor)
	}
	var ctx context.Context
	ctx, r.stop = context.WithCancel(context.Background())
	server := &http.Server{Handler: r, BaseContext: func(net.Listener) context.Context { return ctx }, ConnState: r.connState}
	go server.Serve(l)
	r.write()
	go r.beat(ctx)
	r.Log.Printf("runner %s starts at %s, born %d, cold for %d ms", r.ID, r.address, r.born, r.coldLeft().Milliseconds())
	return nil
}

// StartAs starts the runner again under another id; the entry of the old one goes.
func (r *Runner) StartAs(id string, cold bool) error {
	r.mu.Lock()
	r.Store.Delete("servers", r.ID)
	r.ID = id
	r.mu.Unlock()
	return r.Start(cold)
}

func (r *Runner) connState(c net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch state {
	case http.StateNew:
		r.conns[c] = true
	case http.StateClosed:
		delete(r.conns, c)
	}
}

// coldLeft returns how much longer the runner is cold. The caller holds the lock.
func (r *Runner) coldLeft() time.Duration { return max(0, time.Until(r.cold)) }

// write writes the runner's entry. The caller holds the lock.
func (r *Runner) write() {
	r.sequence++
	r.Store.Put("servers", r.ID, map[string]any{"service": r.Service, "address": r.address, "zone": r.Zone, "version": "v1", "slots": r.Slots,
		"state": "ready", wire.ColdRemaining: r.coldLeft().Milliseconds(), "sequence": r.sequence, "born": r.born})
}

func (r *Runner) beat(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
			r.mu.Lock()
			if ctx.Err() == nil {
				r.write()
			}
			r.mu.Unlock()
		}
	}
}

// Crash ends the runner as a crash does: its listener goes and its connections are
// reset. Its entry is removed after three heartbeat intervals unless it is back.
func (r *Runner) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return
	}
	r.up = false
	r.stop()
	r.listener.Close()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
	r.Log.Printf("runner %s crashes with %d connections open", r.ID, len(r.conns))
	born := r.born
	time.AfterFunc(3*heartbeat, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.born == born {
			r.Store.Delete("servers", r.ID)
		}
	})
}

// Ran reports whether an attempt began to run here.
func (r *Runner) Ran(attempt string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[attempt] > 0
}

// Arrivals returns the requests that reached the runner, over all its incarnations.
func (r *Runner) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Arrival(nil), r.arrivals...)
}

// ServeHTTP runs a request: a stream if it names a model, otherwise a plain one.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	attempt := req.Header.Get(wire.AttemptHeader)
	w.Header().Set(wire.AttemptHeader, attempt)
	if want := req.Header.Get(wire.ExpectedInstanceHeader); want != "" && want != r.ID {
		w.Header().Set("X-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if want := req.Header.Get("X-Expected-Version"); want != "" && want != strconv.FormatInt(r.Version.Load(), 10) {
		w.Header().Set("X-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	a := Arrival{At: time.Now(), Attempt: attempt, Path: req.URL.Path, Body: string(body), Parts: req.Header.Get(wire.PrefixHeader), Cold: r.coldLeft() > 0}
	r.arrivals = append(r.arrivals, a)
	busy := r.busy
	full := len(busy) >= r.Slots+r.Queue
	r.mu.Unlock()
	if r.Crashes != nil && r.Crashes(r, a, false) {
		r.Crash()
		panic(http.ErrAbortHandler)
	}
	if full {
		w.Header().Set(wire.NotExecutedHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case busy <- struct{}{}:
		defer func() { <-busy }()
	case <-req.Context().Done():
		return
	}
	r.mu.Lock()
	r.runs[attempt]++
	r.mu.Unlock()
	if r.Crashes != nil && r.Crashes(r, a, true) {
		r.Crash()
		panic(http.ErrAbortHandler)
	}
	r.run(w, req, a)
}

func (r *Runner) run(w http.ResponseWriter, req *http.Request, a Arrival) {
	w.Header().Set(wire.SealHeader, "seal."+r.ID+"."+a.Attempt)
	if req.Header.Get("X-Model") == "" {
		if !wait(req.Context(), r.Work) {
			return
		}
		r.Log.Printf("runner %s has run %s", r.ID, a.Attempt)
		if r.Fails != nil {
			if status := r.Fails(r, a); status != 0 {
				w.WriteHeader(status)
				return
			}
		}
		io.WriteString(w, strings.Repeat("x", 800))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", strconv.FormatInt(r.Version.Load(), 10))
	for id := 1; id <= r.Events; id++ {
		if !wait(req.Context(), r.EventGap) {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s %d/%d\n\n", id, a.Attempt, id, r.Events)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		if id == 1 && r.CrashesInAnswer != nil && r.CrashesInAnswer(r, a) {
			r.Crash()
			panic(http.ErrAbortHandler)
		}
	}
}

// wait waits for d; false: the context ended first.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
