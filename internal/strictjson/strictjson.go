// Package strictjson decodes JSON into a struct and reports every unknown or
// mistyped field with its path, not only the first one.
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

// maxQuotedBytes limits the value that a fault quotes.
const maxQuotedBytes = 80

// Decode decodes data into the struct that into points to and returns all faults.
// Fields that are absent from data keep their values. Names are case-sensitive.
func Decode(data []byte, into any) []manifest.Fault {
	d := &decoder{}
	d.decodeValue(data, reflect.ValueOf(into).Elem(), "")
	return d.faults
}

type decoder struct{ faults []manifest.Fault }

func (d *decoder) addFault(path string, raw []byte, want string) {
	if path == "" {
		path = "the file"
	}
	text := string(bytes.TrimSpace(raw))
	if len(text) > maxQuotedBytes {
		text = text[:maxQuotedBytes] + "..."
	}
	d.faults = append(d.faults, manifest.Fault{Path: path, Value: text, Want: want})
}

func (d *decoder) decodeValue(raw []byte, into reflect.Value, path string) {
	switch into.Kind() {
	case reflect.Struct:
		d.decodeObject(raw, into, path)
	case reflect.Slice:
		d.decodeArray(raw, into, path)
	default:
		d.decodeScalar(raw, into, path)
	}
}

func (d *decoder) decodeObject(raw []byte, into reflect.Value, path string) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(raw, &members); err != nil || members == nil {
		d.addFault(path, raw, "a JSON object"+syntaxErrorOffset(err))
		return
	}
	fields := fieldsByName(into)
	for _, name := range sortedKeys(members) {
		at := joinPath(path, name)
		field, ok := fields[name]
		if !ok {
			d.addFault(at, members[name], "one of the fields "+strings.Join(sortedKeys(fields), ", "))
			continue
		}
		d.decodeValue(members[name], field, at)
	}
}

func (d *decoder) decodeArray(raw []byte, into reflect.Value, path string) {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		d.addFault(path, raw, "a JSON array")
		return
	}
	if items == nil {
		return
	}
	list := reflect.MakeSlice(into.Type(), len(items), len(items))
	for i, item := range items {
		d.decodeValue(item, list.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	into.Set(list)
}

func (d *decoder) decodeScalar(raw []byte, into reflect.Value, path string) {
	if string(raw) == "null" || json.Unmarshal(raw, into.Addr().Interface()) != nil {
		d.addFault(path, raw, typeName(into.Kind()))
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

// syntaxErrorOffset returns a description of err with its byte offset if it is a
// syntax error, and "" otherwise.
func syntaxErrorOffset(err error) string {
	if syntax, ok := err.(*json.SyntaxError); ok {
		return fmt.Sprintf(" (%v at byte %d)", syntax, syntax.Offset)
	}
	return ""
}

func fieldsByName(v reflect.Value) map[string]reflect.Value {
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

func sortedKeys[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
