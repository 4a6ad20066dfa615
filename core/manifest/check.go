package manifest

import (
	"fmt"
	"math"
	"net/url"
	"strings"
)

// Fault is one thing wrong with a manifest.
type Fault struct {
	Path  string `json:"path"`  // for example "accounts[2].share"
	Value string `json:"value"` // the value found
	Want  string `json:"want"`  // what is allowed
}

// String returns the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s is %s: want %s", f.Path, f.Value, f.Want)
}

// Check returns every fault of m; none means that m may be accepted.
func (m *Manifest) Check() []Fault {
	c := &checker{m: m, index: m.newIndex()}
	c.zones()
	c.accounts()
	c.pools()
	c.endpoints()
	c.atLeast(whole("orders.shards"), m.Orders.Shards, 1)
	c.atLeast(whole("orders.retention_hours"), m.Orders.RetentionHours, 1)
	return c.faults
}

// place is where a fault may stand; it becomes text only for a fault.
type place struct {
	list  string
	index int // -1: none
	field string
	inner int // index within the field; -1: none
}

func whole(name string) place { return place{list: name, index: -1, inner: -1} }

func (p place) of(field string) place {
	p.field, p.inner = field, -1
	return p
}

func (p place) item(field string, i int) place {
	p.field, p.inner = field, i
	return p
}

// String returns for example "accounts[2].key_digests[0]".
func (p place) String() string {
	text := p.list
	if p.index >= 0 {
		text += fmt.Sprintf("[%d]", p.index)
	}
	if p.field != "" {
		text += "." + p.field
	}
	if p.field != "" && p.inner >= 0 {
		text += fmt.Sprintf("[%d]", p.inner)
	}
	return text
}

type checker struct {
	m      *Manifest
	index  *index
	faults []Fault
}

func (c *checker) add(path place, value any, want string) {
	c.faults = append(c.faults, Fault{Path: path.String(), Value: fmt.Sprintf("%v", value), Want: want})
}

func (c *checker) atLeast(path place, value, least int) {
	if value < least {
		c.add(path, value, fmt.Sprintf("%d or more", least))
	}
}

// name checks a name and that it was not seen before.
func (c *checker) name(path place, name string, seen map[string]bool) {
	if name == "" || strings.ContainsAny(name, " /\t\n") {
		c.add(path, fmt.Sprintf("%q", name), "a name without spaces or slashes")
	}
	if seen[name] {
		c.add(path, name, "a name used once")
	}
	seen[name] = true
}

func (c *checker) state(path place, s State) {
	if s != In && s != Out {
		c.add(path, fmt.Sprintf("%q", s), `"in" or "out"`)
	}
}

func (c *checker) zones() {
	seen := map[string]bool{}
	for i, z := range c.m.Zones {
		path := place{list: "zones", index: i}
		c.name(path.of("name"), z.Name, seen)
		c.state(path.of("state"), z.State)
		if z.Region == "" {
			c.add(path.of("region"), `""`, "the region's name")
		}
	}
	if len(c.m.Zones) == 0 {
		c.add(whole("zones"), "empty", "at least one availability zone")
	}
}

func (c *checker) accounts() {
	seen := map[string]bool{}
	digests := map[string]bool{}
	for i, a := range c.m.Accounts {
		path := place{list: "accounts", index: i}
		c.name(path.of("name"), a.Name, seen)
		if !(a.Share > 0) || math.IsInf(a.Share, 0) {
			c.add(path.of("share"), a.Share, "a finite number over 0")
		}
		c.atLeast(path.of("max_queue"), a.MaxQueue, 1)
		c.atLeast(path.of("max_wait_millis"), a.MaxWaitMillis, 1)
		for j, d := range a.KeyDigests {
			c.digest(path.item("key_digests", j), d, digests)
		}
	}
	if len(c.m.Accounts) == 0 {
		c.add(whole("accounts"), "empty", "at least one client account")
	}
}

func (c *checker) digest(path place, digest string, seen map[string]bool) {
	if len(digest) != 64 || strings.Trim(digest, "0123456789abcdef") != "" {
		c.add(path, digest, "64 lower-case hexadecimal digits")
	}
	if seen[digest] {
		c.add(path, digest, "a key used by one client account")
	}
	seen[digest] = true
}

func (c *checker) pools() {
	seen := map[string]bool{}
	models := map[string]bool{}
	paths := map[string]bool{}
	for i, p := range c.m.Pools {
		path := place{list: "pools", index: i}
		c.name(path.of("name"), p.Name, seen)
		switch p.Kind {
		case Model:
			for j, model := range p.Models {
				c.name(path.item("models", j), model, models)
			}
			if len(p.Models) == 0 {
				c.add(path.of("models"), "empty", "at least one model")
			}
		case Order, Service:
			if !strings.HasPrefix(p.Path, "/") || len(p.Path) < 2 || paths[p.Path] {
				c.add(path.of("path"), fmt.Sprintf("%q", p.Path), "a path prefix used once, such as /v1/orders")
			}
			paths[p.Path] = true
		default:
			c.add(path.of("kind"), fmt.Sprintf("%q", p.Kind), `"model", "order" or "service"`)
		}
	}
}

func (c *checker) endpoints() {
	seen := map[string]bool{}
	for i, e := range c.m.Endpoints {
		path := place{list: "endpoints", index: i}
		c.name(path.of("name"), e.Name, seen)
		c.state(path.of("state"), e.State)
		if _, ok := c.index.pools[e.Pool]; !ok {
			c.add(path.of("pool"), e.Pool, "a declared pool")
		}
		if _, ok := c.index.zones[e.Zone]; !ok {
			c.add(path.of("zone"), e.Zone, "a declared availability zone")
		}
		u, err := url.Parse(e.URL)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			c.add(path.of("url"), e.URL, "http or https, an IP number and a port")
		}
		c.atLeast(path.of("slots"), e.Slots, 1)
		c.atLeast(path.of("cold_slots"), e.ColdSlots, 1)
	}
}
