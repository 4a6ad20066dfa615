package settings

import (
	_ "embed" // for preparedPage
	"fmt"
	"reflect"
	"strings"
)

// format is the syntax of a text setting.
type format int

const (
	anyText format = iota
	listenAddress
	advertiseAddress
	httpURL
)

// Field describes one setting.
type Field struct {
	Path        string   // for example "peer_tls.mode"
	Description string   // meaning and unit
	Default     any      // nil: the setting is required
	Min         int      // least value of a number
	Max         int      // greatest value of a number; 0: not a number
	Enum        []string // allowed values; nil: not an enumeration
	format      format
}

// fieldTable describes the settings in the order of the documentation, without
// their defaults.
var fieldTable = []Field{
	{Path: "name", Description: "Name of the router, unique in the fleet"},
	{Path: "zone", Description: "Availability zone of this instance"},
	{Path: "region", Description: "Region of the zone"},
	{Path: "caller_listen", Description: "IP number and port where callers connect", format: listenAddress},
	{Path: "caller_advertise", Description: "IP number and port told to callers; empty: caller_listen", format: advertiseAddress},
	{Path: "caller_tls.mode", Description: "Callers connect with TLS, or in plain text", Enum: []string{TLS, Plain}},
	{Path: "caller_tls.cert_file", Description: "PEM file with the certificate for callers; read again when it changes"},
	{Path: "caller_tls.key_file", Description: "PEM file with the certificate's key"},
	{Path: "peer_listen", Description: "IP number and port where other routers connect", format: listenAddress},
	{Path: "peer_advertise", Description: "IP number and port told to other routers; empty: peer_listen", format: advertiseAddress},
	{Path: "peer_tls.mode", Description: "Routers connect to each other with TLS that proves both sides, or in plain text", Enum: []string{Mutual, Plain}},
	{Path: "peer_tls.cert_file", Description: "PEM file with this router's certificate for its IP number; read again at each handshake"},
	{Path: "peer_tls.key_file", Description: "PEM file with the certificate's key"},
	{Path: "peer_tls.ca_file", Description: "PEM file with the authority of all routers' certificates"},
	{Path: "ops_listen", Description: "IP number and port where operators connect", format: listenAddress},
	{Path: "ops_advertise", Description: "IP number and port told to operators' tools; empty: ops_listen", format: advertiseAddress},
	{Path: "ops_tls.mode", Description: "Operators connect with TLS, or in plain text", Enum: []string{TLS, Plain}},
	{Path: "ops_tls.cert_file", Description: "PEM file with the certificate for operators; read again when it changes"},
	{Path: "ops_tls.key_file", Description: "PEM file with the certificate's key"},
	{Path: "ops_token", Description: "Bearer token of operators"},
	{Path: "platform_url", Description: "Address of the platform's object API", format: httpURL},
	{Path: "lease_seconds", Description: "Seconds after which a router that is not heard is no member", Min: 1, Max: 60},
	{Path: "heartbeat_millis", Description: "Milliseconds between two heartbeats to a peer", Min: 50, Max: 10_000},
	{Path: "address_seconds", Description: "Seconds that callers may keep an address answer", Min: 1, Max: 300},
	{Path: "stop_seconds", Description: "Seconds that a graceful stop may take", Min: 1, Max: 3600},
	{Path: "progress_millis", Description: "Milliseconds of silence after which an endpoint's answer has failed", Min: 100, Max: 600_000},
	{Path: "max_body_bytes", Description: "Bytes of the largest request body", Min: 1024, Max: 64 << 20},
	{Path: "max_messages", Description: "Messages of the largest prompt of a chat completion", Min: 1, Max: 1_000_000},
	{Path: "max_account_open", Description: "Open requests of one client account at this router", Min: 1, Max: 100_000},
	{Path: "request_memory_bytes", Description: "Bytes that all requests and responses in progress may hold", Min: 64 << 20, Max: 1 << 40},
	{Path: "verbosity", Description: "Level of the log; changed by SIGHUP without a restart", Min: 0, Max: 4},
}

// Fields returns the descriptions of all settings, with their defaults.
func Fields() []Field {
	defaults := Default()
	fields := make([]Field, len(fieldTable))
	for i, f := range fieldTable {
		value := fieldByPath(reflect.ValueOf(defaults), f.Path)
		if !f.required(value) {
			f.Default = value.Interface()
		}
		fields[i] = f
	}
	return fields
}

// required reports whether the setting has to be present if its default is value.
func (f Field) required(value reflect.Value) bool {
	if f.format == advertiseAddress || strings.HasSuffix(f.Path, "_file") {
		return false
	}
	return value.Kind() == reflect.String && value.String() == ""
}

// Allowed returns a description of the allowed values.
func (f Field) Allowed() string {
	switch {
	case f.Max > 0:
		return fmt.Sprintf("%d to %d", f.Min, f.Max)
	case f.Enum != nil:
		return `"` + strings.Join(f.Enum, `" or "`) + `"`
	case f.format == listenAddress:
		return "an IP number and a port"
	case f.format == advertiseAddress:
		return "an IP number that others can reach and a port, or empty"
	case f.format == httpURL:
		return "an http or https address"
	case strings.HasSuffix(f.Path, "_file"):
		return "a file, or empty in plain mode"
	}
	return "some text"
}

// preparedPage describes settings of the router on a prepared platform, whose names only
// package platform knows.
//
//go:embed prepared.md
var preparedPage string

// Markdown returns the content of docs/SETTINGS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Settings of cyclamenwinchd\n\n")
	b.WriteString("One JSON file. The table in `internal/settings` is the source; a test keeps this page equal to it.\n")
	b.WriteString("`cyclamenwinchd --settings FILE --check` names every fault; `cyclamenwinch schema settings` prints the JSON Schema.\n\n")
	b.WriteString("| setting | what it is | allowed | default |\n| --- | --- | --- | --- |\n")
	for _, f := range Fields() {
		value := "must be given"
		if f.Default != nil {
			value = fmt.Sprintf("`%v`", f.Default)
		}
		if f.Default == "" {
			value = "empty"
		}
		fmt.Fprintf(&b, "| `%s` | %s. | %s | %s |\n", f.Path, f.Description, f.Allowed(), value)
	}
	b.WriteString("\nThese bind settings to each other:\n\n")
	for _, r := range constraints {
		fmt.Fprintf(&b, "- `%s`: %s.\n", r.path, r.want)
	}
	b.WriteString(preparedPage)
	b.WriteString(fixedLimits)
	writeEdgeSettings(&b)
	return b.String()
}

// fieldByPath returns the field at a path of JSON names, such as "peer_tls.mode",
// or the zero Value if there is none.
func fieldByPath(v reflect.Value, path string) reflect.Value {
	name, rest, nested := strings.Cut(path, ".")
	for i := range v.NumField() {
		if field, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ","); field != name {
			continue
		}
		if nested {
			return fieldByPath(v.Field(i), rest)
		}
		return v.Field(i)
	}
	return reflect.Value{}
}
