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
		p.Name, p.Zone, p.row, p.representedBy = name, zone, m.grid.Row(zone, name), ""
	}
	p.Registered = p.Registered || registered
	m.knownChanged = true
	m.mu.Unlock()
	m.updateKnownRouters(time.Now())
}

// SetRegistered sets which peers have an entry in the platform's store: those at the
// given addresses. The others count only while they are heard.
func (m *Mesh) SetRegistered(addresses map[netip.Addr]bool) {
	m.mu.Lock()
	for address, p := range m.peers {
		if p.Registered != addresses[address] {
			p.Registered, m.knownChanged = addresses[address], true
		}
	}
	m.mu.Unlock()
	m.updateKnownRouters(time.Now())
}

// peer returns the peer at an address and creates it if necessary. The caller
// holds the lock.
func (m *Mesh) peer(address netip.Addr) *Router {
	p, ok := m.peers[address]
	if !ok {
		p = &Router{Address: address, AddedAt: time.Now(), fetching: map[replica.Kind]bool{}, outgoing: map[replica.Kind]*outgoingPush{}, incoming: map[replica.Kind]*incomingPush{}}
		m.peers[address] = p
	}
	return p
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

// SpareCPU is the CPU time that a live router offers to others.
type SpareCPU struct {
	Name        string
	Address     netip.Addr
	Zone        string
	Thousandths int // of a core; 0 unless the router is ready and not leaving
}

// SpareCPU returns the other live routers, in no particular order, and whether the fleet
// is a grid.
func (m *Mesh) SpareCPU() ([]SpareCPU, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	out := make([]SpareCPU, 0, len(m.peers))
	for _, p := range m.peers {
		if p.Name == "" || now.Sub(p.LastHeard) >= aliveTimeout {
			continue
		}
		r := SpareCPU{Name: p.Name, Address: p.Address, Zone: p.Zone}
		if p.Ready && !p.Leaving {
			r.Thousandths = p.SpareCPU
		}
		out = append(out, r)
	}
	return out, m.grid.RowsPerZone > 0
}

// NameOf returns the name of the live or silent router to which clients connect at an
// address, or "" if there is none.
func (m *Mesh) NameOf(callerAddress string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.CallerAddress == callerAddress {
			return p.Name
		}
	}
	return ""
}

// detectSilentPeers logs peers that have stopped sending heartbeats. It removes
// those that are not registered after unregisteredTimeout.
func (m *Mesh) detectSilentPeers(now time.Time) {
	var silent []Router
	m.mu.Lock()
	for address, p := range m.peers {
		if p.loggedAlive && now.Sub(p.LastHeard) >= aliveTimeout {
			p.loggedAlive, m.knownChanged = false, true
			silent = append(silent, *p)
		}
		if !p.loggedAlive && !p.Registered && p.Name != "" && now.Sub(p.LastHeard) >= unregisteredTimeout && now.Sub(p.AddedAt) >= unregisteredTimeout {
			delete(m.peers, address)
			m.knownChanged = true
		}
	}
	m.mu.Unlock()
	for _, p := range silent {
		m.opts.Log.Log(oplog.StateChange, "peer.silent", slog.String("peer", p.Name), slog.Duration("age", now.Sub(p.LastHeard)))
	}
	m.updateKnownRouters(now)
}

// updateKnownRouters recomputes which routers may be running, and the grid, if they
// may have changed. It calls OnRoutersChanged if their names have.
func (m *Mesh) updateKnownRouters(now time.Time) {
	m.mu.Lock()
	if !m.knownChanged {
		m.mu.Unlock()
		return
	}
	m.knownChanged = false
	names, zones := map[string]bool{m.opts.Name: true}, map[string]bool{m.opts.Zone: true}
	for _, p := range m.peers {
		if p.Name != "" && (p.Registered || now.Sub(p.LastHeard) < unregisteredTimeout) {
			names[p.Name] = true
			zones[p.Zone] = true
		}
	}
	m.setGrid(grid.New(len(names), len(zones)))
	sorted := slices.Sorted(maps.Keys(names))
	same := slices.Equal(sorted, m.knownRouters)
	m.knownRouters = sorted
	m.mu.Unlock()
	if !same {
		m.opts.OnRoutersChanged(sorted)
	}
}

// setGrid sets the arrangement of the fleet in rows. The caller holds the lock.
func (m *Mesh) setGrid(g grid.Grid) {
	if g == m.grid {
		return
	}
	m.grid, m.row = g, g.Row(m.opts.Zone, m.opts.Name)
	for _, p := range m.peers {
		p.row, p.representedBy = g.Row(p.Zone, p.Name), ""
	}
}

// Unresponsive returns the registered routers that were not heard within the
// threshold, nor added within it.
func (m *Mesh) Unresponsive(threshold time.Duration) []Router {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Router
	for _, p := range m.peers {
		if p.Registered && time.Since(p.LastHeard) > threshold && time.Since(p.AddedAt) > threshold {
			out = append(out, *p)
		}
	}
	return out
}
