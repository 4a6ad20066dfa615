package settings

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"reflect"
	"slices"

	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
)

// minHeartbeatsPerLease is the least number of heartbeat intervals in a lease, so
// that a single lost message does not expire a router.
const minHeartbeatsPerLease = 4

// constraint is a condition on several settings.
type constraint struct {
	path  string
	want  string
	holds func(Settings) bool
}

var constraints = []constraint{
	{"lease_seconds", "at least 4 times heartbeat_millis", func(s Settings) bool {
		return s.LeaseSeconds*1000 >= minHeartbeatsPerLease*s.HeartbeatMillis
	}},
	{"stop_seconds", "longer than lease_seconds and address_seconds together, so that a stop outlasts the address answers", func(s Settings) bool {
		return s.StopSeconds > s.LeaseSeconds+s.AddressSeconds
	}},
	{"caller_listen", "another address than peer_listen and ops_listen", func(s Settings) bool {
		return s.CallerListen != s.PeerListen && s.CallerListen != s.OpsListen
	}},
	{"peer_listen", "another address than ops_listen", func(s Settings) bool {
		return s.PeerListen != s.OpsListen
	}},
	{"caller_advertise", "given if caller_listen is on every interface", func(s Settings) bool {
		return s.CallerAdvertise != "" || !allInterfaces(s.CallerListen)
	}},
	{"peer_advertise", "given if peer_listen is on every interface", func(s Settings) bool {
		return s.PeerAdvertise != "" || !allInterfaces(s.PeerListen)
	}},
	{"ops_advertise", "given if ops_listen is on every interface", func(s Settings) bool {
		return s.OpsAdvertise != "" || !allInterfaces(s.OpsListen)
	}},
	{"caller_tls", `cert_file and key_file given if the mode is "tls"`, func(s Settings) bool {
		return s.CallerTLS.complete()
	}},
	{"ops_tls", `cert_file and key_file given if the mode is "tls"`, func(s Settings) bool {
		return s.OpsTLS.complete()
	}},
	{"peer_tls", `cert_file, key_file and ca_file given if the mode is "mutual"`, func(s Settings) bool {
		t := s.PeerTLS
		return t.Mode != Mutual || t.CertFile != "" && t.KeyFile != "" && t.CAFile != ""
	}},
}

// Check returns a fault for every invalid value. It does not read files.
func (s Settings) Check() []manifest.Fault {
	var faults []manifest.Fault
	values := reflect.ValueOf(s)
	for _, f := range Fields() {
		value := fieldByPath(values, f.Path)
		if !f.allows(value) {
			faults = append(faults, manifest.Fault{Path: f.Path, Value: formatValue(value), Want: f.Allowed()})
		}
	}
	for _, r := range constraints {
		if !r.holds(s) {
			faults = append(faults, manifest.Fault{Path: r.path, Value: formatValue(fieldByPath(values, r.path)), Want: r.want})
		}
	}
	return faults
}

// allows reports whether a value is valid regardless of other settings.
func (f Field) allows(v reflect.Value) bool {
	if f.Max > 0 {
		return int64(f.Min) <= v.Int() && v.Int() <= int64(f.Max)
	}
	text := v.String()
	switch {
	case f.Enum != nil:
		return slices.Contains(f.Enum, text)
	case f.format == listenAddress:
		_, ok := parseAddress(text)
		return ok
	case f.format == advertiseAddress:
		a, ok := parseAddress(text)
		return text == "" || ok && !a.Addr().IsUnspecified()
	case f.format == httpURL:
		u, err := url.Parse(text)
		return err == nil && u.Host != "" && (u.Scheme == "http" || u.Scheme == "https")
	}
	return f.Default != nil || text != ""
}

func (t ServerTLS) complete() bool {
	return t.Mode != TLS || t.CertFile != "" && t.KeyFile != ""
}

// parseAddress parses an IP address with a port other than 0.
func parseAddress(text string) (netip.AddrPort, bool) {
	host, _, err := net.SplitHostPort(text)
	if err != nil || host == "" {
		return netip.AddrPort{}, false
	}
	a, err := netip.ParseAddrPort(text)
	return a, err == nil && a.Port() != 0
}

func allInterfaces(listen string) bool {
	a, ok := parseAddress(listen)
	return ok && a.Addr().IsUnspecified()
}

func formatValue(v reflect.Value) string {
	if v.Kind() == reflect.String {
		return fmt.Sprintf("%q", v.String())
	}
	return fmt.Sprintf("%+v", v.Interface())
}
