// Package schema generates the JSON Schemas of the manifest and of the daemon's
// settings, for pipelines that generate these files.
//
// Names, types and order come from the Go structs; descriptions and limits come
// from a table with one rule per field. A schema covers each field by itself:
// conditions on several fields are checked by `cyclamenwinch check` and
// `cyclamenwinchd --check`.
package schema

import (
	"encoding/json"
	"reflect"
	"strings"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/settings"
)

// Name is the name of a schema.
type Name string

// The available schemas.
const (
	Manifest Name = "manifest"
	Settings Name = "settings"
)

const (
	dialect = "https://json-schema.org/draft/2020-12/schema"
	idBase  = "https://cyclamenwinch.example/schemas/"
)

// JSON returns a schema as indented JSON. For an unknown name, the error is a
// *code.Error.
func JSON(name Name) ([]byte, error) {
	var root *Node
	switch name {
	case Manifest:
		root = build(reflect.TypeFor[manifest.Manifest](), "", manifestRules())
		root.Title = "cyclamenwinch manifest"
	case Settings:
		root = build(reflect.TypeFor[settings.Settings](), "", settingsRules())
		root.Title = "cyclamenwinchd settings"
	default:
		return nil, code.Refuse(code.BadRequest, `the schema is "`+string(name)+`": want "manifest" or "settings"`)
	}
	root.Schema = dialect
	root.ID = idBase + string(name) + ".json"
	text, err := json.MarshalIndent(root, "", "  ")
	return append(text, '\n'), err
}

// Node is a JSON Schema object.
type Node struct {
	Schema               string           `json:"$schema,omitempty"`
	ID                   string           `json:"$id,omitempty"`
	Title                string           `json:"title,omitempty"`
	Description          string           `json:"description,omitempty"`
	Type                 string           `json:"type"`
	Properties           map[string]*Node `json:"properties,omitempty"`
	Required             []string         `json:"required,omitempty"`
	AdditionalProperties *bool            `json:"additionalProperties,omitempty"` // false: unknown fields are rejected
	Items                *Node            `json:"items,omitempty"`
	Rule
}

// Rule describes a field and limits its values. A zero limit is no limit.
type Rule struct {
	Text             string   `json:"-"` // description
	Needed           bool     `json:"-"` // the field must be present
	Enum             []string `json:"enum,omitempty"`
	Pattern          string   `json:"pattern,omitempty"`
	MinLength        int      `json:"minLength,omitempty"`
	MinItems         int      `json:"minItems,omitempty"`
	Minimum          *int     `json:"minimum,omitempty"`
	Maximum          *int     `json:"maximum,omitempty"`
	ExclusiveMinimum *int     `json:"exclusiveMinimum,omitempty"`
	Default          any      `json:"default,omitempty"`
}

// build returns the schema for type t of the field at path, such as
// "accounts[].share".
func build(t reflect.Type, path string, rules map[string]Rule) *Node {
	rule := rules[path]
	n := &Node{Description: rule.Text, Rule: rule}
	switch t.Kind() {
	case reflect.Struct:
		n.Type = "object"
		n.addFields(t, path, rules)
	case reflect.Slice:
		n.Type = "array"
		n.Items = build(t.Elem(), path+"[]", rules)
	case reflect.Pointer:
		return build(t.Elem(), path, rules)
	case reflect.Bool:
		n.Type = "boolean"
	case reflect.Float64:
		n.Type = "number"
	case reflect.String:
		n.Type = "string"
	case reflect.Map:
		n.Type = "object"
	default:
		n.Type = "integer"
	}
	return n
}

func (n *Node) addFields(t reflect.Type, path string, rules map[string]Rule) {
	n.Properties = map[string]*Node{}
	n.AdditionalProperties = new(bool)
	for i := range t.NumField() {
		if !t.Field(i).IsExported() {
			continue
		}
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		at := joinPath(path, name)
		n.Properties[name] = build(t.Field(i).Type, at, rules)
		if rules[at].Needed {
			n.Required = append(n.Required, name)
		}
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func intPtr(n int) *int { return &n }
