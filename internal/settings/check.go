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

// heartbeatsPerLease is how many heartbeats must fit into a lease, so that
// one lost message expires nobody.
const heartbeatsPerLease = 4

// relation binds settings to each other.
type relation struct {
	path  string
	want  string
	holds func(Settings) bool
}

var relations = []relation{
	{"lease_seconds", "at least 4 times heartbeat_millis", func(s Settings) bool {
		return s.LeaseSeconds*1000 >= heartbeatsPerLease*s.HeartbeatMillis
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
		return s.CallerAdvertise != "" || !everyInterface(s.CallerListen)
	}},
	{"peer_advertise", "given if peer_listen is on every interface", func(s Settings) bool {
		return s.PeerAdvertise != "" || !everyInterface(s.PeerListen)
	}},
	{"ops_advertise", "given if ops_listen is on every interface", func(s Settings) bool {
		return s.OpsAdvertise != "" || !everyInterface(s.OpsListen)
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

// Check returns every fault of the values; files are not read.
func (s Settings) Check() []manifest.Fault {
	var faults []manifest.Fault
	values := reflect.ValueOf(s)
	for _, f := range Fields() {
		value := lookUp(values, f.Path)
		if !f.allows(value) {
			faults = append(faults, manifest.Fault{Path: f.Path, Value: shown(value), Want: f.Allowed()})
		}
	}
	for _, r := range relations {
		if !r.holds(s) {
			faults = append(faults, manifest.Fault{Path: r.path, Value: shown(lookUp(values, r.path)), Want: r.want})
		}
	}
	return faults
}

// allows reports whether a value is allowed by itself.
func (f Field) allows(v reflect.Value) bool {
	if f.High > 0 {
		return int64(f.Low) <= v.Int() && v.Int() <= int64(f.High)
	}
	text := v.String()
	switch {
	case f.OneOf != nil:
		return slices.Contains(f.OneOf, text)
	case f.format == listenAddress:
		_, ok := address(text)
		return ok
	case f.format == advertiseAddress:
		a, ok := address(text)
		return text == "" || ok && !a.Addr().IsUnspecified()
	case f.format == webAddress:
		u, err := url.Parse(text)
		return err == nil && u.Host != "" && (u.Scheme == "http" || u.Scheme == "https")
	}
	return f.Default != nil || text != ""
}

func (t ServerTLS) complete() bool {
	return t.Mode != TLS || t.CertFile != "" && t.KeyFile != ""
}

// address reads an IP number with a port other than 0.
func address(text string) (netip.AddrPort, bool) {
	host, _, err := net.SplitHostPort(text)
	if err != nil || host == "" {
		return netip.AddrPort{}, false
	}
	a, err := netip.ParseAddrPort(text)
	return a, err == nil && a.Port() != 0
}

func everyInterface(listen string) bool {
	a, ok := address(listen)
	return ok && a.Addr().IsUnspecified()
}

func shown(v reflect.Value) string {
	if v.Kind() == reflect.String {
		return fmt.Sprintf("%q", v.String())
	}
	return fmt.Sprintf("%+v", v.Interface())
}
