package prepared_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/standin/prepared"
)

var _ = Describe("An endpoint that turns cold while the store is away", func() {
	const routers = 2
	var store *prepared.Store
	var model *runner
	var fleet []*router
	// checksWithinSecond returns how many health checks all routers make in a second.
	checksWithinSecond := func() int {
		before := model.HealthChecks()
		time.Sleep(time.Second)
		return model.HealthChecks() - before
	}
	BeforeEach(func() {
		store, fleet = prepared.NewStore(), nil
		server := httptest.NewServer(store)
		DeferCleanup(func() { server.CloseClientConnections(); server.Close() })
		model = newRunner(store, "m1", "model", "a")
		model.EventInterval = time.Millisecond
		store.Put("config", "main", config(1, []string{"key-1"}))
		peers := freePort()
		for i := range routers {
			r := newRouter(fmt.Sprint("r", i), fmt.Sprintf("127.0.0.%d", i+1), "a", strings.TrimPrefix(server.URL, "http://"), peers, "127.0.0.1")
			r.start()
			DeferCleanup(func() { r.session.Kill().Wait(hangTimeout) })
			fleet = append(fleet, r)
		}
		for _, r := range fleet {
			Eventually(r.ready).Should(Equal(200))
			Eventually(r.addresses).Should(HaveLen(routers))
		}
		Eventually(checksWithinSecond).Should(BeZero(), "records say what a health check would")
	})

	// flood sends requests from several clients at a time and returns how many ran and
	// how long that took.
	flood := func(name string) (ran int, took time.Duration) {
		before, begun := len(model.Requests()), time.Now()
		var clients sync.WaitGroup
		for c := range 12 {
			clients.Go(func() {
				defer GinkgoRecover()
				for i := range 8 {
					attempt := fmt.Sprintf("%s-%d-%d", name, c, i)
					_, _, _, err := call(fleet[c%routers].listenAddress("frontend"), "POST", "/chat/x", "key-1", attempt, "body of "+attempt, chatHeaders...)
					Expect(err).NotTo(HaveOccurred())
				}
			})
		}
		clients.Wait()
		return len(model.Requests()) - before, time.Since(begun)
	}

	DescribeTable("gets no more requests than it bears", func(faults prepared.Faults) {
		store.SetFaults(faults)
		Eventually(checksWithinSecond).Should(BeNumerically(">", 0))
		model.TurnCold(time.Hour)
		Eventually(checksWithinSecond).Should(BeZero(), "all routers know that it is cold")
		ran, took := flood("cold")
		Expect(float64(ran)).To(BeNumerically("<=", coldPerSecond*took.Seconds()+routers), "%d requests ran in %v", ran, took)
		store.SetFaults(prepared.Faults{})
	},
		Entry("that is down", prepared.Faults{Down: true}),
		Entry("that is silent", prepared.Faults{Silent: true}),
	)

	It("is asked while all routers stop, since they still send requests", func() {
		store.SetFaults(prepared.Faults{Down: true})
		Eventually(checksWithinSecond).Should(BeNumerically(">", 0))
		model.EventInterval = 1500 * time.Millisecond
		for _, r := range fleet {
			go func() {
				defer GinkgoRecover()
				_, _, _, _ = call(r.listenAddress("frontend"), "POST", "/chat/x", "key-1", "long-"+r.name, "long "+r.name, chatHeaders...) // ends with the router
			}()
		}
		Eventually(model.Requests).Should(HaveLen(routers))
		for _, r := range fleet {
			r.session.Terminate()
			Eventually(func() string { return string(r.session.Out.Contents()) }).Should(ContainSubstring(`"event":"router.stopping"`))
		}
		checks := model.HealthChecks()
		Eventually(model.HealthChecks).Should(BeNumerically(">", checks+1))
	})

	It("is asked only while its record may be out of date", func() {
		store.SetFaults(prepared.Faults{Down: true})
		Eventually(checksWithinSecond).Should(BeNumerically(">", 0))
		store.SetFaults(prepared.Faults{})
		Eventually(checksWithinSecond).Should(BeZero())
	})
})
