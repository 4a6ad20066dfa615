package daemon

import (
	"context"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/settings"
)

// releaseTimeout is the time limit for releasing the lease, the last step of a
// stop.
const releaseTimeout = 3 * time.Second

// drain stops the router gracefully:
//
//  1. The router announces that it is leaving, so that routers no longer return
//     its address to callers, and /ready fails.
//  2. It keeps serving until every address response that a router gave before
//     it learned of the stop has expired.
//  3. It accepts no new connections and waits for open requests and orders.
//  4. It releases its lease.
//
// After StopSeconds, or after Abort, the remaining waits are skipped and the stop
// is reported as incomplete; the lease is still released.
func (d *Daemon) drain(l listeners) error {
	s := d.current()
	klog.InfoS("daemon: Stopping", "router", s.Name, "open", d.callers.OpenRequests())
	d.events.Add(eventlog.Event{Kind: eventlog.RouterStopping, Detail: fmt.Sprintf("open=%d", d.callers.OpenRequests())})
	d.fleet.SetLeaving(true)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.StopSeconds)*time.Second)
	defer cancel()
	defer d.onAbort(cancel)()
	err := d.drainWork(ctx, l, addressLifetime(s))
	d.releaseLease()
	if err != nil {
		klog.ErrorS(err, "daemon: Stopped before all requests and orders had completed", "code", int(code.WorkCut))
		d.events.Add(eventlog.Event{Kind: eventlog.StopIncomplete, Code: int(code.WorkCut), Detail: err.Error()})
		return err
	}
	d.events.Add(eventlog.Event{Kind: eventlog.RouterStopped})
	return nil
}

// addressLifetime returns how long callers may still connect after this router
// has announced that it is leaving. Another router learns of that within the
// duration of a lease, and callers may keep its last response with this address
// for AddressSeconds.
func addressLifetime(s settings.Settings) time.Duration {
	return time.Duration(s.LeaseSeconds+s.AddressSeconds) * time.Second
}

// drainWork keeps serving for valid, while callers may still use this router's
// address, then shuts the callers' server down and waits for open requests and
// orders.
func (d *Daemon) drainWork(ctx context.Context, l listeners, valid time.Duration) error {
	select {
	case <-ctx.Done():
		return d.incompleteError("while callers could still hold this router's address")
	case <-time.After(valid):
	}
	if err := d.callerWeb.shutDown(ctx, l.callers); err != nil {
		return d.incompleteError("while requests were open")
	}
	idle := make(chan struct{})
	go func() {
		d.callers.Wait()
		d.ledger.Wait()
		close(idle)
	}()
	select {
	case <-ctx.Done():
		return d.incompleteError("while orders were being executed or recorded")
	case <-idle:
		return nil
	}
}

func (d *Daemon) incompleteError(when string) error {
	return code.Fail(code.WorkCut, fmt.Sprintf("%d requests open, %s", d.callers.OpenRequests(), when))
}

// releaseLease releases the lease, so that the other routers need not wait for
// it to expire.
func (d *Daemon) releaseLease() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := d.fleet.ReleaseLease(ctx); err != nil {
		klog.InfoS("daemon: Failed to release the lease", "err", err)
	}
}

// onAbort calls f when Abort is called. The returned function cancels that and
// must be called exactly once.
func (d *Daemon) onAbort(f func()) func() {
	detached := make(chan struct{})
	go func() {
		select {
		case <-d.aborted:
			f()
		case <-detached:
		}
	}()
	return func() { close(detached) }
}
