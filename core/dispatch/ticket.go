package dispatch

import (
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

// PromptPart is a segment of a prompt. Requests may share all parts but their
// last. A part can be cached only together with all parts before it.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// MaxPromptParts limits the parts of a prompt that a request names. Those beyond it, but for
// its own, are left out and so count as not cached.
const MaxPromptParts = 256

// Request holds the properties of a request that the decision depends on.
type Request struct {
	ID                 string
	Account            string // empty: no client account
	Service            string
	Priority           int          // 0 is the highest
	Resource           uint64       // what a request without a body asks for; 0: it has a body
	Parts              []PromptPart // shared parts, then one that only this request has; empty: not a model request
	PromptTokens       int          // in all parts together
	OutputTokens       int          // expected tokens in the response
	Arrived            time.Time    // the caller has been waiting for an event since then
	Objective          time.Time    // a first event by then meets the latency objective in full
	FirstEventDeadline time.Time    // the caller gives up if there is no event by then
	Deadline           time.Time    // the response is of no use after it
	ExcludedEndpoints  []string     // IDs of endpoints that must not receive the request again
	Weights            Weights      // the model, and the version that the endpoint must have
	WeightsMissed      bool         // an endpoint has rejected it for other weights
	Retry              bool         // an endpoint may have received it before; its cost is already charged
	Route              string       // by which responses are compared with others

	onlyKnownWeights bool // of the endpoints, only those known to have the weights may receive it
	onTarget         bool // it uses the exposure of the version that is brought in
}

// cost returns what a request charges against its account's share: 1 for each
// prompt token, 2 for each output token, and 1 for a plain request.
func (r *Request) cost() float64 {
	if len(r.Parts) == 0 && r.PromptTokens == 0 {
		return 1
	}
	return float64(r.PromptTokens + 2*r.OutputTokens)
}

// State is the state of a ticket.
type State int

const (
	Waiting State = iota + 1
	Granted
	Refused
	Finished
)

// Reason is the reason for which a request was refused.
type Reason int

const (
	NoEndpoint          Reason = iota + 1 // the service has no usable endpoint
	WaitTooLong                           // the expected wait in the queue is too long
	WaitExpired                           // the request reached the longest time it may wait
	DeadlineUnreachable                   // no endpoint could complete the response by the deadline
	NoWeights                             // no usable endpoint has the version of the weights that it names
	PartQuarantined                       // a part of the prompt crashes endpoints
	ExitTooSoon                           // no endpoint could complete the response before this router exits
	TooLarge                              // the prompt exceeds the memory of each endpoint
)

// String returns the name of the reason in logs. These names are fixed; two of
// them differ from the names of the constants.
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
	case NoWeights:
		return "no_endpoint_with_weights"
	case PartQuarantined:
		return "part_quarantined"
	case ExitTooSoon:
		return "not_whole_before_exit"
	case TooLarge:
		return "prompt_exceeds_memory"
	}
	return ""
}

// Ticket is a request submitted to the dispatcher, with the decision about it.
type Ticket struct {
	Request    Request
	State      State
	Endpoint   topology.Endpoint // the target, once granted
	Reason     Reason
	RetryAfter time.Duration // for the client, with a refusal

	GrantedAt           time.Time
	PredictedFirstEvent time.Duration // time to the first event, as predicted at the grant
	EndpointWeights     string        // version of the request's model at the endpoint; empty: unknown
	UncachedTokens      int           // prompt tokens that the endpoint probably has to prefill
	RecomputedTokens    int           // of these, tokens shared with other requests
	OverShare           bool          // at the decision, the account had used up its share
	ObjectiveMissed     bool          // at the decision, it was too late to meet the objective
	RecentUsage         float64       // at the decision, recent cost of the account in the whole fleet
	FairShare           float64       // cost that the account may use in the same time; +Inf: no limit
	ExpectedWait        time.Duration // time in the queue, as expected on arrival

	Blocked BlockedEndpoints // at the last attempt to place it

	endpoint            *endpointState
	troubled            bool          // counted as a failure of the endpoint
	breakSeries         int           // series of broken connections during which it was granted
	unreadTokens        int           // tokens counted as not yet prefilled
	sentAt              time.Time     // last confirmed to be sent; zero: not yet
	readTokens          int           // at the grant, those that the endpoint had to prefill before the first event
	accountUsage        float64       // recent usage of the account at the last sort of the queue
	fastestFirstEvent   time.Duration // predicted for the best endpoint at the last attempt to place it
	awaitsCache         bool          // waiting for the endpoint that has its prompt cached
	deadlineUnreachable bool          // at the last check, no endpoint could complete the response in time
	rollout             ticketRollout
}

// BlockedEndpoints counts the endpoints that a request could not be sent to, by
// what they lacked for it.
type BlockedEndpoints struct {
	Unavailable int // paused after a failure, or at this router's limit of requests
	TooLate     int // could not complete the response in time
	Slots       int // no slot free within the limits of the request
	Memory      int // too little memory free
	Prefill     int // too many prompt tokens to prefill before
	Cold        int // the limit of a cold endpoint is reached
}

func (b *BlockedEndpoints) add(o BlockedEndpoints) {
	b.Unavailable += o.Unavailable
	b.TooLate += o.TooLate
	b.Slots += o.Slots
	b.Memory += o.Memory
	b.Prefill += o.Prefill
	b.Cold += o.Cold
}
