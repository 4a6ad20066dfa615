package relay

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
)

// prepare matches the request and reads its body.
func (x *exchange) prepare() *code.Error {
	x.table = x.h.table.Load()
	switch {
	case x.table == nil:
		return notRun(code.NoManifest, notReadyRetry)
	case x.h.opts.MaxOpen > 0 && x.h.open.Load() > x.h.opts.MaxOpen:
		return notRun(code.QueueFull, stoppingRetry)
	case x.h.closing.Load():
		return notRun(code.Stopping, stoppingRetry)
	}
	if lag := x.h.lag(); lag > x.h.opts.MaxLag {
		failure := notRun(code.QueueFull, shedRetry)
		failure.Detail = "this router is behind by " + lag.Round(time.Millisecond).String()
		return failure
	}
	route, ok := x.table.Match(x.r.Host, x.r.URL.Path)
	if !ok {
		return code.Refuse(code.UnknownPath, "no route matches host and path")
	}
	x.route, x.priority = route, route.Priority
	if failure := x.authenticate(); failure != nil {
		return failure
	}
	if failure := x.readBody(); failure != nil {
		return failure
	}
	x.header = endToEnd(x.r.Header)
	x.service = route.Pick(xxhash.Sum64String(x.meta.ID))
	x.deadline = x.arrived.Add(x.patience())
	return nil
}

// patience is how long the request may take.
func (x *exchange) patience() time.Duration {
	wait := x.meta.Timeout
	if t := x.route.Timeout; t > 0 && (wait <= 0 || t < wait) {
		wait = t
	}
	if wait <= 0 {
		return defaultWait
	}
	return wait
}

func (x *exchange) authenticate() *code.Error {
	if !x.table.Config.HasAccounts {
		return nil
	}
	if account := x.table.Account(x.meta.APIKey); account != nil {
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
	most := x.table.Config.Limits.BodyBytes
	if most <= 0 {
		most = defaultBodyBytes
	}
	body, err := readAll(http.MaxBytesReader(x.w, x.r.Body, most), x.r.ContentLength, most)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return code.Refuse(code.BodyTooLarge, "")
	case err != nil:
		return code.Refuse(code.CallerLeft, "the body did not arrive whole")
	}
	x.body = body
	return nil
}

// readAll reads a body whose length may be known.
func readAll(r io.Reader, length, most int64) ([]byte, error) {
	if length <= 0 || length > most {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

func splitList(s string) []string {
	parts := strings.Split(s, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}
