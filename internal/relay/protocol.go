// Package relay forwards client requests to endpoints on a prepared platform. All
// kinds of requests take the same path, from matching a route to the last byte of
// the response.
//
// A request is retried only if its kind allows it or an endpoint has confirmed
// that the request did not run. A truncated response is never passed off as
// complete, and a refusal says "not run" only if nothing was sent or the
// endpoint said so.
package relay

import (
	"net/http"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
)

// RequestMeta holds the properties of a request that the client states in its
// header.
type RequestMeta struct {
	ID           string                // of the request, another one for each retry by the client; a request without one is refused
	APIKey       string                // empty: none
	Timeout      time.Duration         // 0: none
	Parts        []dispatch.PromptPart // of the prompt, in order
	PromptTokens int
	MaxOutput    int    // tokens
	OutputHint   int    // estimated output in tokens; 0: none
	LastEventID  string // resume the stream after this event; empty: from the start
	Weights      dispatch.Weights
}

// ForwardMeta holds what the router adds to the header of a request that it
// forwards to an endpoint.
type ForwardMeta struct {
	Endpoint    string        // ID of the endpoint that the request is addressed to
	Account     string        // empty: none
	Remaining   time.Duration // until the request's deadline
	LastEventID string        // resume after this event; empty: as the client sent it
}

// ResponseMeta holds the properties of a response that the endpoint states in
// its header.
type ResponseMeta struct {
	ID       string // of the request that the response belongs to
	NotRun   bool   // the endpoint did not run the request
	Endpoint string // ID of the endpoint that responds; empty: not stated
	Weights  string // version of the weights of the request's model; empty: not stated
	// Leaving says that the endpoint leaves and wants no further requests; Pause for
	// how long it wants none of this router.
	Leaving bool
	Pause   time.Duration
}

// Protocol translates between HTTP header fields and the types of this package.
type Protocol interface {
	// ReadRequest reads the header of a client's request and removes the
	// fields that must not reach an endpoint.
	ReadRequest(h http.Header) RequestMeta
	// WriteRequest sets the header fields that the router adds for the
	// endpoint.
	WriteRequest(h http.Header, f ForwardMeta)
	// ReadResponse reads the header of an endpoint's response.
	ReadResponse(status int, h http.Header) ResponseMeta
}

// hopByHopFields apply to a single connection and are never forwarded.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeader returns a copy of the header without hop-by-hop fields.
func endToEndHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h["Connection"] {
		for _, name := range splitList(list) {
			out.Del(name)
		}
	}
	for _, name := range hopByHopFields {
		out.Del(name)
	}
	return out
}
