package edge

import (
	"bytes"
	"context"
	"log"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"

	"github.com/cyclamenwinch/cyclamenwinch/internal/closing"
	"github.com/cyclamenwinch/cyclamenwinch/internal/limitio"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/overload"
)

// webServer is an HTTP server with its listener.
type webServer struct {
	name     string
	server   *http.Server
	listener net.Listener
	conns    *closing.Conns
	stopped  *atomic.Bool // the listener was closed for a stop
	clients  bool         // serves clients' requests
}

// clientServers returns the servers of clients' requests.
func clientServers(servers []webServer) (out []webServer) {
	for _, s := range servers {
		if s.clients {
			out = append(out, s)
		}
	}
	return out
}

func (s webServer) serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		s.conns.Abort()
		s.server.Close()
	})
	defer stop()
	err := s.server.Serve(s.listener)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if s.stopped.Load() || errors.Is(err, http.ErrServerClosed) {
		return suture.ErrDoNotRestart
	}
	return errors.Wrap(err, "serve "+s.name)
}

// openServers opens all listeners.
func (e *Edge) openServers() ([]webServer, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	var out []webServer
	for _, l := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"front", e.settings.CallerAddress, e.relay},
		{"ready", e.settings.ReadyAddress, e.platform.ReadyHandler(e.ready)},
		{"directory", e.settings.DirectoryAddress, e.platform.DirectoryHandler(e.callerAddresses)},
		{"metrics", e.settings.MetricsAddress, mux},
	} {
		if l.address == "" {
			continue
		}
		listener, err := listen(l.address)
		if err == nil && l.name == "front" {
			e.front, err = overload.NewListener(listener.(*net.TCPListener), e.lagMeter.Lag)
			listener = e.front
		}
		if err != nil {
			return nil, errors.Wrap(err, "listen for "+l.name)
		}
		if l.name == "front" {
			out = append(out, e.newClientServer(l.name, listener, l.handler))
		} else {
			out = append(out, e.newWebServer(l.name, listener, l.handler, e.controlLimits(l.name)))
		}
	}
	e.front.OnReset(func(r overload.Resets) {
		e.log.Log(oplog.StateChange, "connections.reset", slog.Int("count", r.Count), slog.Duration("waited", r.Waited), slog.Duration("gap", r.Gap))
	})
	if e.copier == nil {
		return out, nil
	}
	e.front.ForwardTo(e.copier)
	forwarded, err := e.forwardServer()
	if err != nil {
		return nil, err
	}
	return append(out, forwarded), nil
}

// newClientServer returns a server of clients' requests.
func (e *Edge) newClientServer(name string, l net.Listener, h http.Handler) webServer {
	s := e.newWebServer(name, l, h, e.connLimits(name, maxClientFileFraction))
	s.clients = true
	s.server.ConnContext = e.relay.ConnContext
	s.server.ConnState = func(c net.Conn, state http.ConnState) {
		s.conns.ConnState(c, state)
		e.relay.ConnState(c, state)
	}
	return s
}

// connLimits limits the open connections of a server by a fraction of the descriptors,
// and what they hold by the memory budget.
func (e *Edge) connLimits(server string, files float64) closing.Limits {
	return closing.Limits{Max: int(files * float64(e.settings.MaxFiles)), Memory: e.budget,
		OnLimited: func(l closing.Limited) { e.recordLimited(server, l) }}
}

// controlLimits limits the connections of a server that is not for clients' requests.
// Their memory is reserved apart, so that clients can't use it up.
func (e *Edge) controlLimits(server string) closing.Limits {
	limits := e.connLimits(server, otherFileFraction)
	limits.Control = server
	return limits
}

func (e *Edge) newWebServer(name string, l net.Listener, h http.Handler, limits closing.Limits) webServer {
	conns := closing.NewLimitedConns(limits, func(r closing.Incomplete) { e.recordIncomplete(name, r) })
	return webServer{name: name, listener: conns.Listener(l), conns: conns, stopped: new(atomic.Bool), server: &http.Server{
		Handler: closing.ReadRest(h), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: log.New(errorLogWriter{e.log, name}, "", 0), ConnState: conns.ConnState,
	}}
}

// recordIncomplete counts and logs a request whose connection was closed before its head
// was complete.
func (e *Edge) recordIncomplete(server string, r closing.Incomplete) {
	metrics.GetOrCreateCounter(`cyclamenwinch_requests_incomplete_total{status="` + strconv.Itoa(r.Status) +
		`",answered="` + strconv.FormatBool(r.Answered) + `"}`).Inc()
	e.log.Log(oplog.Failure, "request.incomplete", slog.String("server", server), slog.Int("status", r.Status), slog.Bool("answered", r.Answered))
}

// recordLimited logs what the limits of a server's connections have done.
func (e *Edge) recordLimited(server string, l closing.Limited) {
	e.log.Log(oplog.StateChange, "connections.limited", slog.String("server", server), slog.Int("refused", l.Refused),
		slog.Int("evicted", l.Evicted), slog.Int("heads", l.Heads), slog.Int("open", l.Open))
}

// listen opens a listener with TCP keepalives, which detect clients that are
// gone. The kernel buffers of its connections are enlarged for large bodies and responses.
func listen(address string) (net.Listener, error) {
	c := net.ListenConfig{Control: limitio.SmallBuffers,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}}
	return c.Listen(context.Background(), "tcp", address)
}

// errorLogWriter writes the error log of an HTTP server to the operators' log.
type errorLogWriter struct {
	log  *oplog.Logger
	name string
}

// Write logs one line of the HTTP server's error log.
func (s errorLogWriter) Write(p []byte) (int, error) {
	s.log.Log(oplog.Failure, "web.error", slog.String("server", s.name), slog.String("error", string(bytes.TrimSpace(p))))
	return len(p), nil
}

const (
	// drainAcceptPeriod is how long a stopping router accepts new requests. By its
	// end most clients have a new response of the directory. It is below three
	// seconds because requests that arrive later than that after the signal must
	// complete within the grace period, which long streams don't.
	drainAcceptPeriod = 2800 * time.Millisecond
	// exitMargin is how long before the end of the grace period the router stops
	// waiting for requests in progress, so that the process exits in time.
	exitMargin        = 700 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
	// refuseWaitingBefore is how long before that requests that still wait for an
	// endpoint are refused, so that their clients can go elsewhere.
	refuseWaitingBefore = 300 * time.Millisecond
	// maxSettleTime limits, at the end of a stop, the time for responses to requests
	// that are already read or wait in a socket, and then the time for the handlers to
	// end after their connections were closed. Both fit into exitMargin.
	maxSettleTime = 200 * time.Millisecond
)

// awaitNone waits until count returns 0, or until a time.
func awaitNone[N int | int64](count func() N, until time.Time) {
	for count() > 0 && time.Now().Before(until) {
		time.Sleep(drainPollInterval)
	}
}

// drain stops the router gracefully. The router leaves the directory, accepts
// requests until clients use other routers, waits for the requests in progress
// and closes the server.
func (e *Edge) drain(fronts []webServer) {
	started := time.Now()
	end := started.Add(e.settings.StopGrace - exitMargin)
	e.leaving.Store(true)
	e.relay.DisableKeepAlives()
	e.relay.SetExit(end)
	open, forwarded := e.relay.OpenRequests, func() int64 { return 0 }
	if e.copier != nil {
		e.copier.Stop()
		forwarded = e.copier.Open
		open = func() int64 { return e.relay.OpenRequests() + e.copier.Open() }
	}
	e.mesh.SendHeartbeats()
	e.log.Log(oplog.StateChange, "router.stopping", slog.Int64("open", e.relay.OpenRequests()))
	time.Sleep(min(drainAcceptPeriod, time.Until(end)))
	e.relay.RejectRequests()
	awaitNone(open, end.Add(-refuseWaitingBefore))
	e.relay.RefuseWaiting()
	awaitNone(open, end)
	forwardedCut := forwarded()
	cut, unended, err := closeServers(e.relay, fronts...)
	e.log.Log(oplog.StateChange, "router.stopped", slog.Int64("cut", cut), slog.Int64("unended", unended), slog.Int64("forwarded_cut", forwardedCut),
		slog.Duration("took", time.Since(started)), slog.Any("error", err))
}

// requestCounter knows the requests in progress; the relay is one.
type requestCounter interface {
	OpenRequests() int64
	ExpectClose()
}

// closeServers closes the listeners, the connections without a request and, once the
// others had time for their responses, these too. It returns how many requests were cut
// and how many handlers had not ended after that, so that their requests are not in the
// log.
func closeServers(requests requestCounter, servers ...webServer) (cut, unended int64, err error) {
	for _, s := range servers {
		s.stopped.Store(true)
		err = errors.CombineErrors(err, s.listener.Close())
		s.conns.CloseIdle()
	}
	until := time.Now().Add(maxSettleTime)
	for _, s := range servers {
		awaitNone(s.conns.Open, until)
	}
	cut = requests.OpenRequests()
	requests.ExpectClose()
	for _, s := range servers {
		s.conns.Abort()
	}
	for _, s := range servers {
		err = errors.CombineErrors(err, s.server.Close())
	}
	awaitNone(requests.OpenRequests, time.Now().Add(maxSettleTime))
	return cut, requests.OpenRequests(), err
}
