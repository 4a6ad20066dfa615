package relay

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/internal/memory"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
)

// prepare checks whether the request can be accepted, matches its route,
// authenticates the client and reads the body.
func (x *exchange) prepare() *code.Error {
	x.table = x.h.table.Load()
	switch {
	case x.table == nil:
		return notRunError(code.NoManifest, notReadyRetryAfter)
	case x.h.rejecting.Load():
		return notRunError(code.Stopping, stoppingRetryAfter)
	}
	if lag := x.h.lag(); lag > x.h.opts.MaxLag {
		failure := notRunError(code.QueueFull, overloadRetryAfter)
		failure.Detail = "this router is overloaded; work waits for the CPU for " + lag.Round(time.Millisecond).String()
		return failure
	}
	route, ok := x.table.Match(x.r.Host, x.r.URL.EscapedPath())
	if !ok {
		return code.Refuse(code.UnknownPath, "no route matches host and path")
	}
	if outgoingURL(x.r).RequestURI() != x.r.RequestURI {
		return code.Refuse(code.BadRequest, "the request target has characters that no URI may have")
	}
	x.route, x.priority = route, route.Priority
	if failure := x.authenticate(); failure != nil {
		return failure
	}
	if x.meta.ID == "" {
		return code.Refuse(code.BadRequest, "the request has no ID, which its response has to name")
	}
	if !x.memory.Reserve(memory.Requests, x.account, 0).Resize(memory.RequestBytes) {
		return noMemory("for another request")
	}
	if failure := x.readBody(); failure != nil {
		return failure
	}
	x.header = endToEndHeader(x.r.Header)
	x.service = route.Pick(xxhash.Sum64String(x.meta.ID))
	x.deadline = x.arrived.Add(x.timeout())
	return nil
}

// timeout returns how long the request may take.
func (x *exchange) timeout() time.Duration {
	timeout := x.meta.Timeout
	if t := x.route.Timeout; t > 0 && (timeout <= 0 || t < timeout) {
		timeout = t
	}
	if timeout <= 0 {
		return defaultTimeout
	}
	return timeout
}

func (x *exchange) authenticate() *code.Error {
	if !x.table.Config.HasAccounts {
		return nil
	}
	if account := x.table.AccountByKey(x.meta.APIKey); account != nil {
		x.account = account.Name
		if account.HasPriority {
			x.priority = account.Priority
		}
		return nil
	}
	if x.route.Public {
		return nil
	}
	return code.Refuse(code.UnknownKey, "")
}

func (x *exchange) readBody() *code.Error {
	limit := x.table.Config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if x.r.ContentLength > limit {
		return code.Refuse(code.BodyTooLarge, "")
	}
	if x.r.ContentLength != 0 {
		defer x.limitBodyRead()()
	}
	held := x.memory.Reserve(memory.RequestBodies, x.account, memory.FreeBodyBytes)
	body, err := x.h.bodies.read(x.w, func() ([]byte, error) {
		return memory.ReadBody(http.MaxBytesReader(x.w, x.r.Body, limit), x.r.ContentLength, limit, held)
	})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errBodyStopped):
		return notRunError(code.Stopping, stoppingRetryAfter)
	case errors.As(err, &tooLarge):
		return code.Refuse(code.BodyTooLarge, "")
	case errors.Is(err, os.ErrDeadlineExceeded):
		failure := notRunError(code.WaitTooLong, 0)
		failure.Detail = "the request body was incomplete at the deadline"
		return failure
	case errors.Is(err, memory.ErrNoMemory):
		return noMemory("for a large request body")
	case err != nil && x.r.Context().Err() == nil && !isConnError(err):
		x.w.Header().Set("Connection", "close") // where the next request begins is unknown
		return code.Refuse(code.BadRequest, err.Error())
	case err != nil:
		return code.Refuse(code.CallerLeft, "the request body is incomplete")
	}
	x.body, x.bodyRead = body, true
	return nil
}

// limitBodyRead keeps a client that sends slowly from holding memory beyond the deadline
// of its request. The function that it returns ends the limit.
func (x *exchange) limitBodyRead() func() {
	control := http.NewResponseController(x.w)
	limit := func(t time.Time) {
		if err := control.SetReadDeadline(t); err != nil {
			x.h.opts.Log.Log(oplog.Failure, "request.no_read_deadline", x.attrs(slog.String("error", err.Error()))...)
		}
	}
	limit(x.arrived.Add(x.timeout()))
	return func() { limit(time.Time{}) }
}

// isConnError reports whether reading from a client failed with its connection.
func isConnError(err error) bool {
	var network net.Error
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.As(err, &network)
}

// noMemory returns the failure of a request that exceeds the memory budget.
func noMemory(purpose string) *code.Error {
	failure := notRunError(code.NoMemory, memoryRetryAfter)
	failure.Detail = "no memory is left " + purpose
	return failure
}

func splitList(s string) []string {
	parts := strings.Split(s, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}
