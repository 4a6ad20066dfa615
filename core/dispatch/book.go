package dispatch

import (
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

const (
	// readTokensPerMs is the rate at which a model runner reads prompts while
	// it also generates, in tokens a millisecond: below the rate that engines
	// state for prompts alone (101). A book's slowness corrects it.
	readTokensPerMs = 80.0
	// firstStep is the time to the first token of a prompt that is cached:
	// some steps of a full batch.
	firstStep = 15 * time.Millisecond
	// slownessGain is the weight of one new observation of an endpoint's speed.
	slownessGain = 0.1
	// slownessSlack keeps small absolute errors of a prediction from counting
	// as slowness.
	slownessSlack = 60 * time.Millisecond
	// paceGain is the weight of one new observation of the time that a token
	// takes.
	paceGain = 0.1
	// finishSlack is how far the expected end of an answer may lie beyond its
	// deadline: the length is known to about that factor.
	finishSlack = 1.2
	// slowestFactor bounds what one observation can say.
	slowestFactor = 8.0

	// pauseFirst and pauseLongest bound the pause after an endpoint could not
	// be reached; the pause doubles between them. Endpoints that crash are
	// back after seconds.
	pauseFirst   = 100 * time.Millisecond
	pauseLongest = 1500 * time.Millisecond
	// fullPause is the pause after an endpoint said that it is full.
	fullPause = 40 * time.Millisecond

	// errorHalfLife is how fast failures are forgotten.
	errorHalfLife = 3 * time.Second
)

// Load is what one router has in progress at an endpoint.
type Load struct {
	Active   int // requests sent and not ended
	Pending  int // prompt tokens sent and probably not yet read
	Resident int // tokens that the requests hold in the endpoint's memory
}

func (l *Load) add(o Load) {
	l.Active += o.Active
	l.Pending += o.Pending
	l.Resident += o.Resident
}

// book is what a router knows of one incarnation of an endpoint.
type book struct {
	topology.Endpoint
	own   Load
	peers Load // sum of the other routers' reports
	// wanted is how many requests wait for a slot here because their prompts
	// are cached; slots for others are kept free for them.
	wanted int

	slowness    float64       // observed over predicted time to the first event, smoothed
	pace        time.Duration // of one token of one request, smoothed; 0: not seen yet
	errors      errorRate
	pausedUntil time.Time
	failures    int // connections in a row that could not be made
	misdirected bool

	coldUntil time.Time
	coldGrant time.Time // when the cold limit allows the next request
	rank      int       // place of this router among those that may use it while cold; -1: not worked out

	cache cache
}

func newBook(e topology.Endpoint) *book {
	return &book{Endpoint: e, slowness: 1, rank: -1, cache: cache{used: map[uint64]int{}}}
}

// load returns what all routers have in progress there.
func (b *book) load() Load {
	l := b.own
	l.add(b.peers)
	return l
}

// take books a granted request.
func (b *book) take(t *Ticket) {
	t.book, t.pending = b, t.UncachedTokens
	b.own.add(Load{Active: 1, Pending: t.UncachedTokens, Resident: t.Request.PromptTokens + t.Request.OutputTokens})
}

// read books that the prompt of a request has been read.
func (b *book) read(t *Ticket) {
	b.own.Pending -= t.pending
	t.pending = 0
}

func (b *book) release(t *Ticket) {
	b.read(t)
	b.own.Active--
	b.own.Resident -= t.Request.PromptTokens + t.Request.OutputTokens
}

// predict returns the time until the first event of a request that has
// missing tokens to read.
func (b *book) predict(missing int) time.Duration {
	ms := float64(b.load().Pending+missing) / readTokensPerMs
	return time.Duration((ms*float64(time.Millisecond) + float64(firstStep)) * b.slowness)
}

// observe learns from the time that a first event took.
func (b *book) observe(took, predicted time.Duration) {
	ratio := float64(took+slownessSlack) / float64(predicted+slownessSlack) * b.slowness
	ratio = min(max(ratio, 0.7), slowestFactor)
	b.slowness += slownessGain * (ratio - b.slowness)
}

// generated learns from the time that some tokens of a stream took.
func (b *book) generated(tokens int, took time.Duration) {
	if tokens <= 0 {
		return
	}
	pace := took / time.Duration(tokens)
	if b.pace == 0 {
		b.pace = pace
		return
	}
	b.pace += time.Duration(paceGain * float64(pace-b.pace))
}

// canFinish reports whether an answer of the expected length would probably
// be whole before the deadline. Estimates of the length are rough.
func (b *book) canFinish(now time.Time, r *Request, missing int) bool {
	first := b.predict(missing)
	if first > r.FirstEventDeadline.Sub(now) {
		return false
	}
	whole := first + time.Duration(r.OutputTokens)*b.pace
	return whole <= time.Duration(finishSlack*float64(r.Deadline.Sub(now)))
}

func (b *book) succeeded(now time.Time) {
	b.failures = 0
	b.errors.note(now, false)
}

func (b *book) failed(now time.Time) { b.errors.note(now, true) }

// rejected pauses an endpoint that says it is full.
func (b *book) rejected(now time.Time) {
	b.pausedUntil = later(b.pausedUntil, now.Add(fullPause))
}

// unreachable pauses an endpoint to which no connection could be made. Once
// it is reached again it has probably restarted, so it counts as cold.
func (d *Dispatcher) unreachable(now time.Time, b *book) {
	if b.failures == 0 {
		clear(d.homes)
	}
	b.failures++
	pause := min(pauseFirst<<min(b.failures-1, 8), pauseLongest)
	b.pausedUntil = later(b.pausedUntil, now.Add(pause))
	d.markCold(b, now, d.coldFor(b)+pause)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// decayed is a sum whose parts fade with time constant tau.
type decayed struct {
	sum float64
	at  time.Time
}

func (d *decayed) add(now time.Time, x float64, tau time.Duration) {
	d.sum = d.value(now, tau) + x
	d.at = now
}

func (d *decayed) value(now time.Time, tau time.Duration) float64 {
	if d.sum == 0 || !now.After(d.at) {
		return d.sum
	}
	return d.sum * fade(now.Sub(d.at), tau)
}

// errorRate is the share of requests that failed, newest most.
type errorRate struct{ failed, all decayed }

func (e *errorRate) note(now time.Time, failed bool) {
	e.all.add(now, 1, errorHalfLife)
	if failed {
		e.failed.add(now, 1, errorHalfLife)
	}
}

// share returns the share of failures; few requests say little.
func (e *errorRate) share(now time.Time) float64 {
	const doubt = 3 // requests that count as sound beforehand
	return e.failed.value(now, errorHalfLife) / (e.all.value(now, errorHalfLife) + doubt)
}
