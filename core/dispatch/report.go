package dispatch

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/rollout"
	"github.com/cyclamenwinch/cyclamenwinch/core/route"
)

// maxReportAge is how long the report of a peer counts. The requests of a
// router that is silent for longer have probably ended with it.
const maxReportAge = 2 * time.Second

// EndpointReport is the load that a router has at an endpoint.
type EndpointReport struct {
	Endpoint string
	Load
}

// ColdReport reports an endpoint that the sender, or a router of its row, observed
// to be cold for the remaining time.
type ColdReport struct {
	Endpoint    string
	StartMillis int64
	Remaining   time.Duration
}

// AccountReport is the recent demand and usage of an account at one router.
type AccountReport struct {
	Service, Account string
	Demand, Granted  float64 // cost requested and granted within usageWindow
}

// Report is the state that a router reports to the others, or that a row reports
// to the routers outside it.
type Report struct {
	Endpoints []EndpointReport
	Cold      []ColdReport
	Accounts  []AccountReport

	Incarnation int64 // of the router; sequence numbers of placements start anew with each
	Placements  []Placement
	Crashes     []route.Crash // recent ones
	PartCrashes []route.PartCrash
	SoundParts  []route.SoundPart // which other routers may suspect without reason
	Rollouts    []rollout.Evidence
	Profiles    []ProfileReport // recent ones; none in a small fleet
}

// peerReport is the newest report of a peer: another router of the same row, or
// another row.
type peerReport struct {
	at            time.Time
	report        Report
	lastPlacement uint64 // sequence number of the newest placement applied
	rolloutsAt    time.Time
	lastProfile   uint64 // the same for profiles
}

// Report returns the report for the other routers of the row.
func (d *Dispatcher) Report(now time.Time) Report {
	r := Report{Cold: d.coldEndpoints(now, false), Placements: d.recentPlacements(now, false), Crashes: d.recentCrashes(now, false)}
	r.PartCrashes = d.parts.Crashes(now, partReportDuration, maxReportedParts)
	r.SoundParts = d.recentSoundParts(now, false)
	r.Rollouts = d.rolloutEvidence(now)
	r.Profiles = d.recentProfiles(now, false)
	for id, ep := range d.endpoints {
		if ep.ownLoad.Active > 0 {
			r.Endpoints = append(r.Endpoints, EndpointReport{Endpoint: id, Load: ep.ownLoad})
		}
	}
	slices.SortFunc(r.Endpoints, func(a, b EndpointReport) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	for name, s := range d.services {
		r.Accounts = s.report(now, name, r.Accounts)
	}
	return r
}

func (s *serviceState) report(now time.Time, service string, out []AccountReport) []AccountReport {
	const minCost = 0.5 // smallest cost worth reporting
	for account, u := range s.accounts {
		a := AccountReport{Service: service, Account: account,
			Demand: s.demandFactor * u.demand.value(now, usageWindow), Granted: u.granted.value(now, usageWindow)}
		if a.Demand > minCost || a.Granted > minCost {
			out = append(out, a)
		}
	}
	return out
}

// AccountUsage is what one account asked for and was granted of the model runners
// within usageWindow, in cost, and what its waiting requests lacked.
type AccountUsage struct {
	Demand, Granted           float64 // at this router
	FleetDemand, FleetGranted float64 // at all routers
	Share                     float64 // that the account is entitled to; 0: no limit
	Overloaded                bool    // a service is asked for more than it can do
	Queued                    float64 // cost of the requests that wait at this router
	// Blocked is summed over all attempts to place waiting requests since the last
	// report.
	Blocked   BlockedEndpoints
	Endpoints EndpointsView // of the services that it asks
}

// EndpointsView sums up what this router believes of some endpoints.
type EndpointsView struct {
	Count         int
	LatencyFactor float64 // mean
	Own, Peers    Load
}

func (v *EndpointsView) add(ep *endpointState) {
	v.LatencyFactor = (v.LatencyFactor*float64(v.Count) + ep.latencyFactor) / float64(v.Count+1)
	v.Count++
	v.Own.add(ep.ownLoad)
	v.Peers.add(ep.peerLoad)
}

// ReportAccount returns the recent demand and usage of an account.
func (d *Dispatcher) ReportAccount(now time.Time, account string) AccountUsage {
	var sum AccountUsage
	for name, s := range d.services {
		u, ok := s.accounts[account]
		if d.engine(name) == nil || !ok {
			continue
		}
		demand, granted := u.demand.value(now, usageWindow), u.granted.value(now, usageWindow)
		sum.Demand += demand
		sum.Granted += granted
		sum.FleetDemand += s.fleetDemand(now, u)
		sum.FleetGranted += granted + u.peerGranted
		if !math.IsInf(s.fairShare, 1) {
			sum.Share += s.fairShare
		}
		sum.Overloaded = sum.Overloaded || s.overloaded
		sum.Queued += u.queuedCost
		sum.Blocked.add(u.blocked)
		u.blocked = BlockedEndpoints{}
		for _, ep := range d.sortedEndpoints {
			if ep.Service == name {
				sum.Endpoints.add(ep)
			}
		}
	}
	return sum
}

// RowReport returns the sum of this router's report and those of other routers
// of its row, for the routers of other rows.
func (d *Dispatcher) RowReport(now time.Time, row []string) Report {
	sum := d.Report(now)
	sum.Placements, sum.Crashes, sum.Cold = d.recentPlacements(now, true), d.recentCrashes(now, true), d.coldEndpoints(now, true)
	sum.SoundParts = d.recentSoundParts(now, true)
	sum.Profiles = d.recentProfiles(now, true)
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
		sum.Rollouts = addRolloutEvidence(sum.Rollouts, p.report.Rollouts)
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
				sum.Accounts[i].Granted += a.Granted
				continue
			}
			accounts[key] = len(sum.Accounts)
			sum.Accounts = append(sum.Accounts, a)
		}
	}
	return sum
}

// SetPeerReport applies the newest report of another router of this router's
// row. Its placements and crashes are also reported to other rows.
func (d *Dispatcher) SetPeerReport(now time.Time, peer string, r Report) {
	d.setReport(now, peer, r, true)
}

// SetRowReport applies the newest report of another row, stored under the name
// of the row.
func (d *Dispatcher) SetRowReport(now time.Time, row string, r Report) {
	d.setReport(now, row, r, false)
}

func (d *Dispatcher) setReport(now time.Time, peer string, r Report, forward bool) {
	next := &peerReport{at: now, report: r, rolloutsAt: now}
	if old, ok := d.peers[peer]; ok && old.report.Incarnation == r.Incarnation {
		next.lastPlacement, next.lastProfile = old.lastPlacement, old.lastProfile
		next.keepRollouts(now, old)
	}
	next.lastPlacement = d.mergePlacements(now, r.Placements, next.lastPlacement, forward)
	next.lastProfile = d.mergeProfiles(now, r.Profiles, next.lastProfile, forward)
	d.mergeCrashes(now, r.Crashes, forward)
	d.mergeParts(now, r, forward)
	next.report.Placements = nil // most of a report, and not needed any more
	d.replacePeer(peer, next)
	d.mergeCold(now, r.Cold, forward)
	d.mergeRollouts(now, peer, r.Rollouts)
}

// maxRolloutsAge is how long the evidence of roll-outs counts that a peer has reported: not
// every report carries it.
const maxRolloutsAge = time.Second

// keepRollouts takes over the evidence of an earlier report if this one has none.
func (p *peerReport) keepRollouts(now time.Time, old *peerReport) {
	if len(p.report.Rollouts) == 0 && len(old.report.Rollouts) > 0 && now.Sub(old.rolloutsAt) < maxRolloutsAge {
		p.report.Rollouts, p.rolloutsAt = old.report.Rollouts, old.rolloutsAt
	}
}

// DropStalePeers removes the reports of peers that have been silent for
// maxReportAge.
func (d *Dispatcher) DropStalePeers(now time.Time) {
	for peer, p := range d.peers {
		if now.Sub(p.at) > maxReportAge {
			d.replacePeer(peer, nil)
		}
	}
}

// replacePeer subtracts the old report of a peer from the totals and adds the
// new one, if any.
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

// addReport adds a report to the totals, or subtracts it if sign is -1.
func (d *Dispatcher) addReport(r Report, sign int) {
	for _, e := range r.Endpoints {
		if ep, ok := d.endpoints[e.Endpoint]; ok {
			ep.peerLoad.add(Load{Active: sign * e.Active, Pending: sign * e.Pending, Resident: sign * e.Resident})
		}
	}
	for _, a := range r.Accounts {
		u := d.service(a.Service).account(a.Account)
		u.peerDemand = max(0, u.peerDemand+float64(sign)*a.Demand)
		u.peerGranted = max(0, u.peerGranted+float64(sign)*a.Granted)
	}
}

// peerLoad returns the load that all peers report for an endpoint.
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
