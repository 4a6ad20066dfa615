package objects

import (
	"encoding/json"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
)

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

// limiter returns a limiter whose burst is the calls of a tenth of a second.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// getHistory returns the changes under a prefix that are still in the history,
// oldest first, so that tests and cyclamenwinch-load can check them.
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

// putCopy keeps a copy of the store for putRestore.
func (s *Server) putCopy(http.ResponseWriter, *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = s.store.Copy()
}

// putRestore restores the store from the last copy, or to empty without one.
func (s *Server) putRestore(http.ResponseWriter, *http.Request) {
	s.restoring.Lock()
	defer s.restoring.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Restore(s.copied)
}

func (s *Server) getCounts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.counts)
}
