package opsclient

import (
	"context"
	"net/http"

	"golang.org/x/sync/errgroup"

	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/opsapi"
)

// Fleet is the state of all routers.
type Fleet struct {
	Asked   opsapi.Status `json:"asked"`   // of the router that was asked first
	Routers []RouterState `json:"routers"` // every member, as each says itself
}

// RouterState is the state of one router, or why it is not known.
type RouterState struct {
	Name   string         `json:"name"`
	Zone   string         `json:"zone"`
	Status *opsapi.Status `json:"status,omitempty"` // nil: not reached
	Error  string         `json:"error,omitempty"`
}

// Timeline is the merged time line of all routers.
type Timeline struct {
	Events    []eventlog.Event `json:"events"`
	Truncated []string         `json:"cut"`       // routers that left out older events
	Unreached []Unreached      `json:"unreached"` // routers whose events are missing
}

// Unreached is a router that gave no answer.
type Unreached struct {
	Router string `json:"router"`
	Error  string `json:"error"`
}

// Fleet asks one router for the members, and every member for its state.
func (c *Client) Fleet(ctx context.Context) (Fleet, error) {
	asked, err := c.Status(ctx)
	if err != nil {
		return Fleet{}, err
	}
	f := Fleet{Asked: asked, Routers: make([]RouterState, len(asked.Members))}
	askAll(asked.Members, func(i int, m member.Router) error {
		f.Routers[i] = c.state(ctx, asked, m)
		return nil
	})
	return f, nil
}

// state asks a member for its state, unless it is the one that was asked.
func (c *Client) state(ctx context.Context, asked opsapi.Status, m member.Router) RouterState {
	if m.Name == asked.Router.Name {
		return RouterState{Name: m.Name, Zone: m.Zone, Status: &asked}
	}
	var s opsapi.Status
	if err := c.call(ctx, http.MethodGet, m.OpsURL, "/status", nil, &s); err != nil {
		return RouterState{Name: m.Name, Zone: m.Zone, Error: err.Error()}
	}
	return RouterState{Name: m.Name, Zone: m.Zone, Status: &s}
}

// InForce reports whether every member runs the generation or a higher one.
// A member that was not reached counts with what the asked router last heard
// of it.
func (f Fleet) InForce(generation int64) bool {
	for _, r := range f.Routers {
		if f.Generation(r) < generation {
			return false
		}
	}
	return true
}

// Generation returns the generation in force at a member.
func (f Fleet) Generation(r RouterState) int64 {
	if r.Status != nil {
		return r.Status.Generation
	}
	return f.Asked.Generations[r.Name]
}

// Pools returns the states of all pools, as their owners tell them.
func (f Fleet) Pools() []opsapi.PoolState {
	var pools []opsapi.PoolState
	for _, r := range f.Routers {
		if r.Status != nil {
			pools = append(pools, r.Status.Pools...)
		}
	}
	return pools
}

// Timeline asks every member for its events and merges them.
func (c *Client) Timeline(ctx context.Context, filter eventlog.Filter) (Timeline, error) {
	asked, err := c.Status(ctx)
	if err != nil {
		return Timeline{}, err
	}
	pages := make([]eventlog.Page, len(asked.Members))
	t := Timeline{Truncated: []string{}}
	t.Unreached = askAll(asked.Members, func(i int, m member.Router) error {
		var err error
		pages[i], err = c.page(ctx, m.OpsURL, filter)
		return err
	})
	var parts [][]eventlog.Event
	for i, m := range asked.Members {
		if pages[i].Truncated {
			t.Truncated = append(t.Truncated, m.Name)
		}
		parts = append(parts, pages[i].Events)
	}
	t.Events = append([]eventlog.Event{}, eventlog.Merge(parts...)...)
	return t, nil
}

// concurrentCalls bounds the routers that are asked at the same time.
const concurrentCalls = 32

// askAll calls f for all members, many at a time, and returns those that gave
// an error.
func askAll(members []member.Router, f func(int, member.Router) error) []Unreached {
	failures := make([]error, len(members))
	var calls errgroup.Group
	calls.SetLimit(concurrentCalls)
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
