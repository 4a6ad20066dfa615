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

// dropTimeout bounds the release of the lease, the last step of a stop.
const dropTimeout = 3 * time.Second

// drain is the graceful part of a stop. The router leaves the address
// answers and its /ready turns unready; it serves on until the answers that
// any router gave before it learned of the stop have run out; then it takes no
// new connection, waits for the last request and the last order, and releases
// its lease.
func (d *Daemon) drain(l listeners) error {
	s := d.current()
	klog.InfoS("daemon: Stopping", "router", s.Name, "open", d.callers.OpenRequests())
	d.events.Add(eventlog.Event{Kind: eventlog.RouterStopping, Detail: fmt.Sprintf("open=%d", d.callers.OpenRequests())})
	d.fleet.SetLeaving(true)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.StopSeconds)*time.Second)
	defer cancel()
	defer d.whenCut(cancel)()
	err := d.finish(ctx, l, addressesValid(s))
	d.release()
	if err != nil {
		klog.ErrorS(err, "daemon: Stop cut work", "code", int(code.WorkCut))
		d.events.Add(eventlog.Event{Kind: eventlog.StopIncomplete, Code: int(code.WorkCut), Detail: err.Error()})
		return err
	}
	d.events.Add(eventlog.Event{Kind: eventlog.RouterStopped})
	return nil
}

// addressesValid is how long callers may still come after this router has
// said that it leaves: another router learns of that within a lease's
// lifetime, and its last answer with this address lives for its own lifetime.
func addressesValid(s settings.Settings) time.Duration {
	return time.Duration(s.LeaseSeconds+s.AddressSeconds) * time.Second
}

// finish serves what callers may still send and ends what has begun.
func (d *Daemon) finish(ctx context.Context, l listeners, valid time.Duration) error {
	select {
	case <-ctx.Done():
		return d.cutError("while address answers were still valid")
	case <-time.After(valid):
	}
	if err := d.callerWeb.shutDown(ctx, l.callers); err != nil {
		return d.cutError("while requests were open")
	}
	idle := make(chan struct{})
	go func() {
		d.callers.Wait()
		d.ledger.Wait()
		close(idle)
	}()
	select {
	case <-ctx.Done():
		return d.cutError("while orders were being run or recorded")
	case <-idle:
		return nil
	}
}

func (d *Daemon) cutError(when string) error {
	return code.Fail(code.WorkCut, fmt.Sprintf("%d requests open, %s", d.callers.OpenRequests(), when))
}

// release gives the lease back, so that the others need not wait for it to
// run out.
func (d *Daemon) release() {
	ctx, cancel := context.WithTimeout(context.Background(), dropTimeout)
	defer cancel()
	if err := d.fleet.ReleaseLease(ctx); err != nil {
		klog.InfoS("daemon: Lease not released", "err", err)
	}
}

// whenCut calls f when Cut is called; the returned function ends that.
func (d *Daemon) whenCut(f func()) func() {
	over := make(chan struct{})
	go func() {
		select {
		case <-d.cut:
			f()
		case <-over:
		}
	}()
	return func() { close(over) }
}
