// Package explain describes in sentences what happened to a request: why it was
// sent to an endpoint, or why it was refused. Its only input is the timeline of
// all routers and the declared zones of routers and endpoints.
package explain

import (
	"fmt"
	"strings"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/opsapi"
)

// Lookback is how long before the first event of a request the included fleet
// events start.
const Lookback = 10 * time.Second

// Explanation describes the course of one request.
type Explanation struct {
	Request     string   `json:"request"`
	Account     string   `json:"account"`
	Outcome     string   `json:"outcome"`      // one sentence
	Steps       []string `json:"steps"`        // one sentence for each event of the request, oldest first
	FleetEvents []string `json:"surroundings"` // fleet events shortly before and during the request
}

// Fleet holds the zones of routers and the declared endpoints, as needed by an
// explanation.
type Fleet struct {
	RouterZones map[string]string               // by router name
	Endpoints   map[string]opsapi.EndpointState // by endpoint name
}

// NewFleet returns the Fleet described by a router's status.
func NewFleet(s opsapi.Status) Fleet {
	f := Fleet{RouterZones: map[string]string{}, Endpoints: map[string]opsapi.EndpointState{}}
	for _, m := range s.Members {
		f.RouterZones[m.Name] = m.Zone
	}
	for _, e := range s.Endpoints {
		f.Endpoints[e.Endpoint] = e
	}
	return f
}

// Explain explains one request from its own events and the events of the same
// period, both in the order of their clocks. There must be at least one request
// event.
func Explain(requestEvents, nearbyEvents []eventlog.Event, fleet Fleet) Explanation {
	x := Explanation{
		Request:     requestEvents[0].Request,
		Outcome:     summarize(requestEvents),
		Steps:       []string{},
		FleetEvents: []string{},
	}
	for _, e := range requestEvents {
		if x.Account == "" {
			x.Account = e.Account
		}
		x.Steps = append(x.Steps, linePrefix(e)+describe(e, fleet))
	}
	for _, e := range nearbyEvents {
		if e.Request == "" && isFleetEvent(e.Kind) {
			x.FleetEvents = append(x.FleetEvents, linePrefix(e)+describe(e, fleet))
		}
	}
	return x
}

// FleetEventFilter selects the events from Lookback before the first event of a
// request to its last event.
func FleetEventFilter(requestEvents []eventlog.Event, limit int) eventlog.Filter {
	return eventlog.Filter{
		From:  eventlog.Time(requestEvents[0].Clock).Add(-Lookback),
		To:    eventlog.Time(requestEvents[len(requestEvents)-1].Clock).Add(time.Millisecond),
		Limit: limit,
	}
}

// isFleetEvent reports whether events of this kind may concern more than one
// request.
func isFleetEvent(k eventlog.Kind) bool {
	switch k {
	case eventlog.OrderClaimed, eventlog.OrderRecorded, eventlog.OrderReplayed:
		return false
	}
	return true
}

// summarize returns the outcome of the request in one sentence.
func summarize(requestEvents []eventlog.Event) string {
	attempts := 0
	for _, e := range requestEvents {
		if e.Kind == eventlog.RequestGranted {
			attempts++
		}
	}
	last := requestEvents[len(requestEvents)-1]
	switch last.Kind {
	case eventlog.RequestRefused:
		c := code.Code(last.Code)
		if attempts == 0 {
			return fmt.Sprintf("It was refused before any endpoint ran it, with %s. What to do: %s", c, c.Info().Next)
		}
		return fmt.Sprintf("It failed after %s, with %s. What to do: %s", countAttempts(attempts), c, c.Info().Next)
	case eventlog.RequestEnded:
		if last.Code == 0 {
			return fmt.Sprintf("It was completed by %s after %s.", last.Endpoint, countAttempts(attempts))
		}
		return fmt.Sprintf("Its last attempt, at %s, ended with %s.", last.Endpoint, code.Code(last.Code))
	case eventlog.OrderRecorded:
		return "The order's outcome is recorded: " + last.Detail + "."
	case eventlog.OrderReplayed:
		return "It is a resend; the record of the first attempt determined the result: " + last.Detail + "."
	}
	return "It has not ended, or none of the routers that were reached has the event of its end."
}

func countAttempts(n int) string {
	if n == 1 {
		return "1 attempt"
	}
	return fmt.Sprintf("%d attempts", n)
}

// linePrefix returns the time of day and the router of an event.
func linePrefix(e eventlog.Event) string {
	return eventlog.Time(e.Clock).UTC().Format("15:04:05.000") + " " + e.Router + " "
}

// withDetail appends an event's detail to a sentence that has no full stop yet.
func withDetail(sentence string, e eventlog.Event) string {
	if e.Detail == "" {
		return sentence + "."
	}
	return sentence + ": " + strings.TrimSuffix(e.Detail, ".") + "."
}
