package closing_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cyclamenwinch/cyclamenwinch/internal/closing"
)

// TestResponseThatEndsAfterTheStopBeganAnnouncesTheClose guards against clients that send
// the next request on a connection which is closed.
func TestResponseThatEndsAfterTheStopBeganAnnouncesTheClose(t *testing.T) {
	for name, respond := range map[string]func(http.ResponseWriter){
		"empty":  func(http.ResponseWriter) {},
		"status": func(w http.ResponseWriter) { w.WriteHeader(http.StatusNoContent) },
		"body":   func(w http.ResponseWriter) { _, _ = w.Write([]byte("x")) },
		"flush":  func(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() },
	} {
		conns := closing.NewConns(func(closing.Incomplete) {})
		server := httptest.NewServer(conns.Announce(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conns.CloseIdle()
			respond(w)
		})))
		resp, err := http.Get(server.URL)
		if err != nil || !resp.Close {
			t.Errorf("%s: response %v, error %v", name, resp, err)
		}
		server.Close()
	}
}
