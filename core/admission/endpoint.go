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
	coldSignThreshold = 2       // consecutive slow first tokens after which an endpoint counts as cold
	firstMemberRange  = 1 << 30 // exclusive limit of endpoint.firstMember
)

// endpoint is the owner's state of one endpoint.
//
// An endpoint is in one of three states of warmth:
//   - Cold: warmSlots is at most the cold limit. After warmResponses complete
//     responses it becomes warm, with one slot more than the cold limit.
//   - Warm: warmSlots is the number of requests that it has been shown to
//     handle, and grows as responses complete while all of them are in use. A
//     connection failure, errors for two accounts or several slow first tokens
//     make it cold.
//   - In doubt: doubtedSince is set, since no evidence of warmth arrived for
//     warmthTTL or idleWarmthTTL and the endpoint may have restarted. It counts
//     as cold, but keeps warmSlots. A first token at normal speed, a newer
//     report of a router or warmResponses complete responses make it warm again.
type endpoint struct {
	cfg                     Endpoint
	routeEntry              route.Endpoint // Limit is 0 unless it may get new requests
	declared                bool           // in the manifest in force
	firstMember             int            // index of the member that owns its first slot, modulo their number
	observed                int            // running requests whose updates arrive
	suspects                int            // running requests that crashed an endpoint before
	suspectsWithoutProgress int            // of these, the ones that have made no progress yet; see chooseRestricted

	warmSlots         int       // concurrent requests it has been shown to handle, even if its warmth is in doubt; 0: unknown
	responses         int       // complete responses while cold or in doubt
	lastEvidence      time.Time // newest response, progress, router report or sign of a cold endpoint
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
	return !e.alwaysWarm() && (e.warmSlots <= e.cfg.ColdSlots || !e.doubtedSince.IsZero())
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

// provenSlots returns warmSlots, or 0 if the endpoint counts as cold.
func (e *endpoint) provenSlots() int {
	if e.cold() {
		return 0
	}
	return e.warmSlots
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
	return min(e.cfg.Slots, e.warmSlots)
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
	if e.routeEntry.Busy >= e.warmSlots {
		e.warmSlots = min(e.cfg.Slots, e.warmSlots+1)
	}
}

func (e *endpoint) countWarmup() {
	e.responses++
	if e.responses < warmResponses {
		return
	}
	e.responses, e.doubtedSince = 0, time.Time{}
	e.warmSlots = min(e.cfg.Slots, max(e.warmSlots, e.cfg.ColdSlots+1))
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

// recordColdSign records a slow first token, which is a sign that the endpoint is
// cold.
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
	return !r.suspect || r.withoutProgress || e.suspectsAtFailure == 1
}

func (e *endpoint) markCold(now time.Time) {
	e.warmSlots, e.responses, e.coldSigns, e.failedAccount = 0, 0, 0, nil
	e.doubtedSince, e.lastEvidence = time.Time{}, now
}
