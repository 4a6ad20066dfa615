package ledger_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/internal/memory"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
	"github.com/cyclamenwinch/cyclamenwinch/standin/orders"
)

// Guards against a home router that orders end which other routers forward to it: their
// callers' budgets are those of the other routers.
var _ = Describe("Forwarded orders", func() {
	const size = 1 << 20
	It("are refused, as not run, once they hold the memory of their home router", func() {
		r := newRig(orders.Options{}, false)
		r.silence, r.memory = time.Minute, memory.NewBudget(8*size)
		home := r.add("home")
		release := make(chan struct{})
		r.onOrder = func() { <-release }
		place := func(key string, body int) *peerpb.OrderReply {
			reply, err := home.PlaceOrder(context.Background(), &peerpb.OrderRequest{Account: "hotels", Key: key, Pool: "orders", Path: "/v1/orders",
				ContentType: "application/json", Body: make([]byte, body), RequestId: "request-" + key})
			Expect(err).NotTo(HaveOccurred())
			return reply
		}
		var placed sync.WaitGroup
		replies := make(chan *peerpb.OrderReply, 20)
		for n := range cap(replies) {
			placed.Go(func() {
				defer GinkgoRecover()
				replies <- place(fmt.Sprint("large-", n), size)
			})
		}
		const fit = 8 // of 1 MiB into 8 MiB, at most
		Eventually(func() int { return len(replies) }).WithTimeout(time.Minute).Should(BeNumerically(">=", cap(replies)-fit))
		close(release)
		placed.Wait()
		close(replies)
		refused := 0
		for reply := range replies {
			if reply.Code == int32(code.OK) {
				continue
			}
			refused++
			Expect(reply.Code).To(BeEquivalentTo(code.NoMemory))
			Expect(reply.NotRun).To(BeTrue())
			Expect(reply.RetryAfterMillis).To(BeNumerically(">", 0))
		}
		Expect(refused).To(And(BeNumerically(">=", cap(replies)-fit), BeNumerically("<", cap(replies))))
		Expect(place("after", size).Code).To(BeEquivalentTo(code.OK), "their memory is free again")
	})
})
