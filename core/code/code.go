// Package code defines the numbered result codes that all components of
// cyclamenwinch report to callers, to operators and in logs.
//
// The table in this package is the single source of the codes. A test keeps
// docs/CODES.md equal to it.
package code

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code is a stable result number: 0 is success, 1xxx are invalid requests,
// 2xxx refusals because of load or configuration, 3xxx failures of an
// endpoint, 4xxx results of the order ledger, 5xxx results that operators
// receive (submissions of a manifest, a router's settings, other operator
// calls), 9xxx internal errors.
type Code int

// The result codes. Each constant has the published name of its code.
const (
	OK Code = 0

	BadRequest      Code = 1001
	UnknownKey      Code = 1002 // API key
	UnknownModel    Code = 1003
	BodyTooLarge    Code = 1004
	KeyMissing      Code = 1005 // idempotency key
	UnknownPath     Code = 1006
	TooManyRequests Code = 1007

	QueueFull    Code = 2001
	WaitTooLong  Code = 2002
	NoEndpoint   Code = 2003
	NoManifest   Code = 2004
	Quarantined  Code = 2005
	Stopping     Code = 2006
	OwnerLost    Code = 2007
	CallerLeft   Code = 2008 // the caller disconnected
	PlatformDown Code = 2009
	RetryBudget  Code = 2010
	NoMemory     Code = 2011

	EndpointError Code = 3001
	Truncated     Code = 3002
	Silent        Code = 3003 // timeout of the endpoint
	CrossedAnswer Code = 3004 // response to another request
	Unreachable   Code = 3005

	KeyReused      Code = 4001 // idempotency key
	OutcomeUnknown Code = 4002
	InProgress     Code = 4003
	NotRecorded    Code = 4004
	AnswerNotKept  Code = 4005

	BadManifest       Code = 5001
	Conflict          Code = 5002
	BadSettings       Code = 5003
	SubmitUnknown     Code = 5004
	NotAuthorized     Code = 5005
	PlatformError     Code = 5006
	ObjectNotFound    Code = 5007
	RouterUnreachable Code = 5008
	NotInForce        Code = 5009
	NoEvents          Code = 5010 // the request is not in the event log
	WorkCut           Code = 5011 // requests in progress were cut off by a stop

	Internal Code = 9001
)

// Info describes a code.
type Info struct {
	Code   Code
	Name   string // stable upper-camel-case name
	Status int    // HTTP status in responses to callers
	Text   string // one sentence: what happened
	Next   string // one sentence: what to do next
}

var table = []Info{
	{OK, "OK", http.StatusOK, "The request was served.", "Nothing."},
	{BadRequest, "BadRequest", http.StatusBadRequest, "The request can't be read.", "Correct the request; see the detail."},
	{UnknownKey, "UnknownKey", http.StatusUnauthorized, "The API key belongs to no client account.", "Use the key of a declared client account."},
	{UnknownModel, "UnknownModel", http.StatusNotFound, "No pool serves the named model.", "Name a model that the manifest declares."},
	{BodyTooLarge, "BodyTooLarge", http.StatusRequestEntityTooLarge, "The body is over the limit.", "Send a smaller body."},
	{KeyMissing, "KeyMissing", http.StatusBadRequest, "The path needs an Idempotency-Key header.", "Send a key that is unique to the order."},
	{UnknownPath, "UnknownPath", http.StatusNotFound, "No service is declared for the path.", "Use a path that the manifest declares."},
	{TooManyRequests, "TooManyRequests", http.StatusTooManyRequests, "The client account has too many open requests at this router.", "Wait as Retry-After says."},
	{QueueFull, "QueueFull", http.StatusTooManyRequests, "The queue of the client account is full.", "Wait as Retry-After says."},
	{WaitTooLong, "WaitTooLong", http.StatusServiceUnavailable, "The request can't be served within the declared wait.", "Wait as Retry-After says."},
	{NoEndpoint, "NoEndpoint", http.StatusServiceUnavailable, "No endpoint may take the request now.", "Wait as Retry-After says."},
	{NoManifest, "NoManifest", http.StatusServiceUnavailable, "The router has no configuration yet.", "Ask another router."},
	{Quarantined, "Quarantined", http.StatusUnprocessableEntity, "The request crashed endpoints and is quarantined.", "Change the request, or ask the operator to lift the quarantine."},
	{Stopping, "Stopping", http.StatusServiceUnavailable, "The router is stopping.", "Ask for addresses again."},
	{OwnerLost, "OwnerLost", http.StatusServiceUnavailable, "The router that admits requests to the pool can't be reached.", "Wait as Retry-After says."},
	{CallerLeft, "CallerLeft", 499, "The caller left before the answer.", "Nothing."},
	{PlatformDown, "PlatformDown", http.StatusServiceUnavailable, "The platform can't be reached, so the order can't be recorded.", "Send the same key again later."},
	{RetryBudget, "RetryBudget", http.StatusBadGateway, "The request failed and the retry budget is used up.", "Wait as Retry-After says."},
	{NoMemory, "NoMemory", http.StatusServiceUnavailable, "The router's memory for requests is in use.", "Wait as Retry-After says."},
	{EndpointError, "EndpointError", http.StatusBadGateway, "The endpoint failed while it ran the request.", "Send the request again if it may be repeated."},
	{Truncated, "Truncated", http.StatusBadGateway, "The answer ended before its end marker.", "Send the request again if it may be repeated."},
	{Silent, "Silent", http.StatusGatewayTimeout, "The endpoint went silent.", "Send the request again if it may be repeated."},
	{CrossedAnswer, "CrossedAnswer", http.StatusBadGateway, "The endpoint answered another request.", "Send the request again if it may be repeated."},
	{Unreachable, "Unreachable", http.StatusBadGateway, "The endpoint can't be reached.", "Send the request again."},
	{KeyReused, "KeyReused", http.StatusUnprocessableEntity, "The key was used with another body.", "Use a new key for a new order."},
	{OutcomeUnknown, "OutcomeUnknown", http.StatusBadGateway, "The order was sent, and its outcome is unknown.", "Ask the operator to settle it; don't use a new key."},
	{InProgress, "InProgress", http.StatusConflict, "The order is in progress.", "Send the same key again as Retry-After says."},
	{NotRecorded, "NotRecorded", http.StatusNotFound, "No order is recorded under the key.", "Check the key and the client account."},
	{AnswerNotKept, "AnswerNotKept", http.StatusBadGateway, "The order was executed; its answer was too large to be recorded.", "Ask the order runner for the answer; don't use a new key."},
	{BadManifest, "BadManifest", http.StatusUnprocessableEntity, "The manifest has faults.", "Correct every fault named and submit again."},
	{Conflict, "Conflict", http.StatusConflict, "Another change was accepted first.", "Read the difference and submit again."},
	{BadSettings, "BadSettings", http.StatusUnprocessableEntity, "The settings have faults.", "Correct every fault named and start again."},
	{SubmitUnknown, "SubmitUnknown", http.StatusServiceUnavailable, "The platform did not say whether the manifest was accepted.", "Run status, then submit again if needed."},
	{NotAuthorized, "NotAuthorized", http.StatusUnauthorized, "The operator credential is wrong.", "Use the credential from the router's settings."},
	{PlatformError, "PlatformError", http.StatusBadGateway, "The platform refused or failed a call.", "See the detail and the platform's own logs."},
	{ObjectNotFound, "ObjectNotFound", http.StatusNotFound, "The platform holds no such object.", "Submit a manifest first, or check the name."},
	{RouterUnreachable, "RouterUnreachable", http.StatusBadGateway, "The router does not answer operators.", "Name another router with --ops, or start this one."},
	{NotInForce, "NotInForce", http.StatusGatewayTimeout, "The generation is not in force at every router.", "Run status to see which routers lag, then wait again."},
	{NoEvents, "NoEvents", http.StatusNotFound, "No router's time line holds such an event.", "Check the request id; the time line keeps the newest events only."},
	{WorkCut, "WorkCut", http.StatusServiceUnavailable, "The router stopped before its requests had ended.", "Raise stop_seconds, or send one signal only."},
	{Internal, "Internal", http.StatusInternalServerError, "The router failed.", "Report the request id to the operator."},
}

// Table returns all codes in ascending order. The caller must not change it.
func Table() []Info { return table }

// Info returns the description of c, or that of Internal if c is unknown.
func (c Code) Info() Info {
	for _, info := range table {
		if info.Code == c {
			return info
		}
	}
	return Internal.Info()
}

// String returns the number and the name, for example "2001 QueueFull".
func (c Code) String() string {
	return fmt.Sprintf("%d %s", int(c), c.Info().Name)
}

// Error is an error with a result code. NotRun is true only if it is certain
// that no endpoint ran any part of the request.
type Error struct {
	Code       Code
	NotRun     bool
	Detail     string
	RetryAfter time.Duration // 0: unspecified
}

// Error returns the code and its name, followed by the detail or, without one,
// by the text of the code.
func (e *Error) Error() string {
	if e.Detail == "" {
		return e.Code.String() + ": " + e.Code.Info().Text
	}
	return e.Code.String() + ": " + e.Detail
}

// Refuse returns an error for a request that no endpoint ran any part of.
func Refuse(c Code, detail string) *Error {
	return &Error{Code: c, NotRun: true, Detail: detail}
}

// Fail returns an error for a request that an endpoint ran or may have run.
func Fail(c Code, detail string) *Error {
	return &Error{Code: c, Detail: detail}
}

// Is reports whether err or an error that it wraps has the code c.
func Is(err error, c Code) bool {
	var coded *Error
	return errors.As(err, &coded) && coded.Code == c
}

// PromisesNotRun reports whether an HTTP status tells callers that their request did
// not run. An endpoint's own response with such a status may be to a request that ran,
// so it is not forwarded.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// IsFinalStatus reports whether an HTTP status ends a request. Statuses from 600 on are
// undefined (RFC 9110), and those below 200 are interim or undefined; 101 would follow only
// a request to change the protocol, which no request of a router is. A response with any
// other status is a failure after which the request may have run.
func IsFinalStatus(status int) bool { return status >= 200 && status <= 599 }
