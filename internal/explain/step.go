package explain

import (
	"fmt"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
)

// step returns one event as a sentence whose subject is the router.
func step(e eventlog.Event, f Fleet) string {
	switch e.Kind {
	case eventlog.RequestGranted:
		return "sent it to " + e.Endpoint + place(e, f) + ", where the pool's owner had granted a slot."
	case eventlog.RequestRetried:
		return withDetail("tried again elsewhere, because the try had failed", e)
	case eventlog.RequestEnded:
		return ended(e)
	case eventlog.RequestRefused:
		c := code.Code(e.Code)
		return withDetail(fmt.Sprintf("refused it with %s. %s Detail", c, c.Info().Text), e)
	case eventlog.OrderClaimed:
		return withDetail("claimed the order in the platform and sent it once to "+e.Endpoint+place(e, f)+"; its key", e)
	case eventlog.OrderRecorded:
		return withDetail("recorded the order's outcome; key and state", e)
	case eventlog.OrderReplayed:
		return withDetail("found the order's key recorded and did not run it again; key and state", e)
	}
	return fleetStep(e)
}

func ended(e eventlog.Event) string {
	if e.Code == 0 {
		return withDetail("relayed the whole answer of "+e.Endpoint, e)
	}
	c := code.Code(e.Code)
	return fmt.Sprintf("saw the try at %s end with %s. %s", e.Endpoint, c, c.Info().Text)
}

// fleetStep returns an event that concerns more than one request.
func fleetStep(e eventlog.Event) string {
	switch e.Kind {
	case eventlog.RouterStarted:
		return "started."
	case eventlog.RouterStopping:
		return "began its graceful stop."
	case eventlog.MemberJoined:
		return withDetail("saw a router join", e)
	case eventlog.MemberLeft:
		return withDetail("saw a router leave or go silent", e)
	case eventlog.ManifestInForce:
		return withDetail("put a manifest in force", e)
	case eventlog.PoolOwned:
		return withDetail("became the owner of a pool", e)
	case eventlog.PoolLost:
		return withDetail("stopped owning a pool", e)
	case eventlog.EndpointPaused:
		return withDetail("gave "+e.Endpoint+" no new work for a while", e)
	case eventlog.PlatformLost:
		return withDetail("lost the platform", e)
	case eventlog.PlatformRegained:
		return withDetail("reached the platform again", e)
	}
	return withDetail(string(e.Kind), e)
}

// place says where an endpoint stands, seen from the router.
func place(e eventlog.Event, f Fleet) string {
	endpoint, known := f.Endpoints[e.Endpoint]
	if !known {
		return " (not declared any more)"
	}
	if endpoint.Zone == f.RouterZones[e.Router] {
		return " in its own zone " + endpoint.Zone
	}
	return " in zone " + endpoint.Zone
}
