package closing_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cyclamenwinch/cyclamenwinch/internal/closing"
)

// TestResponseBeforeTheBodyIsReadIsNotReset guards against connections that are reset
// while a refused client is still sending its body.
func TestResponseBeforeTheBodyIsReadIsNotReset(t *testing.T) {
	refuse := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	server := httptest.NewServer(closing.ReadRestWithin(testTimeout, refuse))
	defer server.Close()
	for _, c := range []struct {
		header string
		half   int // of the body, in bytes
	}{{"", 32 << 10}, {"Connection: close\r\n", 32 << 10}, {"", 512 << 10}, {"Connection: close\r\n", 512 << 10}} {
		header := c.header
		client, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		half := strings.Repeat("x", c.half)
		if _, err := fmt.Fprintf(client, "POST / HTTP/1.1\r\nHost: a\r\n%sContent-Length: %d\r\n\r\n%s", header, 2*len(half), half); err != nil {
			t.Fatal(err)
		}
		r := bufio.NewReader(client)
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("header %q, %d bytes: response %v, %v", header, 2*c.half, resp, err)
		}
		if _, err := io.WriteString(client, half); err != nil {
			t.Errorf("header %q, %d bytes: the rest of the body: %v", header, 2*c.half, err)
		}
		if _, err := io.Copy(io.Discard, r); err != nil {
			t.Errorf("header %q, %d bytes: end of the connection: %v", header, 2*c.half, err)
		}
	}
}
