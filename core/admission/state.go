package admission

// EndpointState is what the owner knows of an endpoint, for status pages.
type EndpointState struct {
	Name        string
	Busy        int // slots in use
	Limit       int // slots that this owner may use now
	ProvenSlots int // slots proved bearable; 0: it counts as cold
}

// Endpoints returns the state of the declared endpoints, by name.
func (p *Pool) Endpoints() []EndpointState {
	states := make([]EndpointState, 0, len(p.ordered))
	for _, e := range p.ordered {
		states = append(states, EndpointState{Name: e.cfg.Name, Busy: e.place.Busy, Limit: e.place.Limit, ProvenSlots: e.proved()})
	}
	return states
}

// Waiting returns the number of requests that wait.
func (p *Pool) Waiting() int {
	n := 0
	for _, a := range p.used {
		n += a.waiting()
	}
	return n
}

// WaitingByRouter returns the number of requests that wait for each router that
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

// WaitingByAccount returns the number of requests that wait for each declared
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
