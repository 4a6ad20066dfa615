package member

import (
	"slices"
	"time"
)

const (
	renewalsPerTimeout      = 3  // of a lease per Limits.SilenceTimeout, in a small fleet
	maxLeaseWritesPerSecond = 50 // by all routers of a large fleet together
	// removalIntervals is the removal timeout in a large fleet, in renewal
	// intervals. A lease without renewal for longer is no evidence that its router
	// is alive.
	removalIntervals = 1.5
)

// Lease is the object that a router keeps in the platform to show that it is
// alive.
type Lease struct {
	Router  Router
	Version int64 // increases with each renewal
	// Restored is set if the platform was restored from an older copy and the lease
	// was not renewed since.
	Restored bool
}

// RenewalInterval returns the time between two renewals of a lease. It grows with
// the fleet's size, so that the rate of writes to the platform stays bounded.
func (t *Tracker) RenewalInterval() time.Duration {
	n := len(t.members) + 1
	return max(t.limits.SilenceTimeout/renewalsPerTimeout, time.Duration(n)*time.Second/maxLeaseWritesPerSecond)
}

// HandleLeases processes a full read of the leases. It removes silent routers
// that this router monitors or that hold no lease, and leaving routers that have
// released theirs.
func (t *Tracker) HandleLeases(now time.Time, leases []Lease) {
	if !t.platformReadable {
		t.platformReadable, t.graceStart = true, now
	}
	present := make(map[string]bool, len(leases))
	for _, l := range leases {
		present[l.Router.Name] = true
		t.handleLease(now, l)
	}
	monitored := t.monitored()
	for name, p := range t.members {
		_, isMonitored := monitored[name]
		released := p.router.Leaving && !present[name]
		if released || (isMonitored || !present[name]) && t.silenceExpired(now, p) {
			t.remove(now, name)
		}
	}
}

// HandleSuspectLeases processes a read of only the named members' leases. A named
// member that is missing from leases has none.
func (t *Tracker) HandleSuspectLeases(now time.Time, names []string, leases []Lease) {
	if !t.platformReadable {
		t.platformReadable, t.graceStart = true, now
	}
	for _, l := range leases {
		t.handleLease(now, l)
	}
	for _, name := range names {
		if p := t.members[name]; p != nil && t.silenceExpired(now, p) {
			t.remove(now, name)
		}
	}
}

// PlatformReadFailed records that the platform could not be read.
func (t *Tracker) PlatformReadFailed() { t.platformReadable = false }

// SetInstances processes the platform's instance list, which tells for each
// router whether it is leaving. The list lags behind, so it only marks routers as
// leaving and never removes one.
func (t *Tracker) SetInstances(leaving map[string]bool) {
	for name, p := range t.members {
		if p.retiring != leaving[name] {
			p.retiring, t.viewStale = leaving[name], true
			t.changes = append(t.changes, Change{Kind: Updated, Router: p.router})
		}
	}
}

// Suspects returns the names of silent members whose leases this router
// should read.
func (t *Tracker) Suspects(now time.Time) []string {
	var suspects []string
	for name, timeout := range t.monitored() {
		if now.Sub(t.members[name].lastAlive) > timeout {
			suspects = append(suspects, name)
		}
	}
	slices.Sort(suspects)
	return suspects
}

// NeedsFullRead reports whether all leases should be read at this renewal. In a
// small fleet this is so at each renewal. In a large fleet it is so only until
// this router is confirmed; afterwards it reads only the leases of its suspects.
func (t *Tracker) NeedsFullRead() bool {
	return !t.confirmed || len(t.members) <= t.limits.FullMeshMax
}

func (t *Tracker) handleLease(now time.Time, l Lease) {
	if t.handleOwnName(l.Router) {
		if l.Router.Incarnation == t.self.Incarnation {
			t.confirm()
		}
		return
	}
	if p := t.members[l.Router.Name]; p != nil && (l.Restored || l.Version <= p.leaseVersion) {
		return
	}
	if old, ok := t.removed[l.Router.Name]; ok && (l.Restored || l.Version <= old.leaseVersion) {
		return
	}
	if p, ok := t.recordAlive(now, l.Router, 0, l.Version); ok {
		p.leaseVersion = l.Version
	}
}

// silenceExpired reports whether a member has been silent for the removal timeout.
// Silence before graceStart does not count.
func (t *Tracker) silenceExpired(now time.Time, p *peer) bool {
	since := p.lastAlive
	if since.Before(t.graceStart) {
		since = t.graceStart
	}
	return now.Sub(since) > t.removalTimeout()
}

// removalTimeout returns the silence after which a router may be removed. A large
// fleet may renew leases less often than once per Limits.SilenceTimeout, so there
// the removal timeout includes at least one renewal.
func (t *Tracker) removalTimeout() time.Duration {
	if len(t.members) <= t.limits.FullMeshMax {
		return t.limits.SilenceTimeout
	}
	return max(t.limits.SilenceTimeout, time.Duration(removalIntervals*float64(t.RenewalInterval())))
}
