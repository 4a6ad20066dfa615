package replica

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind identifies a collection of records.
type Kind string

// The collections.
const (
	Config    Kind = "config"
	Endpoints Kind = "endpoints"
	ZonesOut  Kind = "zones-out"
	// Rollouts are the orders to move services to other versions. Only routers whose
	// settings say so follow them.
	Rollouts Kind = "rollouts"
)

// Kinds lists the collections that all routers follow.
var Kinds = []Kind{Config, Endpoints, ZonesOut}

// AllKinds lists all collections, in the order in which heartbeats name their positions.
var AllKinds = []Kind{Config, Endpoints, ZonesOut, Rollouts}

// Position is a point in the history of the store. A store that has been restored
// from a copy gives revisions out again, in a new era.
type Position struct {
	Era      int64 // increases with each restoration; 0: the store reports none
	Revision int64
}

// Before reports whether p is an older position than q.
func (p Position) Before(q Position) bool {
	return p.Era < q.Era || p.Era == q.Era && p.Revision < q.Revision
}

// MaxEra is more than any store is restored. A higher era in a message is a fault of
// its sender.
const MaxEra = 1 << 31

func (p Position) valid() bool { return p.Era >= 0 && p.Era <= MaxEra && p.Revision >= 0 }

// Record is one object of the platform's store, not decoded.
type Record struct {
	Name     string
	Revision int64 // of its last change, in the era of its collection
	Data     []byte
}

// Snapshot is a collection as of a position of the store.
type Snapshot struct {
	Position
	Records []Record
}

// Delta holds what changed in a router's copy of a collection after a revision.
type Delta struct {
	Position
	Since   int64    // revision of the same era after which it starts; 0: everything
	Records []Record // that changed after Since
	Names   []string // of all records in the collection
}

// ErrIncomplete means that a delta omits unchanged records that this router's
// copy does not have.
var ErrIncomplete = errors.New("delta omits records that the local copy lacks")

// Change is the change of one record.
type Change struct {
	Record
	Deleted bool
}

// Changes are the changes of a collection after a revision.
type Changes struct {
	Position // from which the next watch continues
	Changes  []Change
}

// ErrCompacted means that the store no longer keeps the history after the
// requested revision, so the collection has to be listed again.
var ErrCompacted = errors.New("store has compacted the history after this revision")

// ErrWatchInterrupted means that the store ended a pending watch. The store
// itself may be healthy.
var ErrWatchInterrupted = errors.New("store interrupted the watch")

// Source reads the platform's store.
type Source interface {
	// List returns the current state of a collection.
	List(ctx context.Context, kind Kind) (Snapshot, error)
	// Watch returns what changed after a revision of the store's current era. It
	// waits for a change, and returns without one when the wait is over. The error
	// may be ErrCompacted or ErrWatchInterrupted.
	Watch(ctx context.Context, kind Kind, since int64, wait time.Duration) (Changes, error)
}
