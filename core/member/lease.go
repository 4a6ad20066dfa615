package member

import (
	"slices"
	"time"
)

// renewals is how often a lease is renewed within its lifetime in a small
// fleet; leaseWrites bounds the renewals of a large one, per second.
const (
	renewals    = 3
	leaseWrites = 50
	// largeWindow is the silence, in renewal periods, after which a lease
	// proves nothing in a large fleet.
	largeWindow = 1.5
)

// Lease is a router's object in the platform.
type Lease struct {
	Router  Router
	Version int64 // grows with each renewal
}

// RenewalInterval returns the time between two renewals of a lease; it grows with
// the fleet so that the platform's writes stay bounded.
func (t *Tracker) RenewalInterval() time.Duration {
	n := len(t.members) + 1
	return max(t.limits.Lifetime/renewals, time.Duration(n)*time.Second/leaseWrites)
}

// HandleLeases takes in a whole read of the platform's leases.
func (t *Tracker) HandleLeases(now time.Time, leases []Lease) {
	if !t.platform {
		t.platform, t.graceFrom = true, now
	}
	present := make(map[string]bool, len(leases))
	for _, l := range leases {
		present[l.Router.Name] = true
		t.takeLease(now, l)
	}
	judged := t.judged()
	for name, e := range t.members {
		_, mine := judged[name]
		released := e.router.Leaving && !present[name]
		if released || (mine || !present[name]) && t.silent(now, e) {
			t.remove(now, name)
		}
	}
}

// HandleSuspectLeases takes in a read of some members' leases alone. One that is
// not among the leases has none.
func (t *Tracker) HandleSuspectLeases(now time.Time, names []string, leases []Lease) {
	if !t.platform {
		t.platform, t.graceFrom = true, now
	}
	for _, l := range leases {
		t.takeLease(now, l)
	}
	for _, name := range names {
		if e := t.members[name]; e != nil && t.silent(now, e) {
			t.remove(now, name)
		}
	}
}

// PlatformReadFailed notes that the platform could not be read.
func (t *Tracker) PlatformReadFailed() { t.platform = false }

// SetInstances takes in the platform's instance list. It lags, so it only
// marks routers as leaving; it never removes one.
func (t *Tracker) SetInstances(leaving map[string]bool) {
	for name, e := range t.members {
		if e.retiring != leaving[name] {
			e.retiring, t.stale = leaving[name], true
			t.changes = append(t.changes, Change{Kind: Updated, Router: e.router})
		}
	}
}

// Suspects returns the names of silent members whose leases this router
// should read.
func (t *Tracker) Suspects(now time.Time) []string {
	var suspects []string
	for name, patience := range t.judged() {
		if now.Sub(t.members[name].alive) > patience {
			suspects = append(suspects, name)
		}
	}
	slices.Sort(suspects)
	return suspects
}

// NeedsFullRead reports whether all leases should be read at this renewal: at
// each one in a small fleet, and only until it is confirmed in a large one,
// which reads its suspects' alone.
func (t *Tracker) NeedsFullRead() bool {
	return !t.confirmed || len(t.members) <= t.limits.FullMeshMax
}

func (t *Tracker) takeLease(now time.Time, l Lease) {
	if t.isSelf(l.Router) {
		if l.Router.Incarnation == t.self.Incarnation {
			t.confirm()
		}
		return
	}
	if e := t.members[l.Router.Name]; e != nil && l.Version <= e.version {
		return
	}
	if old, ok := t.gone[l.Router.Name]; ok && l.Version <= old.version {
		return
	}
	if e, ok := t.admit(now, l.Router, 0, l.Version); ok {
		e.version = l.Version
	}
}

func (t *Tracker) silent(now time.Time, e *entry) bool {
	since := e.alive
	if since.Before(t.graceFrom) {
		since = t.graceFrom
	}
	return now.Sub(since) > t.window()
}

// window is the silence after which a router may be removed. A large fleet
// renews leases more slowly than a lifetime, so it waits for a renewal.
func (t *Tracker) window() time.Duration {
	if len(t.members) <= t.limits.FullMeshMax {
		return t.limits.Lifetime
	}
	return max(t.limits.Lifetime, time.Duration(largeWindow*float64(t.RenewalInterval())))
}
