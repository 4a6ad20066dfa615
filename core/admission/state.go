package admission

// EndpointState is the owner's view of an endpoint, for status pages.
type EndpointState struct {
	Name        string
	Busy        int // slots in use
	Limit       int // slots that this owner may use now
	ProvenSlots int // slots the endpoint is known to handle; 0: it counts as cold
}

// Endpoints returns the state of the declared endpoints, sorted by name.
func (p *Pool) Endpoints() []EndpointState {
	states := make([]EndpointState, 0, len(p.sortedEndpoints))
	for _, e := range p.sortedEndpoints {
		states = append(states, EndpointState{Name: e.cfg.Name, Busy: e.routeEntry.Busy, Limit: e.routeEntry.Limit, ProvenSlots: e.provenSlots()})
	}
	return states
}

// Waiting returns the number of waiting requests.
func (p *Pool) Waiting() int {
	n := 0
	for _, a := range p.seenAccounts {
		n += a.waiting()
	}
	return n
}

// WaitingByRouter returns the number of waiting requests of each router that
// has any.
func (p *Pool) WaitingByRouter() map[string]int {
	waiting := map[string]int{}
	for id, r := range p.requests {
		if r.endpoint == nil {
			waiting[id.Router]++
		}
	}
	return waiting
}

// WaitingByAccount returns the number of waiting requests of each declared
// client account.
func (p *Pool) WaitingByAccount() map[string]int {
	waiting := map[string]int{}
	for name, a := range p.accounts {
		if a.declared {
			waiting[name] = a.waiting()
		}
	}
	return waiting
}
