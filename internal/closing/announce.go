package closing

import "net/http"

// Announce returns a handler whose responses say "Connection: close" once CloseIdle was
// called. HTTP/2 connections accept no further requests then either.
func (s *Conns) Announce(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := &announcer{ResponseWriter: w, conns: s}
		next.ServeHTTP(a, r)
		a.announce() // the response is empty unless its head was written
	})
}

// announcer announces the close when the head is written, as the server may have begun
// to stop since the request arrived.
type announcer struct {
	http.ResponseWriter
	conns *Conns
	wrote bool // the head
}

func (a *announcer) announce() {
	if !a.wrote && a.conns.ending.Load() {
		a.Header().Set("Connection", "close")
	}
}

// WriteHeader writes the head of the response.
func (a *announcer) WriteHeader(status int) {
	a.announce()
	a.wrote = a.wrote || status >= http.StatusOK
	a.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (a *announcer) Write(p []byte) (int, error) {
	a.announce()
	a.wrote = true
	return a.ResponseWriter.Write(p)
}

// FlushError writes the head if that was not done.
func (a *announcer) FlushError() error {
	a.announce()
	a.wrote = true
	return http.NewResponseController(a.ResponseWriter).Flush()
}

// Unwrap is for http.ResponseController.
func (a *announcer) Unwrap() http.ResponseWriter { return a.ResponseWriter }
