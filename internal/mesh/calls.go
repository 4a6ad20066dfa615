package mesh

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
	"github.com/cyclamenwinch/cyclamenwinch/internal/replica"
)

const (
	// fetchTimeout bounds a call to a peer; one that fails is made again with
	// the next beat, on a new connection.
	fetchTimeout = 800 * time.Millisecond
	// mostFetches is how many peers are asked for a collection at once: one may
	// have gone silent.
	mostFetches = 3
	// fetchBytes bounds a collection: an object of the store has 1 MB at most.
	fetchBytes = 16 << 20
)

// calls holds the connections to peers.
type calls struct {
	mu    *sync.Mutex
	conns map[netip.Addr]*grpc.ClientConn
}

func newCalls() calls {
	return calls{mu: &sync.Mutex{}, conns: map[netip.Addr]*grpc.ClientConn{}}
}

func (c calls) conn(to netip.AddrPort) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[to.Addr()]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+to.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(fetchBytes)),
		grpc.WithNoProxy(),
		grpc.WithIdleTimeout(10*time.Second),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.5, MaxDelay: time.Second}, MinConnectTimeout: fetchTimeout}))
	if err != nil {
		return nil, errors.Wrap(err, "connect to peer")
	}
	c.conns[to.Addr()] = conn
	return conn, nil
}

// drop closes a connection on which a call failed: it may have gone silent.
func (c calls) drop(to netip.Addr) {
	c.mu.Lock()
	conn := c.conns[to]
	delete(c.conns, to)
	c.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
}

func (c calls) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		conn.Close()
		delete(c.conns, address)
	}
}

// catchUp fetches the collections of which a peer knows newer changes.
func (m *Mesh) catchUp(ctx context.Context, p *Router, theirs map[string]int64) {
	ours := m.opts.Replica.Revisions()
	for _, kind := range replica.Kinds {
		revision, ok := theirs[string(kind)]
		if mine, known := ours[kind]; !ok || known && mine >= revision {
			continue
		}
		m.mu.Lock()
		busy := p.fetching[kind] || m.fetches[kind] >= mostFetches
		if !busy {
			p.fetching[kind] = true
			m.fetches[kind]++
		}
		m.mu.Unlock()
		if !busy {
			go m.fetch(ctx, p, kind, revision)
		}
	}
}

const (
	// fetchDelay lets a reader's own watch bring a change first.
	fetchDelay = 60 * time.Millisecond
	// fetchSpread spreads the fetches of a change over the routers that know
	// it by then: one router can't serve a large fleet at once.
	fetchSpread = 3 * time.Millisecond // for each known router
)

func (m *Mesh) fetch(ctx context.Context, p *Router, kind replica.Kind, revision int64) {
	defer func() {
		m.mu.Lock()
		delete(p.fetching, kind)
		m.fetches[kind]--
		m.mu.Unlock()
	}()
	ours, known := m.opts.Replica.Revisions()[kind]
	if known {
		m.mu.Lock()
		spread := float64(len(m.routers)) * float64(fetchSpread)
		m.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(fetchDelay + time.Duration(rand.Float64()*spread)):
		}
		if ours = m.opts.Replica.Revisions()[kind]; ours >= revision {
			return
		}
	}
	changed, err := m.mergeFrom(ctx, p, kind, ours)
	if errors.Is(err, replica.ErrIncomplete) {
		changed, err = m.mergeFrom(ctx, p, kind, 0)
	}
	if err != nil {
		m.calls.drop(p.Address)
		m.opts.Log.Log(oplog.StateChange, "peer.fetch_failed", slog.String("peer", p.Name), slog.String("collection", string(kind)), slog.String("error", err.Error()))
		return
	}
	if changed {
		m.opts.Log.Log(oplog.StateChange, "peer.records_adopted", slog.String("peer", p.Name), slog.String("collection", string(kind)),
			slog.Int64("from_revision", ours), slog.Int64("revision", m.opts.Replica.Revisions()[kind]))
	}
}

// mergeFrom takes over what changed in a peer's copy after a revision.
func (m *Mesh) mergeFrom(ctx context.Context, p *Router, kind replica.Kind, since int64) (bool, error) {
	d, err := m.call(ctx, p.Address, kind, since)
	if err != nil {
		return false, err
	}
	return m.opts.Replica.ApplyDelta(time.Now(), kind, d, p.Name)
}

func (m *Mesh) call(ctx context.Context, to netip.Addr, kind replica.Kind, since int64) (replica.Delta, error) {
	conn, err := m.calls.conn(netip.AddrPortFrom(to, m.opts.Address.Port()))
	if err != nil {
		return replica.Delta{}, err
	}
	limit, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	set, err := peerpb.NewRecordsClient(conn).Fetch(limit, &peerpb.FetchRequest{Kind: string(kind), Since: since})
	if err != nil {
		return replica.Delta{}, errors.Wrap(err, "fetch records")
	}
	if !set.Known {
		return replica.Delta{}, errors.New("the peer has no copy")
	}
	return replica.Delta{Since: since, Revision: set.Revision, Names: set.Names, Records: decodeRecords(set.Records),
		StoreFailureAge: time.Duration(set.StoreFailedMs) * time.Millisecond}, nil
}

// records serves the calls of peers.
type records struct {
	peerpb.UnimplementedRecordsServer
	replica *replica.Replica
}

// Fetch returns what is newer in this router's copy of a collection.
func (r records) Fetch(_ context.Context, req *peerpb.FetchRequest) (*peerpb.RecordSet, error) {
	d, known := r.replica.DeltaSince(time.Now(), replica.Kind(req.Kind), req.Since)
	return &peerpb.RecordSet{Known: known, Revision: d.Revision, Names: d.Names, Records: encodeRecords(d.Records),
		StoreFailedMs: unsigned(int(d.StoreFailureAge / time.Millisecond))}, nil
}

// NewServer returns the gRPC server of the mesh's calls.
func NewServer(r *replica.Replica) *grpc.Server {
	s := grpc.NewServer(grpc.MaxSendMsgSize(fetchBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 5 * time.Second, Timeout: 2 * time.Second, MaxConnectionIdle: 30 * time.Second}))
	peerpb.RegisterRecordsServer(s, records{replica: r})
	return s
}
