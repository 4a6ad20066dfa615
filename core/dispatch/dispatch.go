// Package dispatch decides, on one router, which endpoint gets which request
// and when. It holds the router's book of every endpoint (its own requests
// and what the other routers report of theirs), the queue of requests that
// wait, the usage of the client accounts, and the limits of cold endpoints
// and of retries.
//
// Every router decides by itself. What must hold for the whole fleet is
// divided among the routers beforehand (cold endpoints, retries), so that it
// holds under any partition; what only has to be good (load, fair shares) is
// read from the peers' reports and may be some tens of milliseconds old.
//
// The package has no input, output, clock or goroutine. A Dispatcher is not
// safe for concurrent use.
package dispatch

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/route"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

// PromptPart is a piece of a prompt. Requests share parts; a part is cached only
// together with all parts before it.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Request is what the decision needs to know of a request.
type Request struct {
	ID                 string
	Account            string // empty: no client account
	Service            string
	Priority           int          // 0 is the highest
	Parts              []PromptPart // empty: not a model request
	PromptTokens       int          // tokens in the prompt
	OutputTokens       int          // tokens that the answer will probably have
	Arrived            time.Time
	Objective          time.Time // a first event by then earns full credit
	FirstEventDeadline time.Time // the caller leaves if there is no event by then
	Deadline           time.Time // nobody waits for the answer after it
	ExcludedEndpoints  []string  // IDs of endpoints that must not get it again
	Retry              bool      // an endpoint may have got it before; its cost is already booked
}

// cost is what a request counts against its account's share: a token read
// once, a token generated twice, a plain request one.
func (r *Request) cost() float64 {
	if len(r.Parts) == 0 && r.PromptTokens == 0 {
		return 1
	}
	return float64(r.PromptTokens + 2*r.OutputTokens)
}

// State says where a ticket stands.
type State int

// The states of a ticket.
const (
	Waiting State = iota + 1
	Granted
	Refused
	Finished
)

// Reason says why a request was refused.
type Reason int

// The reasons of a refusal.
const (
	NoEndpoint          Reason = iota + 1 // the service has no endpoint that may be used
	WaitTooLong                           // the wait would be too long
	WaitExpired                           // it waited as long as it could
	DeadlineUnreachable                   // the answer would not be whole by the deadline
)

// String returns the reason as logs show it.
func (r Reason) String() string {
	switch r {
	case NoEndpoint:
		return "no_endpoint"
	case WaitTooLong:
		return "wait_too_long"
	case WaitExpired:
		return "waited_out"
	case DeadlineUnreachable:
		return "not_whole_in_time"
	}
	return ""
}

// Ticket is a request in the dispatcher's hands.
type Ticket struct {
	Request    Request
	State      State
	Endpoint   topology.Endpoint // where to send it, once granted
	Reason     Reason
	RetryAfter time.Duration // advice that goes with a refusal

	GrantedAt           time.Time
	PredictedFirstEvent time.Duration // until the first event, as predicted at the grant
	UncachedTokens      int           // prompt tokens that the endpoint probably has to read
	RecomputedTokens    int           // of these, tokens that other requests share
	OverShare           bool          // the account had used up its share when this was decided
	ObjectiveMissed     bool          // the objective had passed when this was decided
	RecentUsage         float64       // cost that the account got of late in the fleet, when this was decided
	FairShare           float64       // cost that it may use in that time; +Inf: no limit
	ExpectedWait        time.Duration // wait in the queue that was expected at the arrival

	endpoint     *endpointState
	unreadTokens int     // tokens that count as not yet read
	accountUsage float64 // of the account, as last sorted
	awaitsCache  bool    // it waits for the endpoint that holds its prompt
	unfinishable bool    // no endpoint could end the answer in time, as last seen
}

// Outcome says how a granted request ended.
type Outcome int

// The outcomes.
const (
	Served      Outcome = iota + 1 // whole answer
	Failed                         // answer that says the endpoint failed
	Interrupted                    // connection or answer broke off
	Unreachable                    // no connection; nothing was sent
	Rejected                       // the endpoint said that it did not run it
	Misdirected                    // the address belongs to another endpoint
	Canceled                       // the caller left or the deadline passed
)

// Options are the fixed figures of a dispatcher.
type Options struct {
	Self string // name of the router
	Zone string
	// Retry budget of the fleet for each service and window.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

// Dispatcher is the state of one router's decisions.
type Dispatcher struct {
	opts            Options
	table           *topology.Table
	endpoints       map[string]*endpointState // by endpoint ID
	sortedEndpoints []*endpointState          // the same by ID, so that ties go the same way each time
	services        map[string]*serviceState
	zonesOut        map[string]bool
	peers           map[string]*peerReport
	routers         []string                     // all known routers, sorted; itself among them
	preferred       map[prefixKey]*endpointState // as last worked out

	placements       []Placement // of this router and its row, newest last
	lastSequence     uint64
	quarantine       *route.Quarantine
	crashes          []crashAnnouncement
	announceDuration time.Duration // how long placements and crashes are told
}

// New returns a dispatcher that knows no endpoint.
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
		announceDuration: defaultAnnounceDuration,

		quarantine: route.NewQuarantine(),
	}
}

// SetTable sets the configuration in force.
func (d *Dispatcher) SetTable(t *topology.Table) { d.table = t }

// SetRouters sets the names of all routers that may be running, sorted.
// Limits are divided by their number.
func (d *Dispatcher) SetRouters(names []string) {
	d.routers = names
	for _, b := range d.endpoints {
		b.coldRank = -1
	}
}

// SetZonesOut sets the availability zones that get nothing new. Endpoints of
// a zone that comes back count as cold: operators may have restarted them.
func (d *Dispatcher) SetZonesOut(now time.Time, zones map[string]bool) {
	for zone := range d.zonesOut {
		if zones[zone] {
			continue
		}
		for _, b := range d.endpoints {
			if b.Zone == zone {
				d.markCold(b, now, d.coldDuration(b))
			}
		}
	}
	d.zonesOut = zones
	clear(d.preferred)
}

// SetEndpoints sets the endpoints that exist. What is booked of requests in
// progress stays.
func (d *Dispatcher) SetEndpoints(now time.Time, endpoints []topology.Endpoint) {
	seen := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		seen[e.ID] = true
		d.setEndpoint(now, e)
	}
	for id := range d.endpoints {
		if !seen[id] {
			delete(d.endpoints, id)
		}
	}
	clear(d.preferred)
	d.sortedEndpoints = slices.SortedFunc(maps.Values(d.endpoints), func(a, b *endpointState) int { return strings.Compare(a.ID, b.ID) })
}

func (d *Dispatcher) setEndpoint(now time.Time, e topology.Endpoint) {
	b, known := d.endpoints[e.ID]
	if !known || b.Incarnation() != e.Incarnation() || b.Service != e.Service || b.Address != e.Address {
		b = newEndpointState(e)
		d.endpoints[e.ID] = b
		b.peerLoad = d.peerLoad(e.ID)
	}
	if e.ColdFor > 0 && e.ColdFor != b.ColdFor || !known && e.ColdFor > 0 {
		d.markCold(b, now, e.ColdFor)
	}
	b.Endpoint = e
}

// service returns the state of a service.
func (d *Dispatcher) service(name string) *serviceState {
	s, ok := d.services[name]
	if !ok {
		s = newServiceState()
		d.services[name] = s
	}
	return s
}

// Submit takes a request. The ticket is granted or refused at once, or waits
// until Poll decides: a request never overtakes those that wait by itself.
func (d *Dispatcher) Submit(now time.Time, r Request) *Ticket {
	t := &Ticket{Request: r, State: Waiting}
	s := d.service(r.Service)
	if !r.Retry {
		s.addDemand(now, r.Account, r.cost())
	}
	if !d.hasEligibleEndpoint(r) {
		return refuse(t, NoEndpoint, noEndpointRetryAfter, now)
	}
	d.updateShare(now, s, t)
	if len(s.queue) == 0 && d.place(now, s, t) {
		return t
	}
	if t.unfinishable {
		return refuse(t, DeadlineUnreachable, 0, now)
	}
	perSecond := d.ownThroughput(s, now)
	if !t.OverShare && !math.IsInf(t.FairShare, 1) {
		perSecond = max(perSecond, t.FairShare/usageWindow.Seconds()) // what it is to get
	}
	t.ExpectedWait = s.expectedWait(now, t, perSecond)
	if t.ExpectedWait > t.maxWait(now) {
		return refuse(t, WaitTooLong, t.ExpectedWait, now)
	}
	s.enqueue(t)
	return t
}

// Poll decides what it can of the requests that wait and returns their
// tickets, granted or refused.
func (d *Dispatcher) Poll(now time.Time) []*Ticket {
	var decided []*Ticket
	for _, b := range d.sortedEndpoints {
		b.reservedSlots = 0
	}
	for _, s := range d.services {
		decided = d.pollService(now, s, decided)
	}
	return decided
}

// maxConsecutiveMisses ends one pass over a queue: after so many requests that fit
// nowhere the endpoints are full, and looking further costs only time.
const maxConsecutiveMisses = 48

func (d *Dispatcher) pollService(now time.Time, s *serviceState, decided []*Ticket) []*Ticket {
	d.sortQueue(now, s)
	kept := s.queue[:0]
	misses := 0
	for _, t := range s.queue {
		switch {
		case t.State != Waiting:
		case !now.Before(t.waitDeadline()):
			decided = append(decided, refuse(t, WaitExpired, 0, now))
		case misses < maxConsecutiveMisses && d.place(now, s, t):
			decided = append(decided, t)
		case t.unfinishable:
			decided = append(decided, refuse(t, DeadlineUnreachable, 0, now))
		default:
			if !t.awaitsCache {
				misses++
			}
			kept = append(kept, t)
			continue
		}
		s.dequeue(t)
	}
	clear(s.queue[len(kept):])
	s.queue = kept
	return decided
}

// QueueLength returns the number of requests that wait.
func (d *Dispatcher) QueueLength() int {
	n := 0
	for _, s := range d.services {
		n += len(s.queue)
	}
	return n
}

// Cancel takes a ticket back whose caller has left.
func (d *Dispatcher) Cancel(now time.Time, t *Ticket) {
	switch t.State {
	case Waiting:
		t.State = Finished
	case Granted:
		d.Finish(now, t, Canceled)
	}
}

// refuse ends a ticket. The advice is never longer than a third of the time
// that the caller has left, since callers cut it there.
func refuse(t *Ticket, why Reason, after time.Duration, now time.Time) *Ticket {
	t.State, t.Reason = Refused, why
	t.RetryAfter = min(max(after, minRetryAfter), max(0, t.Request.Deadline.Sub(now)/3))
	return t
}

// RecordFirstEvent notes that the endpoint has read the prompt: the first event of
// the answer is here.
func (d *Dispatcher) RecordFirstEvent(now time.Time, t *Ticket) {
	if t.State != Granted || t.endpoint == nil {
		return
	}
	t.endpoint.markPromptRead(t)
	t.endpoint.observeFirstEvent(now.Sub(t.GrantedAt), t.PredictedFirstEvent)
}

// RecordTokens notes that the endpoint took some time for some tokens of a
// stream.
func (d *Dispatcher) RecordTokens(t *Ticket, tokens int, took time.Duration) {
	if t.State == Granted && t.endpoint != nil {
		t.endpoint.observeTokens(tokens, took)
	}
}

// Finish ends a granted ticket.
func (d *Dispatcher) Finish(now time.Time, t *Ticket, how Outcome) {
	if t.State != Granted {
		return
	}
	t.State = Finished
	b := t.endpoint
	b.release(t)
	s := d.service(t.Request.Service)
	switch how {
	case Served:
		if b.connectFailures > 0 {
			clear(d.preferred)
		}
		b.recordSuccess(now)
		s.errors.record(now, false)
	case Failed, Interrupted:
		b.recordFailure(now)
		s.errors.record(now, true)
	case Unreachable:
		d.markUnreachable(now, b)
	case Rejected:
		b.recordRejection(now)
	case Misdirected:
		b.misdirected = true
		clear(d.preferred)
	case Canceled:
	}
}
