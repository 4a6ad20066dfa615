package prepared

import (
	"io"
	"net/http"
	"strings"
)

// Flood is a stand-in for a faulty runner whose responses never end.
type Flood struct {
	// Start is what it sends first; ATTEMPT stands for the ID of the attempt.
	Start string
	// Repeat is sent again and again until the caller closes the connection; empty: the
	// connection stays open without further bytes.
	Repeat string
	// Started, if set, receives one value for each response whose start has been sent,
	// or could not be sent.
	Started chan struct{}
}

// ServeHTTP sends bytes until the caller closes the connection.
func (f Flood) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // the server of a test does not support it
	}
	defer conn.Close()
	_, err = io.WriteString(conn, strings.ReplaceAll(f.Start, "ATTEMPT", r.Header.Get("X-Attempt-Id")))
	if f.Started != nil {
		f.Started <- struct{}{}
	}
	for err == nil && f.Repeat != "" {
		_, err = io.WriteString(conn, f.Repeat)
	}
	if err == nil {
		_, _ = io.Copy(io.Discard, conn) // until the caller closes it
	}
}
