package mesh

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

// CacheSource tells what this router knows to be cached at endpoints. Its functions are
// called while requests are served, so each call is to be short.
type CacheSource struct {
	Uptime    func() time.Duration // of this router
	Endpoints func() []string      // IDs
	Cache     func(endpoint string) dispatch.EndpointCache
}

// Estimates is what another router knows to be cached at endpoints.
type Estimates struct {
	Uptime    time.Duration // of the other router, by its own clock
	Longer    bool          // it has been running for long enough to know more; otherwise there are none
	Endpoints []dispatch.EndpointCache
}

var (
	// ErrNoEstimates means that a router is of an older build, which doesn't pass its
	// estimates on.
	ErrNoEstimates = errors.New("the router does not implement the call")
	errUnknownPeer = errors.New("the router is not known any more")
)

// Estimates that peers asked for, by what became of the call.
var (
	estimatesSent      = metrics.NewCounter(`cyclamenwinch_cache_estimates_served_total{result="sent"}`)
	estimatesNotLonger = metrics.NewCounter(`cyclamenwinch_cache_estimates_served_total{result="not_longer"}`)
	estimatesRejected  = metrics.NewCounter(`cyclamenwinch_cache_estimates_served_total{result="rejected"}`)
)

// cachedPartsServer implements the CachedParts service that peers call.
type cachedPartsServer struct {
	peerpb.UnimplementedCachedPartsServer
	source  CacheSource
	running sync.Mutex // held during a call
}

// RegisterCachedParts adds the service that passes this router's estimates on to routers
// that have started.
func RegisterCachedParts(s *grpc.Server, source CacheSource) {
	peerpb.RegisterCachedPartsServer(s, &cachedPartsServer{source: source})
}

// Estimates returns the shared parts that endpoints probably have cached, if this router
// has been running for long enough to know more than the caller. A response takes some
// 10 ms of CPU time, so a second call at the same time is rejected.
func (c *cachedPartsServer) Estimates(ctx context.Context, req *peerpb.EstimatesRequest) (*peerpb.CacheEstimates, error) {
	uptime := c.source.Uptime()
	out := &peerpb.CacheEstimates{UptimeMs: uint64(uptime.Milliseconds())}
	if !runsLonger(uptime, req.UptimeMs) {
		estimatesNotLonger.Inc()
		return out, nil
	}
	if !c.running.TryLock() {
		estimatesRejected.Inc()
		return nil, status.Error(codes.ResourceExhausted, "another router is asking")
	}
	defer c.running.Unlock()
	ids := c.source.Endpoints()
	for _, id := range ids {
		if err := ctx.Err(); err != nil {
			return nil, status.FromContextError(err).Err()
		}
		cache := c.source.Cache(id)
		cache.LimitShared(len(ids))
		if len(cache.Parts) > 0 {
			out.Endpoints = append(out.Endpoints, encodeCache(cache))
		}
	}
	estimatesSent.Inc()
	return out, nil
}

// runsLonger reports whether a router with an uptime knows more than one with another
// uptime in milliseconds.
func runsLonger(uptime time.Duration, otherMs uint64) bool {
	return uint64(max(uptime-dispatch.MinLongerRunning, 0).Milliseconds()) > otherMs
}

func encodeCache(c dispatch.EndpointCache) *peerpb.EndpointCache {
	out := &peerpb.EndpointCache{Id: c.Endpoint, StartMs: c.StartMillis, Parts: make([]uint64, 0, len(c.Parts)), Ages: make([]uint32, 0, len(c.Parts))}
	last := 0
	for _, p := range c.Parts {
		out.Parts = append(out.Parts, p.ID)
		out.Ages = append(out.Ages, toUint32(p.Age-last))
		last = p.Age
	}
	return out
}

func decodeCache(c *peerpb.EndpointCache) (dispatch.EndpointCache, error) {
	if len(c.Parts) != len(c.Ages) {
		return dispatch.EndpointCache{}, errors.Wrap(errMalformed, "cached parts")
	}
	out := dispatch.EndpointCache{Endpoint: c.Id, StartMillis: c.StartMs, Parts: make([]dispatch.SharedPart, 0, len(c.Parts))}
	age := 0
	for i, id := range c.Parts {
		age += int(c.Ages[i])
		out.Parts = append(out.Parts, dispatch.SharedPart{ID: id, Age: age})
	}
	return out, nil
}

// FetchEstimates fetches the estimates of another router. The uptime is that of this one.
func (m *Mesh) FetchEstimates(ctx context.Context, name string, uptime time.Duration) (Estimates, error) {
	address, ok := m.addressOf(name)
	if !ok {
		return Estimates{}, errUnknownPeer
	}
	conn, err := m.connections.conn(netip.AddrPortFrom(address, m.opts.Address.Port()))
	if err != nil {
		return Estimates{}, err
	}
	limit, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req := &peerpb.EstimatesRequest{UptimeMs: uint64(uptime.Milliseconds())}
	resp, err := peerpb.NewCachedPartsClient(conn).Estimates(limit, req,
		grpc.MaxCallRecvMsgSize(dispatch.MaxSharedBytes))
	switch status.Code(err) {
	case codes.OK:
	case codes.Unimplemented:
		return Estimates{}, ErrNoEstimates
	case codes.ResourceExhausted:
		return Estimates{}, errors.Wrap(err, "fetch estimates")
	default:
		m.connections.drop(address)
		return Estimates{}, errors.Wrap(err, "fetch estimates")
	}
	out := Estimates{Uptime: time.Duration(resp.UptimeMs) * time.Millisecond}
	out.Longer = runsLonger(out.Uptime, req.UptimeMs)
	for _, e := range resp.Endpoints {
		cache, err := decodeCache(e)
		if err != nil {
			return Estimates{}, err
		}
		out.Endpoints = append(out.Endpoints, cache)
	}
	return out, nil
}

// addressOf returns the address of a peer.
func (m *Mesh) addressOf(name string) (netip.Addr, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, p := range m.peers {
		if p.Name == name {
			return address, true
		}
	}
	return netip.Addr{}, false
}

// IsGrid reports whether the known routers are so many that they form rows.
func (m *Mesh) IsGrid() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.grid.RowsPerZone > 0
}
