// Package relay takes requests from clients and passes them on to endpoints:
// one path for every kind of request, from the match of a route to the last
// byte of the answer.
//
// It never sends a request again unless its kind allows it or an endpoint has
// proved that it did not run. An answer that breaks off is never made to look
// whole, and a refusal says "not run" only where nothing was sent or the
// endpoint said so.
package relay

import (
	"net/http"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
)

// RequestMeta is what a client says of a request beside method, path and body.
type RequestMeta struct {
	ID           string // of this attempt of the client; empty: none
	APIKey       string // API key; empty: none
	Timeout      time.Duration
	Parts        []dispatch.PromptPart // of the prompt
	PromptTokens int                   // tokens
	MaxOutput    int                   // tokens
	OutputHint   int                   // the client's estimate of the output, in tokens; 0: none
	LastEventID  string                // the client resumes a stream after this event
}

// ForwardMeta is what the router says to an endpoint beside the client's own.
type ForwardMeta struct {
	Endpoint    string // ID of the endpoint that the request is meant for
	Account     string // empty: none
	Remaining   time.Duration
	LastEventID string // resume after this event; empty: as the client sent it
}

// ResponseMeta is what an endpoint says of an answer beside status and body.
type ResponseMeta struct {
	ID     string // of the request that it answers
	NotRun bool   // the endpoint did not run the request
}

// Protocol translates between header fields and the relay's types.
type Protocol interface {
	// ReadRequest reads what the client said and removes from the header
	// what must not reach an endpoint.
	ReadRequest(h http.Header) RequestMeta
	// WriteRequest sets what the router says to the endpoint.
	WriteRequest(h http.Header, f ForwardMeta)
	// ReadResponse reads what the endpoint said.
	ReadResponse(status int, h http.Header) ResponseMeta
}

// connectionFields concern one connection only and are never passed on.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of the fields that may be passed on.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h["Connection"] {
		for _, name := range splitList(list) {
			out.Del(name)
		}
	}
	for _, name := range connectionFields {
		out.Del(name)
	}
	return out
}
