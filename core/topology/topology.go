// Package topology holds what the operators declare and what the endpoints
// say of themselves: routes, services, client accounts, endpoints, and the
// availability zones that are out. A Table answers the questions that a
// router asks for each request.
package topology

import (
	"time"
)

// Kind says what may be repeated of a request.
type Kind int

// The kinds of request.
const (
	Idempotent Kind = iota + 1 // may run more than once
	AtMostOnce                 // may run once at most for each attempt of the client
	Stream                     // a series of events; at most once unless the route is resumable
)

// String returns the kind's name.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case AtMostOnce:
		return "at-most-once"
	case Stream:
		return "stream"
	}
	return "unknown"
}

// Target is one part of a route's weighted split.
type Target struct {
	Service string
	Weight  int
}

// Route says how the requests of one host and path prefix are served.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Resumable   bool // a stream may go on at another endpoint
	Public      bool // no API key is asked for
	Priority    int  // 0 is the highest
	MaxAttempts int  // endpoints that one attempt of the client may be sent to
	Timeout     time.Duration
	Objective   time.Duration // a first event or answer within it earns full credit
	MaxEventGap time.Duration // longest pause between events that counts as on time; streams only
	Targets     []Target
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Pick returns the service for a request; the same hash picks the same
// service while the split stays. It returns "" if the split is empty.
func (r *Route) Pick(hash uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(hash % uint64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return ""
}

// Engine describes a service of model runners.
type Engine struct {
	Slots        int // requests that run at once
	MemoryTokens int // tokens that running requests and cached prompts share
	EventTokens  int // tokens in one event of a stream
}

// Service is a group of alike endpoints.
type Service struct {
	Name           string
	MaxConnections int           // to one endpoint, of all routers together
	ColdFor        time.Duration // how long an endpoint is cold after its start
	ColdPerSecond  float64       // requests a second that a cold endpoint bears; 0: never cold
	Engine         *Engine       // nil: a plain service
}

// Account is a client account.
type Account struct {
	Name        string
	Keys        []string
	Priority    int  // 0 is the highest
	HasPriority bool // Priority is stated and goes before the route's
}

// Limits bound what a client may send.
type Limits struct {
	BodyBytes    int64
	TokensPerSec float64 // what all model runners do together; a token read counts once, one generated twice
}

// Config is one version of what the operators declare.
type Config struct {
	Version     int64
	Routes      []Route
	Services    []Service
	Accounts    []Account // nil: no keys are asked for
	HasAccounts bool      // the configuration knows client accounts
	Limits      Limits
}

// Endpoint is what an endpoint last said of itself.
type Endpoint struct {
	ID          string
	Service     string
	Address     string // IP:port
	Zone        string
	Slots       int
	Draining    bool
	ColdFor     time.Duration // what was left of its cold start when the entry was written
	StartMillis int64         // Unix milliseconds of its start; tells incarnations of one ID apart
}

// Incarnation names one life of an endpoint.
type Incarnation struct {
	ID          string
	StartMillis int64
}

// Incarnation returns the endpoint's present life.
func (e *Endpoint) Incarnation() Incarnation {
	return Incarnation{ID: e.ID, StartMillis: e.StartMillis}
}
