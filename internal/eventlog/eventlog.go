// Package eventlog stores a router's events for the timeline: typed events in
// bounded memory, with timestamps of a hybrid logical clock, so that the logs of
// all routers can be merged into one causally consistent order.
package eventlog

import (
	"strings"
	"sync"
)

// Kind is the type of an event.
type Kind string

// The event kinds.
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
	PlatformRestored Kind = "platform_restored" // from an older copy
	PartRestarted    Kind = "part_restarted"    // a supervised service of the router, for example the heartbeats
	RouterStopped    Kind = "router_stopped"
	StopIncomplete   Kind = "stop_cut" // the router stopped before its work had ended
	SettingsReloaded Kind = "settings_reloaded"
)

// Event is an entry of the timeline. Fields that don't apply are empty.
type Event struct {
	Clock    int64  `json:"clock"` // hybrid logical clock, see Clock
	Router   string `json:"router"`
	Kind     Kind   `json:"kind"`
	Request  string `json:"request,omitempty"`
	Account  string `json:"account,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	Code     int    `json:"code,omitempty"` // result code, see package code
	Detail   string `json:"detail,omitempty"`
}

// Limits on the size of an event and of a log.
const (
	maxDetailBytes     = 512
	maxAvgEventBytes   = 512 // average per event that a full log may use
	eventOverheadBytes = 128 // counted for an event in addition to its strings
)

// Log is a ring buffer of the newest events, limited by their number and by the
// memory they use. It is safe for concurrent use.
type Log struct {
	router string
	clock  *Clock

	mu       sync.Mutex
	ring     []Event
	oldest   int // index of the oldest event
	count    int
	bytes    int
	maxBytes int
	dropped  int64 // events removed to make room for newer ones
}

// New returns a log of a router that stores at most size events, and at most 512
// bytes times size.
func New(router string, size int) *Log {
	return &Log{router: router, clock: &Clock{}, ring: make([]Event, size), maxBytes: size * maxAvgEventBytes}
}

// Clock returns the log's clock. Messages to other routers carry its values.
func (l *Log) Clock() *Clock { return l.clock }

// Add sets the router and the clock value of an event and stores it. It truncates
// a detail to 512 bytes, and copies it: it may be a part of a text as long as a request.
func (l *Log) Add(e Event) {
	e.Router = l.router
	e.Detail = strings.Clone(e.Detail[:min(len(e.Detail), maxDetailBytes)])
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

// All returns the stored events, oldest first.
func (l *Log) All() []Event { return l.Select(Filter{}).Events }

func (l *Log) dropOldest() {
	l.bytes -= eventBytes(l.ring[l.oldest])
	l.ring[l.oldest] = Event{}
	l.oldest = (l.oldest + 1) % len(l.ring)
	l.count--
	l.dropped++
}

// eventBytes returns the memory that is counted for an event.
func eventBytes(e Event) int {
	return eventOverheadBytes + len(e.Request) + len(e.Account) + len(e.Endpoint) + len(e.Detail)
}
