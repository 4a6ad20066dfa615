// Package orders is a stand-in for an order runner. It counts every
// execution by key, answers look-ups and can check fencing numbers. It is
// for tests and demos only.
package orders

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The header fields between a router and an order runner.
const (
	KeyHeader   = "Idempotency-Key"
	FenceHeader = "Fencing-Number"
)

// Options say how a runner behaves.
type Options struct {
	Delay      time.Duration // time one order takes
	CheckFence bool          // refuse orders with an old fencing number
}

// Faults are what the runner does wrong, set by PUT /faults.
type Faults struct {
	LoseAnswer bool `json:"lose_answer"` // execute, then break the connection
	Refuse     bool `json:"refuse"`      // answer 503 without executing
	Silent     bool `json:"silent"`      // execute, then never answer
}

// Receipt is the answer to an executed order.
type Receipt struct {
	Key     string `json:"key"`
	Receipt string `json:"receipt"`
	Bytes   int    `json:"bytes"` // size of the order's body
}

// Server is one order runner.
type Server struct {
	name string
	opts Options

	mu     sync.Mutex
	counts map[string]int
	done   map[string]Receipt
	fence  map[string]int64
	faults Faults
}

// NewServer returns a runner with the given name.
func NewServer(name string, opts Options) *Server {
	return &Server{
		name:   name,
		opts:   opts,
		counts: map[string]int{},
		done:   map[string]Receipt{},
		fence:  map[string]int64{},
	}
}

// Handler returns the runner's API: POST of an order to any path, GET
// /executions/{key} to look one up, GET /counts for the tests' oracle.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /executions/{key}", s.lookUp)
	mux.HandleFunc("GET /counts", s.getCounts)
	mux.HandleFunc("PUT /faults", s.putFaults)
	mux.HandleFunc("POST /", s.run)
	return mux
}

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := r.Header.Get(KeyHeader)
	fence, _ := strconv.ParseInt(r.Header.Get(FenceHeader), 10, 64)
	s.mu.Lock()
	faults := s.faults
	stale := s.opts.CheckFence && fence < s.fence[key]
	s.mu.Unlock()
	if faults.Refuse {
		http.Error(w, "not executed", http.StatusServiceUnavailable)
		return
	}
	if stale {
		http.Error(w, "old fencing number", http.StatusPreconditionFailed)
		return
	}
	time.Sleep(s.opts.Delay)
	receipt := s.execute(key, fence, len(body))
	if faults.Silent {
		<-r.Context().Done()
		return
	}
	if faults.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(KeyHeader, key)
	writeJSON(w, receipt)
}

func (s *Server) execute(key string, fence int64, size int) Receipt {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[key]++
	s.fence[key] = max(fence, s.fence[key])
	receipt := Receipt{Key: key, Receipt: fmt.Sprintf("%s-%d", s.name, len(s.done)+1), Bytes: size}
	s.done[key] = receipt
	return receipt
}

func (s *Server) lookUp(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	s.mu.Lock()
	defer s.mu.Unlock()
	receipt, ok := s.done[key]
	if !ok {
		http.Error(w, "never executed", http.StatusNotFound)
		return
	}
	w.Header().Set(KeyHeader, key)
	writeJSON(w, receipt)
}

func (s *Server) getCounts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.counts)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
