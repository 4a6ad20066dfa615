package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
)

// LeasePrefix is where the routers' leases stand in the platform.
const LeasePrefix = "leases/"

const (
	jitter            = 0.1 // of a period, so that routers don't act in step
	instancesEvery    = 10  // renewals between reads of the instance list
	suspectsPerRead   = 8
	cleanUpTimeout    = 3 * time.Second
	firstRenewalRetry = 300 * time.Millisecond // until this router is confirmed
)

// RunLeaseRenewal writes this router's lease and reads the others' until the
// context ends.
func (f *Fleet) RunLeaseRenewal(ctx context.Context) error {
	for round := 0; ; round++ {
		err := f.renewOnce(ctx)
		f.notePlatform(err)
		if err == nil && round%instancesEvery == 0 {
			f.readInstances(ctx)
		}
		f.publish()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.renewal:
		case <-time.After(f.renewalPause()):
		}
	}
}

// ReleaseLease removes this router's lease.
func (f *Fleet) ReleaseLease(ctx context.Context) error {
	f.mu.Lock()
	version := f.leaseVersion
	f.mu.Unlock()
	return f.opts.Platform.Delete(ctx, LeasePrefix+f.opts.Self.Name, version)
}

func (f *Fleet) renewalPause() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.tracker.Confirmed() {
		return jittered(firstRenewalRetry)
	}
	return jittered(f.tracker.RenewalInterval())
}

// renewOnce reads the leases if there is doubt and renews the own one. It
// reads first: a router that was paused learns what it missed. A router that
// starts reads once more, so that of two that start together one sees the
// other.
func (f *Fleet) renewOnce(ctx context.Context) error {
	f.mu.Lock()
	all, confirmed := f.tracker.NeedsFullRead(), f.tracker.Confirmed()
	suspects := f.tracker.Suspects(time.Now())
	f.mu.Unlock()
	read := f.readLeases
	if !all {
		read = func(ctx context.Context) error { return f.readSuspects(ctx, suspects) }
	}
	if err := read(ctx); err != nil {
		return err
	}
	if err := f.renew(ctx); err != nil || confirmed {
		return err
	}
	return f.readLeases(ctx)
}

func (f *Fleet) renew(ctx context.Context) error {
	f.mu.Lock()
	version, self, replaced := f.leaseVersion, f.tracker.Self(), f.tracker.Replaced()
	f.mu.Unlock()
	if replaced {
		return errors.Newf("another router runs under the name %s", self.Name)
	}
	self.Load = 0
	value, err := json.Marshal(self)
	if err != nil {
		return errors.Wrap(err, "encode lease")
	}
	version, err = f.opts.Platform.Put(ctx, LeasePrefix+self.Name, value, version)
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUncertain) {
		return f.rereadLease(ctx, LeasePrefix+self.Name, err)
	}
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaseVersion = version
	f.tracker.HandleReply(true)
	return nil
}

// rereadLease learns the lease's version after a conflict or a lost answer.
func (f *Fleet) rereadLease(ctx context.Context, key string, cause error) error {
	o, err := f.opts.Platform.Get(ctx, key)
	f.mu.Lock()
	defer f.mu.Unlock()
	if errors.Is(err, platform.ErrNotFound) {
		f.leaseVersion = 0
		return cause
	}
	if err != nil {
		return err
	}
	var holder member.Router
	if err := json.Unmarshal(o.Value, &holder); err != nil {
		return errors.Wrap(err, "read lease")
	}
	f.tracker.HandleHeartbeat(time.Now(), member.Heartbeat{Router: holder})
	f.leaseVersion = o.Version
	return nil
}

func (f *Fleet) readLeases(ctx context.Context) error {
	list, err := f.opts.Platform.List(ctx, LeasePrefix)
	if err != nil {
		return err
	}
	leases := make([]member.Lease, 0, len(list.Items))
	own := int64(0)
	for _, o := range list.Items {
		var r member.Router
		if err := json.Unmarshal(o.Value, &r); err != nil || r.Name != strings.TrimPrefix(o.Key, LeasePrefix) {
			klog.InfoS("fleet: Unreadable lease passed over", "key", o.Key, "err", err)
			continue
		}
		if r.Name == f.opts.Self.Name {
			own = o.Version
		}
		leases = append(leases, member.Lease{Router: r, Version: o.Version})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaseVersion = own
	f.tracker.HandleLeases(time.Now(), leases)
	return nil
}

// readSuspects reads the leases of a few silent routers.
func (f *Fleet) readSuspects(ctx context.Context, names []string) error {
	names = names[:min(len(names), suspectsPerRead)]
	var leases []member.Lease
	for _, name := range names {
		o, err := f.opts.Platform.Get(ctx, LeasePrefix+name)
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			return err
		}
		var r member.Router
		if err := json.Unmarshal(o.Value, &r); err == nil && r.Name == name {
			leases = append(leases, member.Lease{Router: r, Version: o.Version})
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tracker.HandleSuspectLeases(time.Now(), names, leases)
	return nil
}

func (f *Fleet) readInstances(ctx context.Context) {
	instances, err := f.opts.Platform.Instances(ctx)
	if err != nil {
		return
	}
	leaving := map[string]bool{}
	for _, i := range instances {
		leaving[i.Name] = i.Leaving
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tracker.SetInstances(leaving)
}

func (f *Fleet) notePlatform(err error) {
	f.mu.Lock()
	turned := f.platformDown != (err != nil)
	f.platformDown = err != nil
	if err != nil {
		f.tracker.PlatformReadFailed()
	}
	f.mu.Unlock()
	switch {
	case turned && err != nil:
		klog.InfoS("fleet: Platform lost", "err", err)
		f.opts.Events.Add(eventlog.Event{Kind: eventlog.PlatformLost, Detail: err.Error()})
	case turned:
		f.opts.Events.Add(eventlog.Event{Kind: eventlog.PlatformRegained})
	}
}

// cleanUp removes the lease of a router that is gone; one member does it.
func (f *Fleet) cleanUp(c member.Change, view member.View) {
	key := LeasePrefix + c.Router.Name
	owner, ok := view.Owner(key)
	if !ok || owner.Name != f.opts.Self.Name || c.LeaseVersion == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cleanUpTimeout)
		defer cancel()
		if err := f.opts.Platform.Delete(ctx, key, c.LeaseVersion); err != nil {
			klog.V(1).InfoS("fleet: Lease of a gone router not removed", "router", c.Router.Name, "err", err)
		}
	}()
}

func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitter*(2*rand.Float64()-1)))
}

func detail(name string, value int64) string { return fmt.Sprintf("%s=%d", name, value) }
