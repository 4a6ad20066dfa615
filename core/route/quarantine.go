package route

import (
	"slices"
	"time"
)

const (
	// QuarantineDuration is how long a quarantined request is refused.
	QuarantineDuration = time.Hour
	// SuspectWindow is how long a request is suspected after a crash. A crash of
	// another endpoint within this time puts the request into quarantine.
	SuspectWindow = 10 * time.Minute

	maxSuspects           = 4096 // requests kept
	suspectsAfterEviction = 3584 // requests kept when the maximum is reached
)

// Crash records that an endpoint crashed while it ran a request.
type Crash struct {
	Fingerprint uint64 // of the request
	Endpoint    string
	Age         time.Duration // time since the crash, when the Crash is passed on
}

// Quarantine tracks requests that crash endpoints. A request that crashed two
// different endpoints within SuspectWindow is refused. It is not safe for
// concurrent use.
type Quarantine struct {
	suspects map[uint64]*suspect  // by fingerprint
	lifted   map[uint64]time.Time // by fingerprint; crashes up to this time are ignored
}

// suspect is a request that crashed one endpoint or, in quarantine, two.
type suspect struct {
	first, second string    // crashed endpoints; second is empty after a single crash
	firstAt       time.Time // latest crash of first
	secondAt      time.Time // the crash of second that led to the quarantine
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{suspects: map[uint64]*suspect{}, lifted: map[uint64]time.Time{}}
}

// RecordCrash adds a crash and reports whether it puts the request into
// quarantine.
func (q *Quarantine) RecordCrash(now time.Time, c Crash) bool {
	if c.Fingerprint == 0 || c.Age >= QuarantineDuration {
		return false
	}
	at := now.Add(-c.Age)
	if lifted, ok := q.lifted[c.Fingerprint]; ok && !at.After(lifted) {
		return false
	}
	s, ok := q.suspects[c.Fingerprint]
	if !ok || s.expired(now) {
		q.evict(now)
		s = &suspect{first: c.Endpoint, firstAt: at}
		q.suspects[c.Fingerprint] = s
	}
	return s.add(c.Endpoint, at)
}

// HasCrash reports whether a crash of the same endpoint by the same request
// is on record.
func (q *Quarantine) HasCrash(now time.Time, c Crash) bool {
	s, ok := q.suspects[c.Fingerprint]
	return ok && !s.expired(now) && (s.first == c.Endpoint || s.second == c.Endpoint)
}

// add adds a crash and reports whether it puts the request into quarantine.
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
	return ok && s.second != "" && !s.expired(now)
}

// Suspected reports whether the request crashed an endpoint within the last
// SuspectWindow.
func (q *Quarantine) Suspected(now time.Time, fingerprint uint64) bool {
	s, ok := q.suspects[fingerprint]
	return ok && now.Sub(later(s.firstAt, s.secondAt)) < SuspectWindow
}

// RecordSuccess removes a single crash of a request that has completed, since
// the request did not cause it.
func (q *Quarantine) RecordSuccess(fingerprint uint64) {
	if s, ok := q.suspects[fingerprint]; ok && s.second == "" {
		delete(q.suspects, fingerprint)
	}
}

// Lift discards all crashes of a request up to now, including those that
// other routers report later. It reports whether any were on record.
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

// Crashes returns all crashes on record, ordered by fingerprint, for transfer
// to another router.
func (q *Quarantine) Crashes(now time.Time) []Crash {
	var all []Crash
	for fingerprint, s := range q.suspects {
		if s.expired(now) {
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

// expired reports whether the latest crash is at least QuarantineDuration old.
func (s *suspect) expired(now time.Time) bool {
	return now.Sub(later(s.firstAt, s.secondAt)) >= QuarantineDuration
}

// evict removes a batch of suspects when the maximum is reached: expired ones
// first, then those with a single crash, then any others.
func (q *Quarantine) evict(now time.Time) {
	if len(q.suspects) < maxSuspects {
		return
	}
	q.evictWhere(0, func(s *suspect) bool { return s.expired(now) })
	q.evictWhere(suspectsAfterEviction, func(s *suspect) bool { return s.second == "" })
	q.evictWhere(suspectsAfterEviction, func(*suspect) bool { return true })
}

// evictWhere removes suspects that match until only keep are left.
func (q *Quarantine) evictWhere(keep int, match func(*suspect) bool) {
	for fingerprint, s := range q.suspects {
		if len(q.suspects) <= keep {
			return
		}
		if match(s) {
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
