// Package edge runs the router on a prepared platform: one that provides the
// configuration and the endpoints as records in a store, and its own protocols for
// clients. Package platform implements the interfaces to it.
//
// The package connects the relay, the dispatcher, the replica of the platform's
// records and the mesh of routers, supervises them and stops them gracefully.
package edge

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"
	"google.golang.org/grpc"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/rollout"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
	"github.com/cyclamenwinch/cyclamenwinch/internal/connlimit"
	"github.com/cyclamenwinch/cyclamenwinch/internal/forward"
	"github.com/cyclamenwinch/cyclamenwinch/internal/memory"
	"github.com/cyclamenwinch/cyclamenwinch/internal/mesh"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/overload"
	"github.com/cyclamenwinch/cyclamenwinch/internal/relay"
	"github.com/cyclamenwinch/cyclamenwinch/internal/replica"
	"github.com/cyclamenwinch/cyclamenwinch/internal/upstream"
	"github.com/cyclamenwinch/cyclamenwinch/internal/wake"
)

// Settings holds the configuration of one router process.
type Settings struct {
	Name             string
	Zone             string
	Region           string
	Address          netip.Addr   // for the other routers, with PeerPort
	CallerAddress    string       // IP:port for client requests
	ReadyAddress     string       // IP:port of the readiness check
	DirectoryAddress string       // IP:port where clients look up the addresses of routers
	MetricsAddress   string       // listen address of the metrics; empty: none
	PeerPort         uint16       // port for other routers, the same at all routers
	ForwardPort      uint16       // port for connections that other routers forward, the same at all routers; 0: none
	Seeds            []netip.Addr // routers to contact first

	StopGrace   time.Duration // time between SIGTERM and SIGKILL
	MemoryBytes int64         // memory limit of the process; 0: none
	MaxFiles    int           // limit of open file descriptors; 0: none
	CPUShare    float64       // of a core that the process may use; 0: not limited
	MaxDelivery time.Duration // longest time from an endpoint's event to its client; 0: no limit
	RetryRatio  float64       // retries per request, over all routers
	RetrySlack  float64       // retries per window beyond the ratio, over all routers
	RetryWindow time.Duration // window in which requests and retries are counted

	// Rollouts makes the router follow the operators' requests to bring in versions of
	// services. ExposureShare and ExposureSlack limit what a version gets until it is
	// trusted, over all routers, and RollbackWithin the time in which a bad one still does.
	Rollouts       bool
	ExposureShare  float64 // of the requests for its service
	ExposureSlack  float64 // requests beyond the share
	RollbackWithin time.Duration
	// SharesLoad makes overloaded routers of a large fleet forward connections, and the
	// routers share profiles of endpoints and shares of plain services.
	SharesLoad bool
	// MemoryPressure says that an endpoint crashes when its requests exceed its memory.
	MemoryPressure bool
}

// Entry is the registration of a router in the platform's store.
type Entry struct {
	Name     string
	Address  string // IP
	Zone     string
	Revision int64 // revision of the stored entry; 0: not stored yet
}

// Registry stores the entries of routers.
type Registry interface {
	// Routers lists the entries and returns the store's era; a stale list may lack
	// changes of the last seconds.
	Routers(ctx context.Context, stale bool) ([]Entry, int64, error)
	Register(ctx context.Context, e Entry) error
	Unregister(ctx context.Context, e Entry) error
}

// Decoder decodes the platform's records.
type Decoder interface {
	// Config returns the configuration; false: there is none yet.
	Config([]replica.Record) (topology.Config, bool, error)
	// Endpoint returns an endpoint, or an error if the record describes none.
	Endpoint(replica.Record) (topology.Endpoint, error)
	// Rollout returns an order, or an error if the record describes none.
	Rollout(replica.Record) (rollout.Order, error)
	// ZoneOut returns the availability zone that a record takes out of service.
	ZoneOut(replica.Record) string
}

// Platform groups the interfaces through which a router uses the platform.
type Platform struct {
	Source           replica.Source
	Registry         Registry
	Quarantine       QuarantineStore
	Rollouts         RolloutStore
	Decoder          Decoder
	Protocol         relay.Protocol
	ReadHealth       func(status int, h http.Header) dispatch.Health // of the response to an endpoint's health check
	CacheLists       CacheListReader
	DirectoryHandler func(lookUp func(zone string) (addresses []string, ttl time.Duration)) http.Handler
	ReadyHandler     func(ready func() bool) http.Handler
}

const (
	// Limits for client connections. The platform's configuration has the same
	// or lower ones.
	headerTimeout  = 5 * time.Second
	idleTimeout    = 14 * time.Second
	maxHeaderBytes = 64 << 10
	// clientFileFraction is the fraction of the file descriptors that client
	// connections may use. Above it, each connection is closed after its next
	// response.
	clientFileFraction = 0.4
	// maxClientFileFraction is the fraction that they may use at most. As many are left
	// for connections to endpoints, one for each request in progress.
	maxClientFileFraction = 0.5
	// otherFileFraction is the fraction that the connections to each other server of
	// this process may use at most.
	otherFileFraction = 0.05
	// peerFileFraction is the fraction that connections from other routers may use.
	peerFileFraction = 0.1
	// maxCPULag is the mean time that work waits for the CPU above which the
	// router refuses new requests at once. A request waits several times while it
	// is handled; five such waits use up most of a typical latency objective.
	maxCPULag = 40 * time.Millisecond
)

// Edge is the router process on a prepared platform.
type Edge struct {
	settings   Settings
	platform   Platform
	log        *oplog.Logger
	dispatcher *relay.SharedDispatcher
	relay      *relay.Relay
	pool       *upstream.Pool
	lagMeter   *overload.Meter
	budget     *memory.Budget     // of client connections, requests and responses
	front      *overload.Listener // for client requests
	copier     *forward.Copier    // nil: this router does not forward connections
	cpu        cpuUse
	replica    *replica.Replica
	mesh       *mesh.Mesh
	peerServer *grpc.Server
	peerConns  atomic.Pointer[connlimit.Listener] // of the peer server; nil: not listening yet
	leaving    atomic.Bool
	startedAt  time.Time

	decoded   decodedRecords
	entriesMu sync.Mutex
	entries   map[string]Entry // by router name, as listed at registration

	registeredEra atomic.Int64  // of the store in which this router has stored its entry
	restored      chan struct{} // the store has been restored, so this router has to register again
}

// notRegistered is the era of a router that has not stored its entry yet.
const notRegistered = -1

// New returns a router with its parts connected. It opens the UDP socket for
// heartbeats.
func New(s Settings, p Platform, log *oplog.Logger) (*Edge, error) {
	limit := requestMemory(s.MemoryBytes)
	budget := memory.NewBudget(limit)
	maxCachedParts, err := reserveCachedParts(budget, limit)
	if err != nil {
		return nil, err
	}
	if s.MemoryBytes > 0 {
		budget.LimitRuntime(int64(gcMemoryFraction * float64(s.MemoryBytes)))
	}
	e := &Edge{settings: s, platform: p, log: log, pool: upstream.NewPool(), lagMeter: overload.New(), budget: budget, startedAt: time.Now(), entries: map[string]Entry{}, restored: make(chan struct{}, 1)}
	e.registeredEra.Store(notRegistered)
	e.dispatcher = relay.NewSharedDispatcher(dispatch.New(dispatch.Options{
		Self: s.Name, Zone: s.Zone, SharesLoad: s.SharesLoad, RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack, RetryWindow: s.RetryWindow,
		MaxCachedParts: maxCachedParts,
		ExposureShare:  s.ExposureShare, ExposureSlack: s.ExposureSlack, Rollouts: s.Rollouts,
	}))
	e.relay = relay.New(relay.Options{Protocol: p.Protocol, Dispatcher: e.dispatcher, Pool: e.pool, Log: log,
		MaxConnections: int64(clientFileFraction * float64(s.MaxFiles)), Memory: budget,
		Lag: e.lagMeter.Lag, MaxLag: maxCPULag})
	var further []replica.Kind
	if s.Rollouts {
		further = append(further, replica.Rollouts)
	}
	e.replica = replica.New(e.handleChange, further...)
	e.mesh, err = mesh.New(mesh.Options{
		Name: s.Name, Zone: s.Zone, Incarnation: e.startedAt.UnixNano(), CallerAddress: s.CallerAddress,
		Address: netip.AddrPortFrom(s.Address, s.PeerPort), Replica: e.replica, Log: log,
		State: e.heartbeatState, RowReport: e.rowReport, OnReport: e.setPeerReport, OnRowReport: e.setRowReport, OnInterval: e.setInterval, OnRoutersChanged: e.setRouters,
	})
	if err != nil {
		return nil, err
	}
	for _, seed := range s.Seeds {
		e.mesh.AddPeer("", "", seed, false)
	}
	e.peerServer = mesh.NewServer(e.replica, peerLimits{e})
	if s.forwards() {
		if e.copier, err = e.newCopier(); err != nil {
			return nil, err
		}
	}
	mesh.RegisterCachedParts(e.peerServer, e.cacheSource())
	return e, nil
}

// heartbeatState returns the state that each heartbeat carries.
func (e *Edge) heartbeatState() mesh.State {
	s := mesh.State{Ready: e.ready(), Leaving: e.leaving.Load(), ReadsStore: e.replica.ReadsStore(), SpareCPU: e.spareCPU(time.Now())}
	e.dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) {
		d.SetDemandFactor(e.front.Pressure())
		s.Report = d.Report(now)
	})
	return s
}

func (e *Edge) setPeerReport(peer string, r dispatch.Report) {
	e.dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) { d.SetPeerReport(now, peer, r) })
}

// rowReport returns the summed report of this router's row, for other rows.
func (e *Edge) rowReport(peers []string) (r dispatch.Report) {
	e.dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) { r = d.RowReport(now, peers) })
	return r
}

func (e *Edge) setRowReport(name string, r dispatch.Report) {
	e.dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) { d.SetRowReport(now, name, r) })
}

func (e *Edge) setInterval(interval, announce time.Duration) {
	e.dispatcher.Update(func(_ time.Time, d *dispatch.Dispatcher) {
		d.SetAnnounceDuration(announce)
		d.SetReportDelay(interval)
	})
}

func (e *Edge) setRouters(names []string) {
	e.log.Log(oplog.StateChange, "routers.known", slog.Int("routers", len(names)))
	e.dispatcher.Update(func(_ time.Time, d *dispatch.Dispatcher) {
		d.SetRouters(names)
		e.pool.SetMaxIdle(d.IdleConnections())
	})
}

// ready reports whether clients may be directed to this router. It needs every
// collection of records: without the endpoints no request can be served, and
// without the list of zones that are out requests might be sent to such a zone.
func (e *Edge) ready() bool {
	return e.relay.Ready() && e.replica.Complete() && !e.leaving.Load()
}

// directoryTTL is how long clients may cache a response of the directory. It is
// short so that they soon stop using a router that is gone. Some clients cache
// the response for three times as long.
const directoryTTL = time.Second

// maxDirectoryAddresses is the number of addresses that clients accept from one
// response.
const maxDirectoryAddresses = 64

// callerAddresses returns the addresses that clients should connect to: all
// ready routers or, in a large fleet, a new random selection for each response.
func (e *Edge) callerAddresses(string) ([]string, time.Duration) {
	var out []string
	if e.ready() {
		out = append(out, e.settings.CallerAddress)
	}
	for _, r := range e.mesh.Alive() {
		if r.Ready && !r.Leaving {
			out = append(out, r.CallerAddress)
		}
	}
	if len(out) > maxDirectoryAddresses {
		rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
		out = out[:maxDirectoryAddresses]
	}
	return out, directoryTTL
}

// Run serves requests until the context ends, then stops gracefully.
func (e *Edge) Run(ctx context.Context) error {
	defer e.mesh.Close()
	work, stop := context.WithCancel(context.Background())
	defer stop()
	servers, err := e.openServers()
	if err != nil {
		return err
	}
	root := suture.New("edge", suture.Spec{EventHook: e.logSupervisorEvent, Timeout: time.Second})
	for _, p := range e.supervisedParts(servers) {
		root.Add(p)
	}
	ended := root.ServeBackground(work)
	e.log.Log(oplog.StateChange, "router.started", slog.String("front", e.settings.CallerAddress), slog.Int("peer_port", int(e.settings.PeerPort)))
	select {
	case <-ctx.Done():
	case err := <-ended:
		return errors.Wrap(err, "supervisor ended")
	}
	e.drain(clientServers(servers))
	stop()
	<-ended
	return nil
}

// supervisedPart is one part of the router that the supervisor restarts if it
// fails. It implements suture.Service.
type supervisedPart struct {
	name  string
	serve func(context.Context) error
}

// Serve runs the part until the context ends.
func (p supervisedPart) Serve(ctx context.Context) error { return p.serve(ctx) }

// String returns the name of the part, as shown in the supervisor's events.
func (p supervisedPart) String() string { return p.name }

func (e *Edge) supervisedParts(servers []webServer) []supervisedPart {
	parts := []supervisedPart{
		{"desk", e.dispatcher.Serve},
		{"overload", e.lagMeter.Serve},
		{"disconnects", e.relay.DetectDisconnects},
		{"account log", e.relay.LogAccounts},
		{"beats out", e.mesh.Send},
		{"beats in", e.mesh.Receive},
		{"expiry", func(ctx context.Context) error { return e.replica.RunExpiry(ctx, e.mesh.PeersReadStore) }},
		{"registration", e.maintainRegistration},
		{"connections", e.pruneConnections},
		{"health checks", e.checkEndpoints},
		{"quarantine", e.keepQuarantine},
		{"profile log", e.logProfiles},
		{"calls", e.servePeers},
		{"cached parts", e.learnCachedParts},
	}
	if e.settings.Rollouts {
		parts = append(parts, supervisedPart{"rollouts", e.driveRollouts})
	}
	for _, kind := range e.replica.Kinds() {
		parts = append(parts, supervisedPart{"follow " + string(kind), func(ctx context.Context) error {
			reads := e.mesh.ShouldReadStore
			if kind == replica.Rollouts {
				reads = e.mesh.ShouldReadOrders
			}
			return e.replica.Follow(ctx, e.platform.Source, kind, reads, e.log)
		}})
	}
	if e.copier != nil {
		parts = append(parts, supervisedPart{"forwarding", e.copier.Serve})
	}
	for _, s := range servers {
		parts = append(parts, supervisedPart{"web " + s.name, s.serve})
	}
	return parts
}

// logSupervisorEvent counts and logs an event of the supervisor.
func (e *Edge) logSupervisorEvent(event suture.Event) {
	metrics.GetOrCreateCounter("cyclamenwinch_supervisor_events_total").Inc()
	e.log.Log(oplog.StateChange, "part.event", slog.String("what", event.String()))
}

// pruneInterval is the time between two checks of the idle connections.
const pruneInterval = time.Second

// pruneConnections closes idle connections that are stale or whose address is
// no longer used.
func (e *Edge) pruneConnections(ctx context.Context) error {
	ticks := wake.NewTicker(pruneInterval)
	defer ticks.Stop()
	for {
		if err := ticks.Wait(ctx); err != nil {
			return err
		}
		e.pool.Prune(e.decoded.usesAddress)
	}
}
