package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/grid"
	"github.com/cyclamenwinch/cyclamenwinch/core/rollout"
)

const (
	// breakVerdictDelay is how long it takes at most to tell a crash of an endpoint from a
	// single response that was cut off: with the next requests the endpoint is either
	// reached or not.
	breakVerdictDelay = 1200 * time.Millisecond
	// rolloutLatencySlack is added to observed and predicted times before they are
	// compared: the variation of the network and of this router.
	rolloutLatencySlack = 5 * time.Millisecond
	// minPacedTokens is how many tokens of a stream make its time per token.
	minPacedTokens = 32
	// minPacedShare is the share of a time for tokens that must remain without the prompts
	// that the endpoint read meanwhile. Below it, the time says nothing about the version.
	minPacedShare = 0.25
)

// ticketRollout is what a ticket records for the roll-out of its service.
type ticketRollout struct {
	service   *rollout.Service // nil: its versions are not followed
	rollout   *rollout.Rollout // nil: none
	onTarget  bool
	cold      bool          // the endpoint was cold at the grant
	predicted time.Duration // time to the first event, by the load alone
	tokens    int
	took      time.Duration // for these tokens
	inserted  int           // tokens added to the endpoint's memory until the first event
	unread    int           // prompt tokens of other requests that it had to read then
	paced     bool          // the time per token has been recorded
}

// unclearBreak is a response whose connection broke, until it is known whether the
// endpoint crashed.
type unclearBreak struct {
	at       time.Time
	rollout  *rollout.Rollout
	route    string
	onTarget bool
}

// SetOrders applies the orders to move services to other versions that the store holds.
func (d *Dispatcher) SetOrders(now time.Time, era int64, orders []rollout.Order) {
	d.rollouts.Set(now, era, orders, d.exposure())
	d.StepRollouts(now)
	clear(d.preferred)
}

// SetOrder applies one order, as read back from the store.
func (d *Dispatcher) SetOrder(now time.Time, era int64, o rollout.Order) {
	d.rollouts.SetOrder(now, era, o, d.exposure())
	d.StepRollouts(now)
	clear(d.preferred)
}

// exposure returns this router's part of what a version gets until it is trusted.
func (d *Dispatcher) exposure() rollout.Limits {
	return rollout.Limits{Share: d.opts.ExposureShare, Slack: d.opts.ExposureSlack / float64(len(d.routers))}
}

// StepRollouts advances all roll-outs. It is to be called several times a second.
func (d *Dispatcher) StepRollouts(now time.Time) {
	if d.versions.release(now) {
		clear(d.preferred)
	}
	d.rollouts.All(func(s *rollout.Service) {
		if s.Current.Settled() {
			return
		}
		d.settleBreaks(now, s.Current.Service)
		if s.Current.Step(now, d.rolloutView(now, s.Current)) {
			clear(d.preferred)
		}
	})
}

// RolloutChanges returns the roll-outs whose stage has changed since the last call.
func (d *Dispatcher) RolloutChanges(now time.Time) []rollout.Change { return d.rollouts.Changes(now) }

// RolloutWrites returns the states of roll-outs that the store should hold and does not.
func (d *Dispatcher) RolloutWrites() (out []rollout.Write) {
	d.rollouts.All(func(s *rollout.Service) {
		if w, ok := s.Current.Write(); ok {
			out = append(out, w)
		}
	})
	return out
}

// rolloutView returns what is known of the endpoints of a roll-out's service. All routers
// prefer the same endpoints of the target, warm ones first.
func (d *Dispatcher) rolloutView(now time.Time, r *rollout.Rollout) (v rollout.View) {
	v.Routers = len(d.routers)
	type candidate struct {
		id     string
		later  bool // cold, or connecting to it has failed
		weight uint64
	}
	var targets []candidate
	reachable, othersReachable := false, false
	key := xxhash.Sum64String(r.Service + "\n" + r.Target)
	for _, ep := range d.sortedEndpoints {
		switch {
		case ep.Service != r.Service:
		case ep.Version != r.Target:
			v.Old++
			v.OldActive += ep.totalLoad().Active
			othersReachable = othersReachable || ep.connectFailures == 0
		case ep.Draining || ep.misdirected || d.zonesOut[ep.Zone] || d.saysLeaving(ep):
		default:
			reachable = reachable || ep.connectFailures == 0
			targets = append(targets, candidate{ep.ID, d.coldLimited(ep, now) || ep.connectFailures > 0, grid.Weight(key, ep.ID)})
		}
	}
	slices.SortFunc(targets, func(a, b candidate) int {
		if a.later != b.later {
			if a.later {
				return 1
			}
			return -1
		}
		return cmp.Compare(b.weight, a.weight)
	})
	v.Reachable = reachable || len(targets) > 0 && !othersReachable
	for _, t := range targets {
		if !t.later {
			v.Preferred++
		}
		v.Targets = append(v.Targets, t.id)
	}
	return v
}

// versionAllowed reports whether the roll-outs of its service allow a request at an
// endpoint.
func (d *Dispatcher) versionAllowed(ep *endpointState, r *Request) bool {
	if d.versionHeld(ep) {
		return false
	}
	s := d.rollouts.Get(ep.Service)
	return s == nil || s.Allows(ep.Version, ep.ID, r.onTarget)
}

// mainVersion reports whether an endpoint is of a version that gets the requests beyond
// the exposure.
func (d *Dispatcher) mainVersion(ep *endpointState) bool {
	s := d.rollouts.Get(ep.Service)
	return !d.versionHeld(ep) && (s == nil || s.Main(ep.Version))
}

// mayUse reports whether any request may run at an endpoint, by its version.
func (d *Dispatcher) mayUse(ep *endpointState) bool {
	s := d.rollouts.Get(ep.Service)
	return s == nil || s.Main(ep.Version) || s.Allows(ep.Version, ep.ID, true)
}

// currentRollout returns the roll-out of a service, or nil.
func (d *Dispatcher) currentRollout(service string) *rollout.Rollout {
	if s := d.rollouts.Get(service); s != nil {
		return s.Current
	}
	return nil
}

// place grants a request to an endpoint, and returns false if it has to wait. While a
// version is brought in, a request may use the exposure: whichever comes next when there
// is some, so that all kinds and routes take part in proportion. Retries go to the
// endpoints of the versions in use.
func (d *Dispatcher) place(now time.Time, s *serviceState, t *Ticket) bool {
	if r := d.currentRollout(t.Request.Service); r != nil && !t.Request.Retry && r.OffersTarget(t.Request.Route, xxhash.Sum64String(t.Request.ID)) {
		t.Request.onTarget = true
		if d.placeAmong(now, s, t) {
			return true
		}
		t.Request.onTarget = false
	}
	return d.placeAmong(now, s, t)
}

// recordRolloutGrant notes a granted request for the roll-out of its service.
func (d *Dispatcher) recordRolloutGrant(now time.Time, t *Ticket, ep *endpointState) {
	s := d.rollouts.Get(t.Request.Service)
	if s == nil && d.opts.Rollouts {
		s = d.rollouts.Add(t.Request.Service)
	}
	if s == nil {
		return
	}
	t.rollout = ticketRollout{service: s, rollout: s.Current, cold: ep.isCold(now), predicted: time.Duration(float64(t.PredictedFirstEvent) / ep.latencyFactor)}
	if r := s.Current; r != nil && ep.Version == r.Target {
		t.rollout.onTarget = true
		r.RecordSent(t.Request.Route)
	}
}

// recordRolloutFirstEvent records the time to a first event as evidence. An endpoint that
// is cold says nothing about its version.
func (t *Ticket) recordRolloutFirstEvent(now time.Time) {
	if r := &t.rollout; r.service != nil && !r.cold {
		r.inserted, r.unread = t.endpoint.cache.insertedTokens, t.endpoint.totalLoad().Pending
		relative := float64(now.Sub(t.GrantedAt)+rolloutLatencySlack) / float64(r.predicted+rolloutLatencySlack)
		r.service.RecordFirstEvent(r.rollout, t.Request.Route, r.onTarget, relative)
	}
}

// recordRolloutTokens records the time of some tokens as evidence. The endpoints of a new
// version have no prompts cached, so they read more of them between the tokens than the
// old ones. The time to read them is left out.
func (t *Ticket) recordRolloutTokens(tokens int, took time.Duration) {
	r := &t.rollout
	if r.service == nil || r.cold || r.paced {
		return
	}
	r.tokens += tokens
	r.took += took
	if r.tokens >= minPacedTokens {
		r.paced = true
		read := float64(max(0, r.unread+t.endpoint.cache.insertedTokens-r.inserted)) / prefillTokensPerMs
		if took := r.took - time.Duration(read*float64(time.Millisecond)); float64(took) >= minPacedShare*float64(r.took) {
			r.service.RecordTokens(r.rollout, t.Request.Route, r.onTarget, took/time.Duration(r.tokens))
		}
	}
}

// recordRolloutEnd records how a request ended as evidence. Rejections, and requests that
// their clients have canceled, say nothing about the version.
func (d *Dispatcher) recordRolloutEnd(now time.Time, t *Ticket, outcome Outcome) {
	r := &t.rollout
	if r.rollout == nil {
		return
	}
	switch outcome {
	case Unreachable, ConnectTimeout, Withdrawn:
		if r.onTarget {
			r.rollout.RecordNotSent(t.Request.Route)
		}
		if outcome == Unreachable {
			d.resolveBreaks(t.endpoint, true)
		}
		return
	}
	if r.cold {
		return
	}
	switch outcome {
	case Completed:
		r.rollout.RecordEnd(t.Request.Route, r.onTarget, false, false)
		if breaks := t.endpoint.unclearBreaks; len(breaks) > 0 && t.GrantedAt.After(breaks[len(breaks)-1].at) {
			d.resolveBreaks(t.endpoint, false)
		}
	case Failed, Interrupted:
		r.rollout.RecordEnd(t.Request.Route, r.onTarget, true, false)
	case Broken:
		t.endpoint.unclearBreaks = append(t.endpoint.unclearBreaks, unclearBreak{now, r.rollout, t.Request.Route, r.onTarget})
		if t.endpoint.breaks.allBrokenAt.Equal(now) {
			d.resolveBreaks(t.endpoint, true)
		}
	}
}

// resolveBreaks records the responses of an endpoint that broke off, as lost in a crash
// or as failures.
func (d *Dispatcher) resolveBreaks(ep *endpointState, crashed bool) {
	for _, b := range ep.unclearBreaks {
		b.rollout.RecordEnd(b.route, b.onTarget, !crashed, crashed)
	}
	ep.unclearBreaks = nil
}

// settleBreaks records the responses as failures whose endpoints have not crashed since.
func (d *Dispatcher) settleBreaks(now time.Time, service string) {
	for _, ep := range d.sortedEndpoints {
		if ep.Service == service && len(ep.unclearBreaks) > 0 && now.Sub(ep.unclearBreaks[0].at) >= breakVerdictDelay {
			d.resolveBreaks(ep, false)
		}
	}
}

// rolloutEvidence returns this router's evidence.
func (d *Dispatcher) rolloutEvidence(now time.Time) (out []rollout.Evidence) {
	d.rollouts.All(func(s *rollout.Service) { out = append(out, s.Current.Evidence(now)) })
	slices.SortFunc(out, func(a, b rollout.Evidence) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// addRolloutEvidence adds the evidence of a peer to a sum.
func addRolloutEvidence(sum []rollout.Evidence, peer []rollout.Evidence) []rollout.Evidence {
	for _, e := range peer {
		i := slices.IndexFunc(sum, e.Same)
		if i < 0 {
			sum, i = append(sum, rollout.Evidence{Service: e.Service, Target: e.Target, Created: e.Created}), len(sum)
		}
		sum[i].Add(e)
	}
	return sum
}

// mergeRollouts applies the evidence of a peer.
func (d *Dispatcher) mergeRollouts(now time.Time, peer string, evidence []rollout.Evidence) {
	for _, e := range evidence {
		if r := d.currentRollout(e.Service); r != nil && r.Merge(now, peer, e) {
			clear(d.preferred)
		}
	}
}
