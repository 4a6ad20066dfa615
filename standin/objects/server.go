package objects

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
)

const (
	maxValueBytes  = 1 << 20
	watchKeepAlive = time.Second
)

// Faults are what the stand-in does wrong, set by PUT /faults.
type Faults struct {
	Down       bool    `json:"down"`        // every call fails with 503
	DelayMs    int     `json:"delay_ms"`    // added to every call
	LoseAnswer float64 `json:"lose_answer"` // part of writes that take effect and answer 503
}

// Counts are the calls served since the start.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// Server serves a Store over HTTP.
type Server struct {
	store *Store

	mu        sync.Mutex
	rng       *rand.Rand
	faults    Faults
	counts    Counts
	instances []platform.Instance
}

// NewServer returns a server of an empty store; seed drives its faults.
func NewServer(seed uint64) *Server {
	return &Server{
		store:     NewStore(),
		rng:       rand.New(rand.NewPCG(seed, seed)),
		instances: []platform.Instance{},
	}
}

// Handler returns the API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects", s.guard(s.list))
	mux.HandleFunc("GET /v1/objects/{key...}", s.guard(s.get))
	mux.HandleFunc("PUT /v1/objects/{key...}", s.guard(s.put))
	mux.HandleFunc("DELETE /v1/objects/{key...}", s.guard(s.delete))
	mux.HandleFunc("GET /v1/watch", s.guard(s.watch))
	mux.HandleFunc("GET /v1/instances", s.guard(s.getInstances))
	mux.HandleFunc("PUT /instances", s.putInstances)
	mux.HandleFunc("PUT /faults", s.putFaults)
	mux.HandleFunc("GET /counts", s.getCounts)
	return mux
}

// guard counts the call and applies the faults.
func (s *Server) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.count(r)
		time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
		if f.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		write := r.Method == http.MethodPut || r.Method == http.MethodDelete
		if write && s.lose(f) {
			next(discard{}, r)
			http.Error(w, "answer lost", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

func (s *Server) count(r *http.Request) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.URL.Path == "/v1/watch":
		s.counts.Watches++
	case r.Method == http.MethodGet:
		s.counts.Reads++
	default:
		s.counts.Writes++
	}
	return s.faults
}

func (s *Server) lose(f Faults) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return f.LoseAnswer > 0 && s.rng.Float64() < f.LoseAnswer
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, s.store.List(r.URL.Query().Get("prefix")))
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	o, ok := s.store.Get(r.PathValue("key"))
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", quote(o.Version))
	w.Write(o.Value)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, "too large", http.StatusRequestEntityTooLarge)
		return
	}
	version, ok := condition(r)
	if !ok {
		http.Error(w, "a condition is needed", http.StatusPreconditionRequired)
		return
	}
	version, err = s.store.Put(r.PathValue("key"), value, version)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", quote(version))
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	version, ok := condition(r)
	if !ok {
		http.Error(w, "a condition is needed", http.StatusPreconditionRequired)
		return
	}
	if err := s.store.Delete(r.PathValue("key"), version); err != nil {
		writeError(w, err)
	}
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is no version", http.StatusBadRequest)
		return
	}
	enc := json.NewEncoder(w)
	for first := true; ; first = false {
		events, version, changed, err := s.store.Since(r.URL.Query().Get("prefix"), from)
		if err != nil && first {
			writeError(w, err)
		}
		if err != nil || s.isDown() {
			return
		}
		for _, e := range events {
			enc.Encode(e)
		}
		if len(events) == 0 {
			enc.Encode(platform.Event{})
		}
		from = version
		http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(watchKeepAlive):
		}
	}
}

func (s *Server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down
}

func (s *Server) getInstances(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.instances)
}

func (s *Server) putInstances(w http.ResponseWriter, r *http.Request) {
	var instances []platform.Instance
	if err := json.NewDecoder(r.Body).Decode(&instances); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = instances
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

func (s *Server) getCounts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.counts)
}

func condition(r *http.Request) (int64, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, true
	}
	version, err := strconv.ParseInt(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	return version, err == nil && version > 0
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, platform.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, platform.ErrConflict):
		status = http.StatusPreconditionFailed
	case errors.Is(err, platform.ErrGone):
		status = http.StatusGone
	}
	http.Error(w, err.Error(), status)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

func quote(version int64) string {
	return strconv.Quote(strconv.FormatInt(version, 10))
}

// discard is a ResponseWriter for answers that get lost.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}
