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
)

// Faults are what the stand-in does wrong, set by PUT /faults. The seed of
// the server drives the random ones.
type Faults struct {
	Down          bool    `json:"down"`            // every call fails with 503
	DelayMs       int     `json:"delay_ms"`        // added to every call
	LoseResponse  float64 `json:"lose_answer"`     // part of writes that take effect and answer 503
	LoseWrite     float64 `json:"lose_write"`      // part of writes that answer 503 without effect
	LateWrite     float64 `json:"late_write"`      // part of writes that answer 503 and take effect later
	LateMs        int     `json:"late_ms"`         // how much later
	SilentWatch   bool    `json:"silent_watch"`    // watches stay open and bring nothing
	InstanceLagMs int     `json:"instance_lag_ms"` // how old the instance list is
}

// Rates are the calls a second that the platform bears, set by PUT /rates;
// it answers 429 to more. 0 stands for any number.
type Rates struct {
	Writes float64 `json:"writes"`
	Reads  float64 `json:"reads"` // watches among them
}

// Counts are the calls served since the start.
type Counts struct {
	Reads       int64 `json:"reads"`
	Writes      int64 `json:"writes"`
	Watches     int64 `json:"watches"`
	RateLimited int64 `json:"refused"` // for the rates, counted above too
}

// instanceList is the instance list from some time on.
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
}

// NewServer returns a server of an empty store; seed drives its faults.
func NewServer(seed uint64) *Server {
	return &Server{
		store:     NewStore(),
		rng:       rand.New(rand.NewPCG(seed, seed)),
		instances: []instanceList{{instances: []platform.Instance{}}},
		writes:    rate.NewLimiter(rate.Inf, 0),
		reads:     rate.NewLimiter(rate.Inf, 0),
	}
}

// Handler returns the API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/records", s.guard(s.list))
	mux.HandleFunc("GET /v1/records/{key...}", s.guard(s.get))
	mux.HandleFunc("PUT /v1/records/{key...}", s.guard(s.put))
	mux.HandleFunc("DELETE /v1/records/{key...}", s.guard(s.delete))
	mux.HandleFunc("GET /v1/watch", s.guard(s.watch))
	mux.HandleFunc("GET /v1/instances", s.guard(s.getInstances))
	mux.HandleFunc("PUT /instances", s.putInstances)
	mux.HandleFunc("PUT /faults", s.putFaults)
	mux.HandleFunc("PUT /rates", s.putRates)
	mux.HandleFunc("GET /history", s.getHistory)
	mux.HandleFunc("GET /counts", s.getCounts)
	return mux
}

// guard counts the call and applies rates and faults.
func (s *Server) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		write := r.Method == http.MethodPut || r.Method == http.MethodDelete
		f, ok := s.count(r, write)
		if !ok {
			http.Error(w, "too many calls", http.StatusTooManyRequests)
			return
		}
		time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
		if f.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if write && s.spoil(f, next, r) {
			http.Error(w, "answer lost", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

// spoil applies the faults of writes; it reports whether the answer is lost.
func (s *Server) spoil(f Faults, next http.HandlerFunc, r *http.Request) bool {
	switch {
	case s.happens(f.LoseWrite):
		return true
	case s.happens(f.LoseResponse):
		next(discard{}, r)
		return true
	case s.happens(f.LateWrite):
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return true
		}
		late := r.Clone(context.WithoutCancel(r.Context()))
		late.Body = io.NopCloser(bytes.NewReader(body))
		time.AfterFunc(time.Duration(f.LateMs)*time.Millisecond, func() { next(discard{}, late) })
		return true
	}
	return false
}

// count counts the call; it reports whether the rates allow it.
func (s *Server) count(r *http.Request, write bool) (Faults, bool) {
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

func (s *Server) happens(part float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return part > 0 && s.rng.Float64() < part
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
		events, version, changed, err := s.store.EventsSince(r.URL.Query().Get("prefix"), from)
		if err != nil && first {
			writeError(w, err)
		}
		if err != nil || s.isDown() {
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

// getInstances answers with the list as it was InstanceLagMs ago.
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

func (s *Server) putInstances(w http.ResponseWriter, r *http.Request) {
	var instances []platform.Instance
	if err := json.NewDecoder(r.Body).Decode(&instances); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = append(s.instances, instanceList{since: time.Now(), instances: instances})
}

func (s *Server) putRates(w http.ResponseWriter, r *http.Request) {
	var rates Rates
	if err := json.NewDecoder(r.Body).Decode(&rates); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes, s.reads = limiter(rates.Writes), limiter(rates.Reads)
}

// limiter bears a tenth of a second's calls at once.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// getHistory answers with the newest changes under a prefix, oldest first,
// for checks from outside.
func (s *Server) getHistory(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, s.store.History(r.URL.Query().Get("prefix")))
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

// discard is a ResponseWriter for answers that get lost.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}
