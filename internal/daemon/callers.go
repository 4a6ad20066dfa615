package daemon

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
)

// bodyTimeout bounds the time in which a caller sends a request's body.
const bodyTimeout = 30 * time.Second

// callerHandler is the callers' API with what a stopping router and slow
// callers need.
func (d *Daemon) callerHandler() http.Handler {
	next := d.callers.Handler()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, r *http.Request) {
		if d.fleet.Self().Leaving {
			refuse(w, code.Refuse(code.Stopping, ""))
			return
		}
		next.ServeHTTP(w, r)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		r.Body = boundBody(w, r.Body)
		next.ServeHTTP(w, r)
	})
	return mux
}

func refuse(w http.ResponseWriter, failure *code.Error) {
	w.Header().Set("Content-Type", code.ProblemType)
	w.WriteHeader(failure.Code.Info().Status)
	json.NewEncoder(w).Encode(code.NewProblem(failure, ""))
}

// boundBody returns a body that must arrive within bodyTimeout. The deadline
// ends with the body, so a long answer is not cut.
func boundBody(w http.ResponseWriter, body io.ReadCloser) io.ReadCloser {
	control := http.NewResponseController(w)
	if control.SetReadDeadline(time.Now().Add(bodyTimeout)) != nil {
		return body
	}
	return &boundedBody{ReadCloser: body, control: control}
}

type boundedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read reads; the deadline is lifted at the end of the body.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
