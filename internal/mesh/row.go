package mesh

import (
	"encoding/binary"
	"log/slog"
	"net/netip"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/grid"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

// row is another row of the fleet as last heard.
type row struct {
	teller  string // who told it
	members int    // alive, as the teller saw it
	at      time.Time
}

// rowName names a row among the reports of routers.
func rowName(row string) string { return "row " + row }

// inRow reports whether a peer's own beats come to this router. A peer without
// a name is one that a seed names; the lock is held.
func (m *Mesh) inRow(p *Router) bool {
	return p.Name == "" || m.grid.Row(p.Zone, p.Name) == m.grid.Row(m.opts.Zone, m.opts.Name)
}

// targets are the peers that get a beat now.
type targets struct {
	own []netip.Addr // this router's state
	row []netip.Addr // that of its row
}

// due returns the peers that get a beat: of this router's state, all of its
// row; of its row's state, those for which it is the teller. Peers that are
// not heard get one now and then.
func (m *Mesh) due(now time.Time) (targets, []*peerpb.Other) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out targets
	members, names := m.members(now)
	for address, p := range m.peers {
		own := m.inRow(p)
		if !own && grid.Representative(p.Name, names) != m.opts.Name {
			continue
		}
		if now.Sub(p.LastHeard) >= aliveFor && now.Sub(p.sentAt) < silentEvery {
			continue
		}
		p.sentAt = now
		if own {
			out.own = append(out.own, address)
		} else {
			out.row = append(out.row, address)
		}
	}
	return out, members
}

// members returns the routers of this router's row that are alive, without
// itself for the beat and with itself by name; the lock is held.
func (m *Mesh) members(now time.Time) ([]*peerpb.Other, []string) {
	if m.grid.RowsPerZone == 0 {
		return nil, nil
	}
	var members []*peerpb.Other
	names := []string{m.opts.Name}
	for _, p := range m.peers {
		if p.Name == "" || !m.inRow(p) || now.Sub(p.LastHeard) >= aliveFor {
			continue
		}
		names = append(names, p.Name)
		members = append(members, p.other(now))
	}
	return members, names
}

// other describes a peer to other routers.
func (p *Router) other(now time.Time) *peerpb.Other {
	return &peerpb.Other{
		Name: p.Name, Address: packed(p.Address), Front: p.CallerAddress, Zone: p.Zone, Incarnation: p.Incarnation,
		Ready: p.Ready, Leaving: p.Leaving, Reading: p.ReadsStore, AgeMs: unsigned(int(now.Sub(p.LastHeard) / time.Millisecond)),
	}
}

// packed returns an IPv4 address as a number.
func packed(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func unpacked(number uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], number)
	return netip.AddrFrom4(b)
}

// othersTold takes over what a peer says of other routers. It reports whether
// that changed what is believed; the lock is held.
func (m *Mesh) othersTold(now time.Time, others []*peerpb.Other) bool {
	changed := false
	for _, o := range others {
		changed = m.otherTold(now, o) || changed
	}
	return changed
}

// rowTold takes over the load of another row if this router sees the same
// rows as the teller.
func (m *Mesh) rowTold(now time.Time, b *peerpb.Beat) {
	m.mu.Lock()
	told := m.grid.Row(b.Zone, b.Name)
	fits := int(b.Rows) == m.grid.RowsPerZone && told != m.grid.Row(m.opts.Zone, m.opts.Name) && m.takesRow(now, told, b)
	m.mu.Unlock()
	if fits {
		m.opts.OnRowReport(rowName(told), decodeReport(b))
	}
}

// introduce tells a peer that sees another number of rows of all routers: it
// may know too few to hear of the others.
func (m *Mesh) introduce(now time.Time, p *Router, b *peerpb.Beat) {
	m.mu.Lock()
	if int(b.Rows) >= m.grid.RowsPerZone || now.Sub(p.introducedAt) < silentEvery {
		m.mu.Unlock()
		return
	}
	p.introducedAt = now
	var others []*peerpb.Other
	for _, o := range m.peers {
		if o != p && o.Name != "" && now.Sub(o.LastHeard) < aliveFor {
			others = append(others, o.other(now))
		}
	}
	m.mu.Unlock()
	hello := m.beat()
	hello.Members = others
	m.send(hello, []netip.Addr{p.Address})
}

// takesRow reports whether a row's state goes by this teller: while several
// tell it, by the one that hears most of the row; the lock is held.
func (m *Mesh) takesRow(now time.Time, told string, b *peerpb.Beat) bool {
	old, known := m.heardRows[told]
	if known && old.teller != b.Name && old.members > len(b.Members) && now.Sub(old.at) < 3*m.spacing {
		return false
	}
	m.heardRows[told] = row{teller: b.Name, members: len(b.Members), at: now}
	return true
}

// otherTold takes over what a peer says of another router; the lock is held.
func (m *Mesh) otherTold(now time.Time, member *peerpb.Other) bool {
	address := unpacked(member.Address)
	heard := now.Add(-time.Duration(member.AgeMs) * time.Millisecond)
	if address == m.opts.Address.Addr() || member.Name == "" {
		return false
	}
	p := m.peer(address)
	if member.Incarnation < p.Incarnation || member.Incarnation == p.Incarnation && heard.Before(p.LastHeard) {
		return false
	}
	if member.Incarnation > p.Incarnation {
		p.number = 0
	}
	return m.update(p, heard, state{member.Name, member.Front, member.Zone, member.Incarnation, member.Ready, member.Leaving, member.Reading})
}

// state is what a router says of itself.
type state struct {
	name, front, zone       string
	incarnation             int64
	ready, leaving, reading bool
}

// update takes over a peer's state and reports whether it changed what is
// believed of the peer; the lock is held.
func (m *Mesh) update(p *Router, heard time.Time, s state) bool {
	changed := !p.alive || p.Ready != s.ready || p.Leaving != s.leaving || p.Incarnation != s.incarnation
	p.Name, p.CallerAddress, p.Zone, p.Incarnation = s.name, s.front, s.zone, s.incarnation
	p.Ready, p.Leaving, p.ReadsStore, p.LastHeard, p.alive = s.ready, s.leaving, s.reading, heard, true
	if changed {
		m.opts.Log.Log(oplog.StateChange, "peer.state", slog.String("peer", s.name), slog.Int64("incarnation", s.incarnation),
			slog.Bool("ready", s.ready), slog.Bool("leaving", s.leaving))
	}
	return changed
}
