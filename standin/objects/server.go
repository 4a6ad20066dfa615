package objects

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
)

const (
	maxValueBytes  = 1 << 20
	watchKeepAlive = time.Second
	eraHeader      = "Platform-Era"
)

// Faults are the injected faults of the server, set by PUT /faults. The random
// ones are drawn from the seed of the server.
type Faults struct {
	Down          bool    `json:"down"`            // all calls fail with 503
	DelayMs       int     `json:"delay_ms"`        // delay added to every call
	LoseResponse  float64 `json:"lose_answer"`     // fraction of writes that take effect and return 503
	LoseWrite     float64 `json:"lose_write"`      // fraction of writes that return 503 without effect
	LateWrite     float64 `json:"late_write"`      // fraction of writes that return 503 and take effect later
	LateMs        int     `json:"late_ms"`         // how long a write that is done late is delayed
	SilentWatch   bool    `json:"silent_watch"`    // watches stay open and send nothing
	InstanceLagMs int     `json:"instance_lag_ms"` // age of the instance list that is returned
}

// Rates are the limits on calls per second, set by PUT /rates. Calls above them
// get 429. 0 means no limit.
type Rates struct {
	Writes float64 `json:"writes"`
	Reads  float64 `json:"reads"` // includes watches
}

// Counts are the calls received since the start.
type Counts struct {
	Reads       int64 `json:"reads"`
	Writes      int64 `json:"writes"`
	Watches     int64 `json:"watches"`
	RateLimited int64 `json:"refused"` // rejected by the rate limits; also counted above
}

// instanceList is the instance list that is valid from a point in time.
type instanceList struct {
	since     time.Time
	instances []platform.Instance
}

// Server serves a Store over HTTP.
type Server struct {
	store *Store

	mu        sync.Mutex
	rng       *rand.Rand
	faults    Faults
	counts    Counts
	instances []instanceList // oldest first
	writes    *rate.Limiter
	reads     *rate.Limiter
	copied    Copy // what PUT /restore returns to

	// restoring is held for reading by each call, so that the era in its response
	// is that in which it took effect.
	restoring sync.RWMutex
}

// NewServer returns a server of an empty store. The seed determines its random
// faults.
func NewServer(seed uint64) *Server {
	store := NewStore()
	return &Server{
		store:     store,
		copied:    store.Copy(),
		rng:       rand.New(rand.NewPCG(seed, seed)),
		instances: []instanceList{{instances: []platform.Instance{}}},
		writes:    rate.NewLimiter(rate.Inf, 0),
		reads:     rate.NewLimiter(rate.Inf, 0),
	}
}

// Handler returns the object API and the control calls of tests.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/records", s.withFaults(s.inEra(s.list)))
	mux.HandleFunc("GET /v1/records/{key...}", s.withFaults(s.inEra(s.get)))
	mux.HandleFunc("PUT /v1/records/{key...}", s.withFaults(s.inEra(s.put)))
	mux.HandleFunc("DELETE /v1/records/{key...}", s.withFaults(s.inEra(s.delete)))
	mux.HandleFunc("GET /v1/watch", s.withFaults(s.watch))
	mux.HandleFunc("GET /v1/instances", s.withFaults(s.getInstances))
	mux.HandleFunc("PUT /instances", s.putInstances)
	mux.HandleFunc("PUT /faults", s.putFaults)
	mux.HandleFunc("PUT /rates", s.putRates)
	mux.HandleFunc("PUT /copy", s.putCopy)
	mux.HandleFunc("PUT /restore", s.putRestore)
	mux.HandleFunc("GET /history", s.getHistory)
	mux.HandleFunc("GET /counts", s.getCounts)
	return mux
}

// withFaults counts each call and applies rate limits and faults before next.
func (s *Server) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		write := r.Method == http.MethodPut || r.Method == http.MethodDelete
		f, ok := s.countCall(r, write)
		s.setEra(w)
		if !ok {
			http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
			return
		}
		time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
		if f.Down {
			http.Error(w, "injected fault: service unavailable", http.StatusServiceUnavailable)
			return
		}
		if write && s.failWrite(f, next, r) {
			http.Error(w, "injected fault: response lost", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

// inEra makes next run in one era. It rejects a write that requires another era.
func (s *Server) inEra(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.restoring.RLock()
		defer s.restoring.RUnlock()
		s.setEra(w)
		required := r.Header.Get(eraHeader)
		if required != "" && required != formatEra(s.store.Era()) {
			writeError(w, platform.ErrConflict)
			return
		}
		next(w, r)
	}
}

func (s *Server) setEra(w http.ResponseWriter) { w.Header().Set(eraHeader, formatEra(s.store.Era())) }

func formatEra(era int64) string { return strconv.FormatInt(era, 10) }

// failWrite applies the faults of writes. It reports whether the response is
// lost.
func (s *Server) failWrite(f Faults, next http.HandlerFunc, r *http.Request) bool {
	switch {
	case s.chance(f.LoseWrite):
		return true
	case s.chance(f.LoseResponse):
		next(discardWriter{}, r)
		return true
	case s.chance(f.LateWrite):
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return true
		}
		late := r.Clone(context.WithoutCancel(r.Context()))
		late.Body = io.NopCloser(bytes.NewReader(body))
		time.AfterFunc(time.Duration(f.LateMs)*time.Millisecond, func() { next(discardWriter{}, late) })
		return true
	}
	return false
}

// countCall counts the call. It returns the current faults and reports whether
// the rate limits allow the call.
func (s *Server) countCall(r *http.Request, write bool) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limiter := s.reads
	switch {
	case r.URL.Path == "/v1/watch":
		s.counts.Watches++
	case write:
		s.counts.Writes++
		limiter = s.writes
	default:
		s.counts.Reads++
	}
	ok := limiter.Allow()
	if !ok {
		s.counts.RateLimited++
	}
	return s.faults, ok
}

// chance returns true with the given probability.
func (s *Server) chance(probability float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return probability > 0 && s.rng.Float64() < probability
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
		http.Error(w, "value exceeds the size limit", http.StatusRequestEntityTooLarge)
		return
	}
	version, ok := precondition(r)
	if !ok {
		http.Error(w, "If-Match or If-None-Match is required", http.StatusPreconditionRequired)
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
	version, ok := precondition(r)
	if !ok {
		http.Error(w, "If-Match or If-None-Match is required", http.StatusPreconditionRequired)
		return
	}
	if err := s.store.Delete(r.PathValue("key"), version); err != nil {
		writeError(w, err)
	}
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "query parameter from is not a version", http.StatusBadRequest)
		return
	}
	era := s.store.Era()
	w.Header().Set(eraHeader, formatEra(era))
	enc := json.NewEncoder(w)
	for first := true; ; first = false {
		events, version, changed, err := s.store.EventsSince(r.URL.Query().Get("prefix"), from)
		if err != nil && first {
			writeError(w, err)
		}
		if err != nil || s.isDown() || s.store.Era() != era {
			return
		}
		if s.isSilent() {
			<-r.Context().Done()
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

func (s *Server) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.SilentWatch
}

// getInstances returns the instance list as it was InstanceLagMs ago.
func (s *Server) getInstances(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now().Add(-time.Duration(s.faults.InstanceLagMs) * time.Millisecond)
	list := s.instances[0]
	for _, l := range s.instances {
		if !l.since.After(at) {
			list = l
		}
	}
	writeJSON(w, list.instances)
}

// precondition returns the version that a write expects, 0 if the object must
// not exist, and whether the request states one.
func precondition(r *http.Request) (int64, bool) {
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
	case errors.Is(err, platform.ErrVersionTooOld):
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

// discardWriter is a ResponseWriter for lost responses.
type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (discardWriter) WriteHeader(int)             {}
