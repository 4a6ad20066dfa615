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

// AddPeer makes the router known at an address. Name and zone may be empty
// until a beat comes; registered says that the platform's store names it.
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
	m.tellRouters(time.Now())
}

// peer returns the peer at an address; the lock is held.
func (m *Mesh) peer(address netip.Addr) *Router {
	p, ok := m.peers[address]
	if !ok {
		p = &Router{Address: address, fetching: map[replica.Kind]bool{}}
		m.peers[address] = p
	}
	return p
}

// Alive returns the routers that have been heard of late, by name.
func (m *Mesh) Alive() []Router {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var out []Router
	for _, p := range m.peers {
		if p.Name != "" && now.Sub(p.LastHeard) < aliveFor {
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

// noteSilence logs peers that have fallen silent and forgets those that were
// never registered.
func (m *Mesh) noteSilence(now time.Time) {
	var silent []Router
	m.mu.Lock()
	for address, p := range m.peers {
		if p.alive && now.Sub(p.LastHeard) >= aliveFor {
			p.alive = false
			silent = append(silent, *p)
		}
		if !p.alive && !p.Registered && !p.LastHeard.IsZero() && now.Sub(p.LastHeard) >= knownFor {
			delete(m.peers, address)
		}
	}
	m.mu.Unlock()
	for _, p := range silent {
		m.opts.Log.Log(oplog.StateChange, "peer.silent", slog.String("peer", p.Name), slog.Duration("age", now.Sub(p.LastHeard)))
	}
	if len(silent) > 0 {
		m.tellRouters(now)
	}
}

// tellRouters passes on which routers may be running, if that has changed.
func (m *Mesh) tellRouters(now time.Time) {
	m.mu.Lock()
	names, zones := map[string]bool{m.opts.Name: true}, map[string]bool{m.opts.Zone: true}
	for _, p := range m.peers {
		if p.Name != "" && (p.Registered || now.Sub(p.LastHeard) < knownFor) {
			names[p.Name] = true
			zones[p.Zone] = true
		}
	}
	m.grid = grid.New(len(names), len(zones))
	sorted := slices.Sorted(maps.Keys(names))
	same := slices.Equal(sorted, m.routers)
	m.routers = sorted
	m.mu.Unlock()
	if !same {
		m.opts.OnRoutersChanged(sorted)
	}
}

// Unresponsive returns the registered routers that have been silent for longer than
// the given time since they were last heard.
func (m *Mesh) Unresponsive(silent time.Duration) []Router {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Router
	for _, p := range m.peers {
		if p.Registered && !p.LastHeard.IsZero() && time.Since(p.LastHeard) > silent {
			out = append(out, *p)
		}
	}
	return out
}
