// Package pool connects the admission core to the other routers. A Host runs
// the core for the pools that this router owns. A Client acquires slots from the
// owners, its own Host included, and releases them.
//
// A scope is a pool within one region. Its owner is the router that ranks
// highest for it by rendezvous hashing among those that can be reached. The
// warmth of an endpoint is the number of concurrent requests that it has been
// shown to handle, its proven slots; an endpoint without proven slots is cold.
//
// A lost session loses no slots: the client opens a new session, reports the
// slots that it holds and resends its waiting requests. If an owner sends
// nothing while requests wait, the client ends the session and opens one with
// the next router in rank; it returns when a higher-ranked router responds
// again. A router whose process has stalled drops the pools that it owned and
// uses no slot that it was granted before.
package pool

import (
	"strings"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/core/member"
)

const (
	// stepInterval is how often an owner checks for expired waits.
	stepInterval = 50 * time.Millisecond
	// usageInterval is how often an owner applies the usage of other routers.
	usageInterval = 500 * time.Millisecond
	// keepaliveInterval is how often an owner sends a message to each router
	// with waiting requests, and how often a router that holds slots sends one
	// to the owner.
	keepaliveInterval = 500 * time.Millisecond
	// silenceTimeout is how long either side waits for a keepalive, and a router
	// for the response to its first message.
	silenceTimeout = 3 * keepaliveInterval
	// reportInterval is how often a router reports the progress of its requests
	// and checks whether the owner is responsive.
	reportInterval = 250 * time.Millisecond
	// progressInterval is how often a router reports the cost of a running
	// request that is within its estimate.
	progressInterval = 10 * time.Second
	// progressFactor is the factor by which a request's cost must exceed both its
	// estimate and the cost last reported to be reported before progressInterval
	// has passed.
	progressFactor = 1.25
	// slowTTFT is the time to first token above which it is reported before the
	// request ends.
	slowTTFT = time.Second
	// failedOwnerDelay is how long an owner is avoided after its session failed.
	failedOwnerDelay = 2 * time.Second
	// pingInterval is how often a router pings the routers that rank higher than
	// the one that it has a session with.
	pingInterval = time.Second
	// warmthTTL is how long a router remembers the warmth of an endpoint.
	warmthTTL = 30 * time.Second
	// reopenDelay is the delay between two sessions.
	reopenDelay = 20 * time.Millisecond
	// refusalGrace is how long a router waits, after the account's maximum wait
	// has passed, for the refusal of an owner that is responsive.
	refusalGrace = 250 * time.Millisecond
)

// Fleet gives access to this router's view of the fleet.
type Fleet interface {
	Self() member.Router
	View() member.View
	Manifest() *manifest.Manifest
	RemoteUsage() map[string]fair.Cost
	Subscribe(func())
}

// Scope returns the name of a pool within a region. Each scope has one owner.
func Scope(pool, region string) string { return pool + "/" + region }

func regionOf(scope string) string {
	_, region, _ := strings.Cut(scope, "/")
	return region
}

// OwnerKey returns the key by which rendezvous hashing ranks the routers for a
// scope.
func OwnerKey(scope string) string { return "pool/" + scope }
