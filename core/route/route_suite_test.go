package route_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/route"
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Routing")
}

func newTable(prefixes int, endpoints ...*route.Endpoint) *route.Table {
	t := route.NewTable(prefixes, route.DefaultSlack)
	for _, e := range endpoints {
		t.Add(e)
	}
	return t
}

var _ = Describe("Choose", func() {
	var a1, a2, b1 *route.Endpoint
	var t *route.Table

	BeforeEach(func() {
		a1 = &route.Endpoint{Name: "a1", Zone: "a", Busy: 6, Limit: 8}
		a2 = &route.Endpoint{Name: "a2", Zone: "a", Busy: 5, Limit: 8}
		b1 = &route.Endpoint{Name: "b1", Zone: "b", Limit: 8}
		t = newTable(2, a1, a2, b1)
	})

	setBusy := func(e *route.Endpoint, busy int) {
		e.Busy = busy
		t.Update(e)
	}

	DescribeTable("prefers the zone, then the prefix holder within the slack, then the least load",
		func(prepare func(), req route.Request, want string) {
			prepare()
			Expect(t.Choose(req).Name).To(Equal(want))
		},
		Entry("zone before load", func() {}, route.Request{Zone: "a"}, "a2"),
		Entry("load if the zone has no endpoint", func() {}, route.Request{Zone: "c"}, "b1"),
		Entry("another zone if the preferred one is full", func() { setBusy(a1, 8); setBusy(a2, 8) }, route.Request{Zone: "a"}, "b1"),
		Entry("prefix within the slack", func() { t.RecordPrefix(7, a1) }, route.Request{Zone: "a", Prefix: 7}, "a1"),
		Entry("load beyond the slack", func() { t.RecordPrefix(7, a1); setBusy(a2, 1) }, route.Request{Zone: "a", Prefix: 7}, "a2"),
		Entry("zone before prefix", func() { t.RecordPrefix(7, b1) }, route.Request{Zone: "a", Prefix: 7}, "a2"),
		Entry("prefix after an eviction", func() { t.RecordPrefix(7, a1); t.ForgetPrefix(7, a1) }, route.Request{Zone: "a", Prefix: 7}, "a2"),
		Entry("prefix after a late eviction notice from its previous holder", func() { t.RecordPrefix(7, a1); t.ForgetPrefix(7, a2) }, route.Request{Zone: "a", Prefix: 7}, "a1"),
		Entry("prefix after a restart", func() { t.RecordPrefix(7, a1); t.ForgetPrefixes(a1) }, route.Request{Zone: "a", Prefix: 7}, "a2"),
		Entry("prefix evicted from the table by newer ones", func() {
			t.RecordPrefix(7, a1)
			t.RecordPrefix(8, b1)
			t.RecordPrefix(9, b1)
		}, route.Request{Zone: "a", Prefix: 7}, "a2"),
	)

	It("returns nil when all endpoints are full", func() {
		setBusy(a1, 8)
		setBusy(a2, 8)
		setBusy(b1, 8)
		Expect(t.Choose(route.Request{Zone: "a"})).To(BeNil())
		Expect(t.Free()).To(BeZero())
	})
})

var _ = Describe("Quarantine", func() {
	var q *route.Quarantine
	now := time.Unix(1000, 0)
	crash := func(endpoint string, age time.Duration) route.Crash {
		return route.Crash{Fingerprint: 1, Endpoint: endpoint, Age: age}
	}

	BeforeEach(func() { q = route.NewQuarantine() })

	It("requires crashes of two different endpoints within the window", func() {
		Expect(q.RecordCrash(now, crash("e", 0))).To(BeFalse())
		Expect(q.RecordCrash(now, crash("e", 0))).To(BeFalse())
		Expect(q.RecordCrash(now.Add(route.SuspectWindow), crash("f", 0))).To(BeFalse())
		Expect(q.Quarantined(now, 1)).To(BeFalse())
		Expect(q.RecordCrash(now.Add(route.SuspectWindow+time.Second), crash("g", 0))).To(BeTrue())
		Expect(q.Quarantined(now, 1)).To(BeTrue())
	})

	It("keeps the age of crashes in a transfer to another router, and expires", func() {
		q.RecordCrash(now, crash("e", 0))
		q.RecordCrash(now, crash("f", 0))
		later := now.Add(route.QuarantineDuration - time.Minute)
		next := route.NewQuarantine()
		for _, c := range q.Crashes(later) {
			next.RecordCrash(later, c)
		}
		Expect(next.Quarantined(later, 1)).To(BeTrue())
		Expect(next.Quarantined(later.Add(time.Minute), 1)).To(BeFalse())
		Expect(next.Crashes(later.Add(time.Minute))).To(BeEmpty())
	})

	It("is renewed by two crashes after it has expired", func() {
		for _, endpoint := range []string{"e", "f"} {
			q.RecordCrash(now, crash(endpoint, 0))
		}
		later := now.Add(route.QuarantineDuration)
		Expect(q.HasCrash(later, crash("e", 0))).To(BeFalse())
		Expect(q.RecordCrash(later, crash("e", 0))).To(BeFalse())
		Expect(q.RecordCrash(later, crash("g", 0))).To(BeTrue())
		Expect(q.Quarantined(later, 1)).To(BeTrue())
	})

	It("stays lifted when another router reports the earlier crashes", func() {
		q.RecordCrash(now, crash("e", 0))
		q.RecordCrash(now, crash("f", 0))
		reported := q.Crashes(now)
		Expect(q.Lift(now.Add(time.Second), 1)).To(BeTrue())
		for _, c := range reported {
			c.Age = 2 * time.Second
			q.RecordCrash(now.Add(2*time.Second), c)
		}
		Expect(q.Quarantined(now.Add(2*time.Second), 1)).To(BeFalse())
	})

	It("limits the number of crashes kept", func() {
		for i := range 10_000 {
			q.RecordCrash(now, route.Crash{Fingerprint: uint64(i + 1), Endpoint: "e"})
		}
		Expect(len(q.Crashes(now))).To(BeNumerically("<=", 4096))
	})
})

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{15, 70, 12_000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			t := route.NewTable(16_384, route.DefaultSlack)
			var all []*route.Endpoint
			for i := range n {
				e := &route.Endpoint{Name: fmt.Sprint(i), Zone: fmt.Sprint(i % 3), Limit: 8}
				t.Add(e)
				all = append(all, e)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				e := t.Choose(route.Request{Zone: "0", Prefix: uint64(i%5000 + 1)})
				t.RecordPrefix(uint64(i%5000+1), e)
				e.Busy++
				t.Update(e)
				old := all[i%n]
				old.Busy = max(0, old.Busy-1)
				t.Update(old)
			}
		})
	}
}
