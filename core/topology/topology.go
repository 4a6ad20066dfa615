// Package topology defines the configuration that operators declare on a
// prepared platform (routes, services, client accounts, limits) and the state
// that endpoints publish there. A Table answers the lookups that a router makes
// for each request. Fleets without a prepared platform are configured by a
// manifest instead; see package manifest, whose pools correspond to services.
package topology

import (
	"reflect"
	"time"
)

// Kind says whether a request may be repeated.
type Kind int

// The kinds of request.
const (
	Idempotent Kind = iota + 1 // may run more than once
	AtMostOnce                 // may run at most once; a retry by the client is a new request
	Stream                     // an event stream; at most once unless the route is resumable
)

// String returns the name of the kind.
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

// Target is one target of a route's weighted traffic split.
type Target struct {
	Service string
	Weight  int
}

// Route configures the requests for one host and path prefix.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Resumable   bool // a stream may be resumed at another endpoint
	Public      bool // no API key is required
	Priority    int  // 0 is the highest
	MaxAttempts int  // how often one request may be sent, over all endpoints; a failure to connect doesn't count
	Timeout     time.Duration
	Objective   time.Duration // target latency; a first event or a response within it gets full credit
	MaxEventGap time.Duration // longest gap between events that counts as on time; streams only
	Targets     []Target
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Pick returns the service for a request by weight. The same hash always gives
// the same service unless the split changes. It returns "" if the total weight
// is 0.
func (r *Route) Pick(hash uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	offset := int(hash % uint64(total))
	for _, t := range r.Targets {
		if offset < t.Weight {
			return t.Service
		}
		offset -= t.Weight
	}
	return ""
}

// Engine describes the model runners that are the endpoints of a service.
type Engine struct {
	Slots        int // concurrent requests
	MemoryTokens int // KV cache, in tokens, shared by running requests and cached prompts
	EventTokens  int // tokens per event of a stream
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name           string
	MaxConnections int           // to one endpoint, summed over all routers
	ColdFor        time.Duration // how long an endpoint is cold after a start
	ColdPerSecond  float64       // requests per second that a cold endpoint handles; 0: never cold
	HealthPath     string        // of the endpoints' health checks; empty: they have none
	Engine         *Engine       // nil: a plain service, without model runners
}

// Account is a client account.
type Account struct {
	Name        string
	Keys        []string
	Priority    int  // 0 is the highest
	HasPriority bool // Priority is set and overrides that of the route
}

// Limits bound the requests of clients.
type Limits struct {
	BodyBytes    int64
	TokensPerSec float64 // capacity of all model runners together; an input token counts once, an output token twice
}

// Config is one version of the declared configuration.
type Config struct {
	Version     int64
	Routes      []Route
	Services    []Service
	Accounts    []Account
	HasAccounts bool // client accounts are declared, possibly none; false: no API keys are required
	Limits      Limits
}

// Replaces reports whether a configuration that the store holds replaces the one in
// force. A lower version does not: the store has lost newer ones, and what clients
// have seen in force stays until the operator writes it again. The same version does
// if its content differs, since a version that the store has lost may be given out
// again.
func (c Config) Replaces(inForce Config) bool {
	if c.Version != inForce.Version {
		return c.Version > inForce.Version
	}
	return !reflect.DeepEqual(c, inForce)
}

// Endpoint is the state that an endpoint last published.
type Endpoint struct {
	ID            string
	Service       string
	Address       string // IP:port
	Zone          string
	Version       string // of its software
	Slots         int
	Draining      bool
	ColdRemaining time.Duration // rest of the time that it is cold, when it published this state
	StartMillis   int64         // Unix time of its start in milliseconds; distinguishes incarnations with the same ID
	Models        []ModelWeights
	Revision      int64 // of its record
}

// ModelWeights is the version of the weights that an endpoint has of a model.
type ModelWeights struct {
	Name    string `json:"name"` // the tags are for logs
	Version string `json:"version"`
}

// SameState reports whether two records state the same, whenever they were written.
func (e Endpoint) SameState(other Endpoint) bool {
	e.Revision = other.Revision
	return reflect.DeepEqual(e, other)
}

// Incarnation identifies one run of an endpoint, from start to stop.
type Incarnation struct {
	ID          string
	StartMillis int64
}

// Incarnation returns the current incarnation of the endpoint.
func (e *Endpoint) Incarnation() Incarnation {
	return Incarnation{ID: e.ID, StartMillis: e.StartMillis}
}
