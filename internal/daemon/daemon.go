// Package daemon assembles a router from its components, runs them under a
// supervisor and shuts them down gracefully.
package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/credentials"
	"k8s.io/klog/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/internal/addresses"
	"github.com/cyclamenwinch/cyclamenwinch/internal/callerapi"
	"github.com/cyclamenwinch/cyclamenwinch/internal/closing"
	"github.com/cyclamenwinch/cyclamenwinch/internal/endpoint"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/fleet"
	"github.com/cyclamenwinch/cyclamenwinch/internal/ledger"
	"github.com/cyclamenwinch/cyclamenwinch/internal/memory"
	"github.com/cyclamenwinch/cyclamenwinch/internal/opsapi"
	"github.com/cyclamenwinch/cyclamenwinch/internal/overload"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peer"
	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
	"github.com/cyclamenwinch/cyclamenwinch/internal/pool"
	"github.com/cyclamenwinch/cyclamenwinch/internal/settings"
)

// maxEvents is the number of events kept in a router's timeline.
const maxEvents = 20_000

// Daemon is a router process.
type Daemon struct {
	creds     credentials.TransportCredentials
	events    *eventlog.Log
	fleet     *fleet.Fleet
	host      *pool.Host
	pools     *pool.Client
	ledger    *ledger.Ledger
	dialer    *peer.Dialer
	lagMeter  *overload.Meter
	budget    *memory.Budget // of connections, and of requests and responses in progress
	aborted   chan struct{}  // closed by Abort
	abortOnce sync.Once

	callers   *callerapi.API
	callerWeb *webServer
	ops       *opsapi.API
	opsWeb    *webServer

	mu       sync.Mutex
	settings settings.Settings
}

// New assembles a router without starting anything.
func New(s settings.Settings) (*Daemon, error) {
	creds, err := peer.Credentials(s.PeerTLS)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings: s,
		creds:    creds,
		events:   eventlog.New(s.Name, maxEvents),
		dialer:   peer.NewDialer(creds),
		lagMeter: overload.New(),
		aborted:  make(chan struct{}),
	}
	store := platform.New(s.PlatformURL)
	d.fleet = fleet.New(fleet.Options{
		Self:      selfRouter(s),
		Platform:  store,
		Dialer:    d.dialer,
		Events:    d.events,
		Lease:     time.Duration(s.LeaseSeconds) * time.Second,
		Heartbeat: time.Duration(s.HeartbeatMillis) * time.Millisecond,
		Usage:     func() map[string]fair.Cost { return d.host.Usage() },
		Load:      func() int { return d.callers.OpenRequests() },
	})
	endpoints := endpoint.New(time.Duration(s.ProgressMillis) * time.Millisecond)
	d.host = pool.NewHost(d.fleet, d.events)
	d.pools = pool.NewClient(d.fleet, d.host, d.dialer)
	d.budget = memory.NewBudget(int64(s.RequestMemory))
	d.budget.LimitRuntime(int64(runtimeFraction * float64(s.RequestMemory+otherMemory)))
	d.ledger = ledger.New(ledger.Options{
		Fleet: d.fleet, Platform: store, Pools: d.pools, Endpoints: endpoints, Dialer: d.dialer, Events: d.events, Memory: d.budget,
		RestoreHold: time.Duration(s.LeaseSeconds) * time.Second, // every router renews its lease in that time and learns of the restoration
	})
	d.callers = callerapi.New(callerapi.Options{
		Fleet: d.fleet, Pools: d.pools, Endpoints: endpoints, Ledger: d.ledger, Events: d.events,
		Addresses:    addresses.New(d.fleet, time.Duration(s.AddressSeconds)*time.Second),
		MaxBodyBytes: int64(s.MaxBodyBytes), MaxMessages: s.MaxMessages, MaxAccountRequests: s.MaxAccountOpen,
		Memory: d.budget,
		Lag:    d.lagMeter.Lag,
	})
	d.ops = opsapi.New(opsapi.Options{Fleet: d.fleet, Events: d.events, Token: s.OpsToken, OpenRequests: d.callers.OpenRequests, Usage: d.host.Usage, Pools: d.ownedPools, Orders: d.ledger, Quarantine: d.host})
	d.callerWeb = newWebServer("callers", s.CallerTLS, d.callerHandler())
	d.callerWeb.limits = closing.Limits{Max: maxConnections(callerFileFraction), Memory: d.budget}
	d.opsWeb = newWebServer("operators", s.OpsTLS, d.ops.Handler())
	d.opsWeb.limits = closing.Limits{Max: maxConnections(opsFileFraction), Memory: d.budget, Control: "operators"}
	return d, nil
}

// otherMemory is left, beside request_memory_bytes, for what the process holds without any
// request and for garbage, in bytes. Control functions may take half of it.
const otherMemory = 128 << 20

// runtimeFraction is the fraction of both that is set as the limit of the Go runtime. The
// runtime exceeds its limit for a while if much memory is allocated at once.
const runtimeFraction = 0.9

// selfRouter returns this router's membership entry, as its settings describe
// it.
func selfRouter(s settings.Settings) member.Router {
	return member.Router{
		Name:        s.Name,
		Incarnation: time.Now().UnixNano(),
		Zone:        s.Zone,
		Region:      s.Region,
		CallerURL:   webURL(s.CallerTLS, s.CallerAdvertise, s.CallerListen),
		PeerAddr:    advertisedAddress(s.PeerAdvertise, s.PeerListen),
		OpsURL:      webURL(s.OpsTLS, s.OpsAdvertise, s.OpsListen),
	}
}

func webURL(t settings.ServerTLS, advertise, listen string) string {
	if t.Mode == settings.Plain {
		return "http://" + advertisedAddress(advertise, listen)
	}
	return "https://" + advertisedAddress(advertise, listen)
}

func advertisedAddress(advertise, listen string) string {
	if advertise != "" {
		return advertise
	}
	return listen
}

// Run serves until ctx is canceled, then stops gracefully; see drain. If the
// stop ends before all requests and orders have completed, the error carries
// code.WorkCut.
func (d *Daemon) Run(ctx context.Context) error {
	l, err := d.listen()
	if err != nil {
		return err
	}
	defer l.close()
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	ended := d.supervise(l).ServeBackground(work)
	d.events.Add(eventlog.Event{Kind: eventlog.RouterStarted})
	klog.InfoS("daemon: Started", "router", d.fleet.Self().Name)
	select {
	case <-ctx.Done():
	case err := <-ended:
		return errors.Wrap(err, "supervisor ended")
	}
	err = d.drain(l)
	stopWork()
	<-ended
	d.ledger.Close()
	d.pools.Close()
	d.dialer.Close()
	klog.InfoS("daemon: Stopped", "router", d.fleet.Self().Name)
	return err
}

// Abort makes a graceful stop, running or later, end at once. It may be called
// more than once.
func (d *Daemon) Abort() { d.abortOnce.Do(func() { close(d.aborted) }) }
