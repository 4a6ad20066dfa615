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

	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peer"
)

// How often a part may fail before its restarts are spaced out.
const (
	failureThreshold = 5
	failureDecay     = 30 // seconds
	failureBackoff   = time.Second
	partStopTimeout  = 5 * time.Second
)

// part is one supervised service.
type part struct {
	name  string
	serve func(context.Context) error
}

// Serve runs the part until the context ends.
func (p *part) Serve(ctx context.Context) error { return p.serve(ctx) }

// String returns the part's name for the supervisor's log.
func (p *part) String() string { return p.name }

// supervise returns the tree of parts. A part that panics or ends is
// restarted, logged and counted.
func (d *Daemon) supervise(l listeners) *suture.Supervisor {
	root := suture.New("router", suture.Spec{
		EventHook:        d.supervised,
		FailureThreshold: failureThreshold,
		FailureDecay:     failureDecay,
		FailureBackoff:   failureBackoff,
		Timeout:          partStopTimeout,
	})
	root.Add(&part{name: "lease", serve: d.fleet.RunLeaseRenewal})
	root.Add(&part{name: "heartbeats", serve: d.fleet.RunHeartbeats})
	root.Add(&part{name: "manifest", serve: d.fleet.WatchManifest})
	root.Add(&part{name: "changes", serve: d.fleet.RunNotifier})
	root.Add(&part{name: "pools", serve: d.host.Serve})
	root.Add(&part{name: "orders", serve: d.ledger.Serve})
	root.Add(&part{name: "peers", serve: func(ctx context.Context) error {
		return peer.Serve(ctx, keep(l.peers), d.creds, peer.Handlers{Fleet: d.fleet, Admission: d.host, Orders: d.ledger})
	}})
	root.Add(&part{name: "callers", serve: func(ctx context.Context) error { return d.callerWeb.serve(ctx, keep(l.callers)) }})
	root.Add(&part{name: "operators", serve: func(ctx context.Context) error { return d.opsWeb.serve(ctx, keep(l.ops)) }})
	return root
}

// supervised notes what the supervisor does.
func (d *Daemon) supervised(e suture.Event) {
	switch e := e.(type) {
	case suture.EventServicePanic:
		d.restarted(e.ServiceName, "panic: "+e.PanicMsg)
		klog.ErrorS(nil, "daemon: Part panicked", "part", e.ServiceName, "panic", e.PanicMsg, "stack", e.Stacktrace)
	case suture.EventServiceTerminate:
		if e.Restarting {
			d.restarted(e.ServiceName, fmt.Sprint("ended: ", e.Err))
			klog.ErrorS(nil, "daemon: Part ended", "part", e.ServiceName, "err", e.Err)
		}
	default:
		klog.InfoS("daemon: Supervisor", "event", e.String())
	}
}

func (d *Daemon) restarted(name, why string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`cyclamenwinch_part_restarts_total{part=%q}`, name)).Inc()
	d.events.Add(eventlog.Event{Kind: eventlog.PartRestarted, Detail: name + " " + why})
}

// listeners are open for the life of the process; parts that restart listen
// on them again.
type listeners struct{ callers, peers, ops net.Listener }

func (d *Daemon) listen() (listeners, error) {
	s := d.current()
	var l listeners
	var err error
	if l.callers, err = net.Listen("tcp", s.CallerListen); err != nil {
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
	for _, each := range []net.Listener{l.callers, l.peers, l.ops} {
		if each != nil {
			each.Close()
		}
	}
}

// keep lets one run of a part use a listener: closing the result ends its
// Accept but leaves the listener open for the next run.
func keep(l net.Listener) net.Listener {
	tcp := l.(*net.TCPListener)
	tcp.SetDeadline(time.Time{})
	return &keptListener{TCPListener: tcp, closed: make(chan struct{})}
}

type keptListener struct {
	*net.TCPListener
	closed chan struct{}
}

// Accept returns net.ErrClosed after Close.
func (k *keptListener) Accept() (net.Conn, error) {
	conn, err := k.TCPListener.Accept()
	select {
	case <-k.closed:
		if err != nil {
			return nil, net.ErrClosed
		}
	default:
	}
	return conn, err
}

// Close ends Accept. It must be called once at most.
func (k *keptListener) Close() error {
	close(k.closed)
	k.SetDeadline(time.Now()) // fails only if the listener itself is closed
	return nil
}
