// Package eventlog keeps a router's part of the time line: typed events in
// bounded memory, stamped by a hybrid logical clock so that the parts of all
// routers merge into one order that respects cause and effect.
package eventlog

import (
	"sync"
	"time"
)

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

// clockShift is the number of low bits of a clock value that count events
// within one millisecond; the bits above hold Unix milliseconds.
const clockShift = 16

// Time returns the physical part of a clock value.
func Time(clock int64) time.Time { return time.UnixMilli(clock >> clockShift) }

// Clock is a hybrid logical clock: it never falls, and it exceeds every
// value that Observe has seen. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last int64
}

// Now returns the next value.
func (c *Clock) Now() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, time.Now().UnixMilli()<<clockShift)
	return c.last
}

// Observe moves the clock past a value from another router.
func (c *Clock) Observe(other int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, other)
}

// Log is a ring of the newest events. It is safe for concurrent use.
type Log struct {
	router string
	clock  *Clock

	mu     sync.Mutex
	events []Event
	next   int
	full   bool
}

// New returns a log that keeps the given number of events.
func New(router string, size int) *Log {
	return &Log{router: router, clock: &Clock{}, events: make([]Event, size)}
}

// Clock returns the log's clock, to be carried on messages to other routers.
func (l *Log) Clock() *Clock { return l.clock }

// Add stamps and keeps an event.
func (l *Log) Add(e Event) {
	e.Clock = l.clock.Now()
	e.Router = l.router
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events[l.next] = e
	l.next = (l.next + 1) % len(l.events)
	l.full = l.full || l.next == 0
}

// All returns the kept events, oldest first.
func (l *Log) All() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Event
	if l.full {
		all = append(all, l.events[l.next:]...)
	}
	return append(all, l.events[:l.next]...)
}
