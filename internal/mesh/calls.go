package mesh

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"
	"google.golang.org/protobuf/proto"

	"github.com/cyclamenwinch/cyclamenwinch/core/retry"
	"github.com/cyclamenwinch/cyclamenwinch/internal/limitio"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
	"github.com/cyclamenwinch/cyclamenwinch/internal/replica"
)

const (
	// fetchTimeout limits a call to a peer. A failed call is retried after the
	// peer's next heartbeat, on a new connection.
	fetchTimeout = 800 * time.Millisecond
	// maxConcurrentFetches is how many fetches of one collection may run at the
	// same time; more than one, since a peer may have stopped responding.
	maxConcurrentFetches = 3
	// maxMessageBytes limits the encoded size of a collection; a single object
	// of the store has at most 1 MB.
	maxMessageBytes = 16 << 20
	// receiveBufferBytes limits the unread bytes of a connection to a peer. It lets a
	// peer that is 5 ms away send 50 MB/s.
	receiveBufferBytes = 256 << 10
)

var dialer = net.Dialer{Control: limitio.ReceiveBuffer(receiveBufferBytes)}

func dialPeer(ctx context.Context, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, "tcp", address)
}

var fetchBackoff = retry.Backoff{Initial: 200 * time.Millisecond, Max: 2 * time.Second}

// connections holds the gRPC connections to peers, by address.
type connections struct {
	mu    *sync.Mutex
	conns map[netip.Addr]*grpc.ClientConn
}

func newConnections() connections {
	return connections{mu: &sync.Mutex{}, conns: map[netip.Addr]*grpc.ClientConn{}}
}

func (c connections) conn(to netip.AddrPort) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[to.Addr()]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+to.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithContextDialer(dialPeer),
		grpc.WithIdleTimeout(10*time.Second),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.5, MaxDelay: time.Second}, MinConnectTimeout: fetchTimeout}))
	if err != nil {
		return nil, errors.Wrap(err, "create client connection to peer")
	}
	c.conns[to.Addr()] = conn
	return conn, nil
}

// drop closes a connection on which a call failed, since it may be half-open.
func (c connections) drop(to netip.Addr) {
	c.mu.Lock()
	conn := c.conns[to]
	delete(c.conns, to)
	c.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
}

func (c connections) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		conn.Close()
		delete(c.conns, address)
	}
}

// fetchNewer fetches the collections for which a peer has a newer position.
func (m *Mesh) fetchNewer(ctx context.Context, p *Router, theirs map[replica.Kind]replica.Position) {
	ours := m.opts.Replica.Positions()
	m.trackLag(time.Now(), ours, theirs)
	for _, kind := range m.opts.Replica.Kinds() {
		at, ok := theirs[kind]
		if mine, known := ours[kind]; !ok || known && !mine.Before(at) {
			continue
		}
		m.mu.Lock()
		busy := p.fetching[kind] || m.activeFetches[kind] >= maxConcurrentFetches || time.Now().Before(m.nextFetch[kind])
		if !busy {
			p.fetching[kind] = true
			m.activeFetches[kind]++
		}
		name := p.Name
		m.mu.Unlock()
		if !busy {
			go m.fetch(ctx, p, name, kind, at)
		}
	}
}

const (
	// fetchDelay gives this router's own watch of the store time to deliver a
	// change before it is fetched from a peer.
	fetchDelay = 60 * time.Millisecond
	// fetchJitter times the number of known routers is the upper bound of a
	// random delay. It spreads the fetches of a change over time, so that later
	// ones find more routers that have the change: one router can't serve a large
	// fleet at once.
	fetchJitter = 3 * time.Millisecond
)

// fetch fetches a collection from a peer with a name.
func (m *Mesh) fetch(ctx context.Context, p *Router, name string, kind replica.Kind, at replica.Position) {
	defer func() {
		m.mu.Lock()
		delete(p.fetching, kind)
		m.activeFetches[kind]--
		m.mu.Unlock()
	}()
	ours, known := m.opts.Replica.Positions()[kind]
	if known {
		m.mu.Lock()
		spread := float64(len(m.knownRouters)) * float64(fetchJitter)
		m.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(fetchDelay + time.Duration(rand.Float64()*spread)):
		}
		if ours = m.opts.Replica.Positions()[kind]; !ours.Before(at) {
			return
		}
	}
	started := time.Now()
	changed, err := m.mergeFrom(ctx, p.Address, name, kind, ours)
	if errors.Is(err, replica.ErrIncomplete) {
		changed, err = m.mergeFrom(ctx, p.Address, name, kind, replica.Position{})
	}
	countFetch(kind, changed, err)
	m.delayFetches(kind, err != nil)
	if err != nil {
		m.connections.drop(p.Address)
		m.opts.Log.Log(oplog.StateChange, "peer.fetch_failed", slog.String("peer", name), slog.String("collection", string(kind)),
			slog.Duration("took", time.Since(started)), slog.String("error", err.Error()))
		return
	}
	if changed {
		m.opts.Log.Log(oplog.StateChange, "peer.records_adopted", slog.String("peer", name), slog.String("collection", string(kind)),
			slog.Int64("from_revision", ours.Revision), slog.Int64("era", at.Era), slog.Int64("revision", m.opts.Replica.Positions()[kind].Revision))
	}
}

// delayFetches delays further fetches of a collection once maxConcurrentFetches in
// a row have failed: then not a single peer is the reason, and peers send records
// as datagrams meanwhile.
func (m *Mesh) delayFetches(kind replica.Kind, failed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !failed {
		m.failedFetches[kind] = 0
		return
	}
	m.failedFetches[kind]++
	if n := m.failedFetches[kind] - maxConcurrentFetches; n >= 0 {
		m.nextFetch[kind] = time.Now().Add(fetchBackoff.Delay(n+1, rand.Float64()))
	}
}

func countFetch(kind replica.Kind, changed bool, err error) {
	result := "unchanged"
	switch {
	case err != nil:
		result = "failed"
	case changed:
		result = "changed"
	}
	metrics.GetOrCreateCounter(`cyclamenwinch_record_fetches_total{collection="` + string(kind) + `",result="` + result + `"}`).Inc()
}

// mergeFrom fetches what changed in a peer's copy after a position and applies it.
func (m *Mesh) mergeFrom(ctx context.Context, peer netip.Addr, name string, kind replica.Kind, since replica.Position) (bool, error) {
	d, err := m.call(ctx, peer, kind, since)
	if err != nil {
		return false, err
	}
	return m.opts.Replica.ApplyDelta(time.Now(), kind, d, name)
}

func (m *Mesh) call(ctx context.Context, to netip.Addr, kind replica.Kind, since replica.Position) (replica.Delta, error) {
	conn, err := m.connections.conn(netip.AddrPortFrom(to, m.opts.Address.Port()))
	if err != nil {
		return replica.Delta{}, err
	}
	limit, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	set, err := peerpb.NewRecordsClient(conn).Fetch(limit, &peerpb.FetchRequest{Kind: string(kind), Since: since.Revision, Era: since.Era})
	if err != nil {
		return replica.Delta{}, errors.Wrap(err, "fetch records")
	}
	if !set.Known {
		return replica.Delta{}, errors.New("peer has no copy of the collection")
	}
	return decodeDelta(since.Revision, set), nil
}

// recordsServer implements the Records service that peers call.
type recordsServer struct {
	peerpb.UnimplementedRecordsServer
	replica *replica.Replica
}

// Fetch returns what changed in this router's copy of a collection after the
// requested position.
func (r recordsServer) Fetch(_ context.Context, req *peerpb.FetchRequest) (*peerpb.RecordSet, error) {
	d, known := r.replica.DeltaSince(replica.Kind(req.Kind), replica.Position{Era: req.Era, Revision: req.Since})
	if !known {
		return &peerpb.RecordSet{}, nil
	}
	return encodeDelta(d), nil
}

const (
	// Limits of a connection from a peer. Requests have some tens of bytes, and a peer
	// makes a few calls at a time.
	maxRequestBytes   = 4 << 10
	maxCallHeadBytes  = 8 << 10
	maxCallsPerConn   = 8
	callWindowBytes   = 64 << 10 // unread bytes, the least that gRPC supports
	readBufferBytes   = 4 << 10
	writeBufferBytes  = 16 << 10
	connectionTimeout = 5 * time.Second // until the connection is set up
)

// errNoMemoryForCall is the status of a call that exceeds the memory that is left, itself or
// by its response. The caller asks another router, or again.
var errNoMemoryForCall = status.Error(codes.ResourceExhausted, "no memory is left for the call")

// CallLimits reserve memory for the calls of peers.
type CallLimits interface {
	// Call reserves memory for a call until its context ends.
	Call(ctx context.Context) bool
	// Respond reserves memory for a response until the client has read it.
	Respond(client net.Addr, bytes int) bool
}

// NewServer returns the gRPC server from which peers fetch records. nil: there are no
// limits.
func NewServer(r *replica.Replica, limits CallLimits) *grpc.Server {
	begin := func(ctx context.Context, _ *tap.Info) (context.Context, error) {
		if limits != nil && !limits.Call(ctx) {
			return ctx, errNoMemoryForCall
		}
		return ctx, nil
	}
	reserve := func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
		resp, err := handle(ctx, req)
		message, isMessage := resp.(proto.Message)
		client, known := peer.FromContext(ctx)
		if err == nil && limits != nil && isMessage && known && !limits.Respond(client.Addr, proto.Size(message)) {
			return nil, errNoMemoryForCall
		}
		return resp, err
	}
	s := grpc.NewServer(grpc.MaxSendMsgSize(maxMessageBytes), grpc.MaxRecvMsgSize(maxRequestBytes), grpc.MaxHeaderListSize(maxCallHeadBytes),
		grpc.MaxConcurrentStreams(maxCallsPerConn), grpc.InitialWindowSize(callWindowBytes), grpc.InitialConnWindowSize(callWindowBytes),
		grpc.ReadBufferSize(readBufferBytes), grpc.WriteBufferSize(writeBufferBytes),
		grpc.ConnectionTimeout(connectionTimeout), grpc.InTapHandle(begin), grpc.UnaryInterceptor(reserve),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 5 * time.Second, Timeout: 2 * time.Second, MaxConnectionIdle: 30 * time.Second}))
	peerpb.RegisterRecordsServer(s, recordsServer{replica: r})
	return s
}
