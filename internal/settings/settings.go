// Package settings reads and checks the daemon's settings, one JSON file.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"os"
	"strings"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
)

// Settings are all settings of one daemon. Defaults stand in Default.
type Settings struct {
	Name            string  `json:"name"`             // unique in the fleet
	Zone            string  `json:"zone"`             // availability zone of this instance
	Region          string  `json:"region"`           // region of the zone
	CallerListen    string  `json:"caller_listen"`    // IP number and port for callers
	PeerListen      string  `json:"peer_listen"`      // IP number and port for other routers
	OpsListen       string  `json:"ops_listen"`       // IP number and port for operators
	PlatformURL     string  `json:"platform_url"`     // the object API
	OpsToken        string  `json:"ops_token"`        // bearer token of operators
	PeerTLS         PeerTLS `json:"peer_tls"`         // between routers
	LeaseSeconds    int     `json:"lease_seconds"`    // a router unseen for so long is no member
	HeartbeatMillis int     `json:"heartbeat_millis"` // between two heartbeats to a peer
	AddressSeconds  int     `json:"address_seconds"`  // lifetime of an address answer
	StopSeconds     int     `json:"stop_seconds"`     // longest graceful stop
	ProgressMillis  int     `json:"progress_millis"`  // an endpoint silent for so long has failed
	MaxBodyBytes    int     `json:"max_body_bytes"`   // largest request body
	Verbosity       int     `json:"verbosity"`        // level of the log, 0 to 4
}

// PeerTLS says how routers prove who they are to each other.
type PeerTLS struct {
	Mode     string `json:"mode"`      // "mutual" or "plain"
	CertFile string `json:"cert_file"` // PEM, for "mutual"
	KeyFile  string `json:"key_file"`  // PEM, for "mutual"
	CAFile   string `json:"ca_file"`   // PEM, for "mutual"
}

// The modes of PeerTLS.
const (
	Mutual = "mutual"
	Plain  = "plain"
)

// Default returns the documented defaults.
func Default() Settings {
	return Settings{
		PeerTLS:         PeerTLS{Mode: Mutual},
		LeaseSeconds:    4,
		HeartbeatMillis: 500,
		AddressSeconds:  5,
		StopSeconds:     120,
		ProgressMillis:  5000,
		MaxBodyBytes:    1 << 20,
	}
}

// Load reads and checks a file. The error lists every fault.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, code.Refuse(code.BadSettings, err.Error())
	}
	s, err := Parse(data)
	if err != nil {
		return Settings{}, err
	}
	if faults := s.Check(); len(faults) > 0 {
		return Settings{}, code.Refuse(code.BadSettings, joinFaults(faults))
	}
	return s, nil
}

// Parse reads settings over the defaults; unknown fields are refused.
func Parse(data []byte) (Settings, error) {
	s := Default()
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Settings{}, code.Refuse(code.BadSettings, err.Error())
	}
	return s, nil
}

// Check returns every fault.
func (s Settings) Check() []manifest.Fault {
	c := &checker{}
	c.text("name", s.Name)
	c.text("zone", s.Zone)
	c.text("region", s.Region)
	c.text("ops_token", s.OpsToken)
	c.listen("caller_listen", s.CallerListen)
	c.listen("peer_listen", s.PeerListen)
	c.listen("ops_listen", s.OpsListen)
	c.url("platform_url", s.PlatformURL)
	c.between("lease_seconds", s.LeaseSeconds, 1, 60)
	c.between("heartbeat_millis", s.HeartbeatMillis, 50, 10_000)
	c.between("address_seconds", s.AddressSeconds, 1, 300)
	c.between("stop_seconds", s.StopSeconds, 1, 3600)
	c.between("progress_millis", s.ProgressMillis, 100, 600_000)
	c.between("max_body_bytes", s.MaxBodyBytes, 1024, 64<<20)
	c.between("verbosity", s.Verbosity, 0, 4)
	c.tls(s.PeerTLS)
	return c.faults
}

type checker struct{ faults []manifest.Fault }

func (c *checker) add(path string, value any, want string) {
	c.faults = append(c.faults, manifest.Fault{Path: path, Value: fmt.Sprintf("%v", value), Want: want})
}

func (c *checker) text(path, value string) {
	if value == "" {
		c.add(path, `""`, "some text")
	}
}

func (c *checker) between(path string, value, low, high int) {
	if value < low || value > high {
		c.add(path, value, fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *checker) listen(path, value string) {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		c.add(path, fmt.Sprintf("%q", value), "an IP number and a port")
	}
}

func (c *checker) url(path, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" {
		c.add(path, fmt.Sprintf("%q", value), "an http or https address")
	}
}

func (c *checker) tls(t PeerTLS) {
	switch t.Mode {
	case Plain:
	case Mutual:
		c.text("peer_tls.cert_file", t.CertFile)
		c.text("peer_tls.key_file", t.KeyFile)
		c.text("peer_tls.ca_file", t.CAFile)
	default:
		c.add("peer_tls.mode", fmt.Sprintf("%q", t.Mode), `"mutual" or "plain"`)
	}
}

func joinFaults(faults []manifest.Fault) string {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "; ")
}
