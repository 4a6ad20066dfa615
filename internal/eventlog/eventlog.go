// Package eventlog keeps a router's part of the time line: typed events in
// bounded memory, stamped by a hybrid logical clock so that the parts of all
// routers merge into one order that respects cause and effect.
package eventlog

import "sync"

// Kind names what happened.
type Kind string

// The kinds of event.
const (
	RouterStarted    Kind = "router_started"
	RouterStopping   Kind = "router_stopping"
	MemberJoined     Kind = "member_joined"
	MemberLeft       Kind = "member_left"
	ManifestInForce  Kind = "manifest_in_force"
	PoolOwned        Kind = "pool_owned"
	PoolLost         Kind = "pool_lost"
	RequestGranted   Kind = "request_granted"
	RequestRefused   Kind = "request_refused"
	RequestEnded     Kind = "request_ended"
	RequestRetried   Kind = "request_retried"
	OrderClaimed     Kind = "order_claimed"
	OrderRecorded    Kind = "order_recorded"
	OrderReplayed    Kind = "order_replayed"
	EndpointPaused   Kind = "endpoint_paused"
	PlatformLost     Kind = "platform_lost"
	PlatformRegained Kind = "platform_regained"
	PartRestarted    Kind = "part_restarted"
	RouterStopped    Kind = "router_stopped"
	StopIncomplete   Kind = "stop_cut" // a stop that ended before the work did
	SettingsReloaded Kind = "settings_reloaded"
)

// Event is one entry of the time line. Fields that don't apply are empty.
type Event struct {
	Clock    int64  `json:"clock"` // hybrid logical clock, see Clock
	Router   string `json:"router"`
	Kind     Kind   `json:"kind"`
	Request  string `json:"request,omitempty"`
	Account  string `json:"account,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	Code     int    `json:"code,omitempty"`
	Detail   string `json:"detail,omitempty"`
}

// The bounds of one event and of a whole log.
const (
	maxDetailBytes     = 512
	meanEventBytes     = 512 // mean that a log of many large events may reach
	eventOverheadBytes = 128 // of an event, apart from its strings
)

// Log is a ring of the newest events, bounded by their number and by the
// memory they take. It is safe for concurrent use.
type Log struct {
	router string
	clock  *Clock

	mu       sync.Mutex
	ring     []Event
	oldest   int // index of the oldest event
	count    int
	bytes    int
	maxBytes int
	dropped  int64 // events that made room for newer ones
}

// New returns a log that keeps at most the given number of events, and at
// most 512 bytes times that number.
func New(router string, size int) *Log {
	return &Log{router: router, clock: &Clock{}, ring: make([]Event, size), maxBytes: size * meanEventBytes}
}

// Clock returns the log's clock, to be carried on messages to other routers.
func (l *Log) Clock() *Clock { return l.clock }

// Add stamps and keeps an event. A detail over 512 bytes is cut.
func (l *Log) Add(e Event) {
	e.Router = l.router
	if len(e.Detail) > maxDetailBytes {
		e.Detail = e.Detail[:maxDetailBytes]
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Clock = l.clock.Now()
	l.bytes += eventBytes(e)
	for l.count == len(l.ring) || l.count > 0 && l.bytes > l.maxBytes {
		l.dropOldest()
	}
	l.ring[(l.oldest+l.count)%len(l.ring)] = e
	l.count++
}

// All returns the kept events, oldest first.
func (l *Log) All() []Event { return l.Select(Filter{}).Events }

func (l *Log) dropOldest() {
	l.bytes -= eventBytes(l.ring[l.oldest])
	l.ring[l.oldest] = Event{}
	l.oldest = (l.oldest + 1) % len(l.ring)
	l.count--
	l.dropped++
}

// eventBytes is the memory that an event takes, in bytes.
func eventBytes(e Event) int {
	return eventOverheadBytes + len(e.Request) + len(e.Account) + len(e.Endpoint) + len(e.Detail)
}
