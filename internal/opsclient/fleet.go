package opsclient

import (
	"context"
	"net/http"

	"golang.org/x/sync/errgroup"

	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/opsapi"
)

// Fleet is the state of all routers that are members.
type Fleet struct {
	Responder opsapi.Status `json:"asked"`   // status of the router that listed the members
	Routers   []RouterState `json:"routers"` // every member, as reported by itself
}

// RouterState is the state of one router, or the reason why it is unknown.
type RouterState struct {
	Name   string         `json:"name"`
	Zone   string         `json:"zone"`
	Status *opsapi.Status `json:"status,omitempty"` // nil: not reached
	Error  string         `json:"error,omitempty"`
}

// Timeline holds the merged events of all routers.
type Timeline struct {
	Events    []eventlog.Event `json:"events"`
	Truncated []string         `json:"cut"`       // routers that omitted older events because of the limit
	Unreached []Unreached      `json:"unreached"` // routers whose events are missing
}

// Unreached is a router whose call failed, with the error.
type Unreached struct {
	Router string `json:"router"`
	Error  string `json:"error"`
}

// Fleet gets the members from one router, and its state from every member. A
// member that can't be reached is listed with the error.
func (c *Client) Fleet(ctx context.Context) (Fleet, error) {
	responder, err := c.Status(ctx)
	if err != nil {
		return Fleet{}, err
	}
	f := Fleet{Responder: responder, Routers: make([]RouterState, len(responder.Members))}
	callMembers(responder.Members, func(i int, m member.Router) error {
		f.Routers[i] = c.state(ctx, responder, m)
		return nil
	})
	return f, nil
}

// state gets the state of a member. The router that listed the members is not
// called again.
func (c *Client) state(ctx context.Context, responder opsapi.Status, m member.Router) RouterState {
	if m.Name == responder.Router.Name {
		return RouterState{Name: m.Name, Zone: m.Zone, Status: &responder}
	}
	var s opsapi.Status
	if err := c.call(ctx, http.MethodGet, m.OpsURL, "/status", nil, &s); err != nil {
		return RouterState{Name: m.Name, Zone: m.Zone, Error: err.Error()}
	}
	return RouterState{Name: m.Name, Zone: m.Zone, Status: &s}
}

// InForce reports whether every member runs the generation or a higher one.
// For a member that was not reached, it uses the generation last known to the
// responding router.
func (f Fleet) InForce(generation int64) bool {
	for _, r := range f.Routers {
		if f.Generation(r) < generation {
			return false
		}
	}
	return true
}

// Generation returns the generation in force at a member, as far as known.
func (f Fleet) Generation(r RouterState) int64 {
	if r.Status != nil {
		return r.Status.Generation
	}
	return f.Responder.Generations[r.Name]
}

// Pools returns the states of all pools, as reported by their owners.
func (f Fleet) Pools() []opsapi.PoolState {
	var pools []opsapi.PoolState
	for _, r := range f.Routers {
		if r.Status != nil {
			pools = append(pools, r.Status.Pools...)
		}
	}
	return pools
}

// Timeline gets the matching events from every member and merges them.
func (c *Client) Timeline(ctx context.Context, filter eventlog.Filter) (Timeline, error) {
	responder, err := c.Status(ctx)
	if err != nil {
		return Timeline{}, err
	}
	pages := make([]eventlog.Page, len(responder.Members))
	t := Timeline{Truncated: []string{}}
	t.Unreached = callMembers(responder.Members, func(i int, m member.Router) error {
		var err error
		pages[i], err = c.timelinePage(ctx, m.OpsURL, filter)
		return err
	})
	var parts [][]eventlog.Event
	for i, m := range responder.Members {
		if pages[i].Truncated {
			t.Truncated = append(t.Truncated, m.Name)
		}
		parts = append(parts, pages[i].Events)
	}
	t.Events = append([]eventlog.Event{}, eventlog.Merge(parts...)...)
	return t, nil
}

// maxConcurrentCalls bounds the number of routers that are called at the same
// time.
const maxConcurrentCalls = 32

// callMembers calls f concurrently for all members and returns those for which
// it failed.
func callMembers(members []member.Router, f func(int, member.Router) error) []Unreached {
	failures := make([]error, len(members))
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentCalls)
	for i, m := range members {
		calls.Go(func() error {
			failures[i] = f(i, m)
			return nil
		})
	}
	calls.Wait()
	unreached := []Unreached{}
	for i, err := range failures {
		if err != nil {
			unreached = append(unreached, Unreached{Router: members[i].Name, Error: err.Error()})
		}
	}
	return unreached
}
