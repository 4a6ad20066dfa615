// Package orders is a stand-in for an order runner. It counts the executions
// of each key, serves lookups and can check fencing numbers. It is for tests
// and demos only.
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

// Header fields between a router and an order runner.
const (
	IdempotencyKeyHeader = "Idempotency-Key"
	FencingNumberHeader  = "Fencing-Number"
)

// Options configure a runner.
type Options struct {
	Delay      time.Duration // execution time of an order
	CheckFence bool          // reject orders whose fencing number is below the highest one seen
}

// Faults are the injected faults of a runner, set by PUT /faults.
type Faults struct {
	LoseResponse bool `json:"lose_answer"` // execute, then close the connection without a response
	Refuse       bool `json:"refuse"`      // respond with 503 without executing
	Silent       bool `json:"silent"`      // execute, then never respond
}

// Receipt is the response to an executed order.
type Receipt struct {
	Key     string `json:"key"`
	Receipt string `json:"receipt"`
	Bytes   int    `json:"bytes"` // size of the order's body
}

// Server is one order runner.
type Server struct {
	name string
	opts Options

	mu         sync.Mutex
	executions map[string]int     // completed executions by key
	accepted   map[string]int     // accepted executions by key
	receipts   map[string]Receipt // receipts of completed executions by key
	fences     map[string]int64   // highest fencing number seen by key
	refused    int                // orders rejected for an old fencing number
	faults     Faults
}

// Stats are the counts that the runner keeps itself, as ground truth for tests.
type Stats struct {
	Keys     int `json:"keys"`       // distinct keys executed
	Executed int `json:"executed"`   // executions of all keys
	MaxByKey int `json:"max_by_key"` // highest number of executions of one key
	Refused  int `json:"refused"`    // orders rejected for an old fencing number
}

// NewServer returns a runner with the given name.
func NewServer(name string, opts Options) *Server {
	return &Server{
		name:       name,
		opts:       opts,
		executions: map[string]int{},
		accepted:   map[string]int{},
		receipts:   map[string]Receipt{},
		fences:     map[string]int64{},
	}
}

// Handler returns the runner's API: POST to any path executes an order, GET
// /executions/{key} looks a key up, PUT /fences/{key} raises the fencing number
// of a key and looks the key up in one step. GET /counts and GET /stats let
// tests verify the executions.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /executions/{key}", s.lookUp)
	mux.HandleFunc("PUT /fences/{key}", s.raiseFence)
	mux.HandleFunc("GET /counts", s.getCounts)
	mux.HandleFunc("GET /stats", s.getStats)
	mux.HandleFunc("PUT /faults", s.putFaults)
	mux.HandleFunc("POST /", s.postOrder)
	return mux
}

func (s *Server) postOrder(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := r.Header.Get(IdempotencyKeyHeader)
	fence, _ := strconv.ParseInt(r.Header.Get(FencingNumberHeader), 10, 64)
	faults := s.currentFaults()
	if faults.Refuse {
		http.Error(w, "order not executed: injected fault", http.StatusServiceUnavailable)
		return
	}
	if !s.accept(key, fence) {
		http.Error(w, "fencing number is below the highest one seen for the key", http.StatusPreconditionFailed)
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

// accept checks the fencing number and counts the order as accepted, in one
// step: once raiseFence has found no accepted order for a key, none with a
// lower fencing number is executed.
func (s *Server) accept(key string, fence int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.CheckFence && fence < s.fences[key] {
		s.refused++
		return false
	}
	s.fences[key] = max(fence, s.fences[key])
	s.accepted[key]++
	return true
}

func (s *Server) execute(key string, size int) Receipt {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[key]++
	receipt := Receipt{Key: key, Receipt: fmt.Sprintf("%s-%d", s.name, len(s.receipts)+1), Bytes: size}
	s.receipts[key] = receipt
	return receipt
}

func (s *Server) lookUp(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeReceipt(w, r.PathValue("key"))
}

// raiseFence raises the fencing number of a key and responds as a lookup does.
func (s *Server) raiseFence(w http.ResponseWriter, r *http.Request) {
	fence, err := strconv.ParseInt(r.Header.Get(FencingNumberHeader), 10, 64)
	if err != nil || !s.opts.CheckFence {
		http.Error(w, "the fencing number is missing or invalid, or the runner does not check fencing numbers", http.StatusBadRequest)
		return
	}
	key := r.PathValue("key")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fences[key] = max(fence, s.fences[key])
	s.writeReceipt(w, key)
}

// writeReceipt responds with the receipt of a key, with 202 while the order is
// being executed, or with 404 if no order was accepted. The caller holds mu.
func (s *Server) writeReceipt(w http.ResponseWriter, key string) {
	receipt, ok := s.receipts[key]
	switch {
	case ok:
		w.Header().Set(IdempotencyKeyHeader, key)
		writeJSON(w, receipt)
	case s.accepted[key] > 0:
		w.WriteHeader(http.StatusAccepted)
	default:
		http.Error(w, "no order with this key was accepted", http.StatusNotFound)
	}
}

func (s *Server) getStats(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := Stats{Keys: len(s.executions), Refused: s.refused}
	for _, n := range s.executions {
		stats.Executed += n
		stats.MaxByKey = max(stats.MaxByKey, n)
	}
	writeJSON(w, stats)
}

func (s *Server) getCounts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.executions)
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
