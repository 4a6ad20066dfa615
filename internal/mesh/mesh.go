// Package mesh is what the routers of a prepared platform tell each other.
// State and load go out as datagrams many times a second: each holds the
// newest state whole, so a lost one does no harm and no connection can go
// silent. The platform's records go by gRPC calls, when a datagram says that
// a peer knows newer ones.
package mesh

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/grid"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
	"github.com/cyclamenwinch/cyclamenwinch/internal/replica"
)

const (
	// beatEvery is the shortest time between two beats: what peers know of a
	// router's load is about that old.
	beatEvery = 40 * time.Millisecond
	// beatPerPeer spaces beats further apart in a larger fleet, so that a
	// router sends about 160 a second.
	beatPerPeer = 6 * time.Millisecond
	// newsBeats is how many beats hold a change of the platform's records, since
	// some get lost; what is missed costs a call.
	newsBeats = 4
	// tellBeats is how many hold a placement, in a large fleet: one that is
	// missed costs little, and they are most of the bytes between zones.
	tellBeats = 2
	// silentEvery is the time between two beats to a peer that is not heard.
	silentEvery = 500 * time.Millisecond
	// aliveFor is how long a router counts as running after its last beat.
	aliveFor = 1500 * time.Millisecond
	// knownFor is how long a router that is not registered counts for the
	// division of limits after its last beat.
	knownFor = 30 * time.Second
	// maxDatagram is the largest payload of a UDP datagram.
	maxDatagram = 65_507
)

var (
	beatsSent     = metrics.NewCounter(`cyclamenwinch_beats_total{direction="sent"}`)
	beatsReceived = metrics.NewCounter(`cyclamenwinch_beats_total{direction="received"}`)
	beatsBad      = metrics.NewCounter("cyclamenwinch_beats_unreadable_total")
)

// State is what this router says of itself in each beat.
type State struct {
	Ready      bool
	Leaving    bool
	ReadsStore bool // reads of the platform's store succeed
	Report     dispatch.Report
}

// Options are the parts that a Mesh works with.
type Options struct {
	Name          string
	Zone          string
	Incarnation   int64
	CallerAddress string         // IP:port where clients connect
	Address       netip.AddrPort // of the datagrams and the calls; the port is the same at all routers
	Replica       *replica.Replica
	Log           *oplog.Logger
	State         func() State
	// RowReport is the sum of this router's report and those of other routers.
	RowReport   func(peers []string) dispatch.Report
	OnReport    func(peer string, r dispatch.Report) // of a router of the same row
	OnRowReport func(row string, r dispatch.Report)  // sum over another row
	// OnAnnounceDuration is told for how long news must be part of the beats.
	OnAnnounceDuration func(tell time.Duration)
	OnRoutersChanged   func(names []string) // all routers that may be running, sorted
}

// Router is another router as this one knows it.
type Router struct {
	Name          string
	Address       netip.Addr
	CallerAddress string
	Zone          string
	Incarnation   int64
	Ready         bool
	Leaving       bool
	ReadsStore    bool // its reads of the platform's store succeed
	Registered    bool // has an entry in the platform's store
	LastHeard     time.Time

	number uint64
	sentAt time.Time

	introducedAt time.Time // when it was told of all routers
	alive        bool      // as last logged
	fetching     map[replica.Kind]bool
}

// Mesh is this router's part. It is safe for concurrent use.
type Mesh struct {
	opts Options
	conn *net.UDPConn

	mu      sync.Mutex
	peers   map[netip.Addr]*Router
	number  uint64
	routers []string      // as last told to OnRouters
	grid    grid.Grid     // of the known routers
	spacing time.Duration // between beats
	calls   calls
	fetches map[replica.Kind]int // calls in progress
	news    chan struct{}

	heardRows map[string]row
}

// New returns a mesh without peers; its socket is open.
func New(opts Options) (*Mesh, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(opts.Address))
	if err != nil {
		return nil, errors.Wrap(err, "listen for beats")
	}
	return &Mesh{opts: opts, conn: conn, peers: map[netip.Addr]*Router{}, heardRows: map[string]row{}, spacing: beatEvery, news: make(chan struct{}, 1), calls: newCalls(), fetches: map[replica.Kind]int{}}, nil
}

// Close closes the socket and the connections to peers.
func (m *Mesh) Close() {
	m.conn.Close()
	m.calls.close()
}

// Send sends beats until the context ends.
func (m *Mesh) Send(ctx context.Context) error {
	for {
		m.SendHeartbeats()
		m.noteSilence(time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.news:
		case <-time.After(m.interval()):
		}
	}
}

// TriggerSend makes the next beat go out at once: the router knows something new of
// the platform.
func (m *Mesh) TriggerSend() {
	select {
	case m.news <- struct{}{}:
	default: // one beat tells all that is new
	}
}

// interval is the time to the next beat, by the number of peers that got the
// last one.
func (m *Mesh) interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.spacing
}

// SendHeartbeats sends this router's state to its row and the row's state to routers of
// other rows.
func (m *Mesh) SendHeartbeats() {
	to, members := m.due(time.Now())
	m.space(len(to.own) + len(to.row))
	own := m.beat()
	m.send(own, to.own)
	if len(to.row) == 0 {
		return
	}
	var names []string
	for _, member := range members {
		names = append(names, member.Name)
	}
	m.send(m.rowBeat(own, members, m.opts.RowReport(names)), to.row)
}

// space sets the time to the next beat.
func (m *Mesh) space(peers int) {
	spacing := max(beatEvery, time.Duration(peers)*beatPerPeer)
	m.mu.Lock()
	changed := spacing != m.spacing
	m.spacing = spacing
	m.mu.Unlock()
	if changed {
		m.opts.OnAnnounceDuration(tellBeats * spacing)
	}
}

func (m *Mesh) send(b *peerpb.Beat, to []netip.Addr) {
	if len(to) == 0 {
		return
	}
	datagram, err := proto.Marshal(b)
	if err != nil || len(datagram) > maxDatagram {
		m.opts.Log.Log(oplog.StateChange, "mesh.beat_not_sent", slog.Int("bytes", len(datagram)), slog.Any("error", err))
		return
	}
	for _, address := range to {
		// A beat that can't be sent is as good as lost; silence is logged.
		if _, err := m.conn.WriteToUDPAddrPort(datagram, netip.AddrPortFrom(address, m.opts.Address.Port())); err == nil {
			beatsSent.Inc()
		}
	}
}

// beat is this router's own state.
func (m *Mesh) beat() *peerpb.Beat {
	state := m.opts.State()
	m.mu.Lock()
	m.number++
	number, rows, spacing := m.number, m.grid.RowsPerZone, m.spacing
	m.mu.Unlock()
	b := &peerpb.Beat{
		Name: m.opts.Name, Incarnation: m.opts.Incarnation, Number: number, Front: m.opts.CallerAddress, Zone: m.opts.Zone,
		Ready: state.Ready, Leaving: state.Leaving, Reading: state.ReadsStore, Revisions: map[string]int64{},
		Rows: unsigned(rows),
	}
	for kind, revision := range m.opts.Replica.Revisions() {
		b.Revisions[string(kind)] = revision
	}
	encodeReport(b, state.Report)
	encodeNews(b, m.opts.Replica, time.Now(), newsBeats*spacing)
	return b
}

// rowBeat is the state of this router's row, with its own.
func (m *Mesh) rowBeat(own *peerpb.Beat, members []*peerpb.Other, sum dispatch.Report) *peerpb.Beat {
	b := &peerpb.Beat{
		Name: own.Name, Incarnation: own.Incarnation, Number: own.Number, Front: own.Front, Zone: own.Zone,
		Ready: own.Ready, Leaving: own.Leaving, Reading: own.Reading, Revisions: own.Revisions,
		Rows: own.Rows, WholeRow: true, Members: members, News: own.News,
	}
	encodeReport(b, sum)
	return b
}

// Receive takes beats until the context ends.
func (m *Mesh) Receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { m.conn.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := m.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return errors.Wrap(err, "read beats")
		}
		var b peerpb.Beat
		if err := proto.Unmarshal(buf[:n], &b); err != nil || b.Name == "" {
			beatsBad.Inc()
			continue
		}
		beatsReceived.Inc()
		m.received(ctx, from.Addr().Unmap(), &b)
	}
}

func (m *Mesh) received(ctx context.Context, from netip.Addr, b *peerpb.Beat) {
	now := time.Now()
	m.mu.Lock()
	p := m.peer(from)
	if b.Incarnation < p.Incarnation || b.Incarnation == p.Incarnation && b.Number <= p.number {
		m.mu.Unlock()
		return // overtaken on its way
	}
	p.number = b.Number
	changed := m.update(p, now, state{b.Name, b.Front, b.Zone, b.Incarnation, b.Ready, b.Leaving, b.Reading})
	changed = m.othersTold(now, b.Members) || changed
	own := m.inRow(p)
	m.mu.Unlock()
	if changed {
		m.tellRouters(now)
	}
	switch {
	case b.WholeRow:
		m.rowTold(now, b)
	case own:
		m.opts.OnReport(b.Name, decodeReport(b))
	}
	m.introduce(now, p, b)
	for _, n := range b.News {
		kind := replica.Kind(n.Kind)
		if m.opts.Replica.ApplyRecent(now, kind, decodeNews(n), b.Name) {
			m.opts.Log.Log(oplog.StateChange, "peer.records_heard", slog.String("peer", b.Name), slog.String("collection", n.Kind), slog.Int64("revision", n.Revision))
		}
	}
	m.catchUp(ctx, p, b.Revisions)
}
