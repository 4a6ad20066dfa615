package relay

import (
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
)

// bufferedResponse is a complete response held in memory.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// writeTo writes the response. With flush it does so to the client's socket, so that
// an error is known.
func (b *bufferedResponse) writeTo(w http.ResponseWriter, flush bool) error {
	copyHeader(w.Header(), b.header)
	w.WriteHeader(b.status)
	if _, err := w.Write(b.body); err != nil || !flush {
		return err
	}
	return http.NewResponseController(w).Flush()
}

// setLength declares the length of the body, unless the response to this method has
// none or the length is known.
func (b *bufferedResponse) setLength(method string) {
	if method == http.MethodHead || b.status < 200 || b.status == http.StatusNoContent || b.status == http.StatusNotModified || b.header.Get("Content-Length") != "" {
		return
	}
	b.header.Set("Content-Length", strconv.Itoa(len(b.body)))
}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
}

// writeResponse writes a complete response. An error is logged and counted; the
// HTTP server closes the connection after one.
func (x *exchange) writeResponse(b *bufferedResponse) {
	if now := time.Now(); !x.deadline.IsZero() && now.After(x.deadline) {
		x.limitWrite(now) // the body arrived late, or this process was suspended
	}
	b.setLength(x.r.Method)
	x.h.announceClose(b.header)
	// A flush reads an unread body first, for as long as the client takes to send it.
	flush := x.bodyRead || x.r.ContentLength == 0
	if err := b.writeTo(x.w, flush); err != nil {
		x.h.opts.Log.Log(oplog.Failure, "request.answer_not_written", x.attrs(slog.String("error", err.Error()))...)
		x.recordNoResponse(notWritten)
	}
}

// limitWrite keeps a client that does not read from holding the request open for longer
// than writeGrace after a time.
func (x *exchange) limitWrite(after time.Time) {
	if err := http.NewResponseController(x.w).SetWriteDeadline(after.Add(writeGrace)); err != nil {
		x.h.opts.Log.Log(oplog.Failure, "request.no_write_deadline", x.attrs(slog.String("error", err.Error()))...)
	}
}

// noResponseReason says why a client got no complete response.
type noResponseReason string

const (
	clientLeft      noResponseReason = "client_left"     // it closed its connection
	bodyIncomplete  noResponseReason = "body_incomplete" // the request could not be read to its end
	streamCut       noResponseReason = "stream_cut"      // the rest of a stream could not be obtained
	notWritten      noResponseReason = "not_written"     // the response could not be written
	routerStopped   noResponseReason = "router_stopped"  // this router closed the connection at the end of its grace
	handlerPanicked noResponseReason = "panic"           // a bug in this router
)

// recentConfig is how long after it was applied a configuration counts as recent.
const recentConfig = 3 * time.Second

// recordNoResponse counts and logs a request whose client gets no complete response.
func (x *exchange) recordNoResponse(reason noResponseReason) {
	if reason == clientLeft && x.h.closing.Load() {
		reason = routerStopped
	}
	recent := false
	attrs := []slog.Attr{slog.String("reason", string(reason)), slog.Bool("read", x.bodyRead), slog.Int("sends", x.sends)}
	if t := x.h.table.Load(); t != nil {
		age := time.Since(t.AppliedAt)
		recent = age < recentConfig
		attrs = append(attrs, slog.Duration("newest_config_age", age))
	}
	metrics.GetOrCreateCounter(`cyclamenwinch_requests_without_response_total{reason="` + string(reason) +
		`",recent_config="` + strconv.FormatBool(recent) + `"}`).Inc()
	if reason == routerStopped { // a stop refuses many requests, whose lines use up the rate of failures
		x.h.opts.Log.Log(oplog.StateChange, "request.no_response", x.attrs(attrs...)...)
		return
	}
	x.h.opts.Log.Log(oplog.Failure, "request.no_response", x.attrs(attrs...)...)
}

// recordPanic records a panic of the handler, after which the HTTP server closes the
// connection, and passes it on. It is meant to be deferred.
func (x *exchange) recordPanic() {
	p := recover()
	if p == nil {
		return
	}
	if p != http.ErrAbortHandler {
		x.recordNoResponse(handlerPanicked)
	}
	panic(p)
}

// abortResponse closes the client's connection instead of completing the response.
func (x *exchange) abortResponse(reason noResponseReason) {
	x.recordNoResponse(reason)
	panic(http.ErrAbortHandler)
}

// callerLeftReason returns the reason for which a request whose client left gets no
// response; bodyRead says whether it had been read to its end.
func callerLeftReason(bodyRead bool) noResponseReason {
	if bodyRead {
		return clientLeft
	}
	return bodyIncomplete
}
