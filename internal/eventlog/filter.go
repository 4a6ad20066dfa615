package eventlog

import (
	"cmp"
	"slices"
	"time"
)

// Filter selects events. A zero field matches all events.
type Filter struct {
	Request  string
	Account  string
	Endpoint string
	Kind     Kind
	From     time.Time // start of the time range
	To       time.Time // end of the time range, exclusive
	Limit    int       // maximum number of events, the newest; 0: no limit
}

// Page is the result of a selection from a log.
type Page struct {
	Events    []Event `json:"events"`  // oldest first
	Truncated bool    `json:"cut"`     // older events were omitted because of the limit
	Dropped   int64   `json:"dropped"` // events that the log has removed since it was created
}

// Match reports whether the filter matches an event. It ignores the limit.
func (f Filter) Match(e Event) bool {
	return matches(f.Request, e.Request) &&
		matches(f.Account, e.Account) &&
		matches(f.Endpoint, e.Endpoint) &&
		matches(f.Kind, e.Kind) &&
		(f.From.IsZero() || e.Clock >= MinClock(f.From)) &&
		(f.To.IsZero() || e.Clock < MinClock(f.To))
}

// Select returns the events that the filter matches, up to its limit the newest.
func (l *Log) Select(f Filter) Page {
	l.mu.Lock()
	defer l.mu.Unlock()
	page := Page{Events: []Event{}, Dropped: l.dropped}
	for i := l.count - 1; i >= 0; i-- {
		e := l.ring[(l.oldest+i)%len(l.ring)]
		if !f.Match(e) {
			continue
		}
		if f.Limit > 0 && len(page.Events) == f.Limit {
			page.Truncated = true
			break
		}
		page.Events = append(page.Events, e)
	}
	slices.Reverse(page.Events)
	return page
}

// Merge returns the events of several logs, ordered by clock value.
func Merge(parts ...[]Event) []Event {
	merged := slices.Concat(parts...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		if a.Clock != b.Clock {
			return cmp.Compare(a.Clock, b.Clock)
		}
		return cmp.Compare(a.Router, b.Router)
	})
	return merged
}

func matches[T ~string](want, have T) bool { return want == "" || want == have }
