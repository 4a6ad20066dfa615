package daemon

import (
	"slices"
	"strings"

	"github.com/cyclamenwinch/cyclamenwinch/core/admission"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/opsapi"
)

// ownedPools returns the state of the pools that this router owns, as the
// operators' API reports it.
func (d *Daemon) ownedPools() []opsapi.PoolState {
	m := d.fleet.Manifest()
	if m == nil {
		return nil
	}
	var pools []opsapi.PoolState
	for _, scope := range d.host.State() {
		state := opsapi.PoolState{Scope: scope.Scope}
		for _, e := range scope.Endpoints {
			state.Endpoints = append(state.Endpoints, endpointLoad(m, e))
		}
		for account, waiting := range scope.Waiting {
			state.Accounts = append(state.Accounts, opsapi.AccountQueue{Account: account, Waiting: waiting})
		}
		slices.SortFunc(state.Accounts, func(a, b opsapi.AccountQueue) int { return strings.Compare(a.Account, b.Account) })
		pools = append(pools, state)
	}
	return pools
}

func endpointLoad(m *manifest.Manifest, e admission.EndpointState) opsapi.EndpointLoad {
	load := opsapi.EndpointLoad{Endpoint: e.Name, State: opsapi.Warm, Busy: e.Busy, Limit: e.Limit}
	declared, ok := m.Endpoint(e.Name)
	switch {
	case !ok || !m.AcceptsWork(declared):
		load.State = opsapi.Out
	case e.Limit == 0:
		load.State = opsapi.Paused
	case e.ProvenSlots == 0 && declared.ColdSlots < declared.Slots:
		load.State = opsapi.Cold
	}
	return load
}
