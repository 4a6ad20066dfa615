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

// Layout describes a fleet on the loopback interface, derived from an
// example's manifest and settings.
type Layout struct {
	Example  string // directory with manifest.json and router-a.json
	Routers  int
	Models   int
	Orders   int
	Accounts int        // the example's accounts first, then small ones
	NextPort func() int // returns a free port
	// EditSettings, if set, edits the settings of each router before they are
	// written.
	EditSettings func(*settings.Settings)
}

// Load scenarios of plans.
const (
	Contention = "contention" // large and small accounts are backlogged, one floods
	Flood      = "flood"      // one account floods, the others stay below their shares
	Quiet      = "quiet"      // as Flood, without the flooding account
)

const (
	manifestFile        = "manifest.json"
	addressLifetimeSecs = 2 // lifetime of address lists that routers return
)

// SettingsFile returns the name of a router's settings file.
func SettingsFile(router string) string { return router + ".json" }

// Write writes the manifest and the routers' settings into dir. It returns
// the fleet's addresses and the manifest.
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
		return f, nil, errors.Newf("invalid manifest of the layout: %s", faults[0])
	}
	if err := WriteJSON(filepath.Join(dir, manifestFile), m); err != nil {
		return f, nil, err
	}
	return f, m, l.writeRouters(dir, m, &f)
}

func (l Layout) readManifest() (*manifest.Manifest, error) {
	data, err := os.ReadFile(filepath.Join(l.Example, manifestFile))
	if err != nil {
		return nil, errors.Wrap(err, "read example manifest")
	}
	var m manifest.Manifest
	return &m, errors.Wrap(json.Unmarshal(data, &m), "read example manifest")
}

// runners adds n copies of the example's endpoint to the manifest and assigns
// them to the zones round-robin.
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
		s.AddressSeconds = addressLifetimeSecs
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

// PlanFor returns the plan of a scenario. Request rates scale with the fleet's
// slots and the duration of a response, so that each scenario puts the same
// relative load on a fleet of any size.
func PlanFor(scenario string, seed uint64, seconds int, tokenMillis float64, f Fleet, m *manifest.Manifest) *Plan {
	p := &Plan{Seed: seed, Seconds: seconds, WarmupSecs: seconds / 4, MaxRequests: maxRequests, Fleet: f}
	for _, pool := range m.Pools {
		if pool.Kind == manifest.Model {
			p.Model = pool.Models[0]
		}
	}
	for _, z := range m.Zones {
		p.Zones = append(p.Zones, z.Name)
	}
	capacity := f.requestsPerSecond(tokenMillis)
	shares := 0.0
	for _, a := range m.Accounts {
		shares += a.Share
	}
	for i, a := range m.Accounts {
		account := newAccount(a, i, len(m.Zones))
		account.Rate = capacity * a.Share / shares * demand(scenario, i)
		account.Flood = scenario != Quiet && i == floodIndex
		if account.Flood {
			account.Rate = floodCapacityFactor * capacity
		}
		if scenario == Quiet && i == floodIndex {
			account.Rate = 0
		}
		p.Accounts = append(p.Accounts, account)
	}
	return p
}

const (
	floodIndex          = 0   // index of the account that floods
	floodCapacityFactor = 1.5 // rate of the flooding account, relative to the fleet's capacity
	lightDemand         = 0.5 // rate relative to an account's share of the capacity
	heavyDemand         = 2.0
	heavyInterval       = 2 // in Contention, every second account is backlogged, and the first three
	minTokens           = 20
	maxTokens           = 60
	patienceMs          = 8000
	orderRate           = 0.5 // orders per second of each account
	resendFraction      = 0.5
	remoteZoneWeight    = 0.1 // weight of zones other than the account's main zone, whose weight is 1
	millisPerSecond     = 1000
	maxRequests         = 400_000
)

func demand(scenario string, i int) float64 {
	if scenario == Contention && i%heavyInterval == 0 || scenario == Contention && i < 3 {
		return heavyDemand
	}
	return lightDemand
}

// newAccount places most of an account's callers in one zone, so that load is
// uneven between zones.
func newAccount(a manifest.Account, i, zones int) Account {
	account := Account{
		Name: a.Name, APIKey: apiKey(a.Name), Share: a.Share,
		OrderRate: orderRate, ResendFraction: resendFraction,
		MinTokens: minTokens, MaxTokens: maxTokens, PatienceMillis: patienceMs,
	}
	for z := range zones {
		weight := remoteZoneWeight
		if z == i%zones {
			weight = 1
		}
		account.ZoneWeights = append(account.ZoneWeights, weight)
	}
	return account
}

// requestsPerSecond returns the rate of model requests that the slots of all
// model runners can serve.
func (f Fleet) requestsPerSecond(tokenMillis float64) float64 {
	slots := 0
	for _, r := range f.Models {
		slots += r.Slots
	}
	return float64(slots) * millisPerSecond / (tokenMillis * (minTokens + maxTokens) / 2)
}

func apiKey(account string) string { return "demo-" + account }
