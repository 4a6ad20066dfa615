package pool

import (
	"slices"
	"strings"

	"github.com/cyclamenwinch/cyclamenwinch/core/admission"
)

// ScopeState is the state of a scope at its owner, for status pages.
type ScopeState struct {
	Scope     string
	Endpoints []admission.EndpointState
	Waiting   map[string]int // number of waiting requests, by client account
}

// State returns the state of the scopes that this router owns, sorted by name.
func (h *Host) State() []ScopeState {
	h.mu.Lock()
	defer h.mu.Unlock()
	states := make([]ScopeState, 0, len(h.scopes))
	for scope, hp := range h.scopes {
		states = append(states, ScopeState{
			Scope:     scope,
			Endpoints: hp.pool.Endpoints(),
			Waiting:   hp.pool.WaitingByAccount(),
		})
	}
	slices.SortFunc(states, func(a, b ScopeState) int { return strings.Compare(a.Scope, b.Scope) })
	return states
}
