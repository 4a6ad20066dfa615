package mesh

import (
	"encoding/binary"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/grid"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
	"github.com/cyclamenwinch/cyclamenwinch/internal/replica"
)

// rowState describes the last accepted report of another row.
type rowState struct {
	representative string // router that sent the report
	members        int    // live routers of the row, as seen by the representative
	receivedAt     time.Time
}

// rowReportName returns the name that identifies a row's report among the
// reports of routers.
func rowReportName(row string) string { return "row " + row }

// inRow reports whether a peer is in this router's row, so that the two exchange
// their own state. A peer without a name is a seed address that has not been
// heard yet; it counts as in the row. The caller holds the lock.
func (m *Mesh) inRow(p *Router) bool {
	return p.Name == "" || p.row == m.row
}

// recipients are the peers that get a heartbeat in this round.
type recipients struct {
	own     addresses // get this router's state and recent changes of records
	current addresses // get its state only: they have reported the same revisions
	row     addresses // get the state of its row
}

// heartbeatRecipients returns the peers that get a heartbeat now, and the other
// live routers of this router's row. This router's state goes to its whole row;
// the row's state goes to the routers of other rows for which this router is the
// representative. Silent peers get a heartbeat every silentPeerInterval.
func (m *Mesh) heartbeatRecipients(now time.Time) (recipients, []member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out recipients
	positions := m.opts.Replica.Positions()
	members, names := m.aliveMembers(now)
	slices.Sort(names)
	if !slices.Equal(names, m.rowNames) {
		m.rowNames = names
		for _, p := range m.peers {
			p.representedBy = ""
		}
	}
	for _, p := range m.peers {
		own := m.inRow(p)
		if !own && m.representative(p) != m.opts.Name {
			continue
		}
		if now.Sub(p.LastHeard) >= aliveTimeout && now.Sub(p.sentAt) < silentPeerInterval {
			continue
		}
		p.sentAt = now
		switch {
		case !own:
			out.row.add(p)
		case p.hasReached(positions):
			out.current.add(p)
		default:
			out.own.add(p)
		}
	}
	return out, members
}

// hasReached reports whether the peer's last heartbeat named these positions or
// newer ones.
func (p *Router) hasReached(positions map[replica.Kind]replica.Position) bool {
	for kind, at := range positions {
		if theirs, ok := p.positions[kind]; p.follows(kind) && (!ok || p.lacks(theirs, at)) {
			return false
		}
	}
	return true
}

// follows reports whether a peer may have a copy of a collection. One that has none of
// the roll-outs may be of an older build; if it starts, it fetches or reads them.
func (p *Router) follows(kind replica.Kind) bool {
	_, ok := p.positions[kind]
	return ok || kind != replica.Rollouts
}

// lacks reports whether a position of the peer is older than another one. A peer
// that does not know eras compares revisions, and so would accept no other records.
func (p *Router) lacks(theirs, at replica.Position) bool {
	if p.encoding < eraEncoding {
		return theirs.Revision < at.Revision
	}
	return theirs.Before(at)
}

// representative returns the router of this router's row that reports the row to a
// router outside it. The caller holds the lock.
func (m *Mesh) representative(p *Router) string {
	if p.representedBy == "" {
		p.representedBy = grid.Representative(p.Name, m.rowNames)
	}
	return p.representedBy
}

// aliveMembers returns the live routers of this router's row: first their
// descriptions, without this router, then their names, with it. Both are empty
// if the fleet is one row. The caller holds the lock.
func (m *Mesh) aliveMembers(now time.Time) ([]member, []string) {
	if m.grid.RowsPerZone == 0 {
		return nil, nil
	}
	var members []member
	names := []string{m.opts.Name}
	recent := changeRepeats * m.heartbeatInterval
	for _, p := range m.peers {
		if p.Name == "" || !m.inRow(p) || now.Sub(p.LastHeard) >= aliveTimeout {
			continue
		}
		names = append(names, p.Name)
		members = append(members, member{p.toMember(now), now.Sub(p.changedAt) < recent})
	}
	return members, names
}

// toMember encodes what this router knows about a peer, for other routers.
func (p *Router) toMember(now time.Time) *peerpb.Other {
	return &peerpb.Other{
		Name: p.Name, Address: packIPv4(p.Address), Front: p.CallerAddress, Zone: p.Zone, Incarnation: p.Incarnation,
		Ready: p.Ready, Leaving: p.Leaving, Reading: p.ReadsStore, AgeMs: toUint32(int(now.Sub(p.LastHeard) / time.Millisecond)), Encoding: p.encoding,
		SpareCpu: toUint32(p.SpareCPU),
	}
}

// packIPv4 returns an IPv4 address as a big-endian number.
func packIPv4(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func unpackIPv4(number uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], number)
	return netip.AddrFrom4(b)
}

// mergeMembers applies what a peer reports about other routers. The caller holds the
// lock.
func (m *Mesh) mergeMembers(now time.Time, others []*peerpb.Other) {
	for _, o := range others {
		m.mergeMember(now, o)
	}
}

// handleRowReport passes on the load of another row, provided that this router
// and the representative divide the fleet into the same number of rows.
func (m *Mesh) handleRowReport(now time.Time, b *peerpb.Beat, r dispatch.Report) {
	m.mu.Lock()
	row := m.grid.Row(b.Zone, b.Name)
	accepted := int(b.Rows) == m.grid.RowsPerZone && row != m.row && m.acceptsRow(now, row, b)
	m.mu.Unlock()
	if accepted {
		m.opts.OnRowReport(rowReportName(row), r)
	}
}

// sendMembers sends live routers to a peer that divides the fleet into fewer rows
// than this router does: the peer may know too few routers to learn of the others by
// heartbeats. It does so at most every silentPeerInterval, and sends a random
// selection: the peer gets a different one from each router that it has reached.
func (m *Mesh) sendMembers(now time.Time, p *Router, b *peerpb.Beat) {
	m.mu.Lock()
	if int(b.Rows) >= m.grid.RowsPerZone || now.Sub(p.membersSentAt) < silentPeerInterval {
		m.mu.Unlock()
		return
	}
	p.membersSentAt = now
	others := m.aliveExcept(now, p)
	m.mu.Unlock()
	m.sendWithMembers(now, others[:min(len(others), maxGossipMembers)], p)
}

// aliveExcept returns the descriptions of all live routers but one, in random
// order. The caller holds the lock.
func (m *Mesh) aliveExcept(now time.Time, p *Router) (others []member) {
	for _, o := range m.peers {
		if o != p && o.Name != "" && now.Sub(o.LastHeard) < aliveTimeout {
			others = append(others, member{Other: o.toMember(now)})
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others
}

// sendWithMembers sends this router's state and the full descriptions of others to
// one router.
func (m *Mesh) sendWithMembers(now time.Time, members []member, p *Router) {
	h := m.newHeartbeat(now)
	h.members, h.describeAll = members, true
	m.mu.Lock()
	var to addresses
	to.add(p)
	m.mu.Unlock()
	m.sendHeartbeat(h, to)
}

const (
	// gossipInterval is the time between two gossips about live routers.
	gossipInterval = time.Second
	// maxGossipMembers limits the routers that are sent to one that may not know
	// them, and so the size of the heartbeat to about 4 KB.
	maxGossipMembers = 64
)

// gossip tells one random live router of others, at most every gossipInterval.
// Without it, two routers of a row that missed each other's first heartbeats may
// never be introduced: a row reports its members to other rows only.
func (m *Mesh) gossip(now time.Time) {
	m.mu.Lock()
	if now.Sub(m.gossipedAt) < gossipInterval {
		m.mu.Unlock()
		return
	}
	m.gossipedAt = now
	others := m.aliveExcept(now, nil)
	if len(others) < 2 {
		m.mu.Unlock()
		return
	}
	to := m.peers[unpackIPv4(others[0].Address)]
	m.mu.Unlock()
	m.sendWithMembers(now, others[1:min(len(others), maxGossipMembers)], to)
}

// acceptsRow reports whether to use this representative's report of a row. While
// several routers report the same row, the one that hears the most members of
// it wins. The caller holds the lock.
func (m *Mesh) acceptsRow(now time.Time, row string, b *peerpb.Beat) bool {
	old, known := m.rows[row]
	if known && old.representative != b.Name && old.members > reportedMembers(b) && now.Sub(old.receivedAt) < 3*m.heartbeatInterval {
		return false
	}
	m.rows[row] = rowState{representative: b.Name, members: reportedMembers(b), receivedAt: now}
	return true
}

// reportedMembers returns how many routers a heartbeat reports.
func reportedMembers(b *peerpb.Beat) int {
	return max(len(b.Members), len(b.MemberStates.GetAddresses()))
}

// mergeMember applies what a peer reports about another router, unless this
// router knows something newer. The caller holds the lock.
func (m *Mesh) mergeMember(now time.Time, member *peerpb.Other) {
	address := unpackIPv4(member.Address)
	heard := now.Add(-time.Duration(member.AgeMs) * time.Millisecond)
	if address == m.opts.Address.Addr() {
		m.exceedIncarnation(member)
		return
	}
	if member.Name == "" {
		return
	}
	p := m.peer(address)
	if member.Incarnation < p.Incarnation || member.Incarnation == p.Incarnation && heard.Before(p.LastHeard) {
		return
	}
	if member.Incarnation > p.Incarnation {
		p.lastSeq, p.encoding = 0, plainEncoding
	}
	p.encoding = max(p.encoding, member.Encoding)
	m.updatePeer(p, heard, peerState{member.Name, member.Front, member.Zone, member.Incarnation, member.Ready, member.Leaving, member.Reading, int(member.SpareCpu)})
}

// peerState is what a router reports about itself.
type peerState struct {
	name, callerAddress, zone  string
	incarnation                int64
	ready, leaving, readsStore bool
	spareCPU                   int
}

// updatePeer stores a peer's state. If the peer was silent before, or its
// incarnation, readiness or leaving flag has changed, it logs this and marks the
// known routers as changed. The caller holds the lock.
func (m *Mesh) updatePeer(p *Router, heard time.Time, s peerState) {
	if p.Name != s.name || p.Zone != s.zone {
		p.row, p.representedBy = m.grid.Row(s.zone, s.name), ""
	}
	changed := !p.loggedAlive || p.Ready != s.ready || p.Leaving != s.leaving || p.Incarnation != s.incarnation
	p.Name, p.CallerAddress, p.Zone, p.Incarnation = s.name, s.callerAddress, s.zone, s.incarnation
	p.Ready, p.Leaving, p.ReadsStore, p.LastHeard, p.loggedAlive = s.ready, s.leaving, s.readsStore, heard, true
	p.SpareCPU = s.spareCPU
	if changed {
		m.knownChanged, p.changedAt = true, heard
		m.opts.Log.Log(oplog.StateChange, "peer.state", slog.String("peer", s.name), slog.Int64("incarnation", s.incarnation),
			slog.Bool("ready", s.ready), slog.Bool("leaving", s.leaving))
	}
}
