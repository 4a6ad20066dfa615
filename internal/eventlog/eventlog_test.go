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

// TestClockCausalOrder checks that the receiver of a message gets a higher clock
// value than its sender had, whatever the skew of their physical clocks.
func TestClockCausalOrder(t *testing.T) {
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

// TestLogLimits checks the limits on events and bytes after any number of events.
func TestLogLimits(t *testing.T) {
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
				t.Fatalf("event %d does not have a higher clock value than the previous one", i)
			}
		}
		if len(page.Events) > size || bytes > size*512 {
			t.Fatalf("%d events with %d bytes stored in a log of size %d", len(page.Events), bytes, size)
		}
		if int(page.Dropped)+len(page.Events) != n {
			t.Fatalf("%d events stored and %d dropped of %d", len(page.Events), page.Dropped, n)
		}
	})
}

// TestFilterTimeRange checks the time range of a filter on a fake clock.
func TestFilterTimeRange(t *testing.T) {
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

	DescribeTable("returns the events that the filter matches",
		func(f eventlog.Filter, events int, truncated bool) {
			page := log.Select(f)
			Expect(page.Events).To(HaveLen(events))
			Expect(page.Truncated).To(Equal(truncated))
		},
		Entry("all events", eventlog.Filter{}, 3, false),
		Entry("one request", eventlog.Filter{Request: "1"}, 2, false),
		Entry("one account", eventlog.Filter{Account: "b"}, 1, false),
		Entry("one endpoint", eventlog.Filter{Endpoint: "e"}, 3, false),
		Entry("one kind", eventlog.Filter{Kind: eventlog.RequestEnded}, 1, false),
		Entry("no matching event", eventlog.Filter{Request: "3"}, 0, false),
		Entry("limit below the number of matches", eventlog.Filter{Limit: 2}, 2, true),
		Entry("limit equal to the number of matches", eventlog.Filter{Limit: 3}, 3, false),
	)

	It("merges logs by clock value, then by router", func() {
		merged := eventlog.Merge(
			[]eventlog.Event{{Clock: 2, Router: "a"}, {Clock: 3, Router: "b"}},
			[]eventlog.Event{{Clock: 1, Router: "c"}, {Clock: 3, Router: "a"}},
		)
		Expect(merged).To(Equal([]eventlog.Event{
			{Clock: 1, Router: "c"}, {Clock: 2, Router: "a"}, {Clock: 3, Router: "a"}, {Clock: 3, Router: "b"},
		}))
	})
})
