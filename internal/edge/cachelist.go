package edge

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
	"github.com/cyclamenwinch/cyclamenwinch/internal/limitio"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
)

// CacheListReader knows how endpoints list the prompt parts that they have cached.
type CacheListReader interface {
	// Path returns the path of the request.
	Path() string
	// Read decodes the response; false: the endpoint has no such call. The body is of any
	// response but is read only if the status is 200.
	Read(status int, h http.Header, body []byte) (dispatch.CacheList, bool, error)
}

const (
	// cacheListTimeout limits the call for a list. The endpoint may be busy, and nothing
	// waits for the response, but most of it is learned from placements a little later.
	cacheListTimeout = 2 * time.Second
	// maxCacheListBytes limits the body of the response: some 5,000 parts.
	maxCacheListBytes = 256 << 10
	// maxCacheListCalls is how many endpoints this router asks at the same time, so that
	// one that doesn't respond holds up few others and the bodies take 1 MB at most.
	maxCacheListCalls = 4
)

var cacheListParts = metrics.NewCounter("cyclamenwinch_cache_list_parts_total")

// askEndpoints asks endpoints which prompt parts they have cached: those for which this
// router is the one to ask.
func (e *Edge) askEndpoints(ctx context.Context) {
	var live []dispatch.RunningRouter
	for _, r := range e.mesh.Alive() {
		if !r.Leaving {
			live = append(live, dispatch.RunningRouter{Name: r.Name, Zone: r.Zone})
		}
	}
	var due []topology.Endpoint
	e.dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) { due = d.ListsDue(now, live) })
	e.log.Log(oplog.StateChange, "cache.lists_due", slog.Int("endpoints", len(due)), slog.Int("live_routers", len(live)), slog.Duration("uptime", time.Since(e.startedAt)))
	var running sync.WaitGroup
	slots := make(chan struct{}, maxCacheListCalls)
	for _, ep := range due {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			e.askEndpoint(ctx, ep)
		})
	}
	running.Wait()
}

// askEndpoint asks one endpoint, and applies and announces its list. A call that fails is
// not made again: later placements report the same.
func (e *Edge) askEndpoint(ctx context.Context, ep topology.Endpoint) {
	asked := time.Now()
	limit, cancel := context.WithTimeout(ctx, cacheListTimeout)
	defer cancel()
	list, supported, err := e.requestCacheList(limit, ep)
	if ctx.Err() != nil {
		return
	}
	result, parts := "adopted", 0
	switch {
	case err != nil:
		result = "failed"
	case !supported:
		result = "unsupported"
	default:
		ok := false
		e.dispatcher.Update(func(_ time.Time, d *dispatch.Dispatcher) { parts, ok = d.RecordList(ep, list) })
		if !ok {
			result = "other_incarnation"
		}
	}
	metrics.GetOrCreateCounter(`cyclamenwinch_cache_lists_total{result="` + result + `"}`).Inc()
	cacheListParts.Add(parts)
	attrs := []slog.Attr{slog.String("endpoint", ep.ID), slog.String("address", ep.Address), slog.Int64("born", ep.StartMillis), slog.String("result", result),
		slog.Duration("took", time.Since(asked)), slog.Int("listed", len(list.Parts)), slog.Int("parts", parts)}
	if err != nil {
		attrs = append(attrs, slog.String("error", err.Error()))
	}
	e.log.Log(oplog.StateChange, "cache.list_asked", attrs...)
}

// requestCacheList makes the call for a list.
func (e *Edge) requestCacheList(ctx context.Context, ep topology.Endpoint) (list dispatch.CacheList, supported bool, err error) {
	err = e.getFromEndpoint(ctx, ep.Address, e.platform.CacheLists.Path(), func(resp *http.Response) error {
		body, err := io.ReadAll(&limitio.Reader{R: resp.Body, Remaining: maxCacheListBytes})
		if err != nil {
			return errors.Wrap(err, "read the list")
		}
		list, supported, err = e.platform.CacheLists.Read(resp.StatusCode, resp.Header, body)
		if err != nil {
			resp.Close = true // what follows on the connection is not to be trusted either
			return errors.Wrap(err, "decode the list")
		}
		return nil
	})
	return list, supported, err
}
