package admission

import (
	"slices"
	"strings"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
)

// Configure replaces accounts and endpoints. Endpoints that stay keep what
// is known of them; those that are gone or closed get no new work from now
// on, and what runs there ends whole.
func (p *Pool) Configure(now time.Time, accounts []Account, endpoints []Endpoint) {
	p.configureAccounts(accounts)
	p.configureEndpoints(endpoints)
	p.resizeAll(now)
	p.endWhere(code.UnknownKey, func(r *request) bool { return !r.account.declared })
	p.endWhere(code.NoEndpoint, func(r *request) bool { return !p.anyOpen(&r.want) })
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
	for _, e := range p.ordered {
		p.table.Remove(&e.place)
		e.declared = false
	}
	p.ordered, p.open, p.usable = p.ordered[:0], 0, 0
	for _, cfg := range endpoints {
		e := p.endpointOrNew(cfg.Name)
		e.cfg, e.declared = cfg, true
		e.place.Zone, e.place.Limit = cfg.Zone, 0
		p.ordered = append(p.ordered, e)
		p.table.Add(&e.place)
		if cfg.Open {
			p.open++
		}
	}
	slices.SortFunc(p.ordered, func(a, b *endpoint) int { return strings.Compare(a.cfg.Name, b.cfg.Name) })
	for name, e := range p.endpoints {
		if e.declared {
			continue
		}
		p.table.ForgetPrefixes(&e.place)
		if e.place.Busy == 0 {
			delete(p.endpoints, name)
		}
	}
}

// accountOrNew returns the named account; an unknown one may not want
// anything until it is declared.
func (p *Pool) accountOrNew(name string) *account {
	a, ok := p.accounts[name]
	if !ok {
		a = &account{cfg: Account{Name: name, Share: 1}}
		p.accounts[name] = a
	}
	return a
}

// endpointOrNew returns the named endpoint; an unknown one is closed until
// it is declared.
func (p *Pool) endpointOrNew(name string) *endpoint {
	e, ok := p.endpoints[name]
	if !ok {
		e = newEndpoint(name)
		p.endpoints[name] = e
	}
	return e
}
