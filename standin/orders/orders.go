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
	IdempotencyKeyHeader = "Idempotency-Key"
	FencingNumberHeader  = "Fencing-Number"
)

// Options say how a runner behaves.
type Options struct {
	Delay      time.Duration // time one order takes
	CheckFence bool          // refuse orders with an old fencing number
}

// Faults are what the runner does wrong, set by PUT /faults.
type Faults struct {
	LoseResponse bool `json:"lose_answer"` // execute, then break the connection
	Refuse       bool `json:"refuse"`      // answer 503 without executing
	Silent       bool `json:"silent"`      // execute, then never answer
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

	mu      sync.Mutex
	counts  map[string]int     // executions by key
	begun   map[string]int     // accepted executions by key
	done    map[string]Receipt // of ended executions
	fence   map[string]int64   // highest fencing number seen by key
	refused int                // for an old fencing number
	faults  Faults
}

// Stats are the runner's own counts, for the tests' oracle.
type Stats struct {
	Keys     int `json:"keys"`       // executed keys
	Executed int `json:"executed"`   // executions
	MaxByKey int `json:"max_by_key"` // executions of the key with the most
	Refused  int `json:"refused"`    // for an old fencing number
}

// NewServer returns a runner with the given name.
func NewServer(name string, opts Options) *Server {
	return &Server{
		name:   name,
		opts:   opts,
		counts: map[string]int{},
		begun:  map[string]int{},
		done:   map[string]Receipt{},
		fence:  map[string]int64{},
	}
}

// Handler returns the runner's API: POST of an order to any path, GET
// /executions/{key} to look one up, PUT /fences/{key} to raise the key's
// fencing number and look it up in one step, GET /counts and /stats for the
// tests' oracle.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /executions/{key}", s.lookUp)
	mux.HandleFunc("PUT /fences/{key}", s.raise)
	mux.HandleFunc("GET /counts", s.getCounts)
	mux.HandleFunc("GET /stats", s.getStats)
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
	key := r.Header.Get(IdempotencyKeyHeader)
	fence, _ := strconv.ParseInt(r.Header.Get(FencingNumberHeader), 10, 64)
	faults := s.currentFaults()
	if faults.Refuse {
		http.Error(w, "not executed", http.StatusServiceUnavailable)
		return
	}
	if !s.accept(key, fence) {
		http.Error(w, "old fencing number", http.StatusPreconditionFailed)
		return
	}
	time.Sleep(s.opts.Delay)
	receipt := s.execute(key, len(body))
	if faults.Silent {
		<-r.Context().Done()
		return
	}
	if faults.LoseResponse {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(IdempotencyKeyHeader, key)
	writeJSON(w, receipt)
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// accept checks the fencing number and notes that the order will be
// executed, in one step.
func (s *Server) accept(key string, fence int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.CheckFence && fence < s.fence[key] {
		s.refused++
		return false
	}
	s.fence[key] = max(fence, s.fence[key])
	s.begun[key]++
	return true
}

func (s *Server) execute(key string, size int) Receipt {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[key]++
	receipt := Receipt{Key: key, Receipt: fmt.Sprintf("%s-%d", s.name, len(s.done)+1), Bytes: size}
	s.done[key] = receipt
	return receipt
}

func (s *Server) lookUp(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tell(w, r.PathValue("key"))
}

func (s *Server) raise(w http.ResponseWriter, r *http.Request) {
	fence, err := strconv.ParseInt(r.Header.Get(FencingNumberHeader), 10, 64)
	if err != nil || !s.opts.CheckFence {
		http.Error(w, "no fencing number, or none is checked", http.StatusBadRequest)
		return
	}
	key := r.PathValue("key")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fence[key] = max(fence, s.fence[key])
	s.tell(w, key)
}

// tell answers with the receipt of a key: 202 while the execution is under
// way, 404 if none was accepted. The caller holds mu.
func (s *Server) tell(w http.ResponseWriter, key string) {
	receipt, ok := s.done[key]
	switch {
	case ok:
		w.Header().Set(IdempotencyKeyHeader, key)
		writeJSON(w, receipt)
	case s.begun[key] > 0:
		w.WriteHeader(http.StatusAccepted)
	default:
		http.Error(w, "never executed", http.StatusNotFound)
	}
}

func (s *Server) getStats(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := Stats{Keys: len(s.counts), Refused: s.refused}
	for _, n := range s.counts {
		stats.Executed += n
		stats.MaxByKey = max(stats.MaxByKey, n)
	}
	writeJSON(w, stats)
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
