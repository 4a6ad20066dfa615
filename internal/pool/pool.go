// Package pool connects the admission core to the fleet. A Host runs the
// core for the pools that this router owns; a Client asks the owners for
// slots, the own Host included, and gives them back.
//
// A lost session loses no slot: the client opens a new one, reports what it
// holds and sends its waiting requests anew. A session whose owner falls
// silent while requests wait is given up for the router next in rank, and
// moves back when the first one answers again. A router that has stood still
// trusts neither the pools that it owned nor what it was granted before.
package pool

import (
	"strings"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/core/member"
)

const (
	// stepEvery is how often an owner looks at waits that run out.
	stepEvery = 50 * time.Millisecond
	// usageEvery is how often it takes in other routers' usage.
	usageEvery = 500 * time.Millisecond
	// signEvery is how often it sends something to routers that wait, and they
	// to it while they hold slots.
	signEvery = 500 * time.Millisecond
	// silentAfter is how long either side waits for such a sign, and a router
	// for the answer to its first message.
	silentAfter = 3 * signEvery
	// reportEvery is how often a router tells the progress of its requests
	// and looks whether the owner is silent.
	reportEvery = 250 * time.Millisecond
	// progressEvery is how often it tells the cost of one running request that
	// is within its estimate.
	progressEvery = 10 * time.Second
	// progressFactor is the growth of a cost over the estimate, or over what
	// was told, that is told before.
	progressFactor = 1.25
	// slowFirst is a time to first token that is told before the request ends.
	slowFirst = time.Second
	// avoidFor is how long an owner that failed is not tried again.
	avoidFor = 2 * time.Second
	// pingEvery is how often a router whose session is with a later one in
	// rank looks for an earlier one.
	pingEvery = time.Second
	// warmthKept is how long a router remembers an endpoint's warmth.
	warmthKept = 30 * time.Second
	// reopenPause is the time between two sessions.
	reopenPause = 20 * time.Millisecond
	// refusalGrace is how long after the account's wait a router leaves the
	// refusal to an owner that it hears.
	refusalGrace = 250 * time.Millisecond
)

// Fleet is what this package needs to know of the fleet.
type Fleet interface {
	Self() member.Router
	View() member.View
	Manifest() *manifest.Manifest
	RemoteUsage() map[string]fair.Cost
	Subscribe(func())
}

// Scope names a pool within a region; each scope has one owner.
func Scope(pool, region string) string { return pool + "/" + region }

func regionOf(scope string) string {
	_, region, _ := strings.Cut(scope, "/")
	return region
}

// OwnerKey is the rendezvous key of a scope.
func OwnerKey(scope string) string { return "pool/" + scope }
