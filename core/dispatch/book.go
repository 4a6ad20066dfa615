package dispatch

import (
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

const (
	// prefillTokensPerMs is the rate at which a model runner reads prompts while
	// it also generates, in tokens a millisecond: below the rate that engines
	// state for prompts alone (101). A book's slowness corrects it.
	prefillTokensPerMs = 80.0
	// cachedFirstToken is the time to the first token of a prompt that is cached:
	// some steps of a full batch.
	cachedFirstToken = 15 * time.Millisecond
	// latencyGain is the weight of one new observation of an endpoint's speed.
	latencyGain = 0.1
	// latencySlack keeps small absolute errors of a prediction from counting
	// as slowness.
	latencySlack = 60 * time.Millisecond
	// tokenTimeGain is the weight of one new observation of the time that a token
	// takes.
	tokenTimeGain = 0.1
	// deadlineSlack is how far the expected end of an answer may lie beyond its
	// deadline: the length is known to about that factor.
	deadlineSlack = 1.2
	// maxLatencyFactor bounds what one observation can say.
	maxLatencyFactor = 8.0

	// minPause and pauseLongest bound the pause after an endpoint could not
	// be reached; the pause doubles between them. Endpoints that crash are
	// back after seconds.
	minPause = 100 * time.Millisecond
	maxPause = 1500 * time.Millisecond
	// rejectionPause is the pause after an endpoint said that it is full.
	rejectionPause = 40 * time.Millisecond

	// errorDecayTime is how fast failures are forgotten.
	errorDecayTime = 3 * time.Second
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

// endpointState is what a router knows of one incarnation of an endpoint.
type endpointState struct {
	topology.Endpoint
	ownLoad  Load
	peerLoad Load // sum of the other routers' reports
	// reservedSlots is how many requests wait for a slot here because their prompts
	// are cached; slots for others are kept free for them.
	reservedSlots int

	latencyFactor   float64       // observed over predicted time to the first event, smoothed
	timePerToken    time.Duration // of one token of one request, smoothed; 0: not seen yet
	errors          errorRate
	pausedUntil     time.Time
	connectFailures int // connections in a row that could not be made
	misdirected     bool

	coldUntil     time.Time
	nextColdGrant time.Time // when the cold limit allows the next request
	coldRank      int       // place of this router among those that may use it while cold; -1: not worked out

	cache promptCache
}

func newEndpointState(e topology.Endpoint) *endpointState {
	return &endpointState{Endpoint: e, latencyFactor: 1, coldRank: -1, cache: promptCache{lastUse: map[uint64]int{}}}
}

// totalLoad returns what all routers have in progress there.
func (b *endpointState) totalLoad() Load {
	l := b.ownLoad
	l.add(b.peerLoad)
	return l
}

// addRequest books a granted request.
func (b *endpointState) addRequest(t *Ticket) {
	t.endpoint, t.unreadTokens = b, t.UncachedTokens
	b.ownLoad.add(Load{Active: 1, Pending: t.UncachedTokens, Resident: t.Request.PromptTokens + t.Request.OutputTokens})
}

// markPromptRead books that the prompt of a request has been markPromptRead.
func (b *endpointState) markPromptRead(t *Ticket) {
	b.ownLoad.Pending -= t.unreadTokens
	t.unreadTokens = 0
}

func (b *endpointState) release(t *Ticket) {
	b.markPromptRead(t)
	b.ownLoad.Active--
	b.ownLoad.Resident -= t.Request.PromptTokens + t.Request.OutputTokens
}

// predictFirstEvent returns the time until the first event of a request that has
// missing tokens to read.
func (b *endpointState) predictFirstEvent(missing int) time.Duration {
	ms := float64(b.totalLoad().Pending+missing) / prefillTokensPerMs
	return time.Duration((ms*float64(time.Millisecond) + float64(cachedFirstToken)) * b.latencyFactor)
}

// observeFirstEvent learns from the time that a first event took.
func (b *endpointState) observeFirstEvent(took, predicted time.Duration) {
	ratio := float64(took+latencySlack) / float64(predicted+latencySlack) * b.latencyFactor
	ratio = min(max(ratio, 0.7), maxLatencyFactor)
	b.latencyFactor += latencyGain * (ratio - b.latencyFactor)
}

// observeTokens learns from the time that some tokens of a stream took.
func (b *endpointState) observeTokens(tokens int, took time.Duration) {
	if tokens <= 0 {
		return
	}
	pace := took / time.Duration(tokens)
	if b.timePerToken == 0 {
		b.timePerToken = pace
		return
	}
	b.timePerToken += time.Duration(tokenTimeGain * float64(pace-b.timePerToken))
}

// canMeetDeadline reports whether an answer of the expected length would probably
// be whole before the deadline. Estimates of the length are rough.
func (b *endpointState) canMeetDeadline(now time.Time, r *Request, missing int) bool {
	first := b.predictFirstEvent(missing)
	if first > r.FirstEventDeadline.Sub(now) {
		return false
	}
	whole := first + time.Duration(r.OutputTokens)*b.timePerToken
	return whole <= time.Duration(deadlineSlack*float64(r.Deadline.Sub(now)))
}

func (b *endpointState) recordSuccess(now time.Time) {
	b.connectFailures = 0
	b.errors.record(now, false)
}

func (b *endpointState) recordFailure(now time.Time) { b.errors.record(now, true) }

// recordRejection pauses an endpoint that says it is full.
func (b *endpointState) recordRejection(now time.Time) {
	b.pausedUntil = later(b.pausedUntil, now.Add(rejectionPause))
}

// markUnreachable pauses an endpoint to which no connection could be made. Once
// it is reached again it has probably restarted, so it counts as cold.
func (d *Dispatcher) markUnreachable(now time.Time, b *endpointState) {
	if b.connectFailures == 0 {
		clear(d.preferred)
	}
	b.connectFailures++
	pause := min(minPause<<min(b.connectFailures-1, 8), maxPause)
	b.pausedUntil = later(b.pausedUntil, now.Add(pause))
	d.markCold(b, now, d.coldDuration(b)+pause)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// decayingSum is a sum whose parts fade with time constant tau.
type decayingSum struct {
	sum float64
	at  time.Time
}

func (d *decayingSum) add(now time.Time, x float64, tau time.Duration) {
	d.sum = d.value(now, tau) + x
	d.at = now
}

func (d *decayingSum) value(now time.Time, tau time.Duration) float64 {
	if d.sum == 0 || !now.After(d.at) {
		return d.sum
	}
	return d.sum * decayFactor(now.Sub(d.at), tau)
}

// errorRate is the share of requests that failed, newest most.
type errorRate struct{ failed, all decayingSum }

func (e *errorRate) record(now time.Time, failed bool) {
	e.all.add(now, 1, errorDecayTime)
	if failed {
		e.failed.add(now, 1, errorDecayTime)
	}
}

// failureRatio returns the failureRatio of failures; few requests say little.
func (e *errorRate) failureRatio(now time.Time) float64 {
	const priorSuccesses = 3 // requests that count as sound beforehand
	return e.failed.value(now, errorDecayTime) / (e.all.value(now, errorDecayTime) + priorSuccesses)
}
