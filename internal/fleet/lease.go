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

// LeasePrefix is the key prefix of the routers' leases in the platform.
const LeasePrefix = "leases/"

const (
	jitterFraction             = 0.1 // of a period, so that the routers do not act at the same time
	renewalsPerInstanceRead    = 10  // renewals between reads of the instance list
	maxSuspectReads            = 8   // leases of suspects, which are silent routers, read at one renewal
	leaseDeleteTimeout         = 3 * time.Second
	unconfirmedRenewalInterval = 300 * time.Millisecond // until the platform or a peer has confirmed this router as a member
)

// RunLeaseRenewal periodically renews this router's lease and reads the leases of
// other routers until the context ends.
func (f *Fleet) RunLeaseRenewal(ctx context.Context) error {
	for round := 0; ; round++ {
		err := f.renewOnce(ctx)
		f.recordPlatformResult(err)
		f.recordEra()
		if err == nil && round%renewalsPerInstanceRead == 0 {
			f.readInstances(ctx)
		}
		f.publishChanges()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.renewNow:
		case <-time.After(f.renewalDelay()):
		}
	}
}

// ReleaseLease deletes this router's lease.
func (f *Fleet) ReleaseLease(ctx context.Context) error {
	f.mu.Lock()
	version := f.leaseVersion
	f.mu.Unlock()
	return f.opts.Platform.Delete(ctx, LeasePrefix+f.opts.Self.Name, version)
}

// storedLease is the value of a lease.
type storedLease struct {
	member.Router
	Era int64 `json:"era,omitempty"` // era of the platform in which the lease was renewed
}

// decodeLease decodes a lease. One without an era, of an older router, does not count
// as restored.
func decodeLease(o platform.Object) (member.Lease, error) {
	var stored storedLease
	err := json.Unmarshal(o.Value, &stored)
	restored := stored.Era != 0 && stored.Era != platform.EraOf(o.Version)
	return member.Lease{Router: stored.Router, Version: o.Version, Restored: restored}, err
}

func (f *Fleet) renewalDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.tracker.Confirmed() {
		return withJitter(unconfirmedRenewalInterval)
	}
	return withJitter(f.tracker.RenewalInterval())
}

// renewOnce reads all leases, or only those of suspects if that is enough, and
// then renews this router's lease. It reads first so that a router whose process
// was stalled learns what it missed. An unconfirmed router reads again after the
// write, so that of two routers that start at the same time at least one sees the
// other.
func (f *Fleet) renewOnce(ctx context.Context) error {
	f.mu.Lock()
	fullRead, confirmed := f.tracker.NeedsFullRead(), f.tracker.Confirmed()
	suspects := f.tracker.Suspects(time.Now())
	f.mu.Unlock()
	read := f.readLeases
	if !fullRead {
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
		return errors.Newf("another router with a higher incarnation uses the name %s", self.Name)
	}
	self.Load = 0
	era := f.opts.Platform.Era()
	if version != 0 {
		era = platform.EraOf(version) // the write takes effect in no other one
	}
	value, err := json.Marshal(storedLease{Router: self, Era: era})
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

// rereadLease reads the current version of this router's lease after a write
// conflict or a write whose outcome is unknown.
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
	holder, err := decodeLease(o)
	if err != nil {
		return errors.Wrap(err, "decode lease")
	}
	f.tracker.HandleHeartbeat(time.Now(), member.Heartbeat{Router: holder.Router})
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
		l, err := decodeLease(o)
		if err != nil || l.Router.Name != strings.TrimPrefix(o.Key, LeasePrefix) {
			klog.InfoS("fleet: Ignoring a lease that cannot be decoded or names another router", "key", o.Key, "err", err)
			continue
		}
		if l.Router.Name == f.opts.Self.Name {
			own = o.Version
		}
		leases = append(leases, l)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaseVersion = own
	f.tracker.HandleLeases(time.Now(), leases)
	return nil
}

// readSuspects reads the leases of at most maxSuspectReads suspects.
func (f *Fleet) readSuspects(ctx context.Context, names []string) error {
	names = names[:min(len(names), maxSuspectReads)]
	var leases []member.Lease
	for _, name := range names {
		o, err := f.opts.Platform.Get(ctx, LeasePrefix+name)
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			return err
		}
		if l, err := decodeLease(o); err == nil && l.Router.Name == name {
			leases = append(leases, l)
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

// recordEra logs a restoration of the platform.
func (f *Fleet) recordEra() {
	era := f.opts.Platform.Era()
	f.mu.Lock()
	previous := f.platformEra
	f.platformEra = era
	f.mu.Unlock()
	if previous == 0 || previous == era {
		return
	}
	klog.InfoS("fleet: Platform restored from an older copy", "era", era, "previous", previous)
	f.opts.Events.Add(eventlog.Event{Kind: eventlog.PlatformRestored, Detail: detail("era", era)})
}

// recordPlatformResult records whether the platform was reachable and logs each
// change.
func (f *Fleet) recordPlatformResult(err error) {
	f.mu.Lock()
	changed := f.platformDown != (err != nil)
	f.platformDown = err != nil
	if err != nil {
		f.tracker.PlatformReadFailed()
	}
	f.mu.Unlock()
	switch {
	case changed && err != nil:
		klog.InfoS("fleet: Platform unreachable", "err", err)
		f.opts.Events.Add(eventlog.Event{Kind: eventlog.PlatformLost, Detail: err.Error()})
	case changed:
		f.opts.Events.Add(eventlog.Event{Kind: eventlog.PlatformRegained})
	}
}

// deleteLeaseOf deletes the lease of a removed router. Only the member that owns
// the lease's key in the view does so.
func (f *Fleet) deleteLeaseOf(c member.Change, view member.View) {
	key := LeasePrefix + c.Router.Name
	owner, ok := view.Owner(key)
	if !ok || owner.Name != f.opts.Self.Name || c.LeaseVersion == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), leaseDeleteTimeout)
		defer cancel()
		if err := f.opts.Platform.Delete(ctx, key, c.LeaseVersion); err != nil {
			klog.V(1).InfoS("fleet: Failed to delete the lease of a removed router", "router", c.Router.Name, "err", err)
		}
	}()
}

// withJitter varies d at random by up to jitterFraction in either direction.
func withJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitterFraction*(2*rand.Float64()-1)))
}

func detail(name string, value int64) string { return fmt.Sprintf("%s=%d", name, value) }
