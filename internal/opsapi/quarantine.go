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

// maxLiftBytes bounds the body of POST /quarantine/lift.
const maxLiftBytes = 256

// heldCrashes is how many endpoints a request must have crashed to be
// refused.
const heldCrashes = 2

// Quarantine remembers requests that crash endpoints.
type Quarantine interface {
	// Crashes returns what is remembered, ordered by fingerprint.
	Crashes() []route.Crash
	// Lift forgets a request; false if nothing was remembered of it.
	Lift(fingerprint uint64) bool
}

// Suspect is a request that crashed an endpoint.
type Suspect struct {
	Fingerprint string   `json:"fingerprint"` // 16 hexadecimal digits
	Endpoints   []string `json:"endpoints"`   // that it crashed
	AgeSeconds  int      `json:"age_seconds"` // of the newest crash
	Quarantined        bool     `json:"held"`        // it is refused
}

// LiftRequest is the body of POST /quarantine/lift.
type LiftRequest struct {
	Fingerprint string `json:"fingerprint"`
}

// FormatFingerprint returns a fingerprint as operators see it.
func FormatFingerprint(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }

func (a *API) suspects(w http.ResponseWriter, r *http.Request) {
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
		s.Quarantined = len(s.Endpoints) >= heldCrashes
	}
	writeJSON(w, suspects)
}

func (a *API) lift(w http.ResponseWriter, r *http.Request) {
	var l LiftRequest
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxLiftBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&l); err != nil {
		refuse(w, r, code.Refuse(code.BadRequest, err.Error()))
		return
	}
	fingerprint, err := strconv.ParseUint(l.Fingerprint, 16, 64)
	if err != nil {
		refuse(w, r, code.Refuse(code.BadRequest, `fingerprint is "`+l.Fingerprint+`": want 16 hexadecimal digits`))
		return
	}
	a.opts.Quarantine.Lift(fingerprint)
	writeJSON(w, l)
}

func seconds(d time.Duration) int { return int(d / time.Second) }
