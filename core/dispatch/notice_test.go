package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

var _ = Describe("An endpoint that says in a response", func() {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	// noticed returns a dispatcher that has received the notice from e1, its only endpoint.
	noticed := func(n dispatch.Notice) *dispatch.Dispatcher {
		d := newDispatcher("r1", endpoint("e1", model, "a"))
		t := d.Submit(start, chatRequest(start, "x", 10))
		Expect(d.RecordNotice(start, t, n)).To(BeTrue())
		Expect(d.RecordNotice(start, t, n)).To(BeFalse(), "not new")
		d.Finish(start, t, dispatch.Completed)
		return d
	}

	It("that it leaves gets no further request, also after its record lapsed and returned", func() {
		d := noticed(dispatch.Notice{Leaving: true})
		d.SetEndpoints(start, nil)
		d.SetEndpoints(start, []topology.Endpoint{endpoint("e1", model, "a")})
		t := d.Submit(at(1), chatRequest(at(1), "x", 11))
		Expect(t.State).To(Equal(dispatch.Refused))
		Expect(t.Reason).To(Equal(dispatch.NoEndpoint))
	})

	It("that it leaves is forgotten once its record has been gone for an hour", func() {
		d := noticed(dispatch.Notice{Leaving: true})
		listed := []topology.Endpoint{endpoint("e1", model, "a")}
		d.SetEndpoints(start.Add(2*time.Hour), listed)
		d.SetEndpoints(start.Add(3*time.Hour-time.Second), nil)
		d.SetEndpoints(start.Add(3*time.Hour-time.Second), listed)
		now := start.Add(3 * time.Hour)
		Expect(d.Submit(now, chatRequest(now, "x", 11)).State).To(Equal(dispatch.Refused))
		d.SetEndpoints(now, nil)
		d.SetEndpoints(now.Add(time.Hour), nil)
		now = now.Add(time.Hour)
		d.SetEndpoints(now, listed)
		Expect(d.Submit(now, chatRequest(now, "x", 12)).State).To(Equal(dispatch.Granted))
	})

	It("that it leaves gets requests again after it has started again", func() {
		d := noticed(dispatch.Notice{Leaving: true})
		again := endpoint("e1", model, "a")
		again.StartMillis++
		d.SetEndpoints(start, []topology.Endpoint{again})
		Expect(d.Submit(at(1), chatRequest(at(1), "x", 11)).State).To(Equal(dispatch.Granted))
	})

	It("that it wants a pause gets no request until its end", func() {
		d := noticed(dispatch.Notice{Pause: time.Second})
		Expect(d.Submit(at(1), chatRequest(at(1), "x", 11)).State).To(Equal(dispatch.Waiting))
		Expect(d.Poll(at(999))).To(BeEmpty())
		Expect(d.Poll(at(1000))).To(HaveLen(1))
	})

	It("that it wants a pause does not get a request that was about to be sent", func() {
		d := newDispatcher("r1", endpoint("e1", model, "a"))
		first, second := d.Submit(start, chatRequest(start, "x", 10)), d.Submit(start, chatRequest(start, "x", 11))
		Expect(d.Confirm(start, second)).To(BeTrue())
		d.RecordNotice(start, first, dispatch.Notice{Pause: time.Second})
		Expect(d.Confirm(at(1), second)).To(BeFalse())
	})

	It("that it wants a long pause lets requests be refused at once, with its end as the time to come back", func() {
		d := noticed(dispatch.Notice{Pause: 3 * time.Second})
		t := d.Submit(at(0), chatRequest(at(0), "x", 11))
		Expect(t.State).To(Equal(dispatch.Refused))
		Expect(t.RetryAfter).To(Equal(3 * time.Second))
	})
})
