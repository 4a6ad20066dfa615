package prepared

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// BadVersion is a fault of a runner's software. The zero value is sound.
type BadVersion struct {
	FailShare   float64       // of the requests that get a 500
	Delay       time.Duration // before each response
	After       time.Duration // since the first request at which the fault begins
	AboveActive int           // the fault occurs only while more requests are in progress
	PathPrefix  string        // of the requests that are affected; empty: all
}

// Version is the software of several runners. It counts the requests that its runners
// got and those that failed. It is safe for concurrent use.
type Version struct {
	Bad BadVersion

	mu       sync.Mutex
	rng      *rand.Rand
	first    time.Time
	active   map[*Runner]int
	requests []VersionRequest
}

// VersionRequest is a request that a version got.
type VersionRequest struct {
	At     time.Time // of arrival
	Failed bool
}

// NewVersion returns a version. The seed determines which requests fail.
func NewVersion(bad BadVersion, seed uint64) *Version {
	return &Version{Bad: bad, rng: rand.New(rand.NewPCG(seed, seed)), active: map[*Runner]int{}}
}

// Requests returns the requests that the version got so far.
func (v *Version) Requests() []VersionRequest {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]VersionRequest(nil), v.requests...)
}

// Handler returns the handler of a runner with this version.
func (v *Version) Handler(r *Runner) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == HealthPath {
			r.ServeHTTP(w, req)
			return
		}
		fails, delay := v.begin(r, req)
		defer v.end(r)
		time.Sleep(delay)
		if fails {
			w.Header().Set("X-Attempt-Id", req.Header.Get("X-Attempt-Id"))
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		r.ServeHTTP(w, req)
	})
}

func (v *Version) begin(r *Runner, req *http.Request) (fails bool, delay time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	if v.first.IsZero() {
		v.first = now
	}
	v.active[r]++
	if now.Sub(v.first) >= v.Bad.After && v.active[r] > v.Bad.AboveActive && strings.HasPrefix(req.URL.Path, v.Bad.PathPrefix) {
		fails, delay = v.rng.Float64() < v.Bad.FailShare, v.Bad.Delay
	}
	v.requests = append(v.requests, VersionRequest{At: now, Failed: fails || delay > 0})
	return fails, delay
}

func (v *Version) end(r *Runner) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.active[r]--
}
