package pool

import (
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/admission"
	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

// hostedPool is a pool that this router owns. The host's mutex guards it.
type hostedPool struct {
	host     *Host
	scope    string
	pool     *admission.Pool
	sessions map[string]*routerSession // by router
	crashes  map[string]endpointCrash  // recent ones, by endpoint
}

// routerSession is the owner's side of a session between a router and a hosted
// pool. Send passes it a message from the router, and Recv returns the next
// message to the router.
type routerSession struct {
	hosted       *hostedPool
	router       string
	zone         string
	names        nameTable    // received from the router
	encoder      *nameEncoder // for names sent to the router
	replies      *coalescingQueue[*peerpb.AdmitReply]
	lastReceived time.Time

	releases          uint64 // handled
	confirmedReleases uint64 // that the router was sent a confirmation of
}

func newHostedPool(h *Host, scope string) *hostedPool {
	hp := &hostedPool{host: h, scope: scope, pool: admission.NewPool(h.quarantine), sessions: map[string]*routerSession{}, crashes: map[string]endpointCrash{}}
	hp.pool.MemberRemoved(h.lastRemoval)
	hp.configure(time.Now())
	return hp
}

func (hp *hostedPool) openSession(router string) *routerSession {
	s := &routerSession{hosted: hp, router: router, encoder: newNameEncoder(), replies: newCoalescingQueue[*peerpb.AdmitReply](), lastReceived: time.Now()}
	if old := hp.sessions[router]; old != nil {
		old.replies.close()
	}
	hp.sessions[router] = s
	s.replies.put(&peerpb.AdmitReply{ConfirmsReleases: true})
	hp.configure(time.Now())
	return s
}

// Send handles a message from the router. It fails if the session is no longer
// current.
func (s *routerSession) Send(req *peerpb.AdmitRequest) error {
	h := s.hosted.host
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.dropPoolsAfterStall(now)
	if h.scopes[s.hosted.scope] != s.hosted || s.hosted.sessions[s.router] != s {
		return errors.New("session replaced or its pool dropped")
	}
	s.lastReceived = now
	s.hosted.pool.SetResponsive(now, s.router, true)
	s.handle(now, req)
	s.hosted.step(now)
	if req.Sync {
		s.replies.put(&peerpb.AdmitReply{Crashes: crashesToProto(h.quarantine.Crashes(now)), PartCrashes: h.partCrashesLocked(now)})
	}
	return nil
}

// handle passes the elements of a message to the pool. It handles releases
// before new requests, so that the crash that ended a request is on record when
// the request is submitted again.
func (s *routerSession) handle(now time.Time, req *peerpb.AdmitRequest) {
	p := s.hosted.pool
	s.names = append(s.names, req.Names...)
	for _, c := range crashesFromProto(req.Crashes) {
		s.hosted.host.quarantine.RecordCrash(now, c)
	}
	if req.Sync {
		s.zone = req.Zone
		p.Sync(now, s.syncReport(req))
	}
	for _, x := range req.Progress {
		id := admission.RequestID{Router: s.router, Seq: x.Seq}
		p.UpdateProgress(now, id, fair.Cost(x.Known), time.Duration(x.FirstTokenMicros)*time.Microsecond)
	}
	for _, r := range req.Releases {
		p.Release(now, s.release(r))
	}
	s.releases += uint64(len(req.Releases))
	s.handleParts(now, req)
	for _, w := range req.Wants {
		p.Submit(now, s.request(w))
	}
	for _, seq := range req.Cancels {
		p.Cancel(admission.RequestID{Router: s.router, Seq: seq})
	}
}

// Recv waits for the next message to the router. It returns io.EOF once the
// session has ended.
func (s *routerSession) Recv() (*peerpb.AdmitReply, error) {
	reply, ok := s.replies.get()
	if !ok {
		return nil, io.EOF
	}
	return reply, nil
}

// Close ends the session. The pool is dropped with its last session, or with
// this router's own session: then another router owns the pool.
func (s *routerSession) Close() {
	h := s.hosted.host
	h.mu.Lock()
	defer h.mu.Unlock()
	s.replies.close()
	if s.hosted.sessions[s.router] != s {
		return
	}
	delete(s.hosted.sessions, s.router)
	s.hosted.pool.SessionClosed(time.Now(), s.router)
	if len(s.hosted.sessions) == 0 || s.router == h.fleet.Self().Name {
		h.dropPool(s.hosted)
	}
}

// step runs a step of the pool and sends its decisions to the routers.
func (hp *hostedPool) step(now time.Time) {
	d := hp.pool.Step(now)
	replies := map[*routerSession]*peerpb.AdmitReply{}
	for _, g := range d.Grants {
		if s := hp.sessions[g.ID.Router]; s != nil {
			s.addGrant(replyFor(replies, s), g)
		}
	}
	for _, x := range d.Refusals {
		if s := hp.sessions[x.ID.Router]; s != nil {
			r := replyFor(replies, s)
			r.Refusals = append(r.Refusals, &peerpb.Refusal{Seq: x.ID.Seq, Code: int32(x.Code), RetryAfterMillis: x.RetryAfter.Milliseconds()})
		}
	}
	if len(d.Crashes) > 0 {
		for _, s := range hp.sessions {
			r := replyFor(replies, s)
			r.Crashes = append(r.Crashes, crashesToProto(d.Crashes)...)
		}
	}
	for _, name := range d.Paused {
		hp.host.events.Add(eventlog.Event{Kind: eventlog.EndpointPaused, Endpoint: name, Detail: hp.scope})
	}
	for s, reply := range replies {
		s.put(reply)
	}
}

// put queues a message that also confirms the releases handled so far.
func (s *routerSession) put(m *peerpb.AdmitReply) {
	m.ReleasesHandled, s.confirmedReleases = s.releases, s.releases
	s.replies.put(m)
}

// confirmReleases confirms releases that no other message has confirmed.
func (hp *hostedPool) confirmReleases() {
	for _, s := range hp.sessions {
		if s.confirmedReleases != s.releases {
			s.put(&peerpb.AdmitReply{})
		}
	}
}

func (s *routerSession) addGrant(m *peerpb.AdmitReply, g admission.Grant) {
	m.Grants = append(m.Grants, &peerpb.Grant{
		Seq:      g.ID.Seq,
		Endpoint: s.encoder.encode(g.Endpoint, &m.Names),
		Estimate: float32(g.Estimate),
		Proved:   uint32(g.ProvenSlots),
	})
}

// markUnresponsive tells the pool which routers have sent nothing, not even a
// keepalive, for silenceTimeout.
func (hp *hostedPool) markUnresponsive(now time.Time) {
	for router, s := range hp.sessions {
		if now.Sub(s.lastReceived) > silenceTimeout {
			hp.pool.SetResponsive(now, router, false)
		}
	}
}

// sendKeepalives sends a message to the routers that have waiting requests, so
// that they can tell a long queue from a lost owner.
func (hp *hostedPool) sendKeepalives() {
	for router := range hp.pool.WaitingByRouter() {
		if s := hp.sessions[router]; s != nil {
			s.replies.put(&peerpb.AdmitReply{})
		}
	}
}

func replyFor(replies map[*routerSession]*peerpb.AdmitReply, s *routerSession) *peerpb.AdmitReply {
	if replies[s] == nil {
		replies[s] = &peerpb.AdmitReply{}
	}
	return replies[s]
}

func (hp *hostedPool) configure(now time.Time) {
	hp.pool.SetMembers(now, hp.members())
	m := hp.host.fleet.Manifest()
	if m == nil {
		return
	}
	hp.pool.Configure(now, accountsOf(m), endpointsOf(m, hp.scope))
}

// members returns the routers in the scope's region and those with a session.
func (hp *hostedPool) members() []string {
	region := regionOf(hp.scope)
	var names []string
	for _, r := range hp.host.fleet.View().Routers {
		if r.Region == region && hp.sessions[r.Name] == nil {
			names = append(names, r.Name)
		}
	}
	for router := range hp.sessions {
		names = append(names, router)
	}
	return names
}

func accountsOf(m *manifest.Manifest) []admission.Account {
	accounts := make([]admission.Account, 0, len(m.Accounts))
	for _, a := range m.Accounts {
		accounts = append(accounts, admission.Account{
			Name:     a.Name,
			Share:    a.Share,
			MaxQueue: a.MaxQueue,
			MaxWait:  time.Duration(a.MaxWaitMillis) * time.Millisecond,
		})
	}
	return accounts
}

func endpointsOf(m *manifest.Manifest, scope string) []admission.Endpoint {
	pool, region, _ := strings.Cut(scope, "/")
	var endpoints []admission.Endpoint
	for _, e := range m.Endpoints {
		zone, _ := m.Zone(e.Zone)
		if e.Pool != pool || zone.Region != region {
			continue
		}
		endpoints = append(endpoints, admission.Endpoint{
			Name:        e.Name,
			Zone:        e.Zone,
			Slots:       e.Slots,
			ColdSlots:   e.ColdSlots,
			AcceptsWork: m.AcceptsWork(e),
		})
	}
	return endpoints
}
