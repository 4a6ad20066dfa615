package relay

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestRequestWhoseBodyEndsAsTheStopEndsReadsIsRefused guards against requests that end
// without a response, as the read deadline of a stop cancels them once their body was read.
func TestRequestWhoseBodyEndsAsTheStopEndsReadsIsRefused(t *testing.T) {
	b := bodyReads{all: map[*http.ResponseController]struct{}{}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := b.read(w, func() ([]byte, error) {
			body, err := io.ReadAll(r.Body)
			if stopErr := b.stop(); stopErr != nil {
				t.Error(stopErr)
			}
			return body, err
		})
		if errors.Is(err, errBodyStopped) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		select {
		case <-r.Context().Done():
			panic(http.ErrAbortHandler) // taken for a client that left
		case <-time.After(20 * time.Second):
		}
	}))
	defer server.Close()
	resp, err := http.Post(server.URL, "text/plain", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d", resp.StatusCode)
	}
}
