package daemon

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
)

// bodyTimeout is the time within which a caller must send the request body.
const bodyTimeout = 30 * time.Second

// callerHandler wraps the callers' API: /health fails while the router is
// stopping, and request bodies must arrive within bodyTimeout.
func (d *Daemon) callerHandler() http.Handler {
	next := d.callers.Handler()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, r *http.Request) {
		if d.fleet.Self().Leaving {
			writeProblem(w, code.Refuse(code.Stopping, ""))
			return
		}
		next.ServeHTTP(w, r)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		r.Body = withBodyDeadline(w, r)
		next.ServeHTTP(w, r)
	})
	return mux
}

func writeProblem(w http.ResponseWriter, failure *code.Error) {
	w.Header().Set("Content-Type", code.ProblemType)
	w.WriteHeader(failure.Code.Info().Status)
	json.NewEncoder(w).Encode(code.NewProblem(failure, ""))
}

// withBodyDeadline returns the body of a request, which must arrive within bodyTimeout.
// The read deadline is cleared at the end of the body, so that it does not interrupt a
// long response. Handlers may not read an empty body, so that has none.
func withBodyDeadline(w http.ResponseWriter, r *http.Request) io.ReadCloser {
	body := r.Body
	if r.ContentLength == 0 {
		return body
	}
	control := http.NewResponseController(w)
	if control.SetReadDeadline(time.Now().Add(bodyTimeout)) != nil {
		return body
	}
	return &deadlineBody{ReadCloser: body, control: control}
}

type deadlineBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read clears the read deadline at the end of the body.
func (b *deadlineBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
