// Package explain tells in sentences what happened to a request: why it went
// where it went, or why it was refused. It reads nothing but the time line
// of all routers and the declared zones.
package explain

import (
	"fmt"
	"strings"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/opsapi"
)

// Before is how long before a request events of the fleet count as its
// surroundings.
const Before = 10 * time.Second

// Explanation is the story of one request.
type Explanation struct {
	Request      string   `json:"request"`
	Account      string   `json:"account"`
	Outcome      string   `json:"outcome"`      // one sentence
	Steps        []string `json:"steps"`        // in order
	Surroundings []string `json:"surroundings"` // what changed in the fleet shortly before
}

// Fleet is what the story needs to know of the fleet.
type Fleet struct {
	RouterZones map[string]string // by router
	Endpoints   map[string]opsapi.EndpointState
}

// FleetOf returns the Fleet of a router's status.
func FleetOf(s opsapi.Status) Fleet {
	f := Fleet{RouterZones: map[string]string{}, Endpoints: map[string]opsapi.EndpointState{}}
	for _, m := range s.Members {
		f.RouterZones[m.Name] = m.Zone
	}
	for _, e := range s.Endpoints {
		f.Endpoints[e.Endpoint] = e
	}
	return f
}

// Request explains one request from its own events and those around it, both
// in the order of their clocks. There must be at least one own event.
func Request(own, around []eventlog.Event, fleet Fleet) Explanation {
	x := Explanation{
		Request:      own[0].Request,
		Outcome:      outcome(own),
		Steps:        []string{},
		Surroundings: []string{},
	}
	for _, e := range own {
		if x.Account == "" {
			x.Account = e.Account
		}
		x.Steps = append(x.Steps, stamp(e)+step(e, fleet))
	}
	for _, e := range around {
		if e.Request == "" && ofFleet(e.Kind) {
			x.Surroundings = append(x.Surroundings, stamp(e)+step(e, fleet))
		}
	}
	return x
}

// Surroundings chooses the events around a request: from shortly before its
// first event to its last.
func Surroundings(own []eventlog.Event, limit int) eventlog.Filter {
	return eventlog.Filter{
		From:  eventlog.Time(own[0].Clock).Add(-Before),
		To:    eventlog.Time(own[len(own)-1].Clock).Add(time.Millisecond),
		Limit: limit,
	}
}

// ofFleet reports whether a kind of event may concern other requests too.
func ofFleet(k eventlog.Kind) bool {
	switch k {
	case eventlog.OrderClaimed, eventlog.OrderRecorded, eventlog.OrderReplayed:
		return false
	}
	return true
}

// outcome sums the story up in one sentence.
func outcome(own []eventlog.Event) string {
	tries := 0
	for _, e := range own {
		if e.Kind == eventlog.RequestGranted {
			tries++
		}
	}
	last := own[len(own)-1]
	switch last.Kind {
	case eventlog.RequestRefused:
		c := code.Code(last.Code)
		if tries == 0 {
			return fmt.Sprintf("It was refused before any endpoint ran it, with %s. What to do: %s", c, c.Info().Next)
		}
		return fmt.Sprintf("It failed after %s, with %s. What to do: %s", times(tries), c, c.Info().Next)
	case eventlog.RequestEnded:
		if last.Code == 0 {
			return fmt.Sprintf("It was answered whole by %s after %s.", last.Endpoint, times(tries))
		}
		return fmt.Sprintf("Its last try, at %s, ended with %s.", last.Endpoint, code.Code(last.Code))
	case eventlog.OrderRecorded:
		return "The order's outcome is recorded: " + last.Detail + "."
	case eventlog.OrderReplayed:
		return "It is a resend; the record of the first try decided: " + last.Detail + "."
	}
	return "It has not ended, or the events of its end are not in any time line that was reached."
}

func times(n int) string {
	if n == 1 {
		return "1 try"
	}
	return fmt.Sprintf("%d tries", n)
}

func stamp(e eventlog.Event) string {
	return eventlog.Time(e.Clock).UTC().Format("15:04:05.000") + " " + e.Router + " "
}

// withDetail adds an event's detail to a sentence without its full stop.
func withDetail(sentence string, e eventlog.Event) string {
	if e.Detail == "" {
		return sentence + "."
	}
	return sentence + ": " + strings.TrimSuffix(e.Detail, ".") + "."
}
