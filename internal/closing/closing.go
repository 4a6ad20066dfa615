// Package closing ends HTTP/1.1 connections without destroying the last response.
package closing

import (
	"io"
	"net/http"
	"time"
)

const (
	// maxRestBytes limits how much of a request body is read after the response. It is
	// the usual limit of a body.
	maxRestBytes = 4 << 20
	// maxRestTime limits how long the rest of a body is waited for.
	maxRestTime = 500 * time.Millisecond
)

// ReadRest returns a handler that reads the rest of the body after next has responded, if
// the request or the response has "Connection: close". net/http closes the connection
// with these bytes unread, or with those beyond 256 KiB, which resets it: a client that
// is still sending fails before it reads the response.
func ReadRest(next http.Handler) http.Handler { return readRestWithin(maxRestTime, next) }

func readRestWithin(limit time.Duration, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r)
		closes := r.Close || w.Header().Get("Connection") == "close"
		if !closes || r.Body == nil || r.Body == http.NoBody || r.Header.Get("Expect") != "" {
			return // nothing is to be read, or the client may not send it
		}
		control := http.NewResponseController(w)
		if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(limit)) != nil {
			return
		}
		// An error means that the client has closed the connection or is too slow.
		_, _ = io.CopyN(io.Discard, r.Body, maxRestBytes)
	})
}
