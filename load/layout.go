package load

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/settings"
)

// Layout describes a fleet on loopback, derived from an example's manifest
// and settings.
type Layout struct {
	Example  string // directory with manifest.json and router-a.json
	Routers  int
	Models   int
	Orders   int
	Accounts int        // the example's first, then small ones
	NextPort func() int // a free port
	// Change, if set, changes the settings of each router before they are
	// written.
	EditSettings func(*settings.Settings)
}

// The scenarios of a layout's plans.
const (
	Contention = "contention" // large and small accounts backlogged, one floods
	Flood      = "flood"      // the others stay under their shares, one floods
	Quiet      = "quiet"      // as flood, without the flood
)

const (
	manifestFile = "manifest.json"
	lifetimeSecs = 2 // of address answers
)

// SettingsFile returns the name of a router's settings file.
func SettingsFile(router string) string { return router + ".json" }

// Write writes manifest and settings into dir and returns where the parts of
// the fleet listen and the accounts.
func (l Layout) Write(dir string) (Fleet, *manifest.Manifest, error) {
	m, err := l.readManifest()
	if err != nil {
		return Fleet{}, nil, err
	}
	f := Fleet{Platform: "http://" + l.listen()}
	kinds := map[manifest.Kind]string{}
	for _, p := range m.Pools {
		kinds[p.Kind] = p.Name
	}
	example := map[string]manifest.Endpoint{}
	for _, e := range m.Endpoints {
		example[e.Pool] = e
	}
	m.Endpoints = nil
	f.Models = l.runners(m, example[kinds[manifest.Model]], "runner", l.Models)
	f.Orders = l.runners(m, example[kinds[manifest.Order]], "orders", l.Orders)
	l.addAccounts(m)
	if faults := m.Check(); len(faults) > 0 {
		return f, nil, errors.Newf("layout: %s", faults[0])
	}
	if err := WriteJSON(filepath.Join(dir, manifestFile), m); err != nil {
		return f, nil, err
	}
	return f, m, l.writeRouters(dir, m, &f)
}

func (l Layout) readManifest() (*manifest.Manifest, error) {
	data, err := os.ReadFile(filepath.Join(l.Example, manifestFile))
	if err != nil {
		return nil, errors.Wrap(err, "layout")
	}
	var m manifest.Manifest
	return &m, errors.Wrap(json.Unmarshal(data, &m), "layout")
}

// runners adds endpoints like the example's to the manifest, in the zones in
// turn.
func (l Layout) runners(m *manifest.Manifest, like manifest.Endpoint, name string, n int) []Runner {
	var out []Runner
	for i := range n {
		e := like
		e.Name = fmt.Sprintf("%s-%d", name, i+1)
		e.Zone = m.Zones[i%len(m.Zones)].Name
		e.URL = "http://" + l.listen()
		m.Endpoints = append(m.Endpoints, e)
		out = append(out, Runner{Name: e.Name, Zone: e.Zone, URL: e.URL, Slots: e.Slots})
	}
	return out
}

func (l Layout) addAccounts(m *manifest.Manifest) {
	for i := len(m.Accounts); i < l.Accounts; i++ {
		name := fmt.Sprintf("small-%d", i+1)
		a := m.Accounts[0]
		a.Name, a.Share, a.KeyDigests = name, 1, []string{manifest.KeyDigest(apiKey(name))}
		m.Accounts = append(m.Accounts, a)
	}
}

func (l Layout) writeRouters(dir string, m *manifest.Manifest, f *Fleet) error {
	for i := range l.Routers {
		s, err := settings.Load(filepath.Join(l.Example, "router-a.json"))
		if err != nil {
			return err
		}
		zone := m.Zones[i%len(m.Zones)]
		s.Name, s.Zone, s.Region = fmt.Sprintf("router-%d", i+1), zone.Name, zone.Region
		s.CallerListen, s.PeerListen, s.OpsListen = l.listen(), l.listen(), l.listen()
		s.PlatformURL = f.Platform
		s.AddressSeconds = lifetimeSecs
		if l.EditSettings != nil {
			l.EditSettings(&s)
		}
		f.OpsToken = s.OpsToken
		f.Routers = append(f.Routers, Router{Name: s.Name, Zone: s.Zone, CallerURL: "http://" + s.CallerListen, OpsURL: "http://" + s.OpsListen})
		if err := WriteJSON(filepath.Join(dir, SettingsFile(s.Name)), s); err != nil {
			return err
		}
	}
	return nil
}

func (l Layout) listen() string {
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(l.NextPort()))
}

// PlanFor returns the plan of a scenario. Rates are set from the slots and
// the time that an answer takes, so that the scenario holds at any size.
func PlanFor(scenario string, seed uint64, seconds int, tokenMillis float64, f Fleet, m *manifest.Manifest) *Plan {
	p := &Plan{Seed: seed, Seconds: seconds, WarmupSecs: seconds / 4, MaxSent: maxSent, Fleet: f}
	for _, pool := range m.Pools {
		if pool.Kind == manifest.Model {
			p.Model = pool.Models[0]
		}
	}
	for _, z := range m.Zones {
		p.Zones = append(p.Zones, z.Name)
	}
	capacity := f.answersPerSecond(tokenMillis)
	shares := 0.0
	for _, a := range m.Accounts {
		shares += a.Share
	}
	for i, a := range m.Accounts {
		account := newAccount(a, i, len(m.Zones))
		account.Rate = capacity * a.Share / shares * demand(scenario, i)
		account.Flood = scenario != Quiet && i == floodIndex
		if account.Flood {
			account.Rate = floodPart * capacity
		}
		if scenario == Quiet && i == floodIndex {
			account.Rate = 0
		}
		p.Accounts = append(p.Accounts, account)
	}
	return p
}

const (
	floodIndex   = 0   // the account that floods
	floodPart    = 1.5 // of the fleet's capacity
	lightDemand  = 0.5 // of an account's share
	heavyDemand  = 2.0
	heavyOf      = 2 // in contention, every second account is backlogged
	minTokens    = 20
	maxTokens    = 60
	patienceMs   = 8000
	orderRate    = 0.5 // a second, of each account
	resendPart   = 0.5
	awayWeight   = 0.1 // of the zones that an account has few callers in
	milliseconds = 1000
	maxSent      = 400_000
)

func demand(scenario string, i int) float64 {
	if scenario == Contention && i%heavyOf == 0 || scenario == Contention && i < 3 {
		return heavyDemand
	}
	return lightDemand
}

// newAccount spreads an account's callers unevenly: most are in one zone.
func newAccount(a manifest.Account, i, zones int) Account {
	account := Account{
		Name: a.Name, APIKey: apiKey(a.Name), Share: a.Share,
		OrderRate: orderRate, ResendPart: resendPart,
		MinTokens: minTokens, MaxTokens: maxTokens, PatienceMillis: patienceMs,
	}
	for z := range zones {
		weight := awayWeight
		if z == i%zones {
			weight = 1
		}
		account.Spread = append(account.Spread, weight)
	}
	return account
}

// answersPerSecond is what the model runners' slots can serve.
func (f Fleet) answersPerSecond(tokenMillis float64) float64 {
	slots := 0
	for _, r := range f.Models {
		slots += r.Slots
	}
	return float64(slots) * milliseconds / (tokenMillis * (minTokens + maxTokens) / 2)
}

func apiKey(account string) string { return "demo-" + account }
