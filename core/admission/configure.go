package admission

import (
	"slices"
	"strings"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
)

// Configure replaces the accounts and endpoints. Endpoints that stay keep their
// state. Endpoints that were removed or no longer accept work get no new
// requests; requests already running there may complete.
func (p *Pool) Configure(now time.Time, accounts []Account, endpoints []Endpoint) {
	p.configureAccounts(accounts)
	p.configureEndpoints(endpoints)
	p.resizeAll(now)
	p.refuseWhere(code.UnknownKey, func(r *request) bool { return !r.account.declared })
	p.refuseWhere(code.NoEndpoint, func(r *request) bool { return !p.hasUsableEndpoint(&r.req) })
}

func (p *Pool) configureAccounts(accounts []Account) {
	for _, a := range p.accounts {
		a.declared = false
	}
	for _, cfg := range accounts {
		a := p.accountOrNew(cfg.Name)
		a.cfg, a.declared = cfg, true
		p.scheduler.SetShare(cfg.Name, cfg.Share)
	}
}

func (p *Pool) configureEndpoints(endpoints []Endpoint) {
	for _, e := range p.sortedEndpoints {
		p.table.Remove(&e.routeEntry)
		e.declared = false
	}
	p.sortedEndpoints, p.acceptingEndpoints, p.usableSlots = p.sortedEndpoints[:0], 0, 0
	for _, cfg := range endpoints {
		e := p.endpointOrNew(cfg.Name)
		e.cfg, e.declared = cfg, true
		e.routeEntry.Zone, e.routeEntry.Limit = cfg.Zone, 0
		p.sortedEndpoints = append(p.sortedEndpoints, e)
		p.table.Add(&e.routeEntry)
		if cfg.AcceptsWork {
			p.acceptingEndpoints++
		}
	}
	slices.SortFunc(p.sortedEndpoints, func(a, b *endpoint) int { return strings.Compare(a.cfg.Name, b.cfg.Name) })
	for name, e := range p.endpoints {
		if e.declared {
			continue
		}
		p.table.ForgetPrefixes(&e.routeEntry)
		if e.routeEntry.Busy == 0 {
			delete(p.endpoints, name)
		}
	}
}

// accountOrNew returns the named account and creates it if necessary. Requests
// of a new account are refused until it is declared.
func (p *Pool) accountOrNew(name string) *account {
	a, ok := p.accounts[name]
	if !ok {
		a = &account{cfg: Account{Name: name, Share: 1}}
		p.accounts[name] = a
	}
	return a
}

// endpointOrNew returns the named endpoint and creates it if necessary. A new
// endpoint accepts no work until it is declared.
func (p *Pool) endpointOrNew(name string) *endpoint {
	e, ok := p.endpoints[name]
	if !ok {
		e = newEndpoint(name)
		p.endpoints[name] = e
	}
	return e
}
