package opsclient

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/internal/opsapi"
)

// Quarantine lists the requests that crashed endpoints, merged over all routers.
type Quarantine struct {
	Suspects  []opsapi.Suspect `json:"suspects"` // sorted by fingerprint
	Unreached []Unreached      `json:"unreached"`
}

// LiftResult lists the routers at which a quarantine was lifted.
type LiftResult struct {
	Fingerprint string      `json:"fingerprint"`
	Routers     []string    `json:"routers"`
	Unreached   []Unreached `json:"unreached"` // these may still refuse the request
}

// Quarantine gets the list of every member and merges them. A request counts as
// quarantined if any router refuses it.
func (c *Client) Quarantine(ctx context.Context) (Quarantine, error) {
	responder, err := c.Status(ctx)
	if err != nil {
		return Quarantine{}, err
	}
	lists := make([][]opsapi.Suspect, len(responder.Members))
	q := Quarantine{Suspects: []opsapi.Suspect{}}
	q.Unreached = callMembers(responder.Members, func(i int, m member.Router) error {
		return c.call(ctx, http.MethodGet, m.OpsURL, "/quarantine", nil, &lists[i])
	})
	for _, s := range slices.Concat(lists...) {
		i, found := slices.BinarySearchFunc(q.Suspects, s.Fingerprint, func(s opsapi.Suspect, name string) int {
			return strings.Compare(s.Fingerprint, name)
		})
		if !found {
			q.Suspects = slices.Insert(q.Suspects, i, s)
		} else if s.Quarantined && !q.Suspects[i].Quarantined {
			q.Suspects[i] = s
		}
	}
	return q, nil
}

// Lift ends the quarantine of a request at every member.
func (c *Client) Lift(ctx context.Context, fingerprint string) (LiftResult, error) {
	responder, err := c.Status(ctx)
	if err != nil {
		return LiftResult{}, err
	}
	// The first router that responds validates the fingerprint, so that an invalid
	// one is returned as an error instead of being sent to every member.
	lift := opsapi.LiftRequest{Fingerprint: fingerprint}
	if err := c.any(ctx, http.MethodPost, "/quarantine/lift", lift, nil); err != nil {
		return LiftResult{}, err
	}
	l := LiftResult{Fingerprint: fingerprint, Routers: member.NewView(responder.Members).Names()}
	l.Unreached = callMembers(responder.Members, func(_ int, m member.Router) error {
		return c.call(ctx, http.MethodPost, m.OpsURL, "/quarantine/lift", lift, nil)
	})
	for _, u := range l.Unreached {
		l.Routers = slices.DeleteFunc(l.Routers, func(name string) bool { return name == u.Router })
	}
	return l, nil
}
