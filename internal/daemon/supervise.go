package daemon

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"
	"k8s.io/klog/v2"

	"github.com/cyclamenwinch/cyclamenwinch/internal/connlimit"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/limitio"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peer"
)

// Restart policy of the supervisor: after failureThreshold failures, whose count
// decays with failureDecay, restarts are delayed by failureBackoff.
// partStopTimeout is how long the supervisor waits for a part to stop.
const (
	failureThreshold = 5
	failureDecay     = 30 // seconds
	failureBackoff   = time.Second
	partStopTimeout  = 5 * time.Second
)

// part is a supervised service of the router.
type part struct {
	name  string
	serve func(context.Context) error
}

// Serve runs the part until ctx is canceled.
func (p *part) Serve(ctx context.Context) error { return p.serve(ctx) }

// String returns the part's name, which the supervisor reports in its events.
func (p *part) String() string { return p.name }

// supervise returns the supervisor of all parts. A part that panics or returns
// is restarted, and the restart is logged and counted.
func (d *Daemon) supervise(l listeners) *suture.Supervisor {
	root := suture.New("router", suture.Spec{
		EventHook:        d.handleSupervisorEvent,
		FailureThreshold: failureThreshold,
		FailureDecay:     failureDecay,
		FailureBackoff:   failureBackoff,
		Timeout:          partStopTimeout,
	})
	root.Add(&part{name: "overload", serve: d.lagMeter.Serve})
	root.Add(&part{name: "lease", serve: d.fleet.RunLeaseRenewal})
	root.Add(&part{name: "heartbeats", serve: d.fleet.RunHeartbeats})
	root.Add(&part{name: "manifest", serve: d.fleet.WatchManifest})
	root.Add(&part{name: "changes", serve: d.fleet.RunNotifier})
	root.Add(&part{name: "pools", serve: d.host.Serve})
	root.Add(&part{name: "orders", serve: d.ledger.Serve})
	root.Add(&part{name: "peers", serve: func(ctx context.Context) error {
		return peer.Serve(ctx, reusable(l.peers), d.creds, peer.Handlers{Fleet: d.fleet, Admission: d.host, Orders: d.ledger},
			connlimit.Limits{Max: maxConnections(peerFileFraction), Memory: d.budget})
	}})
	root.Add(&part{name: "callers", serve: func(ctx context.Context) error { return d.callerWeb.serve(ctx, reusable(l.callers)) }})
	root.Add(&part{name: "operators", serve: func(ctx context.Context) error { return d.opsWeb.serve(ctx, reusable(l.ops)) }})
	return root
}

// handleSupervisorEvent logs the supervisor's events and records restarts.
func (d *Daemon) handleSupervisorEvent(e suture.Event) {
	switch e := e.(type) {
	case suture.EventServicePanic:
		d.recordRestart(e.ServiceName, "panic: "+e.PanicMsg)
		klog.ErrorS(nil, "daemon: Part panicked", "part", e.ServiceName, "panic", e.PanicMsg, "stack", e.Stacktrace)
	case suture.EventServiceTerminate:
		if e.Restarting {
			d.recordRestart(e.ServiceName, fmt.Sprint("ended: ", e.Err))
			klog.ErrorS(nil, "daemon: Part returned and is restarted", "part", e.ServiceName, "err", e.Err)
		}
	default:
		klog.InfoS("daemon: Supervisor event", "event", e.String())
	}
}

func (d *Daemon) recordRestart(name, cause string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`cyclamenwinch_part_restarts_total{part=%q}`, name)).Inc()
	d.events.Add(eventlog.Event{Kind: eventlog.PartRestarted, Detail: name + " " + cause})
}

// listeners stay open for the lifetime of the process; restarted parts use them
// again.
type listeners struct{ callers, peers, ops net.Listener }

func (d *Daemon) listen() (listeners, error) {
	s := d.current()
	var l listeners
	var err error
	callers := net.ListenConfig{Control: limitio.SmallBuffers}
	if l.callers, err = callers.Listen(context.Background(), "tcp", s.CallerListen); err != nil {
		return l, errors.Wrap(err, "caller_listen")
	}
	if l.peers, err = net.Listen("tcp", s.PeerListen); err != nil {
		l.close()
		return l, errors.Wrap(err, "peer_listen")
	}
	if l.ops, err = net.Listen("tcp", s.OpsListen); err != nil {
		l.close()
		return l, errors.Wrap(err, "ops_listen")
	}
	return l, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.ops} {
		if listener != nil {
			listener.Close()
		}
	}
}

// reusable returns a listener on l for one run of a part. Closing it ends Accept
// but leaves l open for the next run.
func reusable(l net.Listener) net.Listener {
	tcp := l.(*net.TCPListener)
	tcp.SetDeadline(time.Time{})
	return &reusableListener{TCPListener: tcp, closed: make(chan struct{})}
}

type reusableListener struct {
	*net.TCPListener
	closed chan struct{}
}

// Accept returns net.ErrClosed after Close.
func (r *reusableListener) Accept() (net.Conn, error) {
	conn, err := r.TCPListener.Accept()
	select {
	case <-r.closed:
		if err != nil {
			return nil, net.ErrClosed
		}
	default:
	}
	return conn, err
}

// Close ends Accept. It must not be called more than once.
func (r *reusableListener) Close() error {
	close(r.closed)
	r.SetDeadline(time.Now()) // fails only if the underlying listener is closed
	return nil
}
