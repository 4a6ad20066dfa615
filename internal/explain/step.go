package explain

import (
	"fmt"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
)

// describe returns one event as a sentence without its subject, the router.
func describe(e eventlog.Event, f Fleet) string {
	switch e.Kind {
	case eventlog.RequestGranted:
		return "sent it to " + e.Endpoint + describeZone(e, f) + ", after the pool's owner had granted a slot."
	case eventlog.RequestRetried:
		return withDetail("retried it because the attempt had failed", e)
	case eventlog.RequestEnded:
		return describeEnd(e)
	case eventlog.RequestRefused:
		c := code.Code(e.Code)
		return withDetail(fmt.Sprintf("refused it with %s. %s Detail", c, c.Info().Text), e)
	case eventlog.OrderClaimed:
		return withDetail("claimed the order in the platform and sent it once to "+e.Endpoint+describeZone(e, f)+"; its key", e)
	case eventlog.OrderRecorded:
		return withDetail("recorded the order's outcome; key and state", e)
	case eventlog.OrderReplayed:
		return withDetail("found the order's key in the records and did not run the order again; key and state", e)
	}
	return describeFleetEvent(e)
}

// describeEnd describes the end of an attempt.
func describeEnd(e eventlog.Event) string {
	if e.Code == 0 {
		return withDetail("relayed the complete response of "+e.Endpoint, e)
	}
	c := code.Code(e.Code)
	return fmt.Sprintf("saw the attempt at %s end with %s. %s", e.Endpoint, c, c.Info().Text)
}

// describeFleetEvent describes an event that concerns more than one request.
func describeFleetEvent(e eventlog.Event) string {
	switch e.Kind {
	case eventlog.RouterStarted:
		return "started."
	case eventlog.RouterStopping:
		return "began its graceful stop."
	case eventlog.MemberJoined:
		return withDetail("saw a router join", e)
	case eventlog.MemberLeft:
		return withDetail("saw a router leave or stop responding", e)
	case eventlog.ManifestInForce:
		return withDetail("put a manifest in force", e)
	case eventlog.PoolOwned:
		return withDetail("became the owner of a pool", e)
	case eventlog.PoolLost:
		return withDetail("stopped owning a pool", e)
	case eventlog.EndpointPaused:
		return withDetail("paused "+e.Endpoint+": it got no new requests for a while", e)
	case eventlog.PlatformLost:
		return withDetail("lost contact with the platform", e)
	case eventlog.PlatformRegained:
		return withDetail("reached the platform again", e)
	case eventlog.PlatformRestored:
		return withDetail("found the platform restored from an older copy", e)
	}
	return withDetail(string(e.Kind), e)
}

// describeZone names the zone of an event's endpoint and tells whether it is the
// zone of the router.
func describeZone(e eventlog.Event, f Fleet) string {
	endpoint, known := f.Endpoints[e.Endpoint]
	if !known {
		return " (no longer declared)"
	}
	if endpoint.Zone == f.RouterZones[e.Router] {
		return " in its own zone " + endpoint.Zone
	}
	return " in zone " + endpoint.Zone
}
