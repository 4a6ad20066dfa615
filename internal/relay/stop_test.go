package relay_test

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/relay"
)

// lines is a log that a test reads.
type lines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

var _ = Describe("At the end of a stop", func() {
	It("a request that still waits is refused, and one that runs does not count as left by its client", func() {
		release := make(chan struct{})
		defer close(release)
		f := newFakeEndpoint(func(_ int, s receivedRequest) reply { <-release; return reply{close: true} })
		route := idempotent
		route.MaxAttempts, route.Timeout = 1, time.Minute
		log := &lines{}
		server, h, dispatcher := newServerWithDispatcher(relay.Options{Log: oplog.New(log)}, route)
		one := declared(f)
		one[0].Slots = 1
		dispatcher.Update(func(now time.Time, d *dispatch.Dispatcher) { d.SetEndpoints(now, one) })
		for range 2 { // as many as fit
			go func() {
				defer GinkgoRecover()
				send(server, "POST", "/p/", "y", "Test-Id", "filler")
			}()
		}
		Eventually(f.requests).WithTimeout(20 * time.Second).Should(HaveLen(2))
		type result struct {
			resp *http.Response
			err  error
		}
		got := make(chan result, 1)
		go func() {
			defer GinkgoRecover()
			resp, _, err := send(server, "POST", "/p/", "x")
			got <- result{resp, err}
		}()
		Eventually(queueLength(dispatcher)).WithTimeout(20 * time.Second).ShouldNot(BeZero())
		h.DisableKeepAlives()
		h.RejectRequests()
		h.RefuseWaiting()
		var r result
		Eventually(got).WithTimeout(20 * time.Second).Should(Receive(&r))
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.resp.StatusCode).To(Equal(503))
		Expect(r.resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(f.requests()).To(HaveLen(2))
		By("closing the connections of the others")
		h.ExpectClose()
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(server.Config.Shutdown(ended)).NotTo(Succeed())
		Expect(server.Config.Close()).To(Succeed())
		Eventually(log.String).WithTimeout(20 * time.Second).Should(ContainSubstring(`"reason":"router_stopped"`))
		Expect(log.String()).NotTo(ContainSubstring(`"reason":"client_left"`))
	})
})
