// Package settings reads and checks the daemon's settings, one JSON file.
//
// fields.go describes every setting once; the checks, docs/SETTINGS.md and
// the JSON Schema all come from that table. All faults are reported at once,
// each with the setting's path, its value and what is allowed.
package settings

import (
	"os"
	"strings"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/strictjson"
)

// Settings are all settings of one daemon; Fields describes them.
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
	MaxAccountOpen  int       `json:"max_account_open"`
	Verbosity       int       `json:"verbosity"`
}

// ServerTLS says how a listener proves who it is to HTTP clients.
type ServerTLS struct {
	Mode     string `json:"mode"` // TLS or Plain
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
}

// PeerTLS says how routers prove who they are to each other.
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
		MaxAccountOpen:  1000,
	}
}

// Load reads and checks a file and the PEM files that it names. The error
// lists every fault.
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

// Parse reads settings over the defaults and returns every fault of them.
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
