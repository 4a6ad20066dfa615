package manifest

import (
	"fmt"
	"math"
	"net/url"
	"strings"
)

// Fault is one validation error of a manifest.
type Fault struct {
	Path  string `json:"path"`  // for example "accounts[2].share"
	Value string `json:"value"` // the value found
	Want  string `json:"want"`  // what is required
}

// String returns the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s is %s: want %s", f.Path, f.Value, f.Want)
}

// Check validates m and returns all faults. A manifest without faults may be
// accepted.
func (m *Manifest) Check() []Fault {
	c := &checker{m: m, index: m.newIndex()}
	c.zones()
	c.accounts()
	c.pools()
	c.endpoints()
	c.atLeast(topLevel("orders.shards"), m.Orders.Shards, 1)
	c.atLeast(topLevel("orders.retention_hours"), m.Orders.RetentionHours, 1)
	return c.faults
}

// fieldPath locates a value in a manifest. It is formatted only when a fault is
// reported.
type fieldPath struct {
	list       string
	index      int // -1: none
	field      string
	fieldIndex int // index within the field; -1: none
}

func topLevel(name string) fieldPath { return fieldPath{list: name, index: -1, fieldIndex: -1} }

func (p fieldPath) child(field string) fieldPath {
	p.field, p.fieldIndex = field, -1
	return p
}

func (p fieldPath) childAt(field string, i int) fieldPath {
	p.field, p.fieldIndex = field, i
	return p
}

// String formats the path, for example "accounts[2].key_digests[0]".
func (p fieldPath) String() string {
	text := p.list
	if p.index >= 0 {
		text += fmt.Sprintf("[%d]", p.index)
	}
	if p.field != "" {
		text += "." + p.field
	}
	if p.field != "" && p.fieldIndex >= 0 {
		text += fmt.Sprintf("[%d]", p.fieldIndex)
	}
	return text
}

type checker struct {
	m      *Manifest
	index  *index
	faults []Fault
}

func (c *checker) addFault(path fieldPath, value any, want string) {
	c.faults = append(c.faults, Fault{Path: path.String(), Value: fmt.Sprintf("%v", value), Want: want})
}

func (c *checker) atLeast(path fieldPath, value, minimum int) {
	if value < minimum {
		c.addFault(path, value, fmt.Sprintf("%d or more", minimum))
	}
}

// name checks the syntax of a name and that it is unique.
func (c *checker) name(path fieldPath, name string, seen map[string]bool) {
	if name == "" || strings.ContainsAny(name, " /\t\n") {
		c.addFault(path, fmt.Sprintf("%q", name), "a name without spaces or slashes")
	}
	if seen[name] {
		c.addFault(path, name, "a unique name")
	}
	seen[name] = true
}

func (c *checker) state(path fieldPath, s State) {
	if s != In && s != Out {
		c.addFault(path, fmt.Sprintf("%q", s), `"in" or "out"`)
	}
}

func (c *checker) zones() {
	seen := map[string]bool{}
	for i, z := range c.m.Zones {
		path := fieldPath{list: "zones", index: i}
		c.name(path.child("name"), z.Name, seen)
		c.state(path.child("state"), z.State)
		if z.Region == "" {
			c.addFault(path.child("region"), `""`, "the region's name")
		}
	}
	if len(c.m.Zones) == 0 {
		c.addFault(topLevel("zones"), "empty", "at least one availability zone")
	}
}

func (c *checker) accounts() {
	seen := map[string]bool{}
	digests := map[string]bool{}
	for i, a := range c.m.Accounts {
		path := fieldPath{list: "accounts", index: i}
		c.name(path.child("name"), a.Name, seen)
		if !(a.Share > 0) || math.IsInf(a.Share, 0) {
			c.addFault(path.child("share"), a.Share, "a finite number greater than 0")
		}
		c.atLeast(path.child("max_queue"), a.MaxQueue, 1)
		c.atLeast(path.child("max_wait_millis"), a.MaxWaitMillis, 1)
		for j, d := range a.KeyDigests {
			c.digest(path.childAt("key_digests", j), d, digests)
		}
	}
	if len(c.m.Accounts) == 0 {
		c.addFault(topLevel("accounts"), "empty", "at least one client account")
	}
}

func (c *checker) digest(path fieldPath, digest string, seen map[string]bool) {
	if len(digest) != 64 || strings.Trim(digest, "0123456789abcdef") != "" {
		c.addFault(path, digest, "64 lower-case hexadecimal digits")
	}
	if seen[digest] {
		c.addFault(path, digest, "a key that only one client account uses")
	}
	seen[digest] = true
}

func (c *checker) pools() {
	seen := map[string]bool{}
	models := map[string]bool{}
	paths := map[string]bool{}
	for i, p := range c.m.Pools {
		path := fieldPath{list: "pools", index: i}
		c.name(path.child("name"), p.Name, seen)
		switch p.Kind {
		case Model:
			for j, model := range p.Models {
				c.name(path.childAt("models", j), model, models)
			}
			if len(p.Models) == 0 {
				c.addFault(path.child("models"), "empty", "at least one model")
			}
		case Order, Service:
			if !strings.HasPrefix(p.Path, "/") || len(p.Path) < 2 || paths[p.Path] {
				c.addFault(path.child("path"), fmt.Sprintf("%q", p.Path), "a unique path prefix, such as /v1/orders")
			}
			paths[p.Path] = true
		default:
			c.addFault(path.child("kind"), fmt.Sprintf("%q", p.Kind), `"model", "order" or "service"`)
		}
	}
}

func (c *checker) endpoints() {
	seen := map[string]bool{}
	for i, e := range c.m.Endpoints {
		path := fieldPath{list: "endpoints", index: i}
		c.name(path.child("name"), e.Name, seen)
		c.state(path.child("state"), e.State)
		if _, ok := c.index.pools[e.Pool]; !ok {
			c.addFault(path.child("pool"), e.Pool, "a declared pool")
		}
		if _, ok := c.index.zones[e.Zone]; !ok {
			c.addFault(path.child("zone"), e.Zone, "a declared availability zone")
		}
		u, err := url.Parse(e.URL)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			c.addFault(path.child("url"), e.URL, "an http or https URL with an IP address and a port")
		}
		c.atLeast(path.child("slots"), e.Slots, 1)
		c.atLeast(path.child("cold_slots"), e.ColdSlots, 1)
	}
}
