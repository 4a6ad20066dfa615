package prepared

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// RecordedRequest is a request as a runner received it.
type RecordedRequest struct {
	Attempt      string
	Tenant       string
	Method       string
	URI          string
	Body         string
	LastEventID  string // the event after which the caller resumes the stream
	Disconnected bool   // the caller closed the connection before the end
}

// Runner is a stand-in for one runner. A request that names a model gets a
// stream of events; any other request gets a single response. It is safe for
// concurrent use.
type Runner struct {
	ID            string
	EventCount    int           // number of events of a stream
	EventInterval time.Duration // between two events
	RecordedBytes int           // recorded of each body; 0: all
	NoCacheList   bool          // it has no call for the list of its cached parts

	mu       sync.Mutex
	requests []*RecordedRequest
	arrivals []time.Time // of requests
	breakAt  int         // event within which the next stream is aborted; 0: none
	servedID string      // ID to respond as; empty: ID
	cold     []ColdSpan
	checks   int // health checks received
	cache    cachedParts
}

// ColdSpan is a time in which a runner is cold.
type ColdSpan struct{ From, Until time.Time }

// HealthPath is the path of the health checks that a Runner responds to.
const HealthPath = "/healthz"

// TurnCold makes the runner cold for a time.
func (r *Runner) TurnCold(duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.cold = append(r.cold, ColdSpan{now, now.Add(duration)})
}

// ColdRemaining returns how much longer the runner is cold.
func (r *Runner) ColdRemaining() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coldRemaining()
}

func (r *Runner) coldRemaining() (remaining time.Duration) {
	for _, c := range r.cold {
		remaining = max(remaining, time.Until(c.Until))
	}
	return remaining
}

// ColdSpans returns when the runner was, or will be, cold.
func (r *Runner) ColdSpans() []ColdSpan {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.cold)
}

// MostWithinSecond returns how many of the requests executed within a time arrived in
// one second, at the most.
func (r *Runner) MostWithinSecond(span ColdSpan) (most int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var last []time.Time
	for _, at := range r.arrivals {
		if at.Before(span.From) || !at.Before(span.Until) {
			continue
		}
		last = append(last, at)
		for at.Sub(last[0]) >= time.Second {
			last = last[1:]
		}
		most = max(most, len(last))
	}
	return most
}

// HealthChecks returns the number of health checks received so far.
func (r *Runner) HealthChecks() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.checks
}

// serveHealth responds to a health check.
func (r *Runner) serveHealth(w http.ResponseWriter) {
	r.mu.Lock()
	r.checks++
	id, cold := r.ID, r.coldRemaining()
	if r.servedID != "" {
		id = r.servedID
	}
	r.mu.Unlock()
	w.Header().Set("X-Instance-Id", id)
	if cold > 0 {
		w.Header().Set("X-Cold-Ms", strconv.FormatInt(cold.Milliseconds(), 10))
	}
}

// BreakNextStream aborts the next stream within the given event. 0 cancels
// this.
func (r *Runner) BreakNextStream(event int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breakAt = event
}

// SetServedID makes the runner respond as the instance with another ID, as
// happens when the platform reassigns the address of an instance.
func (r *Runner) SetServedID(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.servedID = id
}

// Requests returns the requests executed so far.
func (r *Runner) Requests() []RecordedRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []RecordedRequest
	for _, recorded := range r.requests {
		out = append(out, *recorded)
	}
	return out
}

// Seal returns the signature of this runner's response to an attempt.
func (r *Runner) Seal(attempt string) string { return "seal." + r.ID + "." + attempt }

// ServeHTTP executes a request, or rejects it with 421 if the request expects
// another instance.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.Method == http.MethodGet && req.URL.Path == HealthPath {
		r.serveHealth(w)
		return
	}
	if req.Method == http.MethodGet && req.URL.Path == cacheListPath {
		r.serveCacheList(w)
		return
	}
	attempt := req.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	id := r.ID
	if r.servedID != "" {
		id = r.servedID
	}
	if want := req.Header.Get("X-Expected-Instance"); want != "" && want != id {
		r.mu.Unlock()
		w.Header().Set("X-Instance-Id", id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	recorded := &RecordedRequest{Attempt: attempt, Tenant: req.Header.Get("X-Tenant"), Method: req.Method, URI: req.RequestURI, Body: r.recordedPart(body), LastEventID: req.Header.Get("Last-Event-Id")}
	r.requests = append(r.requests, recorded)
	r.arrivals = append(r.arrivals, time.Now())
	r.cache.add(req.Header.Get("X-Model"), req.Header.Get("X-Prefix-Hash"))
	breakAt := r.breakAt
	r.breakAt = 0
	r.mu.Unlock()
	w.Header().Set("X-Response-Seal", r.Seal(attempt))
	if req.Header.Get("X-Model") == "" {
		fmt.Fprintf(w, "done %s", body)
		return
	}
	r.stream(w, req, recorded, breakAt)
}

func (r *Runner) recordedPart(body []byte) string {
	if r.RecordedBytes > 0 {
		body = body[:min(len(body), r.RecordedBytes)]
	}
	return string(body)
}

func (r *Runner) stream(w http.ResponseWriter, req *http.Request, recorded *RecordedRequest, breakAt int) {
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(recorded.LastEventID) // empty or not a number: from the start
	controller := http.NewResponseController(w)
	for id := from + 1; id <= r.EventCount; id++ {
		if id == breakAt {
			fmt.Fprintf(w, "id: %d\nda", id)
			_ = controller.Flush() // the connection is aborted anyway
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", id, id, recorded.Attempt)
		if err := controller.Flush(); err != nil {
			return
		}
		select {
		case <-req.Context().Done():
			r.mu.Lock()
			recorded.Disconnected = true
			r.mu.Unlock()
			panic(http.ErrAbortHandler) // returning would end the response as if it were complete
		case <-time.After(r.EventInterval):
		}
	}
}
