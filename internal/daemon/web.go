package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"

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

// webServer serves HTTP/1.1 and HTTP/2, with TLS or in plain text. It can be
// served again after a failure, but not after it was shut down.
type webServer struct {
	name    string
	tls     settings.ServerTLS
	handler http.Handler

	mu      sync.Mutex
	server  *http.Server // of the current run
	stopped bool
}

func newWebServer(name string, t settings.ServerTLS, h http.Handler) *webServer {
	return &webServer{name: name, tls: t, handler: h}
}

// serve runs until ctx is canceled or the server is shut down. After a shutdown
// it returns suture.ErrDoNotRestart.
func (w *webServer) serve(ctx context.Context, l net.Listener) error {
	s, err := w.newServer()
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	if w.tls.Mode == settings.Plain {
		err = s.Serve(l)
	} else {
		err = s.ServeTLS(l, "", "")
	}
	if w.isStopped() {
		return suture.ErrDoNotRestart
	}
	return errors.Wrap(err, w.name)
}

// newServer returns the HTTP server for one run.
func (w *webServer) newServer() (*http.Server, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return nil, suture.ErrDoNotRestart
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	w.server = &http.Server{
		Handler:           closing.ReadRest(w.handler),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
	}
	if w.tls.Mode != settings.Plain {
		certs, err := newCertReloader(w.tls.CertFile, w.tls.KeyFile)
		if err != nil {
			return nil, err
		}
		w.server.TLSConfig = &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: certs.get}
	}
	return w.server, nil
}

// shutDown closes the listener permanently, accepts no new requests and waits
// until the open ones have completed or ctx is done.
func (w *webServer) shutDown(ctx context.Context, l net.Listener) error {
	w.mu.Lock()
	w.stopped = true
	s := w.server
	w.mu.Unlock()
	l.Close()
	if s == nil {
		return nil
	}
	return s.Shutdown(ctx)
}

func (w *webServer) isStopped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped
}
