package schema

import "github.com/cyclamenwinch/cyclamenwinch/internal/settings"

// Patterns of strings in a manifest.
const (
	namePattern   = `^[^ /\t\n]+$`
	digestPattern = `^[0-9a-f]{64}$`
	urlPattern    = `^https?://[^/]+`
	pathPattern   = `^/.+`
)

// manifestRules returns the rules for the manifest's fields by path.
func manifestRules() map[string]Rule {
	state := Rule{Text: `"out" gives no new work; work in progress ends.`, Needed: true, Enum: []string{"in", "out"}}
	name := Rule{Text: "Unique name without spaces or slashes.", Needed: true, Pattern: namePattern}
	return map[string]Rule{
		"generation": {Text: "0: replace whatever is stored; otherwise the generation that this file was made from.", Minimum: intPtr(0)},

		"zones":          {Text: "Availability zones.", Needed: true, MinItems: 1},
		"zones[].name":   name,
		"zones[].region": {Text: "Region of the zone.", Needed: true, MinLength: 1},
		"zones[].state":  state,

		"accounts":                   {Text: "Client accounts.", Needed: true, MinItems: 1},
		"accounts[].name":            name,
		"accounts[].share":           {Text: "Weight of the client account against the others.", Needed: true, ExclusiveMinimum: intPtr(0)},
		"accounts[].key_digests":     {Text: "SHA-256 of each API key."},
		"accounts[].key_digests[]":   {Text: "64 lower-case hexadecimal digits.", Pattern: digestPattern},
		"accounts[].max_queue":       {Text: "Requests that may wait, over the fleet.", Needed: true, Minimum: intPtr(1)},
		"accounts[].max_wait_millis": {Text: "Longest time that a request may wait, in milliseconds.", Needed: true, Minimum: intPtr(1)},

		"pools":            {Text: "Sets of alike endpoints.", Needed: true},
		"pools[].name":     name,
		"pools[].kind":     {Text: `"model": chat completions; "order": must not be repeated; "service": plain calls that may be repeated.`, Needed: true, Enum: []string{"model", "order", "service"}},
		"pools[].models":   {Text: "Models that the pool serves, for the kind model. A model belongs to one pool."},
		"pools[].models[]": {Text: "Name of a model.", Pattern: namePattern},
		"pools[].path":     {Text: "Path prefix, for the other kinds.", Pattern: pathPattern},

		"endpoints":              {Text: "Back ends.", Needed: true},
		"endpoints[].name":       name,
		"endpoints[].pool":       {Text: "A declared pool.", Needed: true, MinLength: 1},
		"endpoints[].url":        {Text: "http or https, IP number and port.", Needed: true, Pattern: urlPattern},
		"endpoints[].zone":       {Text: "A declared availability zone.", Needed: true, MinLength: 1},
		"endpoints[].state":      state,
		"endpoints[].slots":      {Text: "Concurrent requests when warm.", Needed: true, Minimum: intPtr(1)},
		"endpoints[].cold_slots": {Text: "Concurrent requests that it bears after a start.", Needed: true, Minimum: intPtr(1)},
		"endpoints[].fence":      {Text: "It refuses orders with an old fencing number."},
		"endpoints[].lookup":     {Text: "It answers look-ups of executed orders by key."},

		"orders":                 {Text: "The order ledger.", Needed: true},
		"orders.shards":          {Text: "Chains of records; fixed once the first order is recorded.", Needed: true, Minimum: intPtr(1)},
		"orders.retention_hours": {Text: "How long a key stays known, in hours.", Needed: true, Minimum: intPtr(1)},
	}
}

// settingsRules returns the rules for the settings by path, derived from
// settings.Fields.
func settingsRules() map[string]Rule {
	rules := map[string]Rule{}
	for _, f := range settings.Fields() {
		rule := Rule{Text: f.Description + ".", Needed: f.Default == nil, Enum: f.Enum, Default: f.Default}
		if f.Max > 0 {
			rule.Minimum, rule.Maximum = intPtr(f.Min), intPtr(f.Max)
		}
		if f.Default == nil {
			rule.MinLength = 1
		}
		rules[f.Path] = rule
	}
	return rules
}
