package prepared

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// RecordedRequest is a request as a runner saw it.
type RecordedRequest struct {
	Attempt      string
	Tenant       string
	Method       string
	URI          string
	Body         string
	LastEventID  string // the event after which the stream goes on
	Disconnected bool   // the caller closed before the end
}

// Runner stands in for one runner: a request that names a model gets a stream
// of events, others one answer. It is safe for concurrent use.
type Runner struct {
	ID            string
	EventCount    int           // of a stream
	EventInterval time.Duration // between two events

	mu     sync.Mutex
	runs   []*RecordedRequest
	cutAt  int // event within which the next stream breaks off; 0: none
	expect string
}

// BreakNextStream makes the next stream break off inside an event.
func (r *Runner) BreakNextStream(event int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutAt = event
}

// SetServedID makes the runner answer for another ID: its address was given away.
func (r *Runner) SetServedID(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expect = id
}

// Requests returns the requests so far.
func (r *Runner) Requests() []RecordedRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []RecordedRequest
	for _, run := range r.runs {
		out = append(out, *run)
	}
	return out
}

// Seal is the signature of an answer of this runner.
func (r *Runner) Seal(attempt string) string { return "seal." + r.ID + "." + attempt }

// ServeHTTP runs a request.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	attempt := req.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	id := r.ID
	if r.expect != "" {
		id = r.expect
	}
	if want := req.Header.Get("X-Expected-Instance"); want != "" && want != id {
		r.mu.Unlock()
		w.Header().Set("X-Instance-Id", id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run := &RecordedRequest{Attempt: attempt, Tenant: req.Header.Get("X-Tenant"), Method: req.Method, URI: req.RequestURI, Body: string(body), LastEventID: req.Header.Get("Last-Event-Id")}
	r.runs = append(r.runs, run)
	cut := r.cutAt
	r.cutAt = 0
	r.mu.Unlock()
	w.Header().Set("X-Response-Seal", r.Seal(attempt))
	if req.Header.Get("X-Model") == "" {
		fmt.Fprintf(w, "done %s", body)
		return
	}
	r.stream(w, req, run, cut)
}

func (r *Runner) stream(w http.ResponseWriter, req *http.Request, run *RecordedRequest, cut int) {
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(run.LastEventID) // no number: from the start
	flush := http.NewResponseController(w)
	for id := from + 1; id <= r.EventCount; id++ {
		if id == cut {
			fmt.Fprintf(w, "id: %d\nda", id)
			_ = flush.Flush() // the connection ends anyway
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", id, id, run.Attempt)
		if err := flush.Flush(); err != nil {
			return
		}
		select {
		case <-req.Context().Done():
			r.mu.Lock()
			run.Disconnected = true
			r.mu.Unlock()
			return
		case <-time.After(r.EventInterval):
		}
	}
}
