// Package daemon wires the parts of a router together, supervises them and
// stops them gracefully.
package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"
	"google.golang.org/grpc/credentials"
	"k8s.io/klog/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/internal/addresses"
	"github.com/cyclamenwinch/cyclamenwinch/internal/callerapi"
	"github.com/cyclamenwinch/cyclamenwinch/internal/endpoint"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/fleet"
	"github.com/cyclamenwinch/cyclamenwinch/internal/ledger"
	"github.com/cyclamenwinch/cyclamenwinch/internal/opsapi"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peer"
	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
	"github.com/cyclamenwinch/cyclamenwinch/internal/pool"
	"github.com/cyclamenwinch/cyclamenwinch/internal/settings"
)

const (
	eventsKept    = 20_000
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	dropTimeout   = 3 * time.Second
)

// Daemon is one router.
type Daemon struct {
	settings settings.Settings
	creds    credentials.TransportCredentials
	events   *eventlog.Log
	fleet    *fleet.Fleet
	host     *pool.Host
	pools    *pool.Client
	ledger   *ledger.Ledger
	dialer   *peer.Dialer
	callers  *callerapi.API
	ops      *opsapi.API
}

// New wires a router; nothing runs yet.
func New(s settings.Settings) (*Daemon, error) {
	creds, err := peer.Credentials(s.PeerTLS)
	if err != nil {
		return nil, err
	}
	d := &Daemon{settings: s, creds: creds, events: eventlog.New(s.Name, eventsKept), dialer: peer.NewDialer(creds)}
	store := platform.New(s.PlatformURL)
	d.fleet = fleet.New(fleet.Options{
		Self:      self(s),
		Platform:  store,
		Dialer:    d.dialer,
		Events:    d.events,
		Lease:     time.Duration(s.LeaseSeconds) * time.Second,
		Heartbeat: time.Duration(s.HeartbeatMillis) * time.Millisecond,
		Usage:     func() map[string]fair.Cost { return d.host.Usage() },
		Load:      func() int { return d.callers.Open() },
	})
	endpoints := endpoint.New(time.Duration(s.ProgressMillis) * time.Millisecond)
	d.host = pool.NewHost(d.fleet, d.events)
	d.pools = pool.NewClient(d.fleet, d.host, d.dialer)
	d.ledger = ledger.New(ledger.Options{Fleet: d.fleet, Platform: store, Pools: d.pools, Endpoints: endpoints, Dialer: d.dialer, Events: d.events})
	d.callers = callerapi.New(callerapi.Options{
		Fleet: d.fleet, Pools: d.pools, Endpoints: endpoints, Ledger: d.ledger, Events: d.events,
		Addresses:    addresses.New(d.fleet, time.Duration(s.AddressSeconds)*time.Second),
		MaxBodyBytes: int64(s.MaxBodyBytes),
	})
	d.ops = opsapi.New(opsapi.Options{Fleet: d.fleet, Events: d.events, Token: s.OpsToken, Open: d.callers.Open, Usage: d.host.Usage})
	return d, nil
}

func self(s settings.Settings) member.Router {
	return member.Router{
		Name:        s.Name,
		Incarnation: time.Now().UnixNano(),
		Zone:        s.Zone,
		Region:      s.Region,
		CallerURL:   "http://" + s.CallerListen,
		PeerAddr:    s.PeerListen,
		OpsURL:      "http://" + s.OpsListen,
	}
}

// Run serves until the context ends, then stops gracefully: it leaves the
// address answers, waits until those given have run out and the last request
// has ended, and releases its lease.
func (d *Daemon) Run(ctx context.Context) error {
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	root := d.supervise(listeners)
	ended := root.ServeBackground(work)
	d.events.Add(eventlog.Event{Kind: eventlog.RouterStarted})
	klog.InfoS("daemon: Started", "router", d.settings.Name)
	select {
	case <-ctx.Done():
	case err := <-ended:
		return errors.Wrap(err, "supervisor ended")
	}
	err = d.drain()
	stopWork()
	<-ended
	d.ledger.Close()
	d.pools.Close()
	d.dialer.Close()
	klog.InfoS("daemon: Stopped", "router", d.settings.Name)
	return err
}

type listeners struct{ callers, peers, ops net.Listener }

func (d *Daemon) listen() (listeners, error) {
	var l listeners
	var err error
	if l.callers, err = net.Listen("tcp", d.settings.CallerListen); err != nil {
		return l, errors.Wrap(err, "caller_listen")
	}
	if l.peers, err = net.Listen("tcp", d.settings.PeerListen); err != nil {
		return l, errors.Wrap(err, "peer_listen")
	}
	if l.ops, err = net.Listen("tcp", d.settings.OpsListen); err != nil {
		return l, errors.Wrap(err, "ops_listen")
	}
	return l, nil
}

// supervise returns the tree of parts; a part that fails is restarted.
func (d *Daemon) supervise(l listeners) *suture.Supervisor {
	root := suture.New("router", suture.Spec{EventHook: d.supervised})
	root.Add(&part{name: "lease", serve: d.fleet.KeepLease})
	root.Add(&part{name: "heartbeats", serve: d.fleet.KeepHeartbeats})
	root.Add(&part{name: "manifest", serve: d.fleet.WatchManifest})
	root.Add(&part{name: "pools", serve: d.host.Serve})
	root.Add(&part{name: "orders", serve: d.ledger.Serve})
	root.Add(&part{name: "peers", serve: func(ctx context.Context) error {
		return peer.Serve(ctx, shared(l.peers), d.creds, peer.Handlers{Fleet: d.fleet, Admission: d.host, Orders: d.ledger})
	}})
	root.Add(&part{name: "callers", serve: func(ctx context.Context) error {
		return serveHTTP(ctx, shared(l.callers), d.callers.Handler())
	}})
	root.Add(&part{name: "operators", serve: func(ctx context.Context) error {
		return serveHTTP(ctx, shared(l.ops), d.ops.Handler())
	}})
	return root
}

func (d *Daemon) supervised(e suture.Event) {
	klog.InfoS("daemon: Supervisor event", "event", e.String())
	d.events.Add(eventlog.Event{Kind: eventlog.PartRestarted, Detail: e.String()})
}

// drain is the graceful part of a stop.
func (d *Daemon) drain() error {
	klog.InfoS("daemon: Stopping", "router", d.settings.Name)
	d.events.Add(eventlog.Event{Kind: eventlog.RouterStopping})
	d.fleet.SetLeaving(true)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.settings.StopSeconds)*time.Second)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(d.settings.AddressSeconds) * time.Second):
	}
	idle := make(chan struct{})
	go func() {
		d.callers.Wait()
		d.ledger.Wait()
		close(idle)
	}()
	select {
	case <-ctx.Done():
		return errors.Newf("%d requests still open after %d seconds", d.callers.Open(), d.settings.StopSeconds)
	case <-idle:
	}
	ctx, cancelDrop := context.WithTimeout(context.Background(), dropTimeout)
	defer cancelDrop()
	if err := d.fleet.DropLease(ctx); err != nil {
		klog.InfoS("daemon: Lease not released", "err", err)
	}
	return nil
}

// part is one supervised service.
type part struct {
	name  string
	serve func(context.Context) error
}

// Serve runs the part until the context ends.
func (p *part) Serve(ctx context.Context) error { return p.serve(ctx) }

// String returns the part's name for the supervisor's log.
func (p *part) String() string { return p.name }

// shared lets a restarted part listen again: it never closes the listener.
func shared(l net.Listener) net.Listener { return keptListener{l} }

type keptListener struct{ net.Listener }

// Close does nothing.
func (keptListener) Close() error { return nil }

func serveHTTP(ctx context.Context, l net.Listener, h http.Handler) error {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, Protocols: protocols}
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	return errors.Wrap(s.Serve(l), "http server")
}
