package capacity

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// The target size of a fleet, the rate of events in it and the limits of the control
// overhead per node, as the users require them.
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

// Limits and intervals of the control protocols in a large fleet with default
// settings; see internal/fleet and core/member. Intervals are in seconds.
const (
	maxLeaseWritesPerSecond = 50 // by all routers together, so 450 nodes renew every 9 s
	heartbeatInterval       = 0.5
	recordsPerRound         = 48
	watcherPollInterval     = 10
	nonWatcherPollInterval  = 60
	maxWatchDuration        = 60
	renewalsPerInstanceRead = 10
	watchersPerRegion       = 2
	monitors                = 13 // routers that monitor one router: successors, predecessors and fingers
	maxFullMeshRouters      = 17 // size of the largest fleet that forms a full mesh
)

// figures computes the tables of the page from the samples and benchmark results.
type figures struct {
	samples []Sample
	bench   map[string]float64
}

// tables returns the tables by the name in their markers.
func (f figures) tables() map[string]string {
	return map[string]string{
		"routers":  f.routers(),
		"sizes":    f.sizes(),
		"requests": f.requests(),
		"bench":    f.benchmarks(),
		"sums":     f.nodeEstimates(),
		"platform": f.platformEstimates(),
	}
}

// find returns the first sample with the label and size, or an empty one. A size of
// 0 matches any.
func (f figures) find(label string, routers, accounts, endpoints int) Sample {
	for _, s := range f.samples {
		if s.Label == label && (routers == 0 || s.Routers == routers) && (accounts == 0 || s.Accounts == accounts) && (endpoints == 0 || s.Endpoints == endpoints) {
			return s
		}
	}
	return Sample{}
}

func (f figures) withLabel(label string) []Sample {
	return slices.DeleteFunc(slices.Clone(f.samples), func(s Sample) bool { return s.Label != label })
}

func (f figures) routers() string {
	t := newTable("routers", "heartbeats sent/s", "peers, B/s sent", "platform, B/s received", "control, B/s", "core", "resident MB", "platform reads/s, whole fleet", "writes/s, whole fleet", "4 changes in force after, s")
	for _, s := range f.withLabel("idle") {
		changes := f.find("changes", s.Routers, 0, 0)
		t.row(num("%.0f", float64(s.Routers)), num("%.1f", s.Rates[heartbeatsSent]), num("%.0f", s.Rates[peerSent]), num("%.0f", s.Rates[platformReceived]),
			num("%.0f", s.ControlBytesPerSecond()), num("%.2f%%", 100*s.Cores), num("%.0f", s.MemoryMB), num("%.1f", s.PlatformReads), num("%.1f", s.PlatformWrites), formatSeconds(changes.PropagationSeconds))
	}
	return t.b.String()
}

func (f figures) sizes() string {
	t := newTable("client accounts", "endpoints", "core, idle", "resident MB", "heap MB", "B a change, mean router", "B a change, highest", "core-ms a change", "in force after, s")
	for _, s := range f.withLabel("sized") {
		c := f.perChange(s.Accounts, s.Endpoints)
		if len(c.propagationSeconds) == 0 {
			t.row(num("%.0f", float64(s.Accounts)), num("%.0f", float64(s.Endpoints)), num("%.2f%%", 100*s.Cores), num("%.0f", s.MemoryMB), num("%.0f", s.HeapMB), "not run", "not run", "not run", "not run")
			continue
		}
		t.row(num("%.0f", float64(s.Accounts)), num("%.0f", float64(s.Endpoints)), num("%.2f%%", 100*s.Cores), num("%.0f", s.MemoryMB), num("%.0f", s.HeapMB),
			num("%.0f", c.bytes), num("%.0f", c.highest), num("%.0f", 1000*c.core), formatSeconds(c.propagationSeconds))
	}
	return t.b.String()
}

// changeCost is the cost of one change of the manifest to a router.
type changeCost struct {
	bytes, highest, core float64 // bytes received (mean router, highest router); seconds of processor time (mean router)
	propagationSeconds   []float64
}

// perChange compares the windows with and without changes at the given size.
func (f figures) perChange(accounts, endpoints int) changeCost {
	idle, busy := f.find("sized", 0, accounts, endpoints), f.find("sized-changes", 0, accounts, endpoints)
	secondsPerChange := busy.Seconds / math.Max(1, float64(busy.Changes))
	received := func(rates map[string]float64) float64 { return rates[peerReceived] + rates[platformReceived] }
	return changeCost{
		bytes:              (received(busy.Rates) - received(idle.Rates)) * secondsPerChange,
		highest:            (received(busy.MaxRates) - received(idle.MaxRates)) * secondsPerChange,
		core:               (busy.Cores - idle.Cores) * secondsPerChange,
		propagationSeconds: busy.PropagationSeconds,
	}
}

// requestCost is the cost of one request or order to the whole fleet: bytes and
// messages sent between routers, seconds of processor time and platform calls.
type requestCost struct{ bytes, messages, core, writes, reads float64 }

// costBetween returns the cost of one more request or order, from the difference
// between two windows with a low and a high rate, so that the idle cost cancels out.
func (f figures) costBetween(low, high string, count func(Sample) int) requestCost {
	a, b := f.find(low, 0, 0, 0), f.find(high, 0, 0, 0)
	rateIncrease := float64(count(b))/b.Seconds - float64(count(a))/a.Seconds
	n := float64(b.Routers)
	return requestCost{
		bytes:    n * (b.Rates[peerSent] - a.Rates[peerSent]) / rateIncrease,
		messages: n * (b.Rates[admissionSent] - a.Rates[admissionSent]) / rateIncrease,
		core:     n * (b.Cores - a.Cores) / rateIncrease,
		writes:   (b.PlatformWrites - a.PlatformWrites) / rateIncrease,
		reads:    (b.PlatformReads - a.PlatformReads) / rateIncrease,
	}
}

func (f figures) perRequest() requestCost {
	return f.costBetween("requests-35", "requests-105", func(s Sample) int { return s.Requests })
}

func (f figures) perOrder() requestCost {
	return f.costBetween("orders-7", "orders-21", func(s Sample) int { return s.Orders })
}

func (f figures) requests() string {
	t := newTable("of the whole fleet, for each", "B sent between routers", "admission messages", "core-ms", "platform writes", "platform reads")
	for _, r := range []struct {
		name string
		requestCost
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

// maxOverRings returns the maximum of a value over the idle fleets that are too large
// for a full mesh and exchange heartbeats along rings.
func (f figures) maxOverRings(value func(Sample) float64) float64 {
	highest := 0.0
	for _, s := range f.withLabel("idle") {
		if s.Routers > maxFullMeshRouters {
			highest = max(highest, value(s))
		}
	}
	return highest
}

// nodeEstimates returns the estimated control overhead of a node of the target fleet.
func (f figures) nodeEstimates() string {
	t := newTable("role", "worked out as", "B/s a node", "core of a node")
	total, core := 0.0, 0.0
	add := func(role, how string, bytes, cores float64) {
		t.row(role, how, num("%.0f", bytes), num("%.2f%%", 100*cores))
		total, core = total+bytes, core+cores
	}
	heartbeatBytes := f.maxOverRings(func(s Sample) float64 { return s.Rates[peerSent] })
	digestCores := 4 * f.maxOverRings(func(s Sample) float64 { return s.Rates[heartbeatsSent] }) * f.bench["Tracker/digest/450"] / 1e9
	add("membership", "highest of the rings measured; the digest of 450 four times a message", heartbeatBytes, f.maxOverRings(func(s Sample) float64 { return s.Cores })+digestCores)
	renewalsPerSec := float64(maxLeaseWritesPerSecond) / nodes
	bytesPerRenewal := f.maxOverRings(func(s Sample) float64 {
		return (s.Rates[platformSent] + s.Rates[platformReceived]) / max(s.PlatformWrites/float64(s.Routers), 1e-9)
	})
	add("lease", "bytes a renewal, a renewal each 9 s", renewalsPerSec*bytesPerRenewal, 0)
	c := f.perChange(largestManifest(f.withLabel("sized-changes")))
	perSec := float64(changesPerDay) / daySeconds
	add("configuration", fmt.Sprintf("%.2f changes/s at the largest manifest whose changes were measured", perSec), perSec*c.bytes, perSec*c.core)
	u := f.find("requests-105", 0, 0, 0)
	recordBytes := u.Rates[usageBytes] / max(u.Rates[usageRecords], 1e-9)
	add("usage exchange", fmt.Sprintf("bound of %d records a round, %.0f B each", recordsPerRound, recordBytes), recordsPerRound/heartbeatInterval*recordBytes, 0)
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

// largestManifest returns the size of the largest manifest among the samples.
func largestManifest(samples []Sample) (accounts, endpoints int) {
	for _, s := range samples {
		if s.Accounts+s.Endpoints > accounts+endpoints {
			accounts, endpoints = s.Accounts, s.Endpoints
		}
	}
	return accounts, endpoints
}

// platformEstimates returns the estimated platform calls of the target fleet, in
// steady operation and in the worst cases.
func (f figures) platformEstimates() string {
	t := newTable("what", "worked out as", "reads/s", "writes/s")
	perSec := float64(changesPerDay) / daySeconds
	watchers := float64(watchersPerRegion * regions)
	renewalInterval := float64(nodes) / maxLeaseWritesPerSecond
	accounts, endpoints := largestManifest(f.withLabel("sized-changes"))
	refs := math.Exp2(math.Ceil(math.Log2(float64(accounts)/64))) + math.Exp2(math.Ceil(math.Log2(float64(endpoints)/64)))
	reads, writes := 0.0, 0.0
	add := func(what, how string, r, w float64) {
		t.row(what, how, num("%.1f", r), num("%.1f", w))
		reads, writes = reads+r, writes+w
	}
	add("leases", "a renewal each 9 s, no lists", 0, maxLeaseWritesPerSecond)
	add("instance list", "each tenth renewal", nodes/(renewalInterval*renewalsPerInstanceRead), 0)
	add("watches and polls", "18 watchers: list and watch a minute, poll each 10 s; others a minute", watchers*2/maxWatchDuration+watchers/watcherPollInterval+(nodes-watchers)/nonWatcherPollInterval, 0)
	add("changes, read by watchers", "the part that changed", perSec*watchers, 0)
	add("changes, submitted", fmt.Sprintf("root and %.0f parts read, 2 writes, 1 removal", refs), perSec*(refs+2), perSec*3)
	add("restarts and failures", "lists at a start, a few leases at a failure", float64(restartsPerDay*3+failuresPerDay*monitors)/daySeconds, float64(restartsPerDay*2+failuresPerDay)/daySeconds)
	t.row("**steady, without orders**", "against 2,000 and several hundred", num("**%.0f**", reads), num("**%.0f**", writes))
	o := f.perOrder()
	t.row("one order a second", "measured", num("%.2f", o.reads), num("%.2f", o.writes))
	zone := math.Ceil(float64(nodes) / 22)
	t.row("worst: a zone lost", fmt.Sprintf("%.0f routers, %d judges each read their leases twice over a renewal", zone, monitors), num("%.0f", reads+zone*monitors*2/renewalInterval), num("%.0f", writes+zone/renewalInterval))
	region := float64(nodes) / regions
	t.row("worst: a region cut off and back", fmt.Sprintf("%.0f routers, as above; all lists again within a lifetime", region), num("%.0f", reads+region*monitors*2/renewalInterval), num("%.0f", writes+region/renewalInterval))
	t.row("worst: all restart within 10 s", fmt.Sprintf("each: 2 lists, 1 lease, 1 root; watchers: %.0f parts", refs), num("%.0f", (nodes*3+watchers*refs)/10), num("%.0f", float64(nodes)/10))
	return t.b.String()
}

func formatSeconds(values []float64) string {
	var texts []string
	for _, v := range values {
		texts = append(texts, num("%.1f", v))
	}
	return strings.Join(texts, " ")
}
