package capacity

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// The target, from the users' letter.
const (
	nodes          = 450
	regions        = 9
	models         = 19
	requestsPerSec = 40_000
	changesPerDay  = 15_000
	restartsPerDay = 4_600
	failuresPerDay = 140
	daySeconds     = 86_400
	coreLimit      = 0.05
	memoryLimitMB  = 64
	bytesLimit     = 7_000
)

// The periods of the design, in seconds; see internal/fleet.
const (
	leaseWritesPerSec = 50 // of a large fleet, by the tracker's renewal
	heartbeatPeriod   = 0.5
	roundRecords      = 48
	watcherPoll       = 10
	otherPoll         = 60
	watchLongest      = 60
	instanceRounds    = 10
	watchersPerRegion = 2
	judges            = 13 // successors, predecessors and fingers of one router
	meshLimit         = 17 // routers that still form a full mesh
)

// figures works out the page's tables.
type figures struct {
	samples []Sample
	bench   map[string]float64
}

func (f figures) tables() map[string]string {
	return map[string]string{
		"routers":  f.routers(),
		"sizes":    f.sizes(),
		"requests": f.requests(),
		"bench":    f.benchmarks(),
		"sums":     f.sums(),
		"platform": f.platform(),
	}
}

// find returns the sample of a label and size; 0 stands for any.
func (f figures) find(label string, routers, accounts, endpoints int) Sample {
	for _, s := range f.samples {
		if s.Label == label && (routers == 0 || s.Routers == routers) && (accounts == 0 || s.Accounts == accounts) && (endpoints == 0 || s.Endpoints == endpoints) {
			return s
		}
	}
	return Sample{}
}

func (f figures) labelled(label string) []Sample {
	return slices.DeleteFunc(slices.Clone(f.samples), func(s Sample) bool { return s.Label != label })
}

func (f figures) routers() string {
	t := newTable("routers", "heartbeats sent/s", "peers, B/s sent", "platform, B/s received", "control, B/s", "core", "resident MB", "platform reads/s, whole fleet", "writes/s, whole fleet", "4 changes in force after, s")
	for _, s := range f.labelled("idle") {
		changes := f.find("changes", s.Routers, 0, 0)
		t.row(num("%.0f", float64(s.Routers)), num("%.1f", s.Rates[heartbeatsSent]), num("%.0f", s.Rates[peerSent]), num("%.0f", s.Rates[platformReceived]),
			num("%.0f", s.Control()), num("%.2f%%", 100*s.Core), num("%.0f", s.MemoryMB), num("%.1f", s.Reads), num("%.1f", s.Writes), seconds(changes.InForce))
	}
	return t.b.String()
}

func (f figures) sizes() string {
	t := newTable("client accounts", "endpoints", "core, idle", "resident MB", "heap MB", "B a change, mean router", "B a change, highest", "core-ms a change", "in force after, s")
	for _, s := range f.labelled("sized") {
		c := f.perChange(s.Accounts, s.Endpoints)
		if len(c.inForce) == 0 {
			t.row(num("%.0f", float64(s.Accounts)), num("%.0f", float64(s.Endpoints)), num("%.2f%%", 100*s.Core), num("%.0f", s.MemoryMB), num("%.0f", s.HeapMB), "not run", "not run", "not run", "not run")
			continue
		}
		t.row(num("%.0f", float64(s.Accounts)), num("%.0f", float64(s.Endpoints)), num("%.2f%%", 100*s.Core), num("%.0f", s.MemoryMB), num("%.0f", s.HeapMB),
			num("%.0f", c.bytes), num("%.0f", c.highest), num("%.0f", 1000*c.core), seconds(c.inForce))
	}
	return t.b.String()
}

// change is what one change of the manifest costs a router.
type change struct {
	bytes, highest, core float64 // bytes received, seconds of a core
	inForce              []float64
}

func (f figures) perChange(accounts, endpoints int) change {
	idle, busy := f.find("sized", 0, accounts, endpoints), f.find("sized-changes", 0, accounts, endpoints)
	each := busy.Seconds / math.Max(1, float64(busy.Changes))
	in := func(rates map[string]float64) float64 { return rates[peerReceived] + rates[platformReceived] }
	return change{
		bytes:   (in(busy.Rates) - in(idle.Rates)) * each,
		highest: (in(busy.Highest) - in(idle.Highest)) * each,
		core:    (busy.Core - idle.Core) * each,
		inForce: busy.InForce,
	}
}

// request is what one request or order costs the whole fleet.
type request struct{ bytes, messages, core, writes, reads float64 }

// between two windows of different rates.
func (f figures) per(low, high string, count func(Sample) int) request {
	a, b := f.find(low, 0, 0, 0), f.find(high, 0, 0, 0)
	more := float64(count(b))/b.Seconds - float64(count(a))/a.Seconds
	n := float64(b.Routers)
	return request{
		bytes:    n * (b.Rates[peerSent] - a.Rates[peerSent]) / more,
		messages: n * (b.Rates[admissionSent] - a.Rates[admissionSent]) / more,
		core:     n * (b.Core - a.Core) / more,
		writes:   (b.Writes - a.Writes) / more,
		reads:    (b.Reads - a.Reads) / more,
	}
}

func (f figures) perRequest() request {
	return f.per("requests-35", "requests-105", func(s Sample) int { return s.Requests })
}

func (f figures) perOrder() request {
	return f.per("orders-7", "orders-21", func(s Sample) int { return s.Orders })
}

func (f figures) requests() string {
	t := newTable("of the whole fleet, for each", "B sent between routers", "admission messages", "core-ms", "platform writes", "platform reads")
	for _, r := range []struct {
		name string
		request
	}{{"model request", f.perRequest()}, {"order", f.perOrder()}} {
		t.row(r.name, num("%.0f", r.bytes), num("%.2f", r.messages), num("%.2f", 1000*r.core), num("%.2f", r.writes), num("%.2f", r.reads))
	}
	return t.b.String()
}

func (f figures) benchmarks() string {
	t := newTable("benchmark", "time")
	names := make([]string, 0, len(f.bench))
	for name := range f.bench {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		t.row(name, num("%.3g µs", f.bench[name]/1000))
	}
	return t.b.String()
}

// ring is the highest of the fleets that are no full mesh.
func (f figures) ring(value func(Sample) float64) float64 {
	highest := 0.0
	for _, s := range f.labelled("idle") {
		if s.Routers > meshLimit {
			highest = max(highest, value(s))
		}
	}
	return highest
}

func (f figures) sums() string {
	t := newTable("role", "worked out as", "B/s a node", "core of a node")
	total, core := 0.0, 0.0
	add := func(role, how string, bytes, part float64) {
		t.row(role, how, num("%.0f", bytes), num("%.2f%%", 100*part))
		total, core = total+bytes, core+part
	}
	beats := f.ring(func(s Sample) float64 { return s.Rates[peerSent] })
	walks := 4 * f.ring(func(s Sample) float64 { return s.Rates[heartbeatsSent] }) * f.bench["Tracker/digest/450"] / 1e9
	add("membership", "highest of the rings measured; the digest of 450 four times a message", beats, f.ring(func(s Sample) float64 { return s.Core })+walks)
	renewals := float64(leaseWritesPerSec) / nodes
	platformBytes := f.ring(func(s Sample) float64 {
		return (s.Rates[platformSent] + s.Rates[platformReceived]) / max(s.Writes/float64(s.Routers), 1e-9)
	})
	add("lease", "bytes a renewal, a renewal each 9 s", renewals*platformBytes, 0)
	c := f.perChange(largest(f.labelled("sized-changes")))
	perSec := float64(changesPerDay) / daySeconds
	add("configuration", fmt.Sprintf("%.2f changes/s at the largest manifest whose changes were measured", perSec), perSec*c.bytes, perSec*c.core)
	u := f.find("requests-105", 0, 0, 0)
	record := u.Rates[usageBytes] / max(u.Rates[usageRecords], 1e-9)
	add("usage exchange", fmt.Sprintf("bound of %d records a round, %.0f B each", roundRecords, record), roundRecords/heartbeatPeriod*record, 0)
	t.row("**without requests**", fmt.Sprintf("limits %d B/s and %.0f%%", bytesLimit, 100*coreLimit), num("**%.0f**", total), num("**%.2f%%**", 100*core))
	r := f.perRequest()
	each := float64(requestsPerSec) / nodes
	t.row("admission, mean node", fmt.Sprintf("%.0f requests/s, wants, grants and releases", each), num("%.0f", each*r.bytes), "not separated")
	total += each * r.bytes
	owner := float64(requestsPerSec) / (models * regions)
	t.row("admission, owner of one scope", fmt.Sprintf("%.0f requests/s of one model in one region, if spread evenly", owner), num("%.0f", owner*r.bytes/2), "not separated")
	t.row("**with requests**", "", num("**%.0f**", total), "not separated")
	return t.b.String()
}

// largest returns the size of the largest manifest measured.
func largest(samples []Sample) (accounts, endpoints int) {
	for _, s := range samples {
		if s.Accounts+s.Endpoints > accounts+endpoints {
			accounts, endpoints = s.Accounts, s.Endpoints
		}
	}
	return accounts, endpoints
}

func (f figures) platform() string {
	t := newTable("what", "worked out as", "reads/s", "writes/s")
	perSec := float64(changesPerDay) / daySeconds
	watchers := float64(watchersPerRegion * regions)
	renewal := float64(nodes) / leaseWritesPerSec
	accounts, endpoints := largest(f.labelled("sized-changes"))
	refs := math.Exp2(math.Ceil(math.Log2(float64(accounts)/64))) + math.Exp2(math.Ceil(math.Log2(float64(endpoints)/64)))
	reads, writes := 0.0, 0.0
	add := func(what, how string, r, w float64) {
		t.row(what, how, num("%.1f", r), num("%.1f", w))
		reads, writes = reads+r, writes+w
	}
	add("leases", "a renewal each 9 s, no lists", 0, leaseWritesPerSec)
	add("instance list", "each tenth renewal", nodes/(renewal*instanceRounds), 0)
	add("watches and polls", "18 watchers: list and watch a minute, poll each 10 s; others a minute", watchers*2/watchLongest+watchers/watcherPoll+(nodes-watchers)/otherPoll, 0)
	add("changes, read by watchers", "the part that changed", perSec*watchers, 0)
	add("changes, submitted", fmt.Sprintf("root and %.0f parts read, 2 writes, 1 removal", refs), perSec*(refs+2), perSec*3)
	add("restarts and failures", "lists at a start, a few leases at a failure", float64(restartsPerDay*3+failuresPerDay*judges)/daySeconds, float64(restartsPerDay*2+failuresPerDay)/daySeconds)
	t.row("**steady, without orders**", "against 2,000 and several hundred", num("**%.0f**", reads), num("**%.0f**", writes))
	o := f.perOrder()
	t.row("one order a second", "measured", num("%.2f", o.reads), num("%.2f", o.writes))
	zone := math.Ceil(float64(nodes) / 22)
	t.row("worst: a zone lost", fmt.Sprintf("%.0f routers, %d judges each read their leases twice over a renewal", zone, judges), num("%.0f", reads+zone*judges*2/renewal), num("%.0f", writes+zone/renewal))
	region := float64(nodes) / regions
	t.row("worst: a region cut off and back", fmt.Sprintf("%.0f routers, as above; all lists again within a lifetime", region), num("%.0f", reads+region*judges*2/renewal), num("%.0f", writes+region/renewal))
	t.row("worst: all restart within 10 s", fmt.Sprintf("each: 2 lists, 1 lease, 1 root; watchers: %.0f parts", refs), num("%.0f", (nodes*3+watchers*refs)/10), num("%.0f", float64(nodes)/10))
	return t.b.String()
}

func seconds(values []float64) string {
	var texts []string
	for _, v := range values {
		texts = append(texts, num("%.1f", v))
	}
	return strings.Join(texts, " ")
}
