package prepared_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/cyclamenwinch/cyclamenwinch/standin/prepared"
)

var _ = Describe("A router that the store refuses, while it serves others", func() {
	It("does not retain an endpoint whose removal a peer has read", func() {
		store := prepared.NewStore()
		var refuse atomic.Bool
		serve := func(handler http.HandlerFunc) string {
			server := httptest.NewServer(handler)
			DeferCleanup(func() { server.CloseClientConnections(); server.Close() })
			return strings.TrimPrefix(server.URL, "http://")
		}
		open := serve(store.ServeHTTP)
		refusing := serve(func(w http.ResponseWriter, r *http.Request) {
			if refuse.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			store.ServeHTTP(w, r)
		})
		newRunner(store, "m1", "model", "a")
		newRunner(store, "m2", "model", "a")
		store.Put("config", "main", config(1, []string{"key-1"}))
		peers := freePort()
		r1 := newRouter("r1", "127.0.0.1", "a", open, peers)
		r2 := newRouter("r2", "127.0.0.2", "a", refusing, peers, "127.0.0.1")
		for _, r := range []*router{r1, r2} {
			r.start()
			DeferCleanup(func() { r.session.Kill().Wait(hangTimeout) })
		}
		for _, r := range []*router{r1, r2} {
			Eventually(r.ready).Should(Equal(200))
			Eventually(r.addresses).Should(HaveLen(2))
		}
		refuse.Store(true)
		Eventually(r2.session.Out).Should(gbytes.Say(`"event":"store.lost","router":"r2","collection":"endpoints"`))
		store.Delete("servers", "m1")
		Eventually(r2.session.Out).Should(gbytes.Say(`"event":"endpoint.gone","router":"r2","endpoint":"m1"`))
		Expect(string(r2.session.Out.Contents())).NotTo(ContainSubstring(`"event":"endpoint.retained"`))
	})
})
