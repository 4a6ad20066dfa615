package edge

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/upstream"
	"github.com/cyclamenwinch/cyclamenwinch/internal/wake"
)

const (
	// checkTick is the time between two looks at which health checks are due.
	checkTick = 100 * time.Millisecond
	// checkTimeout limits a health check. It waits for a slot of the endpoint, as any
	// request does.
	checkTimeout = time.Second
	// maxHealthBytes limits the body of the response to a health check. Beyond it the
	// connection is closed.
	maxHealthBytes = 16 << 10
)

var (
	checksAnswered = metrics.NewCounter(`cyclamenwinch_health_checks_total{result="answered"}`)
	checksFailed   = metrics.NewCounter(`cyclamenwinch_health_checks_total{result="failed"}`)
)

// errNotHealth means that a response belongs to another request.
var errNotHealth = errors.New("the response is not one to a health check")

// checkEndpoints makes health checks while the endpoints' records may be out of date,
// until the context ends. At other times records tell the same without a request.
func (e *Edge) checkEndpoints(ctx context.Context) error {
	ticks := wake.NewTicker(checkTick)
	defer ticks.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	checking := false
	for {
		if err := ticks.Wait(ctx); err != nil {
			return err
		}
		now := time.Now()
		if outOfDate := e.replica.OutOfDate(now); outOfDate != checking {
			checking = outOfDate
			e.log.Log(oplog.StateChange, "health_checks.needed", slog.Bool("needed", checking))
		}
		if !checking {
			continue
		}
		for _, c := range e.checksDue() {
			running.Go(func() { e.checkEndpoint(ctx, c) })
		}
	}
}

// checksDue returns the health checks that this router makes now. Routers that leave are
// not relied on, but check as others do: they still send requests.
func (e *Edge) checksDue() (due []dispatch.Check) {
	live := e.liveRouters()
	e.dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) { due = d.ChecksDue(now, live) })
	return due
}

// checkEndpoint makes a health check and applies the response. One that fails says
// nothing: requests show whether the endpoint can be reached.
func (e *Edge) checkEndpoint(ctx context.Context, c dispatch.Check) {
	limit, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	health, err := e.requestHealth(limit, c)
	if err != nil {
		checksFailed.Inc()
		e.log.Log(oplog.Routine, "endpoint.check_failed", slog.String("endpoint", c.ID), slog.String("address", c.Address), slog.String("error", err.Error()))
		return
	}
	checksAnswered.Inc()
	isNew := false
	e.dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) { isNew = d.RecordHealth(now, c.Endpoint, health) })
	if isNew {
		e.log.Log(oplog.StateChange, "endpoint.checked", slog.String("endpoint", c.ID), slog.String("address", c.Address), slog.String("responded", health.Endpoint),
			slog.Duration("cold_for", health.Cold), slog.Bool("leaving", health.Leaving), slog.Duration("pause", health.Pause))
		e.mesh.TriggerSend()
	}
}

// requestHealth makes a health check on a connection of the pool.
func (e *Edge) requestHealth(ctx context.Context, c dispatch.Check) (health dispatch.Health, err error) {
	err = e.getFromEndpoint(ctx, c.Address, c.Path, func(resp *http.Response) error {
		health = e.platform.ReadHealth(resp.StatusCode, resp.Header)
		if health.Endpoint == "" && health.Pause == 0 {
			return errNotHealth
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxHealthBytes+1)); err != nil || n > maxHealthBytes {
			resp.Close = true // of no further use, but the head is complete
		}
		return nil
	})
	return health, err
}

// getFromEndpoint makes a small request to an endpoint on a connection of the pool. read
// reads the response to its end, or sets Close in it.
func (e *Edge) getFromEndpoint(ctx context.Context, address, path string, read func(*http.Response) error) error {
	target, err := url.ParseRequestURI(path)
	if err != nil {
		return errors.Wrap(err, "parse the path")
	}
	conn, err := e.pool.Get(ctx, address, "", false)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()) })
	req := &http.Request{Method: http.MethodGet, Host: address, URL: target, Header: http.Header{"User-Agent": {""}}, ProtoMajor: 1, ProtoMinor: 1}
	resp, err := exchange(conn, req, read)
	if !stop() || err != nil {
		conn.Close()
		return err
	}
	e.pool.Put(conn, resp)
	return nil
}

func exchange(conn *upstream.Conn, req *http.Request, read func(*http.Response) error) (*http.Response, error) {
	if err := conn.Send(req, nil); err != nil {
		return nil, errors.Wrap(err, "send")
	}
	resp, err := conn.Receive(req)
	if err != nil {
		return nil, errors.Wrap(err, "receive")
	}
	return resp, read(resp)
}
