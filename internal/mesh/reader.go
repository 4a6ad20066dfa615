package mesh

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/grid"
	"github.com/cyclamenwinch/cyclamenwinch/internal/replica"
)

const (
	// targetReaders is how many routers read the platform's store on behalf of
	// the fleet. A change must still reach all routers if one reader's watch
	// stalls, a second reader hangs and the store rejects a third.
	targetReaders = 4
	// maxReaders limits how many routers try to read while the store rejects
	// calls, so that it gets few calls when it recovers.
	maxReaders = 12
)

// readersKey is the rendezvous hash key that ranks routers as readers of the
// store.
var readersKey = xxhash.Sum64String("readers")

// ShouldReadStore reports whether this router is one of the readers of the store:
// fewer than maxReaders live routers rank above it, and fewer than targetReaders
// of those read the store successfully. Routers that don't know eras are left out:
// they do not follow a store that is restored.
func (m *Mesh) ShouldReadStore() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := grid.Weight(readersKey, m.opts.Name)
	now := time.Now()
	higher, reading := 0, 0
	for _, p := range m.peers {
		if p.Name == "" || p.Leaving || p.encoding < eraEncoding || now.Sub(p.LastHeard) >= aliveTimeout || grid.Weight(readersKey, p.Name) < own {
			continue
		}
		higher++
		if p.ReadsStore {
			reading++
		}
	}
	return higher < maxReaders && reading < targetReaders
}

// orderReaders is how many routers of each row of a large fleet read the orders of
// roll-outs. The others learn of changes from these, and from other rows.
const orderReaders = 2

// ShouldReadOrders is ShouldReadStore for the orders of roll-outs. Routers of older builds
// don't read them, and whether a router of another row does is not known, so each row has
// its own readers. In a fleet of one row they are those of the other collections.
func (m *Mesh) ShouldReadOrders() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	most := maxReaders
	if m.grid.RowsPerZone > 0 {
		most = orderReaders
	}
	own := grid.Weight(readersKey, m.opts.Name)
	now := time.Now()
	higher, reading := 0, 0
	for _, p := range m.peers {
		if p.Name == "" || !m.inRow(p) || p.Leaving || now.Sub(p.LastHeard) >= aliveTimeout || !p.follows(replica.Rollouts) || grid.Weight(readersKey, p.Name) < own {
			continue
		}
		higher++
		if p.ReadsStore {
			reading++
		}
	}
	return higher < most && reading < targetReaders
}

// PeersReadStore reports whether a live peer reads the store successfully.
func (m *Mesh) PeersReadStore() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, p := range m.peers {
		if p.ReadsStore && now.Sub(p.LastHeard) < aliveTimeout {
			return true
		}
	}
	return false
}
