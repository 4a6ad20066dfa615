package dispatch

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/rollout"
	"github.com/cyclamenwinch/cyclamenwinch/core/route"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

// Outcome is how a granted request ended. It is used within one router only,
// unlike admission.Outcome, whose numbers are sent between routers.
type Outcome int

const (
	Completed      Outcome = iota + 1 // complete response
	Failed                            // error response from the endpoint
	Interrupted                       // response cut off
	Broken                            // connection broken by the endpoint or the network
	Unreachable                       // no connection; nothing was sent
	ConnectTimeout                    // the same, but this router may have been too slow to connect
	Rejected                          // the endpoint reported that it did not run the request
	Misdirected                       // the address belongs to another endpoint
	OtherWeights                      // the endpoint does not have the version of the weights that the request names
	Canceled                          // the caller left or the deadline passed
	Withdrawn                         // the endpoint may no longer receive requests; nothing was sent
)

// Options configure a Dispatcher.
type Options struct {
	Self string // name of this router
	Zone string
	// Retry budget of the whole fleet, for each service and window.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// SharesLoad switches on what the routers of a grid do against floods and uneven
	// endpoints: shared profiles, and shares of plain services.
	SharesLoad bool
	// Exposure of a version that is not trusted, over all routers: a share of the
	// requests for its service, and requests beyond it.
	ExposureShare float64
	ExposureSlack float64
	// MaxCachedParts limits the prompt parts that are tracked, for all endpoints together;
	// 0: only for each.
	MaxCachedParts int
	// Rollouts says that operators order versions to be brought in.
	Rollouts bool
}

// Dispatcher holds the state that one router bases its decisions on.
type Dispatcher struct {
	opts            Options
	table           *topology.Table
	endpoints       map[string]*endpointState // by ID
	sortedEndpoints []*endpointState          // by ID, so that ties are always broken the same way
	services        map[string]*serviceState
	zonesOut        map[string]bool
	liveRouters     []string // without this one, as last given to ChecksDue
	peers           map[string]*peerReport
	routers         []string                     // all known routers including this one, sorted
	preferred       map[prefixKey]*endpointState // cached results of preferredEndpoint
	notices         map[string]notice            // of endpoints about themselves, by ID
	demandFactor    float64                      // see SetDemandFactor
	rollouts        rollout.Services
	versions        knownVersions
	exit            time.Time // see SetExit; zero: none

	placements       []Placement // of this router and its row, that reports carry, newest last
	announcedBytes   int         // of these, estimated
	waiting          []Placement // to be announced once reports have room, oldest first
	waitingBytes     int
	lastSequence     uint64      // sequence number of the newest placement
	ownListed        listedQueue // listed parts that this router announces
	rowListed        listedQueue // those of its row, for other rows
	quarantine       *route.Quarantine
	crashes          []crashAnnouncement
	parts            *route.PartQuarantine
	soundParts       map[uint64]soundAnnouncement
	announceDuration time.Duration // how long placements and crashes are reported
	reportDelay      time.Duration // see SetReportDelay

	inGrid              bool // the fleet is a grid and shares load, see Options.SharesLoad
	profilesRefreshedAt time.Time
	ownProfiles         map[string]*ProfileReport // not announced yet, by endpoint
	rowProfiles         map[string]*ProfileReport // the same, of other routers of its row
	profileReports      []announcedProfile        // of this router and its row, newest last
	lastProfile         uint64                    // sequence number of the newest of these
	profilesAnnouncedAt time.Time
	profileTally        ProfileTally
}

// New returns a dispatcher without endpoints.
func New(opts Options) *Dispatcher {
	return &Dispatcher{
		opts:             opts,
		table:            topology.NewTable(topology.Config{}),
		endpoints:        map[string]*endpointState{},
		services:         map[string]*serviceState{},
		zonesOut:         map[string]bool{},
		peers:            map[string]*peerReport{},
		routers:          []string{opts.Self},
		preferred:        map[prefixKey]*endpointState{},
		notices:          map[string]notice{},
		demandFactor:     1,
		announceDuration: defaultAnnounceDuration,
		ownListed:        listedQueue{limit: maxListedInReport + 1},
		rowListed:        listedQueue{limit: maxRowListedInReport},

		quarantine: route.NewQuarantine(),
		parts:      route.NewPartQuarantine(),
		soundParts: map[uint64]soundAnnouncement{},

		rowProfiles: map[string]*ProfileReport{},
		ownProfiles: map[string]*ProfileReport{},
	}
}

// SetTable sets the configuration in force.
func (d *Dispatcher) SetTable(t *topology.Table) { d.table = t }

// SetRouters sets the sorted names of all routers that may be running.
// Fleet-wide limits are divided by their number.
func (d *Dispatcher) SetRouters(names []string) {
	d.routers = names
	d.setGrid(len(names))
	for _, ep := range d.endpoints {
		ep.coldRank = -1
	}
}

// SetDemandFactor sets how many times as many requests clients send to this router
// as it accepts, at least 1. The accounts of those that it has no CPU time for are
// unknown, so the demand of all that it accepts is scaled.
func (d *Dispatcher) SetDemandFactor(factor float64) { d.demandFactor = max(1, factor) }

// SetZonesOut sets the availability zones that receive no new requests.
// Endpoints of a zone that returns to service count as cold, since operators
// may have restarted them.
func (d *Dispatcher) SetZonesOut(now time.Time, zones map[string]bool) {
	for zone := range d.zonesOut {
		if zones[zone] {
			continue
		}
		for _, ep := range d.endpoints {
			if ep.Zone == zone {
				d.markCold(ep, now, d.coldDuration(ep))
			}
		}
	}
	d.zonesOut = zones
	clear(d.preferred)
}

// SetEndpoints sets the endpoints that exist. The load of requests in progress
// is kept.
func (d *Dispatcher) SetEndpoints(now time.Time, endpoints []topology.Endpoint) {
	seen := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		seen[e.ID] = true
		d.setEndpoint(now, e)
	}
	for id := range d.endpoints {
		if !seen[id] {
			d.resolveBreaks(d.endpoints[id], true)
			delete(d.endpoints, id)
		}
	}
	d.dropNotices(now)
	d.versions.update(now, d.opts.Rollouts, endpoints)
	clear(d.preferred)
	for _, ep := range d.endpoints { // the limit of each depends on their number
		d.trimCache(ep)
	}
	d.sortedEndpoints = slices.SortedFunc(maps.Values(d.endpoints), func(a, b *endpointState) int { return strings.Compare(a.ID, b.ID) })
}

func (d *Dispatcher) setEndpoint(now time.Time, e topology.Endpoint) {
	ep, known := d.endpoints[e.ID]
	started := !known || restarted(&ep.Endpoint, &e)
	if started {
		old := ep
		ep = newEndpointState(e)
		ep.readSinceReport = d.tokensReadIn(ep, d.reportDelay)
		d.endpoints[e.ID] = ep
		ep.peerLoad = d.peerLoad(e.ID)
		if known {
			d.resolveBreaks(old, true)
			d.succeedIncarnation(now, ep, old)
		}
	}
	if e.Revision != ep.Revision {
		ep.misdirected = false
	}
	if started || !slices.Equal(e.Models, ep.Models) {
		ep.Models = e.Models
		ep.setWeights()
	}
	if started || e.ColdRemaining != ep.ColdRemaining {
		d.markCold(ep, now, e.ColdRemaining)
	}
	ep.Endpoint = e
}

// service returns the state of a service and creates it if necessary.
func (d *Dispatcher) service(name string) *serviceState {
	s, ok := d.services[name]
	if !ok {
		s = newServiceState()
		d.services[name] = s
	}
	return s
}

// Submit accepts a request. The ticket is granted or refused at once, or waits
// until Poll decides. Submit does not grant a request while others of its
// service are waiting.
func (d *Dispatcher) Submit(now time.Time, r Request) *Ticket {
	t := &Ticket{Request: r, State: Waiting}
	if exceedsMemory(d.engine(r.Service), &t.Request) {
		return refuse(t, TooLarge, 0, now)
	}
	s := d.service(r.Service)
	if !r.Retry {
		s.addDemand(now, r.Account, r.cost())
	}
	if ok, after := d.hasEligibleEndpoint(now, t); !ok {
		return refuse(t, d.noEndpointReason(&t.Request), after, now)
	}
	d.updateShare(now, s, t)
	if len(s.queue) == 0 && d.place(now, s, t) {
		return t
	}
	if t.deadlineUnreachable {
		return refuse(t, d.unreachable(&t.Request), 0, now)
	}
	perSecond := d.ownThroughput(s, now)
	if !t.OverShare && !math.IsInf(t.FairShare, 1) {
		perSecond = max(perSecond, t.FairShare/usageWindow.Seconds()) // the account is entitled to its share
	}
	t.ExpectedWait = s.expectedWait(now, t, perSecond)
	if t.ExpectedWait > t.maxWait(now, s) {
		return refuse(t, WaitTooLong, t.ExpectedWait, now)
	}
	s.enqueue(t)
	return t
}

// SetExit sets the time at which this router ends the requests that still run. A new
// one is refused if it probably takes longer, so that its caller can use another router.
func (d *Dispatcher) SetExit(at time.Time) { d.exit = at }

// endOf returns the time until which a request may run. A retry is not refused for the
// exit, since that would end a response that has begun.
func (d *Dispatcher) endOf(r *Request) time.Time {
	if !d.exit.IsZero() && !r.Retry && d.exit.Before(r.Deadline) {
		return d.exit
	}
	return r.Deadline
}

// unreachable returns the reason for which a request that cannot be complete in time
// is refused.
func (d *Dispatcher) unreachable(r *Request) Reason {
	if d.endOf(r).Before(r.Deadline) {
		return ExitTooSoon
	}
	return DeadlineUnreachable
}

// Poll decides as many waiting requests as possible and returns their tickets,
// granted or refused.
func (d *Dispatcher) Poll(now time.Time) []*Ticket {
	var decided []*Ticket
	for _, ep := range d.sortedEndpoints {
		ep.reservedSlots = 0
	}
	for _, s := range d.services {
		decided = d.pollService(now, s, decided)
	}
	return decided
}

// maxMisses limits how many requests in one pass over a queue may fail to fit
// any endpoint, not counting those that wait for a cached prompt. After that
// many the endpoints are full, and checking further only costs time.
const maxMisses = 48

func (d *Dispatcher) pollService(now time.Time, s *serviceState, decided []*Ticket) []*Ticket {
	d.sortQueue(now, s)
	kept := s.queue[:0]
	misses := 0
	for _, t := range s.queue {
		switch {
		case t.State != Waiting:
		case d.hasQuarantinedPart(now, &t.Request):
			decided = append(decided, refuse(t, PartQuarantined, 0, now))
		case !now.Before(t.waitDeadline()):
			decided = append(decided, refuse(t, WaitExpired, 0, now))
		case t.Request.Weights.Version != "" && !d.anyEligible(&t.Request):
			decided = append(decided, refuse(t, NoWeights, noEndpointRetryAfter, now))
		case misses < maxMisses && d.place(now, s, t):
			decided = append(decided, t)
		case t.deadlineUnreachable:
			decided = append(decided, refuse(t, d.unreachable(&t.Request), 0, now))
		default:
			if !t.awaitsCache {
				misses++
			}
			s.account(t.Request.Account).blocked.add(t.Blocked)
			kept = append(kept, t)
			continue
		}
		s.dequeue(t)
	}
	clear(s.queue[len(kept):])
	s.queue = kept
	return decided
}

// QueueLength returns the number of waiting requests.
func (d *Dispatcher) QueueLength() int {
	n := 0
	for _, s := range d.services {
		n += len(s.queue)
	}
	return n
}

// Cancel withdraws a ticket whose caller has left.
func (d *Dispatcher) Cancel(now time.Time, t *Ticket) {
	switch t.State {
	case Waiting:
		t.State = Finished
	case Granted:
		d.Finish(now, t, Canceled)
	}
}

// refuse marks a ticket as refused. The Retry-After advice is at most a third
// of the time that the caller has left, since callers truncate it there.
func refuse(t *Ticket, reason Reason, after time.Duration, now time.Time) *Ticket {
	t.State, t.Reason = Refused, reason
	t.RetryAfter = min(max(after, minRetryAfter), max(0, t.Request.Deadline.Sub(now)/3))
	return t
}

// Confirm reports whether the endpoint of a granted ticket may still receive the
// request. It is to be asked right before the request is sent: the endpoint may
// have begun to leave while a connection was established.
func (d *Dispatcher) Confirm(now time.Time, t *Ticket) bool {
	t.sentAt = now
	return t.State == Granted && d.endpoints[t.Endpoint.ID] == t.endpoint && d.eligible(t.endpoint, &t.Request) &&
		!now.Before(d.pauseEnd(t.endpoint)) && !d.ResourceQuarantined(now, t.Request.Resource) && !d.parts.StoppedSince(now, t.GrantedAt, sharedPartIDs(t.Request.Parts))
}

// RecordFirstEvent records that the first event of the response has arrived, so
// the endpoint has prefilled the prompt. If timed is not set, the time that it took
// says more about this router than about the endpoint.
func (d *Dispatcher) RecordFirstEvent(now time.Time, t *Ticket, timed bool) {
	if t.State != Granted || t.endpoint == nil {
		return
	}
	t.endpoint.markPromptRead(t)
	t.endpoint.breaks.alive(t)
	if timed {
		t.recordRolloutFirstEvent(now)
		d.observeFirstEvent(now, t)
	}
}

// RecordTokens records the time that the endpoint took for some tokens of a
// stream.
func (d *Dispatcher) RecordTokens(now time.Time, t *Ticket, tokens int, elapsed time.Duration) {
	if t.State == Granted && t.endpoint != nil {
		d.observeTokens(now, t.endpoint, tokens, elapsed)
		t.recordRolloutTokens(tokens, elapsed)
		t.endpoint.breaks.alive(t)
	}
}

// RecordSilence records that the endpoint has sent nothing for too long, before it is
// known how the request ends.
func (d *Dispatcher) RecordSilence(now time.Time, t *Ticket) {
	if t.State == Granted && t.endpoint != nil {
		d.recordTrouble(now, t)
	}
}

// recordTrouble counts a failure of the endpoint, once for each ticket.
func (d *Dispatcher) recordTrouble(now time.Time, t *Ticket) {
	if t.troubled {
		return
	}
	t.troubled = true
	t.endpoint.recordFailure(now)
	d.service(t.Request.Service).errors.record(now, true)
}

// Finish ends a granted ticket and updates what is known of its endpoint.
func (d *Dispatcher) Finish(now time.Time, t *Ticket, outcome Outcome) {
	if t.State != Granted {
		return
	}
	t.State = Finished
	ep := t.endpoint
	ep.release(t)
	s := d.service(t.Request.Service)
	switch outcome {
	case Completed:
		if ep.connectFailures > 0 {
			clear(d.preferred)
		}
		ep.recordSuccess(now)
		ep.breaks.alive(t)
		s.errors.record(now, false)
	case Failed, Interrupted:
		d.recordTrouble(now, t)
	case Broken:
		d.recordTrouble(now, t)
		d.recordBreak(now, ep, t)
	case Unreachable:
		d.pauseUnreachable(now, ep)
		d.markCold(ep, now, d.coldDuration(ep)+ep.pausedUntil.Sub(now))
	case ConnectTimeout:
		d.pauseUnreachable(now, ep)
	case Rejected:
		ep.recordRejection(now)
	case Misdirected:
		ep.misdirected = true
		clear(d.preferred)
	case OtherWeights:
		ep.weights.setMissing(t.Request.Weights)
	case Canceled, Withdrawn:
	}
	d.recordRolloutEnd(now, t, outcome)
}
