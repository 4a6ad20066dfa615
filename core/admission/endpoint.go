package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/route"
)

const (
	firstPause     = time.Second // after an endpoint broke; doubles
	maxPause       = 8 * time.Second
	provingAnswers = 8                       // whole answers before a cold endpoint gets more
	warmFor        = 30 * time.Second        // without an answer or progress
	idleFor        = 1200 * time.Millisecond // with nothing running; a start takes 2 s or longer, the rest is for news that is old
	signsOfCold    = 2                       // in a row
	homes          = 1 << 30
)

// endpoint is the owner's knowledge of one endpoint.
type endpoint struct {
	cfg      Endpoint
	place    route.Endpoint // its Limit is 0 unless it may get new work
	declared bool           // in the manifest in force
	home     int            // member that its first slot belongs to, modulo the members
	attended int            // requests there whose end will be reported
	suspects int            // requests there that crashed an endpoint before
	isolated int            // those of them without any progress

	ramp     int       // slots proved bearable; 0: nothing proved
	answers  int       // whole answers while cold or lapsed
	proofAt  time.Time // of the newest answer, progress or break
	lapsed   time.Time // since when its warmth is in doubt; zero: it is not
	signs    int       // signs of cold in a row
	accused  *account  // whose failed request was the last sign
	pause    time.Duration
	paused   time.Time // no new work before
	brokeAt  time.Time
	involved int // suspects there when it broke
}

func newEndpoint(name string) *endpoint {
	return &endpoint{
		cfg:   Endpoint{Name: name},
		place: route.Endpoint{Name: name},
		home:  int(xxhash.Sum64String(name) % homes),
	}
}

// alwaysWarm reports whether a start costs the endpoint nothing.
func (e *endpoint) alwaysWarm() bool { return e.cfg.ColdSlots >= e.cfg.Slots }

// cold reports whether the endpoint is not proved to bear more than its cold
// limit.
func (e *endpoint) cold() bool {
	return !e.alwaysWarm() && (e.ramp <= e.cfg.ColdSlots || !e.lapsed.IsZero())
}

// lapse puts what is proved of an endpoint in doubt if it may have restarted
// unnoticed. It returns when it should be asked again, or zero.
func (e *endpoint) lapse(now time.Time) time.Time {
	if e.alwaysWarm() {
		return time.Time{}
	}
	over := e.proofAt.Add(warmFor)
	if e.attended == 0 {
		over = e.proofAt.Add(idleFor)
	}
	if now.Before(over) {
		return over
	}
	e.answers = 0
	if !e.cold() {
		e.lapsed = now
	}
	return time.Time{}
}

// resume ends the doubt on the word of a request granted since.
func (e *endpoint) resume(now, granted time.Time) {
	if granted.Before(e.lapsed) || e.before(granted) {
		return
	}
	e.lapsed = time.Time{}
	e.proofAt = now
}

// proved returns the slots that the endpoint is proved to bear, or 0.
func (e *endpoint) proved() int {
	if e.cold() {
		return 0
	}
	return e.ramp
}

// limit is the number of slots that the endpoint bears now.
func (e *endpoint) limit(now time.Time) int {
	switch {
	case !e.cfg.Open || now.Before(e.paused):
		return 0
	case e.alwaysWarm():
		return e.cfg.Slots
	case e.cold():
		return e.cfg.ColdSlots
	}
	return min(e.cfg.Slots, e.ramp)
}

// answered takes in a whole answer at the usual speed to a request granted
// at the given time. A cold endpoint needs several to get more. An answer
// from before a break proves nothing.
func (e *endpoint) answered(now, granted time.Time) {
	if e.before(granted) {
		return
	}
	e.pause, e.signs, e.accused = 0, 0, nil
	e.proofAt = now
	if e.cold() {
		e.prove()
	} else {
		e.grow()
	}
}

// advanced notes progress of a request: an endpoint that works has not
// restarted.
func (e *endpoint) advanced(now time.Time) { e.proofAt = now }

// grow adds a slot if the present limit is in use.
func (e *endpoint) grow() {
	if e.place.Busy >= e.ramp {
		e.ramp = min(e.cfg.Slots, e.ramp+1)
	}
}

func (e *endpoint) prove() {
	e.answers++
	if e.answers < provingAnswers {
		return
	}
	e.answers, e.lapsed = 0, time.Time{}
	e.ramp = min(e.cfg.Slots, max(e.ramp, e.cfg.ColdSlots+1))
}

// failed notes an error answer. It is a sign of cold only together with one
// to another account, so that one account's bad requests cost the others no
// capacity.
func (e *endpoint) failed(now time.Time, a *account) {
	if e.accused != nil && e.accused != a {
		e.turnCold(now)
		return
	}
	e.accused = a
}

// sign notes a sign of cold.
func (e *endpoint) sign(now time.Time) {
	e.signs++
	if e.signs >= signsOfCold {
		e.turnCold(now)
	}
}

// broke pauses an endpoint that broke the connection of a request granted at
// the given time. It reports whether this is a new break and not one more
// connection of the last.
func (e *endpoint) broke(now, granted time.Time) bool {
	if e.before(granted) {
		return false
	}
	e.turnCold(now)
	e.brokeAt = now
	e.involved = e.suspects
	e.pause = min(maxPause, max(firstPause, 2*e.pause))
	e.paused = now.Add(e.pause)
	return true
}

// before reports whether a request was granted before the last break.
func (e *endpoint) before(granted time.Time) bool {
	return !e.brokeAt.IsZero() && !granted.After(e.brokeAt)
}

// blames reports whether a request that was there when the endpoint broke
// may be the cause. Of several suspects, only one without progress is.
func (e *endpoint) blames(r *request) bool {
	return !r.suspect || r.isolated || e.involved == 1
}

func (e *endpoint) turnCold(now time.Time) {
	e.ramp, e.answers, e.signs, e.accused = 0, 0, 0, nil
	e.lapsed, e.proofAt = time.Time{}, now
}
