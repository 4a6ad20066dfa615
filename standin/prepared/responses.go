package prepared

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
)

// FailAfterRun returns a handler that runs each request and then responds with
// the status, without the mark of a request that has not run.
func (r *Runner) FailAfterRun(status int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		recorder := httptest.NewRecorder()
		r.ServeHTTP(recorder, req)
		if recorder.Code != http.StatusOK {
			copyResponse(w, recorder)
			return
		}
		w.Header().Set("X-Attempt-Id", req.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Response-Seal", r.Seal(req.Header.Get("X-Attempt-Id")))
		w.WriteHeader(status)
	})
}

func copyResponse(w http.ResponseWriter, recorder *httptest.ResponseRecorder) {
	for name, values := range recorder.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(recorder.Body.Bytes()) // fails only if the caller left
}

// CrashAfterFirstEvent returns a handler that crashes the runner after the first
// event of each stream.
func (h *Host) CrashAfterFirstEvent() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		h.Runner.ServeHTTP(crashingWriter{w, h}, req)
	})
}

// crashingWriter crashes the host when a response is flushed.
type crashingWriter struct {
	http.ResponseWriter
	host *Host
}

func (w crashingWriter) Flush() {
	_ = http.NewResponseController(w.ResponseWriter).Flush() // the host crashes anyway
	w.host.Crash()
	panic(http.ErrAbortHandler)
}

// Floods are responses without end that begin at different places. None has a body
// that ends with the connection: it would be complete once the runner crashes.
var Floods = []Flood{
	{Start: "HTTP/1.1 200 OK\r\nX-Attempt-Id: ATTEMPT\r\n", Repeat: repeated("X-More: more\r\n")},
	{Start: "HTTP/1.1 200 OK\r\nX-Attempt-Id: ATTEMPT\r\nX-More: ", Repeat: repeated("more")},
	{Start: "HTTP/1.1 103 Early Hints\r\n\r\n", Repeat: repeated("HTTP/1.1 103 Early Hints\r\n\r\n")},
	{Start: "HTTP/1.1 200 OK\r\nX-Attempt-Id: ATTEMPT\r\nContent-Length: 1000000000000\r\n\r\n", Repeat: repeated("more")},
	{Start: "HTTP/1.1 200 OK\r\nX-Attempt-Id: ATTEMPT\r\nTransfer-Encoding: chunked\r\n\r\n", Repeat: repeated("4\r\nmore\r\n")},
	{Start: "HTTP/1.1 200 OK\r\nX-Attempt-Id: ATTEMPT\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nid: 1\ndata: \r\n", Repeat: repeated("4\r\nmore\r\n")},
	{Repeat: repeated("more\r\n")},
}

// repeated returns what a flood writes at a time.
func repeated(s string) string { return strings.Repeat(s, 64<<10/len(s)) }

// FloodAfterResponse returns a handler that runs each request and sends responses to
// nothing without end after its response.
func (r *Runner) FloodAfterResponse() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		recorder := httptest.NewRecorder()
		r.ServeHTTP(recorder, req)
		resp := recorder.Result()
		resp.ContentLength = int64(recorder.Body.Len())
		var start bytes.Buffer
		if err := resp.Write(&start); err != nil {
			panic(err) // a buffer takes everything
		}
		Flood{Start: start.String(), Repeat: repeated("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore")}.ServeHTTP(w, req)
	})
}
