package daemon

import (
	"context"
	"crypto/tls"
	"math"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"
	"k8s.io/klog/v2"

	"github.com/cyclamenwinch/cyclamenwinch/internal/closing"
	"github.com/cyclamenwinch/cyclamenwinch/internal/settings"
)

// Limits of a connection from a caller or an operator.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
	maxStreams     = 250 // concurrent requests on one HTTP/2 connection
)

const (
	// callerFileFraction is the fraction of the file descriptors that connections from
	// callers may use. As many are left for connections to endpoints.
	callerFileFraction = 0.5
	// opsFileFraction is the fraction that connections from operators may use.
	opsFileFraction = 0.05
	// peerFileFraction is the fraction that connections from other routers may use.
	peerFileFraction = 0.1
)

// maxConnections returns the number of connections that may use a fraction of the file
// descriptors of this process; 0: no limit.
func maxConnections(fraction float64) int {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		klog.ErrorS(err, "daemon: The number of connections is not limited")
		return 0
	}
	return int(fraction * min(float64(files.Cur), math.MaxInt32))
}

// webServer serves HTTP/1.1 and HTTP/2, with TLS or in plain text. It can be
// served again after a failure, but not after it was shut down.
type webServer struct {
	name    string
	tls     settings.ServerTLS
	handler http.Handler
	limits  closing.Limits // of its connections; set before it is served

	mu      sync.Mutex
	server  *http.Server   // of the current run
	conns   *closing.Conns // of the current run
	stopped bool
}

func newWebServer(name string, t settings.ServerTLS, h http.Handler) *webServer {
	return &webServer{name: name, tls: t, handler: h}
}

// serve runs until ctx is canceled or the server is shut down. After a shutdown
// it returns suture.ErrDoNotRestart.
func (w *webServer) serve(ctx context.Context, l net.Listener) error {
	s, conns, err := w.newServer()
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() {
		conns.Abort()
		s.Close()
	})
	defer stop()
	if w.tls.Mode == settings.Plain {
		err = s.Serve(conns.Listener(l))
	} else {
		err = s.ServeTLS(conns.SealedListener(l), "", "")
	}
	if w.isStopped() {
		return suture.ErrDoNotRestart
	}
	return errors.Wrap(err, w.name)
}

// newServer returns the HTTP server for one run and the owner of its connections.
func (w *webServer) newServer() (*http.Server, *closing.Conns, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return nil, nil, suture.ErrDoNotRestart
	}
	limits := w.limits
	limits.OnLimited = func(l closing.Limited) {
		klog.InfoS("daemon: Limited connections", "server", w.name, "refused", l.Refused, "evicted", l.Evicted, "heads", l.Heads, "open", l.Open)
	}
	w.conns = closing.NewLimitedConns(limits, func(r closing.Incomplete) {
		klog.InfoS("daemon: Closed a connection with an incomplete request", "server", w.name, "status", r.Status, "answered", r.Answered)
	})
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	w.server = &http.Server{
		Handler:           closing.ReadRest(w.conns.Announce(w.handler)),
		ConnState:         w.conns.ConnState,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         protocols,
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: maxStreams,
			MaxReceiveBufferPerConnection: closing.HTTP2ReceiveBytes, MaxReceiveBufferPerStream: closing.HTTP2ReceiveBytes},
	}
	if w.tls.Mode != settings.Plain {
		certs, err := newCertReloader(w.tls.CertFile, w.tls.KeyFile)
		if err != nil {
			return nil, nil, err
		}
		w.server.TLSConfig = &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: certs.get}
	}
	return w.server, w.conns, nil
}

// connsPollInterval is the time between two looks for open connections.
const connsPollInterval = 10 * time.Millisecond

// shutDown closes the listener permanently, accepts no new requests and waits
// until the open ones have completed or ctx is done.
func (w *webServer) shutDown(ctx context.Context, l net.Listener) error {
	w.mu.Lock()
	w.stopped = true
	s, conns := w.server, w.conns
	w.mu.Unlock()
	l.Close()
	if s == nil {
		return nil
	}
	conns.CloseIdle()
	for conns.Open() > 0 && ctx.Err() == nil {
		time.Sleep(connsPollInterval)
	}
	conns.Abort()
	return s.Shutdown(ctx) // also ends the connections that conns does not own
}

func (w *webServer) isStopped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped
}
