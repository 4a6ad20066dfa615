package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// format is the form of a text setting.
type format int

const (
	anyText format = iota
	listenAddress
	advertiseAddress
	webAddress
)

// Field describes one setting.
type Field struct {
	Path    string   // for example "peer_tls.mode"
	Text    string   // what it is, with its unit
	Default any      // nil: the setting must be given
	Low     int      // least value of a number
	High    int      // greatest value of a number; 0: not a number
	OneOf   []string // allowed words; nil: not limited to words
	format  format
}

// described are the settings in the order of the documentation, without
// their defaults.
var described = []Field{
	{Path: "name", Text: "Name of the router, unique in the fleet"},
	{Path: "zone", Text: "Availability zone of this instance"},
	{Path: "region", Text: "Region of the zone"},
	{Path: "caller_listen", Text: "IP number and port where callers connect", format: listenAddress},
	{Path: "caller_advertise", Text: "IP number and port told to callers; empty: caller_listen", format: advertiseAddress},
	{Path: "caller_tls.mode", Text: "Callers connect with TLS, or in plain text", OneOf: []string{TLS, Plain}},
	{Path: "caller_tls.cert_file", Text: "PEM file with the certificate for callers; read again when it changes"},
	{Path: "caller_tls.key_file", Text: "PEM file with the certificate's key"},
	{Path: "peer_listen", Text: "IP number and port where other routers connect", format: listenAddress},
	{Path: "peer_advertise", Text: "IP number and port told to other routers; empty: peer_listen", format: advertiseAddress},
	{Path: "peer_tls.mode", Text: "Routers connect to each other with TLS that proves both sides, or in plain text", OneOf: []string{Mutual, Plain}},
	{Path: "peer_tls.cert_file", Text: "PEM file with this router's certificate for its IP number; read again at each handshake"},
	{Path: "peer_tls.key_file", Text: "PEM file with the certificate's key"},
	{Path: "peer_tls.ca_file", Text: "PEM file with the authority of all routers' certificates"},
	{Path: "ops_listen", Text: "IP number and port where operators connect", format: listenAddress},
	{Path: "ops_advertise", Text: "IP number and port told to operators' tools; empty: ops_listen", format: advertiseAddress},
	{Path: "ops_tls.mode", Text: "Operators connect with TLS, or in plain text", OneOf: []string{TLS, Plain}},
	{Path: "ops_tls.cert_file", Text: "PEM file with the certificate for operators; read again when it changes"},
	{Path: "ops_tls.key_file", Text: "PEM file with the certificate's key"},
	{Path: "ops_token", Text: "Bearer token of operators"},
	{Path: "platform_url", Text: "Address of the platform's object API", format: webAddress},
	{Path: "lease_seconds", Text: "Seconds after which a router that is not heard is no member", Low: 1, High: 60},
	{Path: "heartbeat_millis", Text: "Milliseconds between two heartbeats to a peer", Low: 50, High: 10_000},
	{Path: "address_seconds", Text: "Seconds that callers may keep an address answer", Low: 1, High: 300},
	{Path: "stop_seconds", Text: "Seconds that a graceful stop may take", Low: 1, High: 3600},
	{Path: "progress_millis", Text: "Milliseconds of silence after which an endpoint's answer has failed", Low: 100, High: 600_000},
	{Path: "max_body_bytes", Text: "Bytes of the largest request body", Low: 1024, High: 64 << 20},
	{Path: "max_account_open", Text: "Open requests of one client account at this router", Low: 1, High: 100_000},
	{Path: "verbosity", Text: "Level of the log; changed by SIGHUP without a restart", Low: 0, High: 4},
}

// Fields returns the description of every setting.
func Fields() []Field {
	defaults := Default()
	fields := make([]Field, len(described))
	for i, f := range described {
		value := lookUp(reflect.ValueOf(defaults), f.Path)
		if !f.required(value) {
			f.Default = value.Interface()
		}
		fields[i] = f
	}
	return fields
}

// required reports whether a setting with the given default must be given.
func (f Field) required(value reflect.Value) bool {
	if f.format == advertiseAddress || strings.HasSuffix(f.Path, "_file") {
		return false
	}
	return value.Kind() == reflect.String && value.String() == ""
}

// Allowed says which values are allowed.
func (f Field) Allowed() string {
	switch {
	case f.High > 0:
		return fmt.Sprintf("%d to %d", f.Low, f.High)
	case f.OneOf != nil:
		return `"` + strings.Join(f.OneOf, `" or "`) + `"`
	case f.format == listenAddress:
		return "an IP number and a port"
	case f.format == advertiseAddress:
		return "an IP number that others can reach and a port, or empty"
	case f.format == webAddress:
		return "an http or https address"
	case strings.HasSuffix(f.Path, "_file"):
		return "a file, or empty in plain mode"
	}
	return "some text"
}

// Markdown returns docs/SETTINGS.md.
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
		fmt.Fprintf(&b, "| `%s` | %s. | %s | %s |\n", f.Path, f.Text, f.Allowed(), value)
	}
	b.WriteString("\nThese bind settings to each other:\n\n")
	for _, r := range relations {
		fmt.Fprintf(&b, "- `%s`: %s.\n", r.path, r.want)
	}
	return b.String()
}

// lookUp returns the field at a path such as "peer_tls.mode".
func lookUp(v reflect.Value, path string) reflect.Value {
	name, rest, nested := strings.Cut(path, ".")
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("json") != name {
			continue
		}
		if nested {
			return lookUp(v.Field(i), rest)
		}
		return v.Field(i)
	}
	return reflect.Value{}
}
