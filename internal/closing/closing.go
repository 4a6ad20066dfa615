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
// is still sending fails before it reads the response. On other connections net/http reads
// the rest, up to 256 KiB; a client that does not send it is not waited for either.
func ReadRest(next http.Handler) http.Handler { return readRestWithin(maxRestTime, next) }

func readRestWithin(limit time.Duration, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := &trackedBody{ReadCloser: r.Body}
		if r.Body != nil && r.Body != http.NoBody {
			r.Body = body
		}
		next.ServeHTTP(w, r)
		if r.Body != body || body.ended || r.Header.Get("Expect") != "" {
			return // nothing is to be read, or the client may not send it
		}
		control := http.NewResponseController(w)
		// The server sets another deadline for the next request.
		if control.SetReadDeadline(time.Now().Add(limit)) != nil {
			return
		}
		if closes := r.Close || w.Header().Get("Connection") == "close"; !closes || control.Flush() != nil {
			return
		}
		// An error means that the client has closed the connection or is too slow.
		_, _ = io.CopyN(io.Discard, r.Body, maxRestBytes)
	})
}

// trackedBody is a request body.
type trackedBody struct {
	io.ReadCloser
	ended bool // it was read to its end, or can't be read further
}

// Read reads from the body.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || err != nil
	return n, err
}
