package dispatch

import (
	"math"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/grid"
)

const (
	// endpointProfileTime is the time constant with which observations of one
	// endpoint lose weight. Endpoints slow down and recover within seconds.
	endpointProfileTime = 8 * time.Second
	// maxEndpointWeight limits the weight, in first events, of past observations of
	// one endpoint, so that a change of its speed shows after about as many.
	maxEndpointWeight = 16.0
	// serviceProfileTime is the same for the rate and base time of a service, and the
	// time until what was observed before these were known has little weight.
	serviceProfileTime = 10 * time.Second
	// zonePriorWeight is the weight, in first events, with which the endpoints of a
	// zone count as average until they are known. endpointPriorWeight is the same for
	// one endpoint and the average of its zone. One first event may be off by a
	// factor of two.
	zonePriorWeight     = 4.0
	endpointPriorWeight = 1.0
	// crossEvidenceWeight limits the weight that observations of generation have for
	// the first event, and the reverse. An endpoint's speed usually shows in both.
	crossEvidenceWeight = 3.0
	// tokenSampleWeight is the weight of a sample of generation compared with a first
	// event. The samples of one stream depend on each other.
	tokenSampleWeight = 0.5
	// maxProfileDeviation limits what one observation says: time over expected time,
	// or the reverse. The base time of an unknown service may differ from the
	// constant by about as much, and smaller limits bias the first factors.
	maxProfileDeviation = 6.0
	// Bounds of the factor of an endpoint, as maxLatencyFactor.
	minProfileFactor = 0.2
	maxProfileFactor = maxLatencyFactor
	// profileRefreshInterval is how often the profiles are recomputed. It costs a
	// few microseconds for each hundred endpoints.
	profileRefreshInterval = 100 * time.Millisecond

	// priorPromptTokens is a typical number of prompt tokens. The constants for an
	// unknown service count as priorFitWeight observations with no tokens and as many
	// with this number.
	priorPromptTokens = 4000.0
	priorFitWeight    = 2.0
	// Bounds of the reading rate in tokens per millisecond. Those of the base time
	// and of the time per token are in milliseconds.
	minReadRate, maxReadRate   = 4.0, 4000.0
	minBaseMs, maxBaseMs       = 0.5, 2000.0
	minTokenMs, maxTokenMs     = 0.01, 2000.0
	maxTokenMsPerActiveRequest = 20.0
	// typicalActive is the number of requests at an endpoint at which a service of
	// which nothing else is known is assumed to need twice its least time per token.
	typicalActive = 32.0
)

// serviceProfile is what the fleet observed of the endpoints of one service. Times are
// scaled by how an endpoint compares with the mean before they are fitted. What all
// endpoints have in common stays in them, so that the line takes it up and not the
// factors.
type serviceProfile struct {
	firstEvent lineFit // over the prompt tokens to read
	tokenTime  lineFit // per token, over the requests in progress
	hasTokens  bool    // tokenTime has an observation
	zones      map[string]*speeds
	mean       speeds // of all zones

	// Derived from these.
	baseMs, readRate           float64       // to the first event; tokens per millisecond
	tokenMs, tokenMsPerRequest float64       // time per token = tokenMs + tokenMsPerRequest*active
	leastFirstEvent            time.Duration // of the fastest endpoint, for a cached prompt
}

// speeds is how one endpoint, or those of an availability zone, compare with the
// service, in the time to the first event and in the time per token.
type speeds struct{ first, tokens logRatio }

// shift makes the deviations relative to the newest lines of the service.
func (z *speeds) shift(p *serviceProfile) {
	p.firstEvent.shift(&z.first)
	p.tokenTime.shift(&z.tokens)
}

// endpointProfile is how one incarnation of an endpoint compares with its service.
type endpointProfile struct {
	speeds
	tokenFactor float64   // derived: observed over expected time per token
	observedAt  time.Time // newest observation

	tokenMs, tokenMsPerRequest float64 // derived, as in serviceProfile
	loggedFactor               float64 // factor at the last log line, see ProfileChanges
}

func newServiceProfile() *serviceProfile {
	p := &serviceProfile{zones: map[string]*speeds{}, baseMs: ms(cachedFirstToken), readRate: prefillTokensPerMs, leastFirstEvent: cachedFirstToken}
	f := &p.firstEvent
	f.slackMs, f.base, f.slope = ms(latencySlack), p.baseMs, 1/prefillTokensPerMs
	f.prior[0].y, f.prior[1].x, f.prior[1].y = f.base, priorPromptTokens, f.base+priorPromptTokens*f.slope
	return p
}

func (p *serviceProfile) zone(name string) *speeds {
	z, ok := p.zones[name]
	if !ok {
		z = &speeds{}
		p.zones[name] = z
	}
	return z
}

func (p *serviceProfile) solve() {
	p.firstEvent.solve(minBaseMs, maxBaseMs, 1/maxReadRate, 1/minReadRate)
	p.baseMs, p.readRate = p.firstEvent.base, 1/p.firstEvent.slope
	if p.hasTokens {
		p.tokenTime.solve(minTokenMs, maxTokenMs, 0, maxTokenMsPerActiveRequest)
		p.tokenMs, p.tokenMsPerRequest = p.tokenTime.base, p.tokenTime.slope
	}
	p.mean.shift(p)
	for _, z := range p.zones {
		z.shift(p)
	}
}

// sharesProfiles reports whether the routers share what they observe of endpoints: in a
// grid, since each router of a smaller fleet observes enough alone, and only where the
// settings call for it.
func (d *Dispatcher) sharesProfiles() bool { return d.inGrid }

func (d *Dispatcher) setGrid(routers int) {
	d.inGrid = d.opts.SharesLoad && grid.New(routers, 1).RowsPerZone > 0
	if !d.inGrid {
		d.dropProfiles()
	}
}

// dropProfiles returns to the constants and to what this router observes alone.
func (d *Dispatcher) dropProfiles() {
	for _, s := range d.services {
		s.profile = nil
	}
	for _, ep := range d.endpoints {
		ep.profile = nil
		ep.readRate, ep.baseFirstEvent = prefillTokensPerMs, cachedFirstToken
		ep.readSinceReport = d.tokensReadIn(ep, d.reportDelay)
	}
	d.profileReports = nil
	clear(d.ownProfiles)
	clear(d.rowProfiles)
}

// profileOf returns the profiles of an endpoint and of its service, or nil if they are
// not used: in a small fleet and for endpoints without an engine.
func (d *Dispatcher) profileOf(now time.Time, ep *endpointState) (*serviceProfile, *endpointProfile) {
	if !d.sharesProfiles() || d.engine(ep.Service) == nil {
		return nil, nil
	}
	s := d.service(ep.Service)
	if s.profile == nil {
		s.profile = newServiceProfile()
	}
	if ep.profile == nil {
		ep.profile = &endpointProfile{tokenFactor: 1, loggedFactor: 1}
	}
	return s.profile, ep.profile
}

// observeFirstEvent learns from the time to a first event.
func (d *Dispatcher) observeFirstEvent(now time.Time, t *Ticket) {
	ep, elapsed := t.endpoint, now.Sub(t.GrantedAt)
	if service, _ := d.profileOf(now, ep); service == nil {
		ep.observeFirstEvent(elapsed, t.PredictedFirstEvent)
	} else if elapsed -= later(t.sentAt, t.GrantedAt).Sub(t.GrantedAt); t.Request.PromptTokens > 0 && !t.Request.Retry && elapsed > 0 { // a resumed stream skips what it repeats
		d.observeOwn(now, ep, ProfileReport{FirstEvents: 1, ReadTokens: float64(t.readTokens), FirstEventMs: ms(elapsed)})
	}
}

// observeTokens learns from the time for some tokens of a stream.
func (d *Dispatcher) observeTokens(now time.Time, ep *endpointState, tokens int, elapsed time.Duration) {
	ep.observeTokens(tokens, elapsed)
	if service, _ := d.profileOf(now, ep); service != nil && tokens > 0 && elapsed > 0 {
		d.observeOwn(now, ep, ProfileReport{TokenSamples: 1, TokenMs: ms(elapsed) / float64(tokens), Active: float64(ep.totalLoad().Active)})
	}
}

// observeOwn learns from an observation of this router and reports it to the others.
func (d *Dispatcher) observeOwn(now time.Time, ep *endpointState, o ProfileReport) {
	if d.applyProfile(now, ep, o) {
		d.profileTally.Own++
		gatherProfile(d.ownProfiles, ep, o)
	}
}

// applyProfile learns from observations of this or another router. It reports whether
// profiles are used for the endpoint.
func (d *Dispatcher) applyProfile(now time.Time, ep *endpointState, o ProfileReport) bool {
	service, own := d.profileOf(now, ep)
	if service == nil {
		return false
	}
	own.observedAt = now
	zone := service.zone(ep.Zone)
	if o.FirstEvents > 0 {
		expected := service.baseMs + o.ReadTokens/service.readRate
		count, relative := float64(o.FirstEvents), ep.latencyFactor/service.mean.first.factor()
		service.firstEvent.add(now, o.ReadTokens, clampDeviation(o.FirstEventMs/relative, expected), count)
		observed := clampDeviation(o.FirstEventMs, expected*ep.latencyFactor)
		deviation := math.Log(observed / expected)
		own.first.add(now, deviation, o.ReadTokens, count, maxEndpointWeight)
		zone.first.add(now, deviation, o.ReadTokens, count, math.Inf(1))
		service.mean.first.add(now, deviation, o.ReadTokens, count, math.Inf(1))
	}
	if o.TokenSamples > 0 {
		service.addTokenTime(now, o, own.tokenFactor)
		expected := service.tokenMs + service.tokenMsPerRequest*o.Active
		observed := clampDeviation(o.TokenMs, expected*own.tokenFactor)
		count := tokenSampleWeight * float64(o.TokenSamples)
		deviation := math.Log(observed / expected)
		own.tokens.add(now, deviation, o.Active, count, maxEndpointWeight)
		zone.tokens.add(now, deviation, o.Active, count, math.Inf(1))
		service.mean.tokens.add(now, deviation, o.Active, count, math.Inf(1))
	}
	d.deriveProfile(now, service, ep)
	return true
}

// addTokenTime adds samples of generation to the profile of the service. factor is that
// of the endpoint.
func (p *serviceProfile) addTokenTime(now time.Time, o ProfileReport, factor float64) {
	if !p.hasTokens {
		p.hasTokens = true
		p.tokenMs = o.TokenMs / (1 + o.Active/typicalActive)
		p.tokenMsPerRequest = p.tokenMs / typicalActive
		f := &p.tokenTime
		f.base, f.slope = p.tokenMs, p.tokenMsPerRequest
		f.prior[0].y, f.prior[1].x, f.prior[1].y = f.base, typicalActive, 2*f.base
	}
	expected := p.tokenMs + p.tokenMsPerRequest*o.Active
	observed := clampDeviation(o.TokenMs*p.mean.tokens.factor()/factor, expected)
	p.tokenTime.add(now, o.Active, observed, tokenSampleWeight*float64(o.TokenSamples))
}

// clampDeviation bounds an observed time to maxProfileDeviation around the expected one.
func clampDeviation(observed, expected float64) float64 {
	return min(max(observed, expected/maxProfileDeviation), expected*maxProfileDeviation)
}

// deriveProfile computes the figures of an endpoint that decisions use.
func (d *Dispatcher) deriveProfile(now time.Time, service *serviceProfile, ep *endpointState) {
	own, zone := ep.profile, service.zone(ep.Zone)
	own.first.decay(now)
	own.tokens.decay(now)
	zone.first.decay(now)
	zone.tokens.decay(now)
	ep.latencyFactor = combine(zone.first, own.first, own.tokens)
	own.tokenFactor = combine(zone.tokens, own.tokens, own.first)
	ep.baseFirstEvent = time.Duration(service.baseMs * float64(time.Millisecond))
	ep.readRate = service.readRate
	own.tokenMs, own.tokenMsPerRequest = service.tokenMs*own.tokenFactor, service.tokenMsPerRequest*own.tokenFactor
	ep.readSinceReport = d.tokensReadIn(ep, d.reportDelay)
}

// combine returns the factor of an endpoint from the mean of its zone, its own
// observations and, with limited weight, those of the other kind.
func combine(zone, own, other logRatio) float64 {
	prior := zone.sum / (zone.weight + zonePriorWeight)
	sum, weight := own.sum+endpointPriorWeight*prior, own.weight+endpointPriorWeight
	if other.weight > 0 {
		w := min(other.weight, crossEvidenceWeight)
		sum, weight = sum+w*other.sum/other.weight, weight+w
	}
	return min(max(math.Exp(sum/weight), minProfileFactor), maxProfileFactor)
}

// refreshProfiles recomputes the profiles of all endpoints, at most every
// profileRefreshInterval: the service and the zone of one have been observed since, or
// its own observations have aged.
func (d *Dispatcher) refreshProfiles(now time.Time) {
	if !d.sharesProfiles() || now.Sub(d.profilesRefreshedAt) < profileRefreshInterval {
		return
	}
	d.profilesRefreshedAt = now
	for _, s := range d.services {
		if s.profile != nil {
			s.profile.solve()
			s.profile.leastFirstEvent = math.MaxInt64
		}
	}
	for _, ep := range d.sortedEndpoints {
		if service, own := d.profileOf(now, ep); service != nil {
			own.shift(service)
			d.deriveProfile(now, service, ep)
			service.leastFirstEvent = min(service.leastFirstEvent, time.Duration(float64(ep.baseFirstEvent)*ep.latencyFactor))
		}
	}
}

// tokenTime returns the time per token of a request at the present load, 0 if it is not
// known.
func (ep *endpointState) tokenTime() time.Duration {
	if ep.profile == nil {
		return ep.timePerToken
	}
	p := ep.profile
	return time.Duration((p.tokenMs + p.tokenMsPerRequest*float64(ep.totalLoad().Active)) * float64(time.Millisecond))
}

// tokensReadIn returns the prompt tokens that the endpoint reads in the given time.
func (d *Dispatcher) tokensReadIn(ep *endpointState, t time.Duration) int {
	if ep.profile == nil {
		return int(ms(t) * prefillTokensPerMs)
	}
	return int(ms(t) * ep.readRate / ep.latencyFactor)
}
