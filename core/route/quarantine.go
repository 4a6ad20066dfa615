package route

import (
	"slices"
	"time"
)

const (
	// QuarantineDuration is how long a quarantined request is refused.
	QuarantineDuration = time.Hour
	// SuspectWindow is the longest time between two crashes that count together.
	SuspectWindow = 10 * time.Minute

	maxCrashes  = 4096 // requests remembered
	keptCrashes = 3584 // of them, when they are too many
)

// Crash says that an endpoint broke while it ran a request.
type Crash struct {
	Fingerprint uint64 // of the request
	Endpoint    string
	Age         time.Duration
}

// Quarantine remembers requests that crash endpoints. One that crashed two
// different endpoints within SuspectTime is refused. It is not safe for
// concurrent use.
type Quarantine struct {
	suspects map[uint64]*suspect
	lifted   map[uint64]time.Time
}

type suspect struct {
	first, second string    // endpoints; second empty: one crash only
	firstAt       time.Time // newest crash of each
	secondAt      time.Time
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{suspects: map[uint64]*suspect{}, lifted: map[uint64]time.Time{}}
}

// RecordCrash notes a crash. It reports whether the request is newly
// quarantined by it.
func (q *Quarantine) RecordCrash(now time.Time, c Crash) bool {
	if c.Fingerprint == 0 || c.Age >= QuarantineDuration {
		return false
	}
	at := now.Add(-c.Age)
	if lifted, ok := q.lifted[c.Fingerprint]; ok && !at.After(lifted) {
		return false
	}
	s, ok := q.suspects[c.Fingerprint]
	if !ok {
		q.makeRoom(now)
		s = &suspect{first: c.Endpoint, firstAt: at}
		q.suspects[c.Fingerprint] = s
	}
	return s.add(c.Endpoint, at)
}

// HasCrash reports whether a crash of the request at the endpoint is remembered.
func (q *Quarantine) HasCrash(c Crash) bool {
	s, ok := q.suspects[c.Fingerprint]
	return ok && (s.first == c.Endpoint || s.second == c.Endpoint)
}

func (s *suspect) add(endpoint string, at time.Time) bool {
	switch {
	case endpoint == s.first:
		s.firstAt = later(s.firstAt, at)
		return false
	case s.second != "":
		return false
	case at.Sub(s.firstAt).Abs() < SuspectWindow:
		s.second, s.secondAt = endpoint, at
		return true
	case at.After(s.firstAt):
		s.first, s.firstAt = endpoint, at
	}
	return false
}

// Quarantined reports whether the request is quarantined.
func (q *Quarantine) Quarantined(now time.Time, fingerprint uint64) bool {
	s, ok := q.suspects[fingerprint]
	return ok && s.second != "" && !s.over(now)
}

// Suspected reports whether the request crashed an endpoint a short time ago.
func (q *Quarantine) Suspected(now time.Time, fingerprint uint64) bool {
	s, ok := q.suspects[fingerprint]
	return ok && now.Sub(later(s.firstAt, s.secondAt)) < SuspectWindow
}

// RecordSuccess notes that the request ended whole: a single crash was not its
// fault.
func (q *Quarantine) RecordSuccess(fingerprint uint64) {
	if s, ok := q.suspects[fingerprint]; ok && s.second == "" {
		delete(q.suspects, fingerprint)
	}
}

// Lift forgets all crashes of a request up to now, also those that others
// report later. It reports whether there were any.
func (q *Quarantine) Lift(now time.Time, fingerprint uint64) bool {
	_, ok := q.suspects[fingerprint]
	delete(q.suspects, fingerprint)
	q.lifted[fingerprint] = now
	for old, at := range q.lifted {
		if now.Sub(at) >= QuarantineDuration {
			delete(q.lifted, old)
		}
	}
	return ok
}

// Crashes returns all that is remembered, so that another router can take it
// over, ordered by fingerprint.
func (q *Quarantine) Crashes(now time.Time) []Crash {
	var all []Crash
	for fingerprint, s := range q.suspects {
		if s.over(now) {
			continue
		}
		all = append(all, Crash{fingerprint, s.first, now.Sub(s.firstAt)})
		if s.second != "" {
			all = append(all, Crash{fingerprint, s.second, now.Sub(s.secondAt)})
		}
	}
	slices.SortFunc(all, func(a, b Crash) int {
		if a.Fingerprint < b.Fingerprint {
			return -1
		}
		if a.Fingerprint > b.Fingerprint {
			return 1
		}
		return 0
	})
	return all
}

// over reports whether the crashes are too old to count.
func (s *suspect) over(now time.Time) bool {
	return now.Sub(later(s.firstAt, s.secondAt)) >= QuarantineDuration
}

// makeRoom drops, when the memory is full, a part of it at once: first what
// is over, then single crashes, then the rest.
func (q *Quarantine) makeRoom(now time.Time) {
	if len(q.suspects) < maxCrashes {
		return
	}
	q.dropWhere(0, func(s *suspect) bool { return s.over(now) })
	q.dropWhere(keptCrashes, func(s *suspect) bool { return s.second == "" })
	q.dropWhere(keptCrashes, func(*suspect) bool { return true })
}

// dropWhere drops suspects for which over holds until only keep are left.
func (q *Quarantine) dropWhere(keep int, over func(*suspect) bool) {
	for fingerprint, s := range q.suspects {
		if len(q.suspects) <= keep {
			return
		}
		if over(s) {
			delete(q.suspects, fingerprint)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
