// Package manifest holds the declared configuration of a fleet: client
// accounts and shares, availability zones, pools, endpoints and orders.
//
// A manifest is a value: it is checked as a whole, accepted as a whole and
// identified by its generation, which only grows.
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
	Out State = "out" // no new work; work in progress ends
)

// Kind is the protocol that the endpoints of a pool speak.
type Kind string

// The kinds of pool.
const (
	Model   Kind = "model"   // chat completions, streamed
	Order   Kind = "order"   // must not be repeated, kept in the order ledger
	Service Kind = "service" // plain calls that may be repeated
)

// Manifest is one whole configuration.
type Manifest struct {
	Generation int64      `json:"generation"` // set by submit; 0 in a file
	Zones      []Zone     `json:"zones"`
	Accounts   []Account  `json:"accounts"`
	Pools      []Pool     `json:"pools"`
	Endpoints  []Endpoint `json:"endpoints"`
	Orders     Orders     `json:"orders"`

	index *index // nil until Index
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
	Share         float64  `json:"share"`           // relative weight, over 0
	KeyDigests    []string `json:"key_digests"`     // SHA-256 of each API key, hexadecimal
	MaxQueue      int      `json:"max_queue"`       // waiting requests over the fleet
	MaxWaitMillis int      `json:"max_wait_millis"` // longest time a request may wait
}

// Pool is a set of alike endpoints. A model belongs to one pool only.
type Pool struct {
	Name   string   `json:"name"`
	Kind   Kind     `json:"kind"`
	Models []string `json:"models,omitempty"` // for Kind Model
	Path   string   `json:"path,omitempty"`   // path prefix for the other kinds, e.g. "/v1/orders"
}

// Endpoint is one back end.
type Endpoint struct {
	Name      string `json:"name"`
	Pool      string `json:"pool"`
	URL       string `json:"url"` // scheme, IP number and port
	Zone      string `json:"zone"`
	State     State  `json:"state"`
	Slots     int    `json:"slots"`      // concurrent requests when warm
	ColdSlots int    `json:"cold_slots"` // concurrent requests it bears after a start
	Fence     bool   `json:"fence"`      // refuses orders with an old fencing number
	Lookup    bool   `json:"lookup"`     // answers GET by idempotency key
}

// Orders configures the order ledger.
type Orders struct {
	Shards         int `json:"shards"`          // fixed once the first order is recorded
	RetentionHours int `json:"retention_hours"` // how long a key stays known
}

// KeyDigest returns the digest under which an API key stands in a manifest.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// AcceptsWork reports whether an endpoint may receive new work: neither it nor its
// availability zone is out.
func (m *Manifest) AcceptsWork(e Endpoint) bool {
	z, ok := m.Zone(e.Zone)
	return ok && z.State != Out && e.State != Out
}
