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

// Outcome is the result of a request as its caller sees it.
type Outcome string

// Outcomes of a request.
const (
	Completed        Outcome = "whole"   // complete response to this request
	WrongResponse    Outcome = "wrong"   // complete, but not the response to this request
	Truncated        Outcome = "short"   // incomplete response; the caller can detect this
	Refused          Outcome = "refused" // refusal or failure with a result code
	Canceled         Outcome = "left"    // the caller gave up waiting
	ConnectionFailed Outcome = "lost"    // no connection, or it failed before any part of a response arrived
)

// Record is one entry of the callers' log.
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
	FirstMillis float64 `json:"first_ms,omitempty"` // time to the first token; 0: no token received
	TotalMillis float64 `json:"total_ms"`
	Response    string  `json:"answer,omitempty"` // complete response to an order
	Error       string  `json:"error,omitempty"`
}

// NewRecord returns the record of one request; at is its send time since the
// start of the run. The parameter canceled is true if the caller canceled the
// request.
func NewRecord(a Arrival, at time.Duration, router string, reply Reply, err error, canceled bool) Record {
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
	if canceled && r.Outcome != Completed && r.Outcome != WrongResponse {
		r.Outcome = Canceled
	}
	return r
}

// OutcomeOf returns the outcome of a request that its caller did not cancel.
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

// Add appends a record.
func (l *Log) Add(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
}

// Records returns a copy of the records so far.
func (l *Log) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Record(nil), l.records...)
}

// WriteRecords writes records as JSON, one per line.
func WriteRecords(w io.Writer, records []Record) error {
	enc := json.NewEncoder(w)
	for _, r := range records {
		if err := enc.Encode(r); err != nil {
			return errors.Wrap(err, "write callers' log")
		}
	}
	return nil
}

// ReadRecords reads records written by WriteRecords.
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

// matches reports whether a complete response belongs to this request. For an
// order it checks only the status.
func (r Reply) matches(a Arrival) bool {
	if a.Key != "" {
		return r.Status == http.StatusOK
	}
	return r.Text == ExpectedResponse(a.Prompt, a.Tokens)
}
