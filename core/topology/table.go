package topology

import (
	"net"
	"slices"
	"strings"
)

// Table is a Config prepared for look-ups. It is immutable.
type Table struct {
	Config   Config
	hosts    map[string][]*Route // by length of prefix, longest first
	services map[string]*Service
	accounts map[string]*Account // by key
}

// NewTable prepares a configuration, which must not change afterwards.
func NewTable(c Config) *Table {
	t := &Table{Config: c, hosts: map[string][]*Route{}, services: map[string]*Service{}, accounts: map[string]*Account{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			t.accounts[key] = &c.Accounts[i]
		}
	}
	return t
}

// Match returns the route of a host and path: the longest prefix wins. The
// port that a Host header may carry is passed over.
func (t *Table) Match(host, path string) (*Route, bool) {
	routes, ok := t.hosts[strings.ToLower(host)]
	if !ok {
		name, _, err := net.SplitHostPort(host)
		if err != nil {
			return nil, false
		}
		routes = t.hosts[strings.ToLower(name)]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns the service of a name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Account returns the client account that holds a key, or nil.
func (t *Table) Account(key string) *Account { return t.accounts[key] }
