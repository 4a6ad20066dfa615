// Package mesh exchanges state between the routers of a prepared platform.
// Each router sends its state and load as UDP heartbeats many times a second.
// A heartbeat holds the complete current state, so a lost one does no harm, and
// there is no connection that could stall unnoticed. The platform's records are
// fetched by gRPC when a heartbeat shows that a peer has newer ones.
//
// In a large fleet the routers form rows: a router sends its own state only to
// its row, and one router of the row, its representative for that receiver, sends
// the state of the whole row to a router outside it; see package grid.
//
// The caller runs Send and Receive, and serves the gRPC server that NewServer
// returns at the same address and port.
package mesh

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/grid"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
	"github.com/cyclamenwinch/cyclamenwinch/internal/replica"
	"github.com/cyclamenwinch/cyclamenwinch/internal/wake"
)

const (
	// minHeartbeatInterval is the least time between two heartbeats, and so
	// about the age of the load that peers know of a router.
	minHeartbeatInterval = 40 * time.Millisecond
	// heartbeatIntervalPerPeer lengthens the interval in a larger fleet, so that
	// a router sends about 160 datagrams a second.
	heartbeatIntervalPerPeer = 6 * time.Millisecond
	// changeRepeats is how many heartbeats carry a change of the platform's
	// records. Some datagrams get lost, and a missed change costs a gRPC call.
	changeRepeats = 4
	// rowChangeRepeats is the same for heartbeats to other rows: each router gets
	// one from every row.
	rowChangeRepeats = 2
	// placementRepeats is how many heartbeats carry a placement in a large
	// fleet. A missed placement costs little, and placements are most of the
	// traffic between zones.
	placementRepeats = 2
	// silentPeerInterval is the time between two heartbeats to a peer that
	// sends none.
	silentPeerInterval = 500 * time.Millisecond
	// aliveTimeout is how long a router counts as running after its last
	// heartbeat.
	aliveTimeout = 1500 * time.Millisecond
	// unregisteredTimeout is how long after its last heartbeat a router that is
	// not registered still counts when limits are divided among routers.
	unregisteredTimeout = 30 * time.Second
	// minReceiveInterval and maxReceiveInterval bound the time between two reads of
	// the heartbeats that have arrived. Each read wakes the process.
	minReceiveInterval = 10 * time.Millisecond
	maxReceiveInterval = 20 * time.Millisecond
	// maxArrived limits the heartbeats handled in a row, so that a flood of
	// datagrams leaves time for other work.
	maxArrived = 128
	// maxDatagram is the largest payload of a UDP datagram, in bytes.
	maxDatagram = 65_507
)

var (
	heartbeatsSent     = metrics.NewCounter(`cyclamenwinch_beats_total{direction="sent"}`)
	heartbeatsReceived = metrics.NewCounter(`cyclamenwinch_beats_total{direction="received"}`)
	heartbeatsReduced  = metrics.NewCounter("cyclamenwinch_beats_reduced_total")
	heartbeatsInvalid  = metrics.NewCounter("cyclamenwinch_beats_unreadable_total")
)

// State is what this router reports about itself in each heartbeat.
type State struct {
	Ready      bool
	Leaving    bool
	ReadsStore bool // reads of the platform's store succeed
	SpareCPU   int  // that this router offers to others, in thousandths of a core
	Report     dispatch.Report
}

// Options configure a Mesh.
type Options struct {
	Name          string
	Zone          string
	Incarnation   int64
	CallerAddress string         // IP:port to which clients connect
	Address       netip.AddrPort // for datagrams and gRPC calls; all routers use the same port
	Replica       *replica.Replica
	Log           *oplog.Logger
	State         func() State
	// RowReport returns the sum of this router's report and those of the peers.
	RowReport   func(peers []string) dispatch.Report
	OnReport    func(peer string, r dispatch.Report) // from a router of the same row
	OnRowReport func(row string, r dispatch.Report)  // sum over the routers of another row
	// OnInterval receives the time between two heartbeats, and for how long reports
	// must repeat a placement or a crash.
	OnInterval       func(interval, announce time.Duration)
	OnRoutersChanged func(names []string) // all routers that may be running, sorted
}

// Router is what this router knows about another one.
type Router struct {
	Name          string
	Address       netip.Addr
	CallerAddress string
	Zone          string
	Incarnation   int64
	Ready         bool
	Leaving       bool
	ReadsStore    bool // its reads of the platform's store succeed
	SpareCPU      int  // that it offers to others, in thousandths of a core
	Registered    bool // has an entry in the platform's store
	AddedAt       time.Time
	LastHeard     time.Time

	lastSeq uint64
	sentAt  time.Time

	row           string // of the grid
	representedBy string // router of this router's row that reports the row to it

	membersSentAt time.Time // when it was last sent all known routers
	toldAt        time.Time // when it was last sent the incarnation that it is known by
	loggedAlive   bool      // state that was last logged
	fetching      map[replica.Kind]bool

	positions map[replica.Kind]replica.Position // of its copies, from its last heartbeat; nil: unknown
	encoding  uint32                            // newest that it reads
	changedAt time.Time                         // when its incarnation, readiness or leaving flag last changed
	outgoing  map[replica.Kind]*outgoingPush
	incoming  map[replica.Kind]*incomingPush
}

// Mesh is this router's end of the exchange. It is safe for concurrent use.
type Mesh struct {
	opts Options
	sock *socket

	mu                sync.Mutex
	incarnation       int64 // of this router; only increases
	peers             map[netip.Addr]*Router
	seq               uint64
	knownRouters      []string      // as last passed to OnRoutersChanged
	grid              grid.Grid     // of the known routers
	row               string        // this router's row
	rowNames          []string      // live routers of the row at the last round, sorted
	knownChanged      bool          // knownRouters may be out of date
	heartbeatInterval time.Duration // between two rounds
	connections       connections
	activeFetches     map[replica.Kind]int // fetches in progress
	failedFetches     map[replica.Kind]int // fetches that failed since the last success
	nextFetch         map[replica.Kind]time.Time
	lags              map[replica.Kind]*copyLag
	pushes            pushes
	names             nameTable
	gossipedAt        time.Time
	describedAt       time.Time // when other rows were last sent the full descriptions of this row's routers
	sendNow           chan struct{}

	rows     map[string]rowState // last report of each other row
	rollouts rolloutReports      // used by SendHeartbeats alone
}

// New opens the UDP socket and returns a mesh without peers.
func New(opts Options) (*Mesh, error) {
	sock, err := listen(opts.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for heartbeats")
	}
	return &Mesh{
		opts: opts, sock: sock, incarnation: opts.Incarnation, peers: map[netip.Addr]*Router{}, rows: map[string]rowState{}, row: grid.Grid{}.Row(opts.Zone, opts.Name),
		heartbeatInterval: minHeartbeatInterval, sendNow: make(chan struct{}, 1), connections: newConnections(),
		activeFetches: map[replica.Kind]int{}, failedFetches: map[replica.Kind]int{}, nextFetch: map[replica.Kind]time.Time{}, lags: newLags(), pushes: newPushes(),
	}, nil
}

// Close closes the socket and the connections to peers.
func (m *Mesh) Close() {
	if err := m.sock.close(); err != nil {
		m.opts.Log.Log(oplog.StateChange, "mesh.socket_not_closed", slog.String("error", err.Error()))
	}
	m.connections.close()
}

// Send sends heartbeats until the context ends.
func (m *Mesh) Send(ctx context.Context) error {
	ticks := wake.NewTicker(minHeartbeatInterval)
	defer ticks.Stop()
	for {
		m.SendHeartbeats()
		m.pushToLaggards(time.Now())
		m.gossip(time.Now())
		m.detectSilentPeers(time.Now())
		ticks.SetInterval(m.interval())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.sendNow:
		case <-ticks.Next():
		}
	}
}

// TriggerSend sends the next heartbeat immediately. It is called when this
// router has read a change from the platform's store.
func (m *Mesh) TriggerSend() {
	select {
	case m.sendNow <- struct{}{}:
	default: // the heartbeat already requested will carry this change too
	}
}

// interval returns the time until the next round of heartbeats. It depends on
// the number of recipients of the last round.
func (m *Mesh) interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heartbeatInterval
}

// SendHeartbeats sends this router's state to its row. It sends the state of the
// row to those routers of other rows for which it is the row's representative.
func (m *Mesh) SendHeartbeats() {
	now := time.Now()
	to, members := m.heartbeatRecipients(now)
	m.setInterval(to.own.len() + to.current.len() + to.row.len())
	h := m.newHeartbeat(now)
	withRollouts := m.rollouts.due(now, h.report.Rollouts)
	if !withRollouts {
		h.report.Rollouts = nil
	}
	m.sendHeartbeat(h, to.own)
	h.news = nil
	m.sendHeartbeat(h, to.current)
	if to.row.len() == 0 {
		return
	}
	var names []string
	for _, member := range members {
		names = append(names, member.Name)
	}
	h.wholeRow, h.members, h.describeAll = true, members, m.mustDescribeMembers(now)
	h.report = m.opts.RowReport(names)
	if !withRollouts {
		h.report.Rollouts = nil
	}
	h.news = recentChanges(m.opts.Replica, now, rowChangeRepeats*m.interval(), maxRowRecentBytes)
	m.sendHeartbeat(h, to.row)
}

// setInterval sets the time until the next round from the number of recipients.
func (m *Mesh) setInterval(peers int) {
	interval := max(minHeartbeatInterval, time.Duration(peers)*heartbeatIntervalPerPeer)
	if interval >= 5*maxReceiveInterval {
		interval = interval.Round(maxReceiveInterval) // one wake-up for both
	}
	m.mu.Lock()
	changed := interval != m.heartbeatInterval
	m.heartbeatInterval = interval
	m.mu.Unlock()
	if changed {
		m.opts.OnInterval(interval, placementRepeats*interval)
	}
}

func (m *Mesh) send(b *peerpb.Beat, to []netip.Addr) {
	if len(to) == 0 {
		return
	}
	datagram, err := m.marshal(b)
	if err != nil {
		m.opts.Log.Log(oplog.StateChange, "mesh.beat_not_sent", slog.Any("error", err))
		return
	}
	for _, address := range to {
		// A failed send counts as a lost datagram; a lasting failure shows as a
		// silent peer, which is logged.
		if err := m.sock.send(datagram, address); err == nil {
			heartbeatsSent.Inc()
		}
	}
}

// receiveInterval returns the time between two reads of the heartbeats that have
// arrived: a small part of the time between two heartbeats of a peer.
func receiveInterval(heartbeats time.Duration) time.Duration {
	if heartbeats >= 5*maxReceiveInterval {
		return maxReceiveInterval
	}
	return minReceiveInterval
}

// Receive handles incoming heartbeats until the context ends. It reads them on a
// timer instead of waiting for the socket: the runtime runs expired timers before
// other work, so an overloaded router still learns of changes before it serves
// the requests that wait for the CPU.
func (m *Mesh) Receive(ctx context.Context) error {
	ticks := wake.NewTicker(minReceiveInterval)
	defer ticks.Stop()
	buf := make([]byte, maxDatagram)
	for {
		ticks.SetInterval(receiveInterval(m.interval()))
		if err := ticks.Wait(ctx); err != nil {
			return err
		}
		if err := m.receiveArrived(ctx, buf); err != nil {
			return errors.Wrap(err, "read heartbeat")
		}
	}
}

// receiveArrived handles the heartbeats that have arrived.
func (m *Mesh) receiveArrived(ctx context.Context, buf []byte) error {
	defer m.updateKnownRouters(time.Now())
	for range maxArrived {
		n, from, err := m.sock.receive(buf)
		if errors.Is(err, unix.EAGAIN) {
			return nil
		}
		if err != nil {
			return err
		}
		var b peerpb.Beat
		if err := proto.Unmarshal(buf[:n], &b); err != nil || b.Name == "" {
			heartbeatsInvalid.Inc()
			continue
		}
		heartbeatsReceived.Inc()
		m.handleHeartbeat(ctx, from, &b)
	}
	return nil
}

func (m *Mesh) handleHeartbeat(ctx context.Context, from netip.Addr, b *peerpb.Beat) {
	now := time.Now()
	m.mu.Lock()
	p := m.peer(from)
	if b.Incarnation < p.Incarnation || b.Incarnation == p.Incarnation && b.Number <= p.lastSeq {
		outdated := b.Incarnation < p.Incarnation && now.Sub(p.LastHeard) >= aliveTimeout
		m.mu.Unlock()
		if outdated {
			m.sendIncarnation(now, p, b)
		}
		return // older than one already received: datagrams can be reordered
	}
	p.lastSeq = b.Number
	p.positions, p.encoding = decodePositions(b), b.Encoding
	positions := p.positions
	m.updatePeer(p, now, peerState{b.Name, b.Front, b.Zone, b.Incarnation, b.Ready, b.Leaving, b.Reading, int(b.SpareCpu)})
	m.mergeMembers(now, b.Members)
	err := m.mergeMemberStates(now, b.MemberStates)
	own := m.inRow(p)
	m.mu.Unlock()
	m.applyRecent(now, b)
	m.receiveParts(now, p, b.Parts)
	if reportErr := m.applyReport(now, b, own); err != nil || reportErr != nil {
		heartbeatsInvalid.Inc()
		m.opts.Log.Log(oplog.StateChange, "mesh.beat_malformed", slog.String("peer", b.Name), slog.Any("error", errors.CombineErrors(err, reportErr)))
	}
	m.sendMembers(now, p, b)
	m.fetchNewer(ctx, p, positions)
}

// applyReport passes on the report of a heartbeat if it is of a router of this row
// or of another row.
func (m *Mesh) applyReport(now time.Time, b *peerpb.Beat, own bool) error {
	if !own && !b.WholeRow {
		return nil
	}
	r, err := m.decodeBeatReport(b)
	if err != nil {
		return err
	}
	if b.WholeRow {
		m.handleRowReport(now, b, r)
	} else {
		m.opts.OnReport(b.Name, r)
	}
	return nil
}

// applyRecent applies the record changes that a heartbeat carries.
func (m *Mesh) applyRecent(now time.Time, b *peerpb.Beat) {
	for _, n := range b.News {
		kind := replica.Kind(n.Kind)
		if m.opts.Replica.ApplyRecent(now, kind, decodeRecentChanges(n), b.Name) {
			m.opts.Log.Log(oplog.StateChange, "peer.records_heard", slog.String("peer", b.Name), slog.String("collection", n.Kind), slog.Int64("revision", n.Revision))
		}
	}
}
