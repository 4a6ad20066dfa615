package prepared_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/standin/netproxy"
	"github.com/cyclamenwinch/cyclamenwinch/standin/prepared"
)

var _ = Describe("A sound endpoint that is silent for a second", func() {
	var model, orders *runner
	var proxies []*netproxy.Proxy
	var r *router
	BeforeEach(func() {
		store := prepared.NewStore()
		server := httptest.NewServer(store)
		DeferCleanup(func() { server.CloseClientConnections(); server.Close() })
		model, orders, proxies = newRunner(store, "m1", "model", "a"), newRunner(store, "o1", "orders", "a"), nil
		for _, e := range []*runner{model, orders} {
			p, err := netproxy.New(e.address)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(p.Close)
			e.record["address"] = p.Address()
			e.publish()
			proxies = append(proxies, p)
		}
		store.Put("config", "main", config(1, []string{"key-1"}))
		r = newRouter("r1", "127.0.0.1", "a", strings.TrimPrefix(server.URL, "http://"), freePort())
		r.start()
		DeferCleanup(func() { r.session.Kill().Wait(hangTimeout) })
		Eventually(r.ready).Should(Equal(200))
	})

	type response struct {
		status int
		body   string
		err    error
	}
	send := func(path, attempt string, header ...string) <-chan response {
		done := make(chan response, 1)
		go func() {
			defer GinkgoRecover()
			status, body, _, err := call(r.listenAddress("frontend"), "POST", path, "key-1", attempt, "body of "+attempt, header...)
			done <- response{status, body, err}
		}()
		return done
	}
	silence := func() {
		for _, p := range proxies {
			p.Pause()
		}
		time.Sleep(time.Second)
		for _, p := range proxies {
			p.Resume()
		}
	}

	It("does not lose the stream that it has begun", func() {
		model.EventInterval = 100 * time.Millisecond
		done := send("/chat/x", "stream", chatHeaders...)
		Eventually(model.Requests).Should(HaveLen(1))
		silence()
		Eventually(done).Should(Receive(Equal(response{200, expectedStream("stream", 6), nil})))
		Expect(model.Requests()).To(HaveLen(1))
	})

	It("does not lose the requests that reach it meanwhile", func() {
		var orderResponses, streamResponses []<-chan response
		for _, p := range proxies {
			p.Pause()
		}
		for n := range 3 {
			orderResponses = append(orderResponses, send("/order/new", fmt.Sprint("order-", n)))
			streamResponses = append(streamResponses, send("/chat/x", fmt.Sprint("stream-", n), chatHeaders...))
		}
		silence()
		for n := range 3 {
			attempt := fmt.Sprint("order-", n)
			Eventually(orderResponses[n]).Should(Receive(Equal(response{200, "done body of " + attempt, nil})))
			Eventually(streamResponses[n]).Should(Receive(Equal(response{200, expectedStream(fmt.Sprint("stream-", n), 6), nil})))
		}
		Expect(orders.Requests()).To(HaveLen(3))
	})
})
