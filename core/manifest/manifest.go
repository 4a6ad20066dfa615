// Package manifest defines the declared configuration of a fleet: client
// accounts and their shares, availability zones, pools, endpoints and orders. On
// a prepared platform, the configuration in package topology is used instead;
// its services correspond to pools.
//
// A manifest is validated and accepted as a whole. It is identified by its
// generation, which only increases.
package manifest

import (
	"crypto/sha256"
	"encoding/hex"
)

// State says whether a zone or an endpoint may receive new work.
type State string

// The states of a zone or an endpoint.
const (
	In  State = "in"
	Out State = "out" // receives no new work; work in progress is completed
)

// Kind is the protocol that the endpoints of a pool speak.
type Kind string

// The kinds of pool.
const (
	Model   Kind = "model"   // chat completions, streamed
	Order   Kind = "order"   // not idempotent; recorded in the order ledger
	Service Kind = "service" // idempotent calls
)

// Manifest is one complete configuration.
type Manifest struct {
	Generation int64      `json:"generation"` // assigned on submission; 0 in a file
	Zones      []Zone     `json:"zones"`
	Accounts   []Account  `json:"accounts"`
	Pools      []Pool     `json:"pools"`
	Endpoints  []Endpoint `json:"endpoints"`
	Orders     Orders     `json:"orders"`

	index *index // nil until Index is called
}

// Zone is an availability zone.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	State  State  `json:"state"`
}

// Account is a client account.
type Account struct {
	Name          string   `json:"name"`
	Share         float64  `json:"share"`           // relative weight, greater than 0
	KeyDigests    []string `json:"key_digests"`     // SHA-256 of each API key, hexadecimal
	MaxQueue      int      `json:"max_queue"`       // limit of waiting requests in the whole fleet
	MaxWaitMillis int      `json:"max_wait_millis"` // limit of a request's time in the queue
}

// Pool is a set of interchangeable endpoints. A model belongs to only one pool.
type Pool struct {
	Name   string   `json:"name"`
	Kind   Kind     `json:"kind"`
	Models []string `json:"models,omitempty"` // for Kind Model
	Path   string   `json:"path,omitempty"`   // path prefix for the other kinds, e.g. "/v1/orders"
}

// Endpoint is one HTTP back end.
type Endpoint struct {
	Name      string `json:"name"`
	Pool      string `json:"pool"`
	URL       string `json:"url"` // scheme, IP address and port; Check accepts any host
	Zone      string `json:"zone"`
	State     State  `json:"state"`
	Slots     int    `json:"slots"`      // concurrent requests when warm
	ColdSlots int    `json:"cold_slots"` // concurrent requests that it handles right after a start
	Fence     bool   `json:"fence"`      // rejects orders with an outdated fencing number
	Lookup    bool   `json:"lookup"`     // supports GET by idempotency key
}

// Orders configures the order ledger.
type Orders struct {
	Shards         int `json:"shards"`          // fixed once the first order is recorded
	RetentionHours int `json:"retention_hours"` // how long idempotency keys are kept
}

// KeyDigest returns the digest that identifies an API key in a manifest.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// AcceptsWork reports whether an endpoint may receive new work, that is, its
// availability zone is declared and neither the zone nor the endpoint is out.
func (m *Manifest) AcceptsWork(e Endpoint) bool {
	z, ok := m.Zone(e.Zone)
	return ok && z.State != Out && e.State != Out
}
