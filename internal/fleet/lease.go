package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
)

// LeasePrefix is where the routers' leases stand in the platform.
const LeasePrefix = "leases/"

// leaseRenewals is how often a lease is renewed within its lifetime.
const leaseRenewals = 3

// KeepLease writes this router's lease, renews it and reads the others'
// until the context ends. A router is a member while its lease changes or
// its heartbeats arrive; the reader's own clock alone measures how long ago
// that was.
func (f *Fleet) KeepLease(ctx context.Context) error {
	ticker := time.NewTicker(f.opts.Lease / leaseRenewals)
	defer ticker.Stop()
	versions := map[string]int64{}
	for {
		if err := f.renew(ctx); err != nil {
			klog.V(1).InfoS("fleet: Lease not renewed", "err", err)
		} else if err := f.readLeases(ctx, versions); err != nil {
			klog.V(1).InfoS("fleet: Leases not read", "err", err)
		} else {
			f.expire(time.Now())
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// DropLease removes this router's lease.
func (f *Fleet) DropLease(ctx context.Context) error {
	f.mu.Lock()
	version := f.leaseVersion
	f.mu.Unlock()
	return f.opts.Platform.Delete(ctx, LeasePrefix+f.opts.Self.Name, version)
}

func (f *Fleet) renew(ctx context.Context) error {
	f.mu.Lock()
	version := f.leaseVersion
	value, err := json.Marshal(f.self)
	f.mu.Unlock()
	if err != nil {
		return errors.Wrap(err, "encode lease")
	}
	key := LeasePrefix + f.opts.Self.Name
	version, err = f.opts.Platform.Put(ctx, key, value, version)
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUncertain) {
		return f.rereadLease(ctx, key, err)
	}
	if err != nil {
		return err
	}
	f.setLeaseVersion(version)
	return nil
}

// rereadLease learns the lease's version after a conflict or a lost answer.
func (f *Fleet) rereadLease(ctx context.Context, key string, cause error) error {
	o, err := f.opts.Platform.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		f.setLeaseVersion(0)
		return cause
	}
	if err != nil {
		return err
	}
	var holder member.Router
	if err := json.Unmarshal(o.Value, &holder); err != nil {
		return errors.Wrap(err, "read lease")
	}
	if holder.Incarnation > f.opts.Self.Incarnation {
		return errors.Newf("another router runs under the name %s", f.opts.Self.Name)
	}
	f.setLeaseVersion(o.Version)
	return nil
}

func (f *Fleet) setLeaseVersion(version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaseVersion = version
}

func (f *Fleet) readLeases(ctx context.Context, versions map[string]int64) error {
	list, err := f.opts.Platform.List(ctx, LeasePrefix)
	if err != nil {
		return err
	}
	present := map[string]bool{}
	for _, o := range list.Items {
		name := strings.TrimPrefix(o.Key, LeasePrefix)
		present[name] = true
		if versions[name] == o.Version {
			continue
		}
		versions[name] = o.Version
		var r member.Router
		if err := json.Unmarshal(o.Value, &r); err != nil {
			return errors.Wrapf(err, "read lease %s", name)
		}
		f.see(r, 0, time.Now())
	}
	f.removeReleased(present)
	return nil
}

// removeReleased forgets leaving routers whose lease is gone.
func (f *Fleet) removeReleased(present map[string]bool) {
	f.mu.Lock()
	var gone []string
	for name, s := range f.seen {
		if s.router.Leaving && !present[name] {
			gone = append(gone, name)
		}
	}
	f.mu.Unlock()
	f.remove(gone)
}

// expire forgets routers that were not heard for a lease's lifetime. It runs
// only after the platform was read: while it is down, silence proves nothing.
func (f *Fleet) expire(now time.Time) {
	f.mu.Lock()
	var gone []string
	for name, s := range f.seen {
		if now.Sub(s.at) > f.opts.Lease {
			gone = append(gone, name)
		}
	}
	f.mu.Unlock()
	f.remove(gone)
}

func detail(name string, value int64) string { return fmt.Sprintf("%s=%d", name, value) }
