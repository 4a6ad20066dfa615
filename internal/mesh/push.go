package mesh

import (
	"bytes"
	"compress/flate"
	"io"
	"log/slog"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/cyclamenwinch/cyclamenwinch/core/grid"
	"github.com/cyclamenwinch/cyclamenwinch/internal/limitio"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
	"github.com/cyclamenwinch/cyclamenwinch/internal/replica"
)

// A router that has no CPU time to spare can't complete calls in time, but reads
// datagrams before other work. Two routers of its row therefore send it the
// records of a collection as datagrams if its copy stays older than theirs.
const (
	// pushDelay is how long a peer's copy must have been older. It exceeds the
	// time in which a router fetches a change by a call.
	pushDelay = 500 * time.Millisecond
	// pushInterval is the time after which a collection is pushed to a peer again.
	pushInterval = 250 * time.Millisecond
	// partsPerRound is how many parts are sent to a peer with each round of
	// heartbeats. More than a few overflow the receive buffer of its socket.
	partsPerRound = 4
	// pushersPerPeer is how many routers push to a peer: one of them may be
	// behind itself.
	pushersPerPeer = 2
	// maxPartBytes is the data in one datagram.
	maxPartBytes = 16 << 10
	// maxParts limits what is pushed. Larger collections are only fetched.
	maxParts = 64
)

// positionTime is when this router's copy of a collection reached a position.
type positionTime struct {
	position replica.Position
	at       time.Time
}

// maxPositionTimes is how many positions of a collection are remembered. Older
// ones are more than pushDelay ago unless the collection changes in each round of
// heartbeats.
const maxPositionTimes = 64

// encodedPush is a collection's changes after a position, ready to be sent.
type encodedPush struct {
	since, at replica.Position
	parts     []*peerpb.RecordSetPart
}

// incomingPush collects the parts of a push.
type incomingPush struct {
	since   int64
	at      replica.Position
	parts   [][]byte
	missing int
}

// pushes is the state of pushing to peers that are behind. The mesh's lock guards
// reached only; the rest is used by Send alone.
type pushes struct {
	reached map[replica.Kind][]positionTime
	encoded map[replica.Kind]encodedPush
}

func newPushes() pushes {
	return pushes{reached: map[replica.Kind][]positionTime{}, encoded: map[replica.Kind]encodedPush{}}
}

// recordPositions remembers when this router's copies reached their positions.
func (m *Mesh) recordPositions(now time.Time, ours map[replica.Kind]replica.Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for kind, at := range ours {
		times := m.pushes.reached[kind]
		if len(times) > 0 && !times[len(times)-1].position.Before(at) {
			continue
		}
		if len(times) >= maxPositionTimes {
			times = slices.Delete(times, 0, 1)
		}
		m.pushes.reached[kind] = append(times, positionTime{at, now})
	}
}

// outgoingPush is a collection that is being sent to a peer.
type outgoingPush struct {
	since, revision int64 // of the parts
	era             int64
	next            int       // index of the next part
	startedAt       time.Time // of the first part
}

// push is one collection to be sent to one peer.
type push struct {
	to    addresses
	kind  replica.Kind
	since replica.Position
	state *outgoingPush
}

// pushToLaggards sends records to those routers of this row whose copies have been
// older than this router's for pushDelay.
func (m *Mesh) pushToLaggards(now time.Time) {
	m.recordPositions(now, m.opts.Replica.Positions())
	for _, p := range m.duePushes(now) {
		parts, err := m.encodePush(p.kind, p.since)
		if err != nil {
			m.opts.Log.Log(oplog.StateChange, "mesh.push_not_sent", slog.String("collection", string(p.kind)), slog.String("error", err.Error()))
			continue
		}
		for _, part := range p.state.nextParts(now, parts) {
			h := m.newHeartbeat(now)
			h.news, h.parts = nil, []*peerpb.RecordSetPart{part}
			m.sendHeartbeat(h, p.to)
		}
	}
}

// nextParts returns the parts to be sent in this round. After the last one it starts
// again, at most every pushInterval, since datagrams get lost.
func (o *outgoingPush) nextParts(now time.Time, parts []*peerpb.RecordSetPart) []*peerpb.RecordSetPart {
	if p := parts[0]; o.since != p.Since || o.revision != p.Revision || o.era != p.Era {
		*o = outgoingPush{since: p.Since, revision: p.Revision, era: p.Era}
	}
	if o.next >= len(parts) {
		if now.Sub(o.startedAt) < pushInterval {
			return nil
		}
		o.next = 0
	}
	if o.next == 0 {
		o.startedAt = now
	}
	first := o.next
	o.next = min(first+partsPerRound, len(parts))
	return parts[first:o.next]
}

// duePushes returns what is to be pushed now.
func (m *Mesh) duePushes(now time.Time) (due []push) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.Name == "" || p.positions == nil || !m.inRow(p) || now.Sub(p.LastHeard) >= aliveTimeout {
			continue
		}
		for _, kind := range m.opts.Replica.Kinds() {
			if p.follows(kind) && m.isBehind(now, kind, p) && m.isPusherFor(now, p) {
				var to addresses
				to.add(p)
				due = append(due, push{to: to, kind: kind, since: p.positions[kind], state: p.outgoingPush(kind)})
			}
		}
	}
	return due
}

// outgoingPush returns the state of pushing a collection to a peer. The caller holds
// the lock; the state itself is used by Send alone.
func (p *Router) outgoingPush(kind replica.Kind) *outgoingPush {
	if p.outgoing[kind] == nil {
		p.outgoing[kind] = &outgoingPush{}
	}
	return p.outgoing[kind]
}

// isBehind reports whether this router's copy has been beyond that of a peer for
// pushDelay. The caller holds the lock.
func (m *Mesh) isBehind(now time.Time, kind replica.Kind, p *Router) bool {
	times := m.pushes.reached[kind]
	for _, reached := range times {
		if p.encoding < eraEncoding && reached.position.Era < times[len(times)-1].position.Era {
			continue // the peer would compare revisions of two eras
		}
		if p.lacks(p.positions[kind], reached.position) {
			return now.Sub(reached.at) >= pushDelay
		}
	}
	return false
}

// isPusherFor reports whether this router is one of those that push to a peer:
// the first pushersPerPeer of the row by rendezvous. The caller holds the lock.
func (m *Mesh) isPusherFor(now time.Time, peer *Router) bool {
	names := []string{m.opts.Name}
	for _, p := range m.peers {
		if p != peer && p.Name != "" && m.inRow(p) && now.Sub(p.LastHeard) < aliveTimeout {
			names = append(names, p.Name)
		}
	}
	for range pushersPerPeer {
		first := grid.Representative(peer.Name, names)
		if first == m.opts.Name {
			return true
		}
		names = slices.DeleteFunc(names, func(name string) bool { return name == first })
	}
	return false
}

// encodePush returns what changed in a collection after a position, in parts.
func (m *Mesh) encodePush(kind replica.Kind, since replica.Position) ([]*peerpb.RecordSetPart, error) {
	d, ok := m.opts.Replica.DeltaSince(kind, since)
	if !ok {
		return nil, errors.New("no copy of the collection")
	}
	if e := m.pushes.encoded[kind]; e.since == since && e.at == d.Position {
		return e.parts, nil
	}
	data, err := proto.Marshal(encodeDelta(d))
	if err != nil {
		return nil, errors.Wrap(err, "encode records")
	}
	compressed, err := compress(data)
	if err != nil {
		return nil, err
	}
	if len(compressed) > maxParts*maxPartBytes {
		return nil, errors.Newf("%d bytes are too many for datagrams", len(compressed))
	}
	e := encodedPush{since: since, at: d.Position}
	chunks := slices.Collect(slices.Chunk(compressed, maxPartBytes))
	for i, chunk := range chunks {
		e.parts = append(e.parts, &peerpb.RecordSetPart{Kind: string(kind), Since: d.Since, Era: d.Era, Revision: d.Revision,
			Index: toUint32(i), Count: toUint32(len(chunks)), Data: chunk})
	}
	m.pushes.encoded[kind] = e
	return e.parts, nil
}

func compress(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Wrap(err, "compress records")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress records")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress records")
	}
	return b.Bytes(), nil
}

// receiveParts collects the parts that a heartbeat carries, and applies the records
// once all parts have arrived.
func (m *Mesh) receiveParts(now time.Time, p *Router, parts []*peerpb.RecordSetPart) {
	for _, part := range parts {
		complete := m.collectPart(p, part)
		if complete == nil {
			continue
		}
		kind := replica.Kind(part.Kind)
		changed, err := m.applyPush(now, kind, part.Since, complete, p.Name)
		switch {
		case err != nil:
			m.opts.Log.Log(oplog.StateChange, "peer.push_failed", slog.String("peer", p.Name), slog.String("collection", part.Kind), slog.String("error", err.Error()))
		case changed:
			m.opts.Log.Log(oplog.StateChange, "peer.records_pushed", slog.String("peer", p.Name), slog.String("collection", part.Kind), slog.Int64("revision", part.Revision))
		}
	}
}

// collectPart stores a part. It returns the whole data if this was the last
// missing part, otherwise nil.
func (m *Mesh) collectPart(p *Router, part *peerpb.RecordSetPart) []byte {
	if part.Count == 0 || part.Count > maxParts || part.Index >= part.Count || len(part.Data) > maxPartBytes {
		heartbeatsInvalid.Inc()
		return nil
	}
	kind := replica.Kind(part.Kind)
	at := replica.Position{Era: part.Era, Revision: part.Revision}
	if !m.opts.Replica.Positions()[kind].Before(at) {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	in := p.incoming[kind]
	if in == nil || in.since != part.Since || in.at != at || len(in.parts) != int(part.Count) {
		in = &incomingPush{since: part.Since, at: at, parts: make([][]byte, part.Count), missing: int(part.Count)}
		p.incoming[kind] = in
	}
	if in.parts[part.Index] == nil {
		in.parts[part.Index] = part.Data
		in.missing--
	}
	if in.missing > 0 {
		return nil
	}
	delete(p.incoming, kind)
	return slices.Concat(in.parts...)
}

// applyPush decodes and applies pushed records.
func (m *Mesh) applyPush(now time.Time, kind replica.Kind, since int64, compressed []byte, from string) (bool, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	data, err := io.ReadAll(&limitio.Reader{R: r, Remaining: maxMessageBytes})
	if err != nil {
		return false, errors.Wrap(err, "decompress records")
	}
	var set peerpb.RecordSet
	if err := proto.Unmarshal(data, &set); err != nil {
		return false, errors.Wrap(err, "decode records")
	}
	return m.opts.Replica.ApplyDelta(now, kind, decodeDelta(since, &set), from)
}
