// Package strictjson decodes JSON into a struct and names every unknown or
// mistyped field by its path, not only the first.
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
)

// maxShown bounds the value that a fault quotes, in bytes.
const maxShown = 80

// Decode reads data into the struct that into points to. Fields that data
// doesn't name keep their values. Names are case sensitive.
func Decode(data []byte, into any) []manifest.Fault {
	d := &decoder{}
	d.value(data, reflect.ValueOf(into).Elem(), "")
	return d.faults
}

type decoder struct{ faults []manifest.Fault }

func (d *decoder) add(path string, raw []byte, want string) {
	if path == "" {
		path = "the file"
	}
	text := string(bytes.TrimSpace(raw))
	if len(text) > maxShown {
		text = text[:maxShown] + "..."
	}
	d.faults = append(d.faults, manifest.Fault{Path: path, Value: text, Want: want})
}

func (d *decoder) value(raw []byte, into reflect.Value, path string) {
	switch into.Kind() {
	case reflect.Struct:
		d.object(raw, into, path)
	case reflect.Slice:
		d.array(raw, into, path)
	default:
		d.scalar(raw, into, path)
	}
}

func (d *decoder) object(raw []byte, into reflect.Value, path string) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(raw, &members); err != nil || members == nil {
		d.add(path, raw, "a JSON object"+reason(err))
		return
	}
	fields := fieldsOf(into)
	for _, name := range sortedNames(members) {
		at := join(path, name)
		field, ok := fields[name]
		if !ok {
			d.add(at, members[name], "one of the fields "+strings.Join(sortedNames(fields), ", "))
			continue
		}
		d.value(members[name], field, at)
	}
}

func (d *decoder) array(raw []byte, into reflect.Value, path string) {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		d.add(path, raw, "a JSON array")
		return
	}
	if items == nil {
		return
	}
	list := reflect.MakeSlice(into.Type(), len(items), len(items))
	for i, item := range items {
		d.value(item, list.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	into.Set(list)
}

func (d *decoder) scalar(raw []byte, into reflect.Value, path string) {
	if string(raw) == "null" || json.Unmarshal(raw, into.Addr().Interface()) != nil {
		d.add(path, raw, typeName(into.Kind()))
	}
}

func typeName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	}
	return "a whole number"
}

// reason names where the syntax breaks, if it does.
func reason(err error) string {
	if syntax, ok := err.(*json.SyntaxError); ok {
		return fmt.Sprintf(" (%v at byte %d)", syntax, syntax.Offset)
	}
	return ""
}

func fieldsOf(v reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range v.NumField() {
		if !v.Type().Field(i).IsExported() {
			continue
		}
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		fields[name] = v.Field(i)
	}
	return fields
}

func sortedNames[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
