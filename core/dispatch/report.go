package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/route"
)

// maxReportAge is how long a peer's report counts: the requests of a router
// that is silent for longer have probably ended with it.
const maxReportAge = 2 * time.Second

// EndpointReport is a router's load at an endpoint.
type EndpointReport struct {
	Endpoint string
	Load
}

// ColdReport says that an endpoint is cold for some more time.
type ColdReport struct {
	Endpoint    string
	StartMillis int64
	Remaining   time.Duration
}

// AccountReport is what an account asked for and got at one router of late.
type AccountReport struct {
	Service, Account string
	Demand, Served   float64 // cost in shareWindow
}

// Report is what a router tells the others.
type Report struct {
	Endpoints []EndpointReport
	Cold      []ColdReport
	Accounts  []AccountReport

	Incarnation int64 // of the router; placements are numbered within it
	Placements  []Placement
	Crashes     []route.Crash // of the last moments
}

// peerReport is the newest report of another router.
type peerReport struct {
	at            time.Time
	report        Report
	lastPlacement uint64 // number of the newest placement taken over
}

// Report returns what the other routers need to know.
func (d *Dispatcher) Report(now time.Time) Report {
	r := Report{Cold: d.coldEndpoints(now), Placements: d.recentPlacements(now, false), Crashes: d.recentCrashes(now, false)}
	for id, b := range d.endpoints {
		if b.ownLoad.Active > 0 {
			r.Endpoints = append(r.Endpoints, EndpointReport{Endpoint: id, Load: b.ownLoad})
		}
	}
	slices.SortFunc(r.Endpoints, func(a, b EndpointReport) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	for name, s := range d.services {
		r.Accounts = s.report(now, name, r.Accounts)
	}
	return r
}

func (s *serviceState) report(now time.Time, service string, out []AccountReport) []AccountReport {
	const least = 0.5 // cost that is worth a report
	for account, u := range s.accounts {
		a := AccountReport{Service: service, Account: account,
			Demand: u.demand.value(now, usageWindow), Served: u.served.value(now, usageWindow)}
		if a.Demand > least || a.Served > least {
			out = append(out, a)
		}
	}
	return out
}

// RowReport returns the sum of this router's report and of those of other
// routers of its row, for the routers of other rows. All routers of a row know
// of the same cold endpoints, so these are not summed up.
func (d *Dispatcher) RowReport(now time.Time, row []string) Report {
	sum := d.Report(now)
	sum.Placements, sum.Crashes = d.recentPlacements(now, true), d.recentCrashes(now, true)
	endpoints, accounts := map[string]int{}, map[[2]string]int{}
	for i, e := range sum.Endpoints {
		endpoints[e.Endpoint] = i
	}
	for i, a := range sum.Accounts {
		accounts[[2]string{a.Service, a.Account}] = i
	}
	for _, peer := range row {
		p, ok := d.peers[peer]
		if !ok {
			continue
		}
		for _, e := range p.report.Endpoints {
			if i, ok := endpoints[e.Endpoint]; ok {
				sum.Endpoints[i].Load.add(e.Load)
				continue
			}
			endpoints[e.Endpoint] = len(sum.Endpoints)
			sum.Endpoints = append(sum.Endpoints, e)
		}
		for _, a := range p.report.Accounts {
			key := [2]string{a.Service, a.Account}
			if i, ok := accounts[key]; ok {
				sum.Accounts[i].Demand += a.Demand
				sum.Accounts[i].Served += a.Served
				continue
			}
			accounts[key] = len(sum.Accounts)
			sum.Accounts = append(sum.Accounts, a)
		}
	}
	return sum
}

// SetPeerReport takes over the newest report of another router of this router's
// row, whose placements are told to other rows too.
func (d *Dispatcher) SetPeerReport(now time.Time, peer string, r Report) {
	d.setReport(now, peer, r, true)
}

// SetRowReport takes over the newest report of another row, under a name of its own.
func (d *Dispatcher) SetRowReport(now time.Time, row string, r Report) {
	d.setReport(now, row, r, false)
}

func (d *Dispatcher) setReport(now time.Time, peer string, r Report, tell bool) {
	next := &peerReport{at: now, report: r}
	if old, ok := d.peers[peer]; ok && old.report.Incarnation == r.Incarnation {
		next.lastPlacement = old.lastPlacement
	}
	next.lastPlacement = d.mergePlacements(now, r.Placements, next.lastPlacement, tell)
	d.mergeCrashes(now, r.Crashes, tell)
	d.replacePeer(peer, next)
	for _, c := range r.Cold {
		if b, ok := d.endpoints[c.Endpoint]; ok && b.StartMillis == c.StartMillis {
			d.markCold(b, now, c.Remaining)
		}
	}
}

// DropStalePeers drops the reports of routers that have been silent.
func (d *Dispatcher) DropStalePeers(now time.Time) {
	for peer, p := range d.peers {
		if now.Sub(p.at) > maxReportAge {
			d.replacePeer(peer, nil)
		}
	}
}

// replacePeer takes a peer's old report out of the sums and adds the new one.
func (d *Dispatcher) replacePeer(peer string, next *peerReport) {
	if old, ok := d.peers[peer]; ok {
		d.addReport(old.report, -1)
		delete(d.peers, peer)
	}
	if next != nil {
		d.peers[peer] = next
		d.addReport(next.report, 1)
	}
}

func (d *Dispatcher) addReport(r Report, sign int) {
	for _, e := range r.Endpoints {
		if b, ok := d.endpoints[e.Endpoint]; ok {
			b.peerLoad.add(Load{Active: sign * e.Active, Pending: sign * e.Pending, Resident: sign * e.Resident})
		}
	}
	for _, a := range r.Accounts {
		u := d.service(a.Service).account(a.Account)
		u.peerDemand = max(0, u.peerDemand+float64(sign)*a.Demand)
		u.peerServed = max(0, u.peerServed+float64(sign)*a.Served)
	}
}

// peerLoad sums up what the peers report of an endpoint.
func (d *Dispatcher) peerLoad(id string) Load {
	var l Load
	for _, p := range d.peers {
		for _, e := range p.report.Endpoints {
			if e.Endpoint == id {
				l.add(e.Load)
			}
		}
	}
	return l
}
