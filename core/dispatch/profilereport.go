package dispatch

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

const (
	// maxOwnProfiles and maxRowProfiles are the most profiles that a router adds to
	// its reports at a time, about 15 bytes each: those of its own and, in reports to
	// other rows, those of other routers of its row. The others wait and gather
	// observations. Eight rows that report ten endpoints ten times a second tell of
	// each of a hundred endpoints several times a second.
	maxOwnProfiles = 6
	maxRowProfiles = 10
	// maxProfileCount limits the observations in one report, since a peer may send
	// anything.
	maxProfileCount = 200
	// minLoggedChange is the change of an endpoint's factor that is worth a log line.
	minLoggedChange = 1.25
	// incarnationTagBits is the size of the tag that keeps a report of an earlier
	// incarnation out. Such reports are at most a second old, so that few bits do.
	incarnationTagBits = 7
)

// ProfileReport holds the means of what the sender, or a router of its row, observed of
// one incarnation of an endpoint since its last report.
type ProfileReport struct {
	Sequence     uint64 // increases with each report that a router announces
	Endpoint     string
	Incarnation  uint32  // tag of the endpoint's start
	FirstEvents  int     // observations of the time to the first event
	ReadTokens   float64 // prompt tokens to read before it
	FirstEventMs float64 // from the decision to the first event
	TokenSamples int     // observations of generation
	TokenMs      float64 // per token
	Active       float64 // requests in progress there
}

// announcedProfile is a report that is repeated in several heartbeats.
type announcedProfile struct {
	ProfileReport
	at       time.Time
	fromPeer bool // reported by another router of the same row
}

// incarnationTag returns a short tag of the start of an endpoint.
func incarnationTag(e *topology.Endpoint) uint32 {
	var buf [8]byte
	for i := range buf {
		buf[i] = byte(uint64(e.StartMillis) >> (8 * i))
	}
	return uint32(xxhash.Sum64(buf[:])) & (1<<incarnationTagBits - 1)
}

// merge adds the observations of another report of the same endpoint.
func (p *ProfileReport) merge(o ProfileReport) {
	if n := p.FirstEvents + o.FirstEvents; o.FirstEvents > 0 {
		part := float64(o.FirstEvents) / float64(n)
		p.ReadTokens += part * (o.ReadTokens - p.ReadTokens)
		p.FirstEventMs += part * (o.FirstEventMs - p.FirstEventMs)
		p.FirstEvents = n
	}
	if n := p.TokenSamples + o.TokenSamples; o.TokenSamples > 0 {
		part := float64(o.TokenSamples) / float64(n)
		p.TokenMs += part * (o.TokenMs - p.TokenMs)
		p.Active += part * (o.Active - p.Active)
		p.TokenSamples = n
	}
}

// valid reports whether the figures of a peer can be learned from.
func (p *ProfileReport) valid() bool {
	for _, x := range []float64{p.ReadTokens, p.FirstEventMs, p.TokenMs, p.Active} {
		if math.IsNaN(x) || x < 0 || x > math.MaxUint32 {
			return false
		}
	}
	return p.FirstEvents >= 0 && p.TokenSamples >= 0 && p.FirstEvents+p.TokenSamples > 0 &&
		p.FirstEvents <= maxProfileCount && p.TokenSamples <= maxProfileCount &&
		(p.FirstEvents == 0 || p.FirstEventMs > 0) && (p.TokenSamples == 0 || p.TokenMs > 0)
}

// gatherProfile adds observations to those that are reported next.
func gatherProfile(to map[string]*ProfileReport, ep *endpointState, o ProfileReport) {
	o.Endpoint, o.Incarnation = ep.ID, incarnationTag(&ep.Endpoint)
	p, ok := to[ep.ID]
	if !ok || p.Incarnation != o.Incarnation {
		to[ep.ID] = &o
		return
	}
	if p.FirstEvents < maxProfileCount && p.TokenSamples < maxProfileCount {
		p.merge(o)
	}
}

// announceProfile queues a report for the next heartbeats.
func (d *Dispatcher) announceProfile(now time.Time, p ProfileReport, fromPeer bool) {
	d.lastProfile++
	p.Sequence = d.lastProfile
	d.profileReports = append(d.profileReports, announcedProfile{ProfileReport: p, at: now, fromPeer: fromPeer})
}

// announceProfiles announces what this router and its row have observed since it last
// did, once for each heartbeat.
func (d *Dispatcher) announceProfiles(now time.Time) {
	if len(d.ownProfiles)+len(d.rowProfiles) == 0 || now.Sub(d.profilesAnnouncedAt) < d.announceDuration/2 {
		return
	}
	d.profilesAnnouncedAt = now
	d.announceGathered(now, d.ownProfiles, maxOwnProfiles, false)
	d.announceGathered(now, d.rowProfiles, maxRowProfiles, true)
}

// announceGathered announces the profiles with the most observations.
func (d *Dispatcher) announceGathered(now time.Time, gathered map[string]*ProfileReport, limit int, fromPeer bool) {
	due := make([]*ProfileReport, 0, len(gathered))
	for _, p := range gathered {
		due = append(due, p)
	}
	slices.SortFunc(due, func(a, b *ProfileReport) int {
		if n := b.FirstEvents + b.TokenSamples - a.FirstEvents - a.TokenSamples; n != 0 {
			return n
		}
		return strings.Compare(a.Endpoint, b.Endpoint)
	})
	for _, p := range due[:min(len(due), limit)] {
		d.announceProfile(now, *p, fromPeer)
		delete(gathered, p.Endpoint)
	}
}

// recentProfiles returns the reports that other routers may not know yet: those of this
// router or, for a report to other rows, also those of other routers of its row. What
// other rows reported is never among them, or observations would count twice.
func (d *Dispatcher) recentProfiles(now time.Time, forOtherRows bool) []ProfileReport {
	d.announceProfiles(now)
	d.profileReports = slices.DeleteFunc(d.profileReports, func(p announcedProfile) bool { return now.Sub(p.at) > d.announceDuration })
	var out []ProfileReport
	for _, p := range d.profileReports {
		if forOtherRows || !p.fromPeer {
			out = append(out, p.ProfileReport)
		}
	}
	return out
}

// mergeProfiles learns from the reports of a peer with a sequence number above last and
// returns the highest one. If forward is set, they are also reported to other rows.
func (d *Dispatcher) mergeProfiles(now time.Time, reports []ProfileReport, last uint64, forward bool) uint64 {
	for _, p := range reports {
		if p.Sequence <= last {
			continue
		}
		last = p.Sequence
		ep, ok := d.endpoints[p.Endpoint]
		if !ok || !p.valid() || p.Incarnation != incarnationTag(&ep.Endpoint) {
			d.profileTally.Ignored++
			continue
		}
		if !d.applyProfile(now, ep, p) {
			continue
		}
		d.profileTally.Peers += p.FirstEvents + p.TokenSamples
		if forward {
			gatherProfile(d.rowProfiles, ep, p)
		}
	}
	return last
}

// ProfileTally counts observations that this router learned from.
type ProfileTally struct {
	Own, Peers int // observations
	Ignored    int // reports
}

// TakeProfileTally returns the counts since the last call.
func (d *Dispatcher) TakeProfileTally() ProfileTally {
	t := d.profileTally
	d.profileTally = ProfileTally{}
	return t
}

// ProfileView is what this router believes of one endpoint's speed.
type ProfileView struct {
	Endpoint       string
	Service, Zone  string
	Factor         float64       // observed over expected time to the first event; above 1: slower than the service
	TokenFactor    float64       // the same for the time per token
	BaseFirstEvent time.Duration // to the first event for a cached prompt
	TokensPerMs    float64       // rate at which it reads prompts
	TokenTime      time.Duration // per token at the present load; 0: unknown
	Evidence       float64       // weight of the observations, in first events
	Age            time.Duration // of the newest observation
}

// Profile returns what this router believes of the speed of an endpoint; false: profiles
// are not used, or the endpoint is unknown or has no engine.
func (d *Dispatcher) Profile(now time.Time, id string) (ProfileView, bool) {
	ep := d.endpoints[id]
	if ep == nil {
		return ProfileView{}, false
	}
	d.refreshProfiles(now)
	if ep.profile == nil {
		return ProfileView{}, false
	}
	return d.viewProfile(now, ep), true
}

func (d *Dispatcher) viewProfile(now time.Time, ep *endpointState) ProfileView {
	return ProfileView{Endpoint: ep.ID, Service: ep.Service, Zone: ep.Zone, Factor: ep.latencyFactor, TokenFactor: ep.profile.tokenFactor,
		BaseFirstEvent: time.Duration(float64(ep.baseFirstEvent) * ep.latencyFactor), TokensPerMs: ep.readRate / ep.latencyFactor, TokenTime: ep.tokenTime(),
		Evidence: ep.profile.first.weight, Age: now.Sub(ep.profile.observedAt)}
}

// ProfileChanges returns the profiles whose factor has changed by more than
// minLoggedChange since they were last returned, the largest changes first, at most
// limit of them.
func (d *Dispatcher) ProfileChanges(now time.Time, limit int) []ProfileView {
	d.refreshProfiles(now)
	type change struct {
		ep   *endpointState
		size float64
	}
	var changes []change
	for _, ep := range d.sortedEndpoints {
		if ep.profile == nil || ep.profile.observedAt.IsZero() {
			continue
		}
		if size := math.Abs(math.Log(ep.latencyFactor / ep.profile.loggedFactor)); size > math.Log(minLoggedChange) {
			changes = append(changes, change{ep, size})
		}
	}
	slices.SortStableFunc(changes, func(a, b change) int { return cmp.Compare(b.size, a.size) })
	out := make([]ProfileView, 0, min(limit, len(changes)))
	for _, c := range changes[:min(limit, len(changes))] {
		c.ep.profile.loggedFactor = c.ep.latencyFactor
		out = append(out, d.viewProfile(now, c.ep))
	}
	return out
}
