package load

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome says how a request ended for its caller.
type Outcome string

// The ends of a request.
const (
	Completed        Outcome = "whole"   // the whole answer to this very request
	WrongResponse    Outcome = "wrong"   // whole, but not the answer to this request
	Truncated        Outcome = "short"   // broke off; the caller could see that
	Refused          Outcome = "refused" // a numbered refusal or failure
	Canceled         Outcome = "left"    // the caller's patience ran out
	ConnectionFailed Outcome = "lost"    // no connection, or it broke before any answer
)

// Record is one line of the callers' log.
type Record struct {
	AtMillis    int64   `json:"at_ms"` // since the start of the run
	Account     string  `json:"account"`
	Zone        string  `json:"zone"`
	Router      string  `json:"router"`
	Key         string  `json:"key,omitempty"`
	Resend      bool    `json:"resend,omitempty"`
	Outcome     Outcome `json:"end"`
	Status      int     `json:"status,omitempty"`
	Code        int     `json:"code,omitempty"`
	NotRun      bool    `json:"not_run,omitempty"`
	Replayed    bool    `json:"replayed,omitempty"`
	Tokens      int     `json:"tokens,omitempty"`
	FirstMillis float64 `json:"first_ms,omitempty"` // 0: no token seen
	TotalMillis float64 `json:"total_ms"`
	Response    string  `json:"answer,omitempty"` // an order's whole answer
	Error       string  `json:"error,omitempty"`
}

// NewRecord returns the record of one request, sent at a time since the
// start of the run; left says that its caller left.
func NewRecord(a Arrival, at time.Duration, router string, reply Reply, err error, left bool) Record {
	r := Record{
		AtMillis: at.Milliseconds(), Account: a.Account, Zone: a.Zone, Router: router, Key: a.Key, Resend: a.Resend,
		Status: reply.Status, Replayed: reply.Replayed, Tokens: reply.Tokens,
		FirstMillis: millis(reply.FirstToken), TotalMillis: millis(reply.Total),
		Outcome: OutcomeOf(a, reply, err),
	}
	if reply.Problem != nil {
		r.Code, r.NotRun = reply.Problem.Code, reply.Problem.NotRun
	}
	if err != nil {
		r.Error = err.Error()
	}
	if a.Key != "" && reply.Complete {
		r.Response = reply.Text
	}
	if left && r.Outcome != Completed && r.Outcome != WrongResponse {
		r.Outcome = Canceled
	}
	return r
}

// OutcomeOf says how a request ended whose caller did not leave.
func OutcomeOf(a Arrival, reply Reply, err error) Outcome {
	switch {
	case reply.Complete && reply.matches(a):
		return Completed
	case reply.Complete:
		return WrongResponse
	case reply.Tokens > 0:
		return Truncated
	case reply.Problem != nil:
		return Refused
	case err != nil:
		return ConnectionFailed
	}
	return Truncated
}

// Log collects the records of a run. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	records []Record
}

// Add keeps a record.
func (l *Log) Add(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
}

// Records returns the records so far.
func (l *Log) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Record(nil), l.records...)
}

// WriteRecords writes one JSON line for each record.
func WriteRecords(w io.Writer, records []Record) error {
	enc := json.NewEncoder(w)
	for _, r := range records {
		if err := enc.Encode(r); err != nil {
			return errors.Wrap(err, "write callers' log")
		}
	}
	return nil
}

// ReadRecords reads what WriteRecords wrote.
func ReadRecords(r io.Reader) ([]Record, error) {
	var records []Record
	dec := json.NewDecoder(bufio.NewReader(r))
	for {
		var record Record
		err := dec.Decode(&record)
		if err == io.EOF {
			return records, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "read callers' log")
		}
		records = append(records, record)
	}
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// matches reports whether a whole answer is the one to this request.
func (r Reply) matches(a Arrival) bool {
	if a.Key != "" {
		return r.Status == http.StatusOK
	}
	return r.Text == ExpectedResponse(a.Prompt, a.Tokens)
}
