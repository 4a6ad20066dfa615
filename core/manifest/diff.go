package manifest

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Difference is one difference between two manifests. Old is empty for an
// added item, New for a removed one.
type Difference struct {
	Path string `json:"path"` // for example "accounts/alexandria-cafes.share"
	Old  string `json:"old"`
	New  string `json:"new"`
}

// String formats the difference on one line.
func (d Difference) String() string {
	switch {
	case d.Old == "":
		return fmt.Sprintf("+ %s: %s", d.Path, d.New)
	case d.New == "":
		return fmt.Sprintf("- %s: %s", d.Path, d.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", d.Path, d.Old, d.New)
}

// Diff returns the differences from old to new, sorted by path. It ignores
// generations and treats nil as an empty manifest.
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
	slices.SortStableFunc(d.differences, func(x, y Difference) int { return strings.Compare(x.Path, y.Path) })
	return d.differences
}

// CheckUpdate returns a fault for each change from prev to next that is not
// allowed once orders exist. It complements Manifest.Check, which looks at one
// manifest only. The number of shards can't change, since an order is looked up
// by its shard.
func CheckUpdate(prev, next *Manifest) []Fault {
	if prev.Orders.Shards == next.Orders.Shards {
		return nil
	}
	return []Fault{{
		Path:  "orders.shards",
		Value: fmt.Sprint(next.Orders.Shards),
		Want:  fmt.Sprintf("%d, since orders are recorded", prev.Orders.Shards),
	}}
}

type differ struct{ differences []Difference }

func diffItems[T any](d *differ, path string, old, new []T, name func(T) string) {
	before := byName(old, name)
	after := byName(new, name)
	for key, item := range before {
		if _, ok := after[key]; !ok {
			d.add(path+"/"+key, fmt.Sprintf("%+v", item), "")
		}
	}
	for key, item := range after {
		oldItem, ok := before[key]
		if !ok {
			d.add(path+"/"+key, "", fmt.Sprintf("%+v", item))
			continue
		}
		d.fields(path+"/"+key, reflect.ValueOf(oldItem), reflect.ValueOf(item))
	}
}

// fields compares two structs of the same type field by field.
func (d *differ) fields(path string, old, new reflect.Value) {
	for i := range old.NumField() {
		oldText, newText := fmt.Sprint(old.Field(i)), fmt.Sprint(new.Field(i))
		if oldText == newText {
			continue
		}
		field, _, _ := strings.Cut(old.Type().Field(i).Tag.Get("json"), ",")
		d.add(path+"."+field, quoteEmpty(oldText), quoteEmpty(newText))
	}
}

func (d *differ) add(path, old, new string) {
	d.differences = append(d.differences, Difference{Path: path, Old: old, New: new})
}

func byName[T any](items []T, name func(T) string) map[string]T {
	index := make(map[string]T, len(items))
	for _, item := range items {
		index[name(item)] = item
	}
	return index
}

// quoteEmpty returns a pair of quotes for an empty text, which would otherwise
// mark an added or removed item.
func quoteEmpty(s string) string {
	if s == "" {
		return `""`
	}
	return s
}
