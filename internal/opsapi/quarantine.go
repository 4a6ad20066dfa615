package opsapi

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/route"
)

// maxLiftBytes limits the body of POST /quarantine/lift.
const maxLiftBytes = 256

// quarantineThreshold is the number of endpoints that a request must have
// crashed to be in quarantine.
const quarantineThreshold = 2

// Quarantine tracks requests that crash endpoints.
type Quarantine interface {
	// Crashes returns the recorded crashes, sorted by fingerprint.
	Crashes() []route.Crash
	// Lift removes the crashes of a request that are recorded at this router and
	// reports whether there were any.
	Lift(fingerprint uint64) bool
}

// Suspect is a request that crashed at least one endpoint.
type Suspect struct {
	Fingerprint string   `json:"fingerprint"` // 16 hexadecimal digits
	Endpoints   []string `json:"endpoints"`   // endpoints that the request crashed
	AgeSeconds  int      `json:"age_seconds"` // age of the latest crash
	Quarantined bool     `json:"held"`        // the request is in quarantine: it is rejected
}

// LiftRequest is the body of POST /quarantine/lift.
type LiftRequest struct {
	Fingerprint string `json:"fingerprint"`
}

// FormatFingerprint returns a fingerprint as 16 hexadecimal digits, the form used
// in this API.
func FormatFingerprint(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }

func (a *API) listSuspects(w http.ResponseWriter, r *http.Request) {
	suspects := []Suspect{}
	for _, c := range a.opts.Quarantine.Crashes() {
		name := FormatFingerprint(c.Fingerprint)
		last := len(suspects) - 1
		if last < 0 || suspects[last].Fingerprint != name {
			suspects = append(suspects, Suspect{Fingerprint: name, AgeSeconds: seconds(c.Age)})
			last++
		}
		s := &suspects[last]
		s.Endpoints = append(s.Endpoints, c.Endpoint)
		s.AgeSeconds = min(s.AgeSeconds, seconds(c.Age))
		s.Quarantined = len(s.Endpoints) >= quarantineThreshold
	}
	writeJSON(w, suspects)
}

func (a *API) liftQuarantine(w http.ResponseWriter, r *http.Request) {
	var l LiftRequest
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxLiftBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&l); err != nil {
		writeProblem(w, r, code.Refuse(code.BadRequest, err.Error()))
		return
	}
	fingerprint, err := strconv.ParseUint(l.Fingerprint, 16, 64)
	if err != nil {
		writeProblem(w, r, code.Refuse(code.BadRequest, `fingerprint is "`+l.Fingerprint+`": want 16 hexadecimal digits`))
		return
	}
	a.opts.Quarantine.Lift(fingerprint)
	writeJSON(w, l)
}

func seconds(d time.Duration) int { return int(d / time.Second) }
