package manifest

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Difference is one thing that differs between two manifests. Old or New is
// empty where the item is new or gone.
type Difference struct {
	Path string `json:"path"` // for example "accounts/alexandria-cafes.share"
	Old  string `json:"old"`
	New  string `json:"new"`
}

// String returns the difference on one line.
func (d Difference) String() string {
	switch {
	case d.Old == "":
		return fmt.Sprintf("+ %s: %s", d.Path, d.New)
	case d.New == "":
		return fmt.Sprintf("- %s: %s", d.Path, d.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", d.Path, d.Old, d.New)
}

// Diff returns what differs from old to new, in order of the paths.
// Generations are left out; nil stands for an empty manifest.
func Diff(old, new *Manifest) []Difference {
	if old == nil {
		old = &Manifest{}
	}
	if new == nil {
		new = &Manifest{}
	}
	d := &differ{}
	diffItems(d, "zones", old.Zones, new.Zones, func(z Zone) string { return z.Name })
	diffItems(d, "accounts", old.Accounts, new.Accounts, func(a Account) string { return a.Name })
	diffItems(d, "pools", old.Pools, new.Pools, func(p Pool) string { return p.Name })
	diffItems(d, "endpoints", old.Endpoints, new.Endpoints, func(e Endpoint) string { return e.Name })
	d.fields("orders", reflect.ValueOf(old.Orders), reflect.ValueOf(new.Orders))
	slices.SortStableFunc(d.found, func(x, y Difference) int { return strings.Compare(x.Path, y.Path) })
	return d.found
}

// ValidateUpdate returns a fault for each thing in next that may no longer be changed
// once orders exist: an order is found again by its shard.
func ValidateUpdate(prev, next *Manifest) []Fault {
	if prev.Orders.Shards == next.Orders.Shards {
		return nil
	}
	return []Fault{{
		Path:  "orders.shards",
		Value: fmt.Sprint(next.Orders.Shards),
		Want:  fmt.Sprintf("%d, since orders are recorded", prev.Orders.Shards),
	}}
}

type differ struct{ found []Difference }

func diffItems[T any](d *differ, path string, old, new []T, name func(T) string) {
	before := byName(old, name)
	after := byName(new, name)
	for key, item := range before {
		if _, ok := after[key]; !ok {
			d.add(path+"/"+key, fmt.Sprintf("%+v", item), "")
		}
	}
	for key, item := range after {
		was, ok := before[key]
		if !ok {
			d.add(path+"/"+key, "", fmt.Sprintf("%+v", item))
			continue
		}
		d.fields(path+"/"+key, reflect.ValueOf(was), reflect.ValueOf(item))
	}
}

// fields compares two structs of one type, field by field.
func (d *differ) fields(path string, old, new reflect.Value) {
	for i := range old.NumField() {
		was, is := fmt.Sprint(old.Field(i)), fmt.Sprint(new.Field(i))
		if was == is {
			continue
		}
		field, _, _ := strings.Cut(old.Type().Field(i).Tag.Get("json"), ",")
		d.add(path+"."+field, quoted(was), quoted(is))
	}
}

func (d *differ) add(path, old, new string) {
	d.found = append(d.found, Difference{Path: path, Old: old, New: new})
}

func byName[T any](items []T, name func(T) string) map[string]T {
	named := make(map[string]T, len(items))
	for _, item := range items {
		named[name(item)] = item
	}
	return named
}

func quoted(s string) string {
	if s == "" {
		return `""`
	}
	return s
}
