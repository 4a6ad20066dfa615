package mesh

import (
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/grid"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/replica"
)

// AddPeer adds the router at an address. Its name and zone may be empty until
// its first heartbeat arrives; registered says that it has an entry in the
// platform's store.
func (m *Mesh) AddPeer(name, zone string, address netip.Addr, registered bool) {
	if address == m.opts.Address.Addr() {
		return
	}
	m.mu.Lock()
	p := m.peer(address)
	if p.Name == "" {
		p.Name, p.Zone = name, zone
	}
	p.Registered = p.Registered || registered
	m.mu.Unlock()
	m.updateKnownRouters(time.Now())
}

// peer returns the peer at an address and creates it if necessary. The caller
// holds the lock.
func (m *Mesh) peer(address netip.Addr) *Router {
	p, ok := m.peers[address]
	if !ok {
		p = &Router{Address: address, fetching: map[replica.Kind]bool{}, outgoing: map[replica.Kind]*outgoingPush{}, incoming: map[replica.Kind]*incomingPush{}}
		m.peers[address] = p
	}
	return p
}

// setRevisions stores the revisions that a peer has reported.
func (p *Router) setRevisions(revisions map[string]int64) {
	p.revisions = map[replica.Kind]int64{}
	for _, kind := range replica.Kinds {
		p.revisions[kind] = revisions[string(kind)]
	}
}

// Alive returns the routers heard within aliveTimeout, sorted by name.
func (m *Mesh) Alive() []Router {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var out []Router
	for _, p := range m.peers {
		if p.Name != "" && now.Sub(p.LastHeard) < aliveTimeout {
			out = append(out, *p)
		}
	}
	slices.SortFunc(out, func(a, b Router) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

// detectSilentPeers logs peers that have stopped sending heartbeats. It removes
// those that are not registered after unregisteredTimeout.
func (m *Mesh) detectSilentPeers(now time.Time) {
	var silent []Router
	m.mu.Lock()
	for address, p := range m.peers {
		if p.loggedAlive && now.Sub(p.LastHeard) >= aliveTimeout {
			p.loggedAlive = false
			silent = append(silent, *p)
		}
		if !p.loggedAlive && !p.Registered && !p.LastHeard.IsZero() && now.Sub(p.LastHeard) >= unregisteredTimeout {
			delete(m.peers, address)
		}
	}
	m.mu.Unlock()
	for _, p := range silent {
		m.opts.Log.Log(oplog.StateChange, "peer.silent", slog.String("peer", p.Name), slog.Duration("age", now.Sub(p.LastHeard)))
	}
	if len(silent) > 0 {
		m.updateKnownRouters(now)
	}
}

// updateKnownRouters recomputes which routers may be running, and the grid, and
// calls OnRoutersChanged if their names have changed.
func (m *Mesh) updateKnownRouters(now time.Time) {
	m.mu.Lock()
	names, zones := map[string]bool{m.opts.Name: true}, map[string]bool{m.opts.Zone: true}
	for _, p := range m.peers {
		if p.Name != "" && (p.Registered || now.Sub(p.LastHeard) < unregisteredTimeout) {
			names[p.Name] = true
			zones[p.Zone] = true
		}
	}
	m.grid = grid.New(len(names), len(zones))
	sorted := slices.Sorted(maps.Keys(names))
	same := slices.Equal(sorted, m.knownRouters)
	m.knownRouters = sorted
	m.mu.Unlock()
	if !same {
		m.opts.OnRoutersChanged(sorted)
	}
}

// Unresponsive returns the registered routers that were heard at least once, but
// not within the threshold.
func (m *Mesh) Unresponsive(threshold time.Duration) []Router {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Router
	for _, p := range m.peers {
		if p.Registered && !p.LastHeard.IsZero() && time.Since(p.LastHeard) > threshold {
			out = append(out, *p)
		}
	}
	return out
}
