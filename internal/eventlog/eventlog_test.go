package eventlog_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
)

func TestEventlog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Event log")
}

// TestClockOrdersCause checks that a message's receiver stamps later than
// its sender, whatever their physical clocks say.
func TestClockOrdersCause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a, b eventlog.Clock
		a.Observe(eventlog.MinClock(time.Now().Add(time.Duration(rapid.Int64Range(-1e9, 1e9).Draw(t, "skew")))))
		sent := a.Now()
		b.Observe(sent)
		if got := b.Now(); got <= sent {
			t.Fatalf("received at %d, sent at %d", got, sent)
		}
	})
}

// TestLogStaysBounded checks both bounds after any number of events.
func TestLogStaysBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 20).Draw(t, "size")
		log := eventlog.New("r", size)
		n := rapid.IntRange(0, 100).Draw(t, "events")
		for range n {
			log.Add(eventlog.Event{Detail: strings.Repeat("x", rapid.IntRange(0, 2000).Draw(t, "detail"))})
		}
		page := log.Select(eventlog.Filter{})
		bytes := 0
		for i, e := range page.Events {
			bytes += len(e.Detail)
			if i > 0 && e.Clock <= page.Events[i-1].Clock {
				t.Fatalf("event %d is not after the one before", i)
			}
		}
		if len(page.Events) > size || bytes > size*512 {
			t.Fatalf("%d events of %d bytes kept in a log of %d", len(page.Events), bytes, size)
		}
		if int(page.Dropped)+len(page.Events) != n {
			t.Fatalf("%d kept and %d dropped of %d", len(page.Events), page.Dropped, n)
		}
	})
}

// TestFilterSpan checks the span on virtual time.
func TestFilterSpan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := eventlog.New("r", 10)
		log.Add(eventlog.Event{Detail: "before"})
		time.Sleep(time.Second)
		from := time.Now()
		log.Add(eventlog.Event{Detail: "in"})
		time.Sleep(time.Second)
		log.Add(eventlog.Event{Detail: "after"})
		page := log.Select(eventlog.Filter{From: from, To: from.Add(time.Second)})
		if len(page.Events) != 1 || page.Events[0].Detail != "in" {
			t.Fatalf("got %v", page.Events)
		}
	})
}

var _ = Describe("Select", func() {
	log := eventlog.New("r", 10)
	log.Add(eventlog.Event{Kind: eventlog.RequestGranted, Request: "1", Account: "a", Endpoint: "e"})
	log.Add(eventlog.Event{Kind: eventlog.RequestEnded, Request: "1", Account: "a", Endpoint: "e"})
	log.Add(eventlog.Event{Kind: eventlog.RequestGranted, Request: "2", Account: "b", Endpoint: "e"})

	DescribeTable("keeps what the filter names",
		func(f eventlog.Filter, events int, cut bool) {
			page := log.Select(f)
			Expect(page.Events).To(HaveLen(events))
			Expect(page.Truncated).To(Equal(cut))
		},
		Entry("all", eventlog.Filter{}, 3, false),
		Entry("a request", eventlog.Filter{Request: "1"}, 2, false),
		Entry("an account", eventlog.Filter{Account: "b"}, 1, false),
		Entry("an endpoint", eventlog.Filter{Endpoint: "e"}, 3, false),
		Entry("a kind", eventlog.Filter{Kind: eventlog.RequestEnded}, 1, false),
		Entry("nothing", eventlog.Filter{Request: "3"}, 0, false),
		Entry("the newest", eventlog.Filter{Limit: 2}, 2, true),
		Entry("no more than there are", eventlog.Filter{Limit: 3}, 3, false),
	)

	It("merges by clock", func() {
		merged := eventlog.Merge(
			[]eventlog.Event{{Clock: 2, Router: "a"}, {Clock: 3, Router: "b"}},
			[]eventlog.Event{{Clock: 1, Router: "c"}, {Clock: 3, Router: "a"}},
		)
		Expect(merged).To(Equal([]eventlog.Event{
			{Clock: 1, Router: "c"}, {Clock: 2, Router: "a"}, {Clock: 3, Router: "a"}, {Clock: 3, Router: "b"},
		}))
	})
})
