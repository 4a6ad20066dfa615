package opsclient

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/internal/opsapi"
)

// Quarantine is what all routers remember of requests that crash endpoints.
type Quarantine struct {
	Suspects  []opsapi.Suspect `json:"suspects"` // by fingerprint
	Unreached []Unreached      `json:"unreached"`
}

// Lifted says where a quarantine was lifted.
type Lifted struct {
	Fingerprint string      `json:"fingerprint"`
	Routers     []string    `json:"routers"`
	Unreached   []Unreached `json:"unreached"` // these may still refuse the request
}

// Quarantine asks every member. A request that any router refuses counts as
// held.
func (c *Client) Quarantine(ctx context.Context) (Quarantine, error) {
	asked, err := c.Status(ctx)
	if err != nil {
		return Quarantine{}, err
	}
	answers := make([][]opsapi.Suspect, len(asked.Members))
	q := Quarantine{Suspects: []opsapi.Suspect{}}
	q.Unreached = askAll(asked.Members, func(i int, m member.Router) error {
		return c.call(ctx, http.MethodGet, m.OpsURL, "/quarantine", nil, &answers[i])
	})
	for _, s := range slices.Concat(answers...) {
		i, known := slices.BinarySearchFunc(q.Suspects, s.Fingerprint, func(s opsapi.Suspect, name string) int {
			return strings.Compare(s.Fingerprint, name)
		})
		if !known {
			q.Suspects = slices.Insert(q.Suspects, i, s)
		} else if s.Quarantined && !q.Suspects[i].Quarantined {
			q.Suspects[i] = s
		}
	}
	return q, nil
}

// Lift ends the quarantine of a request at every member.
func (c *Client) Lift(ctx context.Context, fingerprint string) (Lifted, error) {
	asked, err := c.Status(ctx)
	if err != nil {
		return Lifted{}, err
	}
	// The first router says whether the fingerprint is one.
	lift := opsapi.LiftRequest{Fingerprint: fingerprint}
	if err := c.any(ctx, http.MethodPost, "/quarantine/lift", lift, nil); err != nil {
		return Lifted{}, err
	}
	l := Lifted{Fingerprint: fingerprint, Routers: member.NewView(asked.Members).Names()}
	l.Unreached = askAll(asked.Members, func(_ int, m member.Router) error {
		return c.call(ctx, http.MethodPost, m.OpsURL, "/quarantine/lift", lift, nil)
	})
	for _, u := range l.Unreached {
		l.Routers = slices.DeleteFunc(l.Routers, func(name string) bool { return name == u.Router })
	}
	return l, nil
}
