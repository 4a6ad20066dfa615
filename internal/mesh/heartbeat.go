package mesh

import (
	"net/netip"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
	"github.com/cyclamenwinch/cyclamenwinch/internal/replica"
)

// heartbeat is the content of a heartbeat, in no particular encoding.
type heartbeat struct {
	rowsPerZone int
	state       State
	positions   map[replica.Kind]replica.Position
	news        []*peerpb.RecordNews
	parts       []*peerpb.RecordSetPart
	wholeRow    bool
	report      dispatch.Report
	members     []member
	describeAll bool // the compact encoding holds the members in full
}

// member is a router that a heartbeat reports.
type member struct {
	*peerpb.Other
	changed bool // recently, so the receiver may not know its new incarnation
}

// describe returns the full descriptions of members.
func describe(members []member, include func(member) bool) (out []*peerpb.Other) {
	for _, o := range members {
		if include(o) {
			out = append(out, o.Other)
		}
	}
	return out
}

// newHeartbeat returns a heartbeat with this router's own state.
func (m *Mesh) newHeartbeat(now time.Time) heartbeat {
	h := heartbeat{state: m.opts.State(), positions: m.opts.Replica.Positions()}
	h.report = h.state.Report
	m.mu.Lock()
	interval := m.heartbeatInterval
	h.rowsPerZone = m.grid.RowsPerZone
	m.mu.Unlock()
	h.news = recentChanges(m.opts.Replica, now, changeRepeats*interval, maxRecentBytes)
	return h
}

// encode returns the heartbeat as a message with the next sequence number.
func (m *Mesh) encode(h heartbeat, encoding uint32) *peerpb.Beat {
	m.mu.Lock()
	m.seq++
	seq, incarnation := m.seq, m.incarnation
	m.mu.Unlock()
	b := &peerpb.Beat{
		Name: m.opts.Name, Incarnation: incarnation, Number: seq, Front: m.opts.CallerAddress, Zone: m.opts.Zone,
		Ready: h.state.Ready, Leaving: h.state.Leaving, Reading: h.state.ReadsStore, Encoding: newestEncoding,
		Rows: toUint32(h.rowsPerZone), WholeRow: h.wholeRow, News: h.news, Parts: h.parts, Eras: encodeEras(h.positions),
		SpareCpu: toUint32(h.state.SpareCPU),
	}
	if encoding < compactEncoding {
		b.Revisions = map[string]int64{}
		for kind, at := range h.positions {
			b.Revisions[string(kind)] = at.Revision
		}
		b.Members = describe(h.members, func(member) bool { return true })
		encodeReport(b, h.report)
		return b
	}
	b.Copies = encodeCopies(h.positions)
	b.Members = describe(h.members, func(o member) bool { return h.describeAll || o.changed })
	b.MemberStates = encodeMemberStates(h.members)
	m.encodeCompactReport(b, h.report)
	return b
}

// addresses are the recipients of a heartbeat, by the encoding that they read.
type addresses struct{ plain, compact []netip.Addr }

func (a *addresses) add(p *Router) {
	if p.encoding >= compactEncoding {
		a.compact = append(a.compact, p.Address)
	} else {
		a.plain = append(a.plain, p.Address)
	}
}

func (a *addresses) len() int { return len(a.plain) + len(a.compact) }

// sendHeartbeat sends a heartbeat to each recipient in the encoding that it reads.
func (m *Mesh) sendHeartbeat(h heartbeat, to addresses) {
	if len(to.plain) > 0 {
		m.send(m.encode(h, plainEncoding), to.plain)
	}
	if len(to.compact) > 0 {
		m.send(m.encode(h, compactEncoding), to.compact)
	}
}

// describeInterval is the time after which other rows are sent the full descriptions
// of this row's routers again: a receiver may have missed their last change.
const describeInterval = time.Second

// mustDescribeMembers reports whether describeInterval has passed, and starts it anew.
func (m *Mesh) mustDescribeMembers(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.describedAt) < describeInterval {
		return false
	}
	m.describedAt = now
	return true
}
