package dispatch

import (
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

const (
	// prefillTokensPerMs is the rate at which a model runner prefills prompts
	// while it also generates, in tokens per millisecond. It is below the
	// prefill-only rate that engines state, 101 tokens per millisecond. The
	// latency factor of each endpoint corrects it.
	prefillTokensPerMs = 80.0
	// cachedFirstToken is the time to the first token for a cached prompt: a
	// few steps of a full batch.
	cachedFirstToken = 15 * time.Millisecond
	// latencyWeight is the weight of the newest observation in the
	// exponentially weighted moving average of the latency factor.
	latencyWeight = 0.1
	// latencySlack is added to observed and predicted times, so that small
	// absolute errors do not change the latency factor.
	latencySlack = 60 * time.Millisecond
	// tokenTimeWeight is the same for the time per token.
	tokenTimeWeight = 0.1
	// deadlineSlack is the factor by which the expected time to complete a
	// response may exceed the time left: the length is known to about that
	// factor.
	deadlineSlack = 1.2
	// maxLatencyFactor limits the effect of a single observation.
	maxLatencyFactor = 8.0

	// minPause and maxPause bound the pause after an endpoint could not be
	// reached. The pause doubles with each failure in a row. Endpoints that
	// crash are back after seconds.
	minPause = 100 * time.Millisecond
	maxPause = 1500 * time.Millisecond
	// rejectionPause is the pause after an endpoint reported that it is full.
	rejectionPause = 40 * time.Millisecond

	// errorDecayTime is the time constant with which past results lose weight
	// in the error rate.
	errorDecayTime = 3 * time.Second
)

// Load is what one router has in progress at an endpoint.
type Load struct {
	Active   int // requests sent and not finished
	Pending  int // prompt tokens sent and probably not yet prefilled
	Resident int // tokens that the requests hold in the endpoint's memory
}

func (l *Load) add(o Load) {
	l.Active += o.Active
	l.Pending += o.Pending
	l.Resident += o.Resident
}

// endpointState is what this router knows about one incarnation of an endpoint.
type endpointState struct {
	topology.Endpoint
	ownLoad  Load
	peerLoad Load // sum of the reports of other routers
	// readSinceReport is the number of prompt tokens that the endpoint reads while
	// a report is on its way.
	readSinceReport int
	// reservedSlots is the number of requests that wait for a slot here because
	// their prompts are cached. Requests without a cached prompt leave these
	// slots free.
	reservedSlots int

	latencyFactor   float64          // observed over predicted time to the first event, smoothed
	readRate        float64          // prompt tokens per millisecond, at latency factor 1
	baseFirstEvent  time.Duration    // to the first event for a cached prompt, at latency factor 1
	profile         *endpointProfile // nil: not used or nothing observed
	timePerToken    time.Duration    // of a single request, smoothed; 0: not observed yet
	errors          errorRate
	pausedUntil     time.Time
	connectFailures int // consecutive failures to connect
	misdirected     bool
	breaks          connectionBreaks
	weights         knownWeights
	unclearBreaks   []unclearBreak // oldest first

	cold          coldMark
	nextColdGrant time.Time // when the cold limit allows the next request
	coldRank      int       // result of Dispatcher.coldRank; -1: not computed
	nextCheck     time.Time // when this router may check its health again
	checker       answer    // whether this router checks its health

	cache promptCache
}

func newEndpointState(e topology.Endpoint) *endpointState {
	return &endpointState{Endpoint: e, latencyFactor: 1, readRate: prefillTokensPerMs, baseFirstEvent: cachedFirstToken, coldRank: -1, cache: promptCache{lastUse: map[uint64]partUse{}}}
}

// totalLoad returns the load from all routers. Of the prompt tokens that other
// routers report as pending, it leaves out those that the endpoint has read since.
func (ep *endpointState) totalLoad() Load {
	l := ep.ownLoad
	l.add(ep.peerLoad)
	l.Pending -= min(ep.peerLoad.Pending, ep.readSinceReport)
	return l
}

// addRequest adds a granted request to the load.
func (ep *endpointState) addRequest(t *Ticket) {
	t.endpoint, t.unreadTokens = ep, t.UncachedTokens
	ep.breaks.grant(t)
	ep.ownLoad.add(Load{Active: 1, Pending: t.UncachedTokens, Resident: t.Request.PromptTokens + t.Request.OutputTokens})
}

// markPromptRead removes the prompt of a request from the pending tokens.
func (ep *endpointState) markPromptRead(t *Ticket) {
	ep.ownLoad.Pending -= t.unreadTokens
	t.unreadTokens = 0
}

// release removes a finished request from the load.
func (ep *endpointState) release(t *Ticket) {
	ep.markPromptRead(t)
	ep.breaks.release(t)
	ep.ownLoad.Active--
	ep.ownLoad.Resident -= t.Request.PromptTokens + t.Request.OutputTokens
}

// predictFirstEvent returns the predicted time to the first event of a request
// with that many uncached prompt tokens.
func (ep *endpointState) predictFirstEvent(uncached int) time.Duration {
	ms := float64(ep.totalLoad().Pending+uncached) / ep.readRate
	return time.Duration((ms*float64(time.Millisecond) + float64(ep.baseFirstEvent)) * ep.latencyFactor)
}

// observeFirstEvent updates the latency factor with the time to a first event.
func (ep *endpointState) observeFirstEvent(elapsed, predicted time.Duration) {
	ratio := float64(elapsed+latencySlack) / float64(predicted+latencySlack) * ep.latencyFactor
	ratio = min(max(ratio, 0.7), maxLatencyFactor)
	ep.latencyFactor += latencyWeight * (ratio - ep.latencyFactor)
}

// observeTokens updates the time per token with the time for some tokens of a
// stream.
func (ep *endpointState) observeTokens(tokens int, elapsed time.Duration) {
	if tokens <= 0 {
		return
	}
	perToken := elapsed / time.Duration(tokens)
	if ep.timePerToken == 0 {
		ep.timePerToken = perToken
		return
	}
	ep.timePerToken += time.Duration(tokenTimeWeight * float64(perToken-ep.timePerToken))
}

// canMeetDeadline reports whether a response of the expected length would
// probably have its first event in time and be complete before the end, which is the
// deadline or earlier. Estimates of the length are rough.
func (ep *endpointState) canMeetDeadline(now time.Time, r *Request, end time.Time, uncached int) bool {
	first := ep.predictFirstEvent(uncached)
	if first > r.FirstEventDeadline.Sub(now) {
		return false
	}
	total := first + time.Duration(r.OutputTokens)*ep.tokenTime()
	return total <= time.Duration(deadlineSlack*float64(end.Sub(now)))
}

func (ep *endpointState) recordSuccess(now time.Time) {
	ep.connectFailures = 0
	ep.errors.record(now, false)
}

func (ep *endpointState) recordFailure(now time.Time) { ep.errors.record(now, true) }

// recordRejection pauses an endpoint that reported that it is full.
func (ep *endpointState) recordRejection(now time.Time) {
	ep.pausedUntil = later(ep.pausedUntil, now.Add(rejectionPause))
}

// pauseUnreachable pauses an endpoint that could not be connected to.
func (d *Dispatcher) pauseUnreachable(now time.Time, ep *endpointState) {
	if ep.connectFailures == 0 {
		clear(d.preferred)
	}
	ep.connectFailures++
	pause := min(minPause<<min(ep.connectFailures-1, 8), maxPause)
	ep.pausedUntil = later(ep.pausedUntil, now.Add(pause))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// decayingSum is a sum whose terms decay exponentially with time constant tau.
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

// errorRate is the ratio of failed requests, weighted towards the newest.
type errorRate struct{ failed, all decayingSum }

func (e *errorRate) record(now time.Time, failed bool) {
	e.all.add(now, 1, errorDecayTime)
	if failed {
		e.failed.add(now, 1, errorDecayTime)
	}
}

// failureRatio returns the ratio of failures. It stays low while there are few
// requests.
func (e *errorRate) failureRatio(now time.Time) float64 {
	const priorSuccesses = 3 // successful requests assumed in advance
	return e.failed.value(now, errorDecayTime) / (e.all.value(now, errorDecayTime) + priorSuccesses)
}
