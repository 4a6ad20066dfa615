package mesh

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/grid"
)

const (
	// readersWanted is how many routers read the platform's store for all: a
	// read that has gone silent, a router that stands still and one that the
	// store turns away must not keep a change from the others.
	readersWanted = 4
	// readersMost bounds how many try while the store turns routers away, so
	// that its return meets few calls.
	readersMost = 12
)

// readersKey orders the routers for reading the store.
var readersKey = xxhash.Sum64String("readers")

// ShouldReadStore reports whether this router reads the store: it is among the first of
// the routers that it hears, leaving out those whose reads fail.
func (m *Mesh) ShouldReadStore() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := grid.Weight(readersKey, m.opts.Name)
	now := time.Now()
	before, good := 0, 0
	for _, p := range m.peers {
		if p.Name == "" || p.Leaving || now.Sub(p.LastHeard) >= aliveFor || grid.Weight(readersKey, p.Name) < own {
			continue
		}
		before++
		if p.ReadsStore {
			good++
		}
	}
	return before < readersMost && good < readersWanted
}
