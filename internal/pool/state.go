package pool

import (
	"slices"
	"strings"

	"github.com/cyclamenwinch/cyclamenwinch/core/admission"
)

// ScopeState is what an owner knows of a scope, for status pages.
type ScopeState struct {
	Scope     string
	Endpoints []admission.EndpointState
	Waiting   map[string]int // requests that wait, by client account
}

// State returns the state of the scopes that this router owns, by name.
func (h *Host) State() []ScopeState {
	h.mu.Lock()
	defer h.mu.Unlock()
	states := make([]ScopeState, 0, len(h.scopes))
	for scope, on := range h.scopes {
		states = append(states, ScopeState{
			Scope:     scope,
			Endpoints: on.pool.Endpoints(),
			Waiting:   on.pool.WaitingByAccount(),
		})
	}
	slices.SortFunc(states, func(a, b ScopeState) int { return strings.Compare(a.Scope, b.Scope) })
	return states
}
