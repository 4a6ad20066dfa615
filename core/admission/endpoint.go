package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/route"
)

const (
	initialPause  = time.Second // after a connection failure; doubles with each further one until a success
	maxPause      = 8 * time.Second
	warmResponses = 8                // complete responses before a cold endpoint gets more slots
	warmthTTL     = 30 * time.Second // time without a response or progress after which warmth is doubted
	// idleWarmthTTL replaces warmthTTL while no observed request runs. A start
	// takes 2 s or longer; the difference allows for updates that arrive late.
	idleWarmthTTL     = 1200 * time.Millisecond
	coldSignThreshold = 2 // consecutive signs after which an endpoint counts as cold
	firstMemberRange  = 1 << 30
)

// endpoint is the owner's state of one endpoint.
type endpoint struct {
	cfg         Endpoint
	routeEntry  route.Endpoint // Limit is 0 unless it may get new requests
	declared    bool           // in the manifest in force
	firstMember int            // index of the member that owns its first slot, modulo their number
	observed    int            // running requests whose updates arrive
	suspects    int            // running requests that crashed an endpoint before
	isolated    int            // suspects that have made no progress yet

	rampedSlots       int       // slots it is known to handle, even if its warmth is in doubt; 0: unknown
	responses         int       // complete responses while cold or in doubt
	lastEvidence      time.Time // newest response, progress or connection failure
	doubtedSince      time.Time // when its warmth came into doubt; zero: not in doubt
	coldSigns         int       // consecutive slow first tokens
	failedAccount     *account  // account of the last error response, if any since the last success
	pauseTime         time.Duration
	pausedUntil       time.Time // no new requests before this
	connFailedAt      time.Time // last connection failure; zero: none
	suspectsAtFailure int       // suspects running at that time
}

func newEndpoint(name string) *endpoint {
	return &endpoint{
		cfg:         Endpoint{Name: name},
		routeEntry:  route.Endpoint{Name: name},
		firstMember: int(xxhash.Sum64String(name) % firstMemberRange),
	}
}

// alwaysWarm reports whether the endpoint handles all its slots even when cold.
func (e *endpoint) alwaysWarm() bool { return e.cfg.ColdSlots >= e.cfg.Slots }

// cold reports whether the endpoint is not known to handle more requests than
// its cold limit.
func (e *endpoint) cold() bool {
	return !e.alwaysWarm() && (e.rampedSlots <= e.cfg.ColdSlots || !e.doubtedSince.IsZero())
}

// checkWarmth puts the warmth of the endpoint in doubt if it may have restarted
// unnoticed. It returns the time of the next check, or zero if none is needed.
func (e *endpoint) checkWarmth(now time.Time) time.Time {
	if e.alwaysWarm() {
		return time.Time{}
	}
	expiry := e.lastEvidence.Add(warmthTTL)
	if e.observed == 0 {
		expiry = e.lastEvidence.Add(idleWarmthTTL)
	}
	if now.Before(expiry) {
		return expiry
	}
	e.responses = 0
	if !e.cold() {
		e.doubtedSince = now
	}
	return time.Time{}
}

// confirmWarmth ends the doubt about the endpoint's warmth because of a request
// granted at the given time. A request granted before the doubt began or before
// the last connection failure doesn't count.
func (e *endpoint) confirmWarmth(now, grantedAt time.Time) {
	if grantedAt.Before(e.doubtedSince) || e.grantedBeforeFailure(grantedAt) {
		return
	}
	e.doubtedSince = time.Time{}
	e.lastEvidence = now
}

// provenSlots returns the slots that the endpoint is known to handle, or 0 if it
// counts as cold.
func (e *endpoint) provenSlots() int {
	if e.cold() {
		return 0
	}
	return e.rampedSlots
}

// limit returns the number of requests that the endpoint may run now.
func (e *endpoint) limit(now time.Time) int {
	switch {
	case !e.cfg.AcceptsWork || now.Before(e.pausedUntil):
		return 0
	case e.alwaysWarm():
		return e.cfg.Slots
	case e.cold():
		return e.cfg.ColdSlots
	}
	return min(e.cfg.Slots, e.rampedSlots)
}

// recordSuccess records a complete response, without a slow first token, to a
// request granted at the given time. A cold endpoint gets more slots only after
// several of them. A request granted before the last connection failure doesn't
// count.
func (e *endpoint) recordSuccess(now, grantedAt time.Time) {
	if e.grantedBeforeFailure(grantedAt) {
		return
	}
	e.pauseTime, e.coldSigns, e.failedAccount = 0, 0, nil
	e.lastEvidence = now
	if e.cold() {
		e.countWarmup()
	} else {
		e.grow()
	}
}

// recordProgress records progress of a request, which shows that the endpoint
// has not restarted.
func (e *endpoint) recordProgress(now time.Time) { e.lastEvidence = now }

// grow adds a slot if all slots up to the current limit are in use.
func (e *endpoint) grow() {
	if e.routeEntry.Busy >= e.rampedSlots {
		e.rampedSlots = min(e.cfg.Slots, e.rampedSlots+1)
	}
}

func (e *endpoint) countWarmup() {
	e.responses++
	if e.responses < warmResponses {
		return
	}
	e.responses, e.doubtedSince = 0, time.Time{}
	e.rampedSlots = min(e.cfg.Slots, max(e.rampedSlots, e.cfg.ColdSlots+1))
}

// recordError records an error response. Only errors for two different accounts
// make the endpoint count as cold, so that the invalid requests of one account
// don't reduce the capacity for the others.
func (e *endpoint) recordError(now time.Time, a *account) {
	if e.failedAccount != nil && e.failedAccount != a {
		e.markCold(now)
		return
	}
	e.failedAccount = a
}

// recordColdSign records a sign that the endpoint is cold.
func (e *endpoint) recordColdSign(now time.Time) {
	e.coldSigns++
	if e.coldSigns >= coldSignThreshold {
		e.markCold(now)
	}
}

// recordConnFailure pauses the endpoint after a connection failure of a request
// granted at the given time. It returns false, and does nothing, if the request
// was granted before the last failure: one crash breaks many connections.
func (e *endpoint) recordConnFailure(now, grantedAt time.Time) bool {
	if e.grantedBeforeFailure(grantedAt) {
		return false
	}
	e.markCold(now)
	e.connFailedAt = now
	e.suspectsAtFailure = e.suspects
	e.pauseTime = min(maxPause, max(initialPause, 2*e.pauseTime))
	e.pausedUntil = now.Add(e.pauseTime)
	return true
}

// grantedBeforeFailure reports whether the given time of a grant is not after
// the last connection failure.
func (e *endpoint) grantedBeforeFailure(grantedAt time.Time) bool {
	return !e.connFailedAt.IsZero() && !grantedAt.After(e.connFailedAt)
}

// mayBlame reports whether a request may have caused the last crash of the
// endpoint. If several suspects were running, those that had made progress are
// excluded.
func (e *endpoint) mayBlame(r *request) bool {
	return !r.suspect || r.isolated || e.suspectsAtFailure == 1
}

func (e *endpoint) markCold(now time.Time) {
	e.rampedSlots, e.responses, e.coldSigns, e.failedAccount = 0, 0, 0, nil
	e.doubtedSince, e.lastEvidence = time.Time{}, now
}
