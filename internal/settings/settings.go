// Package settings loads and validates the daemon's settings, a single JSON file.
//
// The table in fields.go describes every setting; validation, docs/SETTINGS.md
// and the JSON Schema are derived from it. All faults are reported together, each
// with the setting's path, its value and the allowed values.
package settings

import (
	"os"
	"strings"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/strictjson"
)

// Settings holds all settings of a daemon. Fields describes each of them.
type Settings struct {
	Name            string    `json:"name"`
	Zone            string    `json:"zone"`
	Region          string    `json:"region"`
	CallerListen    string    `json:"caller_listen"`
	CallerAdvertise string    `json:"caller_advertise"`
	CallerTLS       ServerTLS `json:"caller_tls"`
	PeerListen      string    `json:"peer_listen"`
	PeerAdvertise   string    `json:"peer_advertise"`
	PeerTLS         PeerTLS   `json:"peer_tls"`
	OpsListen       string    `json:"ops_listen"`
	OpsAdvertise    string    `json:"ops_advertise"`
	OpsTLS          ServerTLS `json:"ops_tls"`
	OpsToken        string    `json:"ops_token"`
	PlatformURL     string    `json:"platform_url"`
	LeaseSeconds    int       `json:"lease_seconds"`
	HeartbeatMillis int       `json:"heartbeat_millis"`
	AddressSeconds  int       `json:"address_seconds"`
	StopSeconds     int       `json:"stop_seconds"`
	ProgressMillis  int       `json:"progress_millis"`
	MaxBodyBytes    int       `json:"max_body_bytes"`
	MaxMessages     int       `json:"max_messages,omitempty"`
	MaxAccountOpen  int       `json:"max_account_open"`
	RequestMemory   int       `json:"request_memory_bytes,omitempty"`
	Verbosity       int       `json:"verbosity"`
}

// ServerTLS configures how a listener authenticates itself to HTTP clients.
type ServerTLS struct {
	Mode     string `json:"mode"` // TLS or Plain
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
}

// PeerTLS configures how routers authenticate each other.
type PeerTLS struct {
	Mode     string `json:"mode"` // Mutual or Plain
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	CAFile   string `json:"ca_file"`
}

// The modes of ServerTLS and PeerTLS.
const (
	TLS    = "tls"
	Mutual = "mutual"
	Plain  = "plain"
)

// Default returns the documented defaults.
func Default() Settings {
	return Settings{
		CallerTLS:       ServerTLS{Mode: TLS},
		PeerTLS:         PeerTLS{Mode: Mutual},
		OpsTLS:          ServerTLS{Mode: TLS},
		LeaseSeconds:    4,
		HeartbeatMillis: 500,
		AddressSeconds:  5,
		StopSeconds:     120,
		ProgressMillis:  5000,
		MaxBodyBytes:    1 << 20,
		MaxMessages:     10_000,
		MaxAccountOpen:  1000,
		RequestMemory:   512 << 20,
	}
}

// Load reads and validates a settings file and the PEM files that it names. The
// error lists every fault.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, code.Refuse(code.BadSettings, err.Error())
	}
	s, faults := Parse(data)
	faults = append(faults, s.CheckFiles()...)
	if len(faults) > 0 {
		return Settings{}, code.Refuse(code.BadSettings, joinFaults(faults))
	}
	return s, nil
}

// Parse decodes settings, with defaults for those that are absent, and returns
// every fault.
func Parse(data []byte) (Settings, []manifest.Fault) {
	s := Default()
	faults := strictjson.Decode(data, &s)
	return s, append(faults, s.Check()...)
}

func joinFaults(faults []manifest.Fault) string {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
