// Package edge is the router on a prepared platform: it wires the relay, the
// dispatcher, the copy of the platform's records and the mesh of routers
// together, supervises them, and stops them gracefully.
package edge

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"
	"google.golang.org/grpc"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
	"github.com/cyclamenwinch/cyclamenwinch/internal/mesh"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/overload"
	"github.com/cyclamenwinch/cyclamenwinch/internal/relay"
	"github.com/cyclamenwinch/cyclamenwinch/internal/replica"
	"github.com/cyclamenwinch/cyclamenwinch/internal/upstream"
)

// Settings are what a router learns from its settings file.
type Settings struct {
	Name             string
	Zone             string
	Region           string
	Address          netip.Addr
	CallerAddress    string // IP:port for clients' requests
	ReadyAddress     string // IP:port of the readiness check
	DirectoryAddress string // IP:port where clients ask for addresses
	MetricsAddress   string // address of the metrics; empty: none
	PeerPort         uint16 // the same at all routers
	Seeds            []netip.Addr

	StopGrace   time.Duration // between SIGTERM and SIGKILL
	MemoryBytes int64         // of the process; 0: no limit
	MaxFiles    int           // descriptors of the process; 0: no limit
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

// Entry is a router's entry in the platform's store.
type Entry struct {
	Name     string
	Address  string // IP
	Zone     string
	Revision int64 // 0: not stored yet
}

// Registry keeps the entries of routers.
type Registry interface {
	Routers(ctx context.Context) ([]Entry, error)
	Register(ctx context.Context, e Entry) error
	Unregister(ctx context.Context, e Entry) error
}

// Decoder reads the platform's records.
type Decoder interface {
	// Config returns the configuration; false if there is none.
	Config([]replica.Record) (topology.Config, bool, error)
	// Endpoint returns an endpoint; the error says why the record names none.
	Endpoint(replica.Record) (topology.Endpoint, error)
	// ZoneOut returns the zone that a record takes out.
	ZoneOut(replica.Record) string
}

// Platform is all that a router needs of the platform.
type Platform struct {
	Source           replica.Source
	Registry         Registry
	Decoder          Decoder
	Protocol         relay.Protocol
	DirectoryHandler func(answer func(zone string) (addresses []string, keep time.Duration)) http.Handler
	ReadyHandler     func(ready func() bool) http.Handler
}

const (
	// gcMemoryFraction is the part of the memory limit at which the garbage
	// collector works harder; stacks and kernel buffers need the rest.
	gcMemoryFraction = 0.6
	// Bounds of what a client may take; the platform's configuration has
	// the same or lower ones.
	headerTimeout  = 5 * time.Second
	idleTimeout    = 14 * time.Second
	maxHeaderBytes = 64 << 10
	// clientFileFraction is the part of the descriptors that clients' connections
	// may take; beyond it each is closed after its answer.
	clientFileFraction = 0.4
	// maxProcessorLag is how long work may wait for the processor, on average, before
	// the router refuses new requests at once. A request waits several times
	// on its way: five of these are most of a usual objective.
	maxProcessorLag = 40 * time.Millisecond
	// memoryPerRequest is the part of the memory limit that is set aside for one
	// request in progress: buffers of two connections, stacks, body.
	memoryPerRequest = 150 << 10
)

// Edge is one router.
type Edge struct {
	settings   Settings
	platform   Platform
	log        *oplog.Logger
	dispatcher *relay.SharedDispatcher
	relay      *relay.Relay
	pool       *upstream.Pool
	lagMeter   *overload.Meter
	replica    *replica.Replica
	mesh       *mesh.Mesh
	peerServer *grpc.Server
	leaving    atomic.Bool

	decoded   decodedRecords
	entriesMu sync.Mutex
	entries   map[string]Entry // of other routers, as last listed
}

// New wires a router and opens its socket for beats.
func New(s Settings, p Platform, log *oplog.Logger) (*Edge, error) {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(gcMemoryFraction * float64(s.MemoryBytes)))
	}
	e := &Edge{settings: s, platform: p, log: log, pool: upstream.NewPool(), lagMeter: overload.New(), entries: map[string]Entry{}}
	e.dispatcher = relay.NewSharedDispatcher(dispatch.New(dispatch.Options{
		Self: s.Name, Zone: s.Zone, RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack, RetryWindow: s.RetryWindow,
	}))
	e.relay = relay.New(relay.Options{Protocol: p.Protocol, Dispatcher: e.dispatcher, Pool: e.pool, Log: log,
		MaxConnections: int64(clientFileFraction * float64(s.MaxFiles)), MaxOpen: s.MemoryBytes / memoryPerRequest, Lag: e.lagMeter.Lag, MaxLag: maxProcessorLag})
	e.replica = replica.New(e.handleChange)
	var err error
	e.mesh, err = mesh.New(mesh.Options{
		Name: s.Name, Zone: s.Zone, Incarnation: time.Now().UnixNano(), CallerAddress: s.CallerAddress,
		Address: netip.AddrPortFrom(s.Address, s.PeerPort), Replica: e.replica, Log: log,
		State: e.heartbeatState, RowReport: e.rowReport, OnReport: e.setPeerReport, OnRowReport: e.setRowReport, OnAnnounceDuration: e.setAnnounceDuration, OnRoutersChanged: e.setRouters,
	})
	if err != nil {
		return nil, err
	}
	for _, seed := range s.Seeds {
		e.mesh.AddPeer("", "", seed, false)
	}
	e.peerServer = mesh.NewServer(e.replica)
	return e, nil
}

// heartbeatState is what the router tells the others in each beat.
func (e *Edge) heartbeatState() mesh.State {
	s := mesh.State{Ready: e.ready(), Leaving: e.leaving.Load(), ReadsStore: e.replica.ReadsStore()}
	e.dispatcher.Update(func(now time.Time, core *dispatch.Dispatcher) { s.Report = core.Report(now) })
	return s
}

func (e *Edge) setPeerReport(peer string, r dispatch.Report) {
	e.dispatcher.Update(func(now time.Time, core *dispatch.Dispatcher) { core.SetPeerReport(now, peer, r) })
}

// rowReport is what the router tells other rows of its own.
func (e *Edge) rowReport(peers []string) (r dispatch.Report) {
	e.dispatcher.Update(func(now time.Time, core *dispatch.Dispatcher) { r = core.RowReport(now, peers) })
	return r
}

func (e *Edge) setRowReport(name string, r dispatch.Report) {
	e.dispatcher.Update(func(now time.Time, core *dispatch.Dispatcher) { core.SetRowReport(now, name, r) })
}

func (e *Edge) setAnnounceDuration(tell time.Duration) {
	e.dispatcher.Update(func(_ time.Time, core *dispatch.Dispatcher) { core.SetAnnounceDuration(tell) })
}

func (e *Edge) setRouters(names []string) {
	e.log.Log(oplog.StateChange, "routers.known", slog.Int("routers", len(names)))
	e.dispatcher.Update(func(_ time.Time, core *dispatch.Dispatcher) {
		core.SetRouters(names)
		e.pool.SetMaxIdle(core.IdleConnections())
	})
}

// ready reports whether clients may be sent here: without endpoints, or without
// the zones that are out, requests could not be served or would go wrong.
func (e *Edge) ready() bool {
	return e.relay.Ready() && e.replica.Complete() && !e.leaving.Load()
}

// directoryTTL is how long clients keep an answer of the directory: short,
// so that they soon leave a router that has gone. Some keep it three times as
// long.
const directoryTTL = time.Second

// maxDirectoryAddresses is how many addresses clients take from one answer.
const maxDirectoryAddresses = 64

// callerAddresses returns where clients should connect: at all routers that are
// ready or, of a large fleet, at some of them, drawn anew for each answer.
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

// Run serves until the context ends, then stops gracefully.
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
	e.drain(servers[0].server)
	stop()
	<-ended
	return nil
}

// supervisedPart is one supervised service.
type supervisedPart struct {
	name  string
	serve func(context.Context) error
}

// Serve runs the part until the context ends.
func (p supervisedPart) Serve(ctx context.Context) error { return p.serve(ctx) }

// String returns the part's name for the supervisor's events.
func (p supervisedPart) String() string { return p.name }

func (e *Edge) supervisedParts(servers []webServer) []supervisedPart {
	parts := []supervisedPart{
		{"desk", e.dispatcher.Serve},
		{"overload", e.lagMeter.Serve},
		{"beats out", e.mesh.Send},
		{"beats in", e.mesh.Receive},
		{"expiry", e.replica.RunExpiry},
		{"registration", e.maintainRegistration},
		{"connections", e.pruneConnections},
		{"calls", e.servePeers},
	}
	for _, kind := range replica.Kinds {
		parts = append(parts, supervisedPart{"follow " + string(kind), func(ctx context.Context) error {
			return e.replica.Follow(ctx, e.platform.Source, kind, e.mesh.ShouldReadStore, e.log)
		}})
	}
	for _, s := range servers {
		parts = append(parts, supervisedPart{"web " + s.name, s.serve})
	}
	return parts
}

// logSupervisorEvent logs what the supervisor does.
func (e *Edge) logSupervisorEvent(event suture.Event) {
	metrics.GetOrCreateCounter("cyclamenwinch_supervisor_events_total").Inc()
	e.log.Log(oplog.StateChange, "part.event", slog.String("what", event.String()))
}

func (e *Edge) servePeers(ctx context.Context) error {
	l, err := net.Listen("tcp", netip.AddrPortFrom(e.settings.Address, e.settings.PeerPort).String())
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	stop := context.AfterFunc(ctx, e.peerServer.Stop)
	defer stop()
	return e.peerServer.Serve(l)
}

// pruneInterval is how often idle connections are looked at.
const pruneInterval = time.Second

// pruneConnections closes idle connections that have become useless.
func (e *Edge) pruneConnections(ctx context.Context) error {
	ticks := time.NewTicker(pruneInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C:
			e.pool.Prune(e.decoded.usesAddress)
		}
	}
}
