package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestManyConnectionsAtOnce guards against connections that are mixed up or left over. More
// clients come than the target has spare CPU time for, so most are refused at first. They
// close what was refused and come again.
func TestManyConnectionsAtOnce(t *testing.T) {
	_, port := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		for range 3 {
			fmt.Fprint(w, r.URL.Path)
			http.NewResponseController(w).Flush()
			time.Sleep(time.Millisecond)
		}
	})
	r := newRouter(t, port, nil, "127.0.0.2")
	before := openDescriptors(t)
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			path := fmt.Sprint("/", i)
			for range 1000 {
				body, served := getOnce(t, r.address, path)
				if !served {
					time.Sleep(10 * time.Millisecond) // beyond the limits for the target
					continue
				}
				if body != strings.Repeat(path, 3) {
					t.Errorf("%s: %q", path, body)
				}
				return
			}
			t.Error("not forwarded")
		})
	}
	wg.Wait()
	await(t, "connections stay open", func() bool { return r.Open() == 0 })
	await(t, "descriptors of refused or forwarded connections stay open", func() bool { return openDescriptors(t) <= before })
}

// getOnce sends one request on a connection of its own, which it closes. It returns false
// if the connection was refused, by a response or a reset.
func getOnce(t *testing.T, address, path string) (body string, served bool) {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Error(err)
		return "", false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(hangTimeout))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode == http.StatusServiceUnavailable {
		return "", false
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Errorf("%s: %v", path, err)
	}
	return string(b), true
}

// openDescriptors returns the number of open descriptors of the process.
func openDescriptors(t *testing.T) int {
	t.Helper()
	files, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(files)
}
