package topology

import (
	"net"
	"slices"
	"strings"

	"github.com/cyclamenwinch/cyclamenwinch/core/urlpath"
)

// Table is an immutable index of a Config.
type Table struct {
	Config   Config
	hosts    map[string][]hostRoute // by host name; longest prefix first
	services map[string]*Service
	accounts map[string]*Account // by API key
}

// hostRoute is a route of a host, with its prefix as urlpath.Normalize returns paths.
type hostRoute struct {
	prefix string
	*Route
}

// NewTable builds the table of a configuration, which must not be changed
// afterwards.
func NewTable(c Config) *Table {
	t := &Table{Config: c, hosts: map[string][]hostRoute{}, services: map[string]*Service{}, accounts: map[string]*Account{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], hostRoute{urlpath.Declared(r.Prefix), r})
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b hostRoute) int { return len(b.prefix) - len(a.prefix) })
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

// Match returns the route for a host and a path as the client sent it: the one with
// the longest matching prefix. A port in host is ignored, as in a Host header.
func (t *Table) Match(host, path string) (*Route, bool) {
	routes, ok := t.hosts[strings.ToLower(host)]
	if !ok {
		name, _, err := net.SplitHostPort(host)
		if err != nil {
			return nil, false
		}
		routes = t.hosts[strings.ToLower(name)]
	}
	path = urlpath.Normalize(path)
	for _, r := range routes {
		if strings.HasPrefix(path, r.prefix) {
			return r.Route, true
		}
	}
	return nil, false
}

// Service returns the named service, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// AccountByKey returns the client account of an API key, or nil if there is none.
func (t *Table) AccountByKey(key string) *Account { return t.accounts[key] }
