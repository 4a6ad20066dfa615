package mesh

import (
	"log/slog"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

// The incarnation of a router is the time of day of its start, which may lie before
// that of an earlier start if the clock was set back. Peers ignore its heartbeats then,
// since they can't tell them from delayed ones of an earlier process. Those that hear
// no newer process tell it the incarnation that they know it by, which it exceeds.

// sendIncarnation tells a peer by which incarnation this router knows it. heard is a
// heartbeat of the peer with a lower one.
func (m *Mesh) sendIncarnation(now time.Time, p *Router, heard *peerpb.Beat) {
	m.mu.Lock()
	if p.Name != heard.Name || now.Sub(p.toldAt) < silentPeerInterval {
		m.mu.Unlock()
		return
	}
	p.toldAt = now
	known := []member{{Other: p.toMember(now)}}
	to := &Router{Address: p.Address, encoding: heard.Encoding}
	m.mu.Unlock()
	m.sendWithMembers(now, known, to)
}

// exceedIncarnation raises this router's incarnation above the one that a peer knows
// it by. The caller holds the lock.
func (m *Mesh) exceedIncarnation(own *peerpb.Other) {
	if own.Name != m.opts.Name || own.Incarnation <= m.incarnation {
		return
	}
	m.opts.Log.Log(oplog.StateChange, "mesh.incarnation_raised", slog.Int64("from", m.incarnation), slog.Int64("known", own.Incarnation))
	m.incarnation = own.Incarnation + 1
}
