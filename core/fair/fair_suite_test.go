package fair_test

import (
	"flag"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
)

func TestFair(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Fairness")
}

// fixSeed makes every run draw the same cases unless a seed is asked for.
func fixSeed(t *testing.T) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": "4", "rapid.checks": "300"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := flag.Set(name, value); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func TestGapStaysWithinTheFormula(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(r *rapid.T) {
		s := drawScene(r, newBookPolicy)
		for range rapid.IntRange(50, 400).Draw(r, "ticks") {
			s.tick(r)
			if s.gap > s.bound {
				r.Fatalf("gap %v over %v", s.gap, s.bound)
			}
		}
	})
}

func TestGapOverTwoScopesStaysWithinTheFormula(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(r *rapid.T) {
		s := drawTwoScopes(r)
		draw := func(label string, least int) fair.Cost {
			return fair.Cost(rapid.IntRange(least, int(s.scopes[0].largest)).Draw(r, label))
		}
		for range rapid.IntRange(50, 300).Draw(r, "ticks") {
			s.tick(draw)
			if s.gap > s.bound {
				r.Fatalf("gap %v over %v", s.gap, s.bound)
			}
		}
	})
}

// Between two grants of an account that waits, another receives at most the
// lead and what was outstanding, however much the first received elsewhere.
func TestServiceElsewhereStarvesNobody(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(r *rapid.T) {
		largest := fair.Cost(rapid.IntRange(1, 50).Draw(r, "largest"))
		b := fair.NewScheduler(fair.DefaultRemoteLimit)
		for _, name := range []string{"busy elsewhere", "other"} {
			b.Enqueue(name)
			b.SetRemoteCost(name, 0)
			b.Finish(name, b.Dispatch(name, largest), largest)
		}
		since, elsewhere := fair.Cost(0), fair.Cost(0)
		for range 300 {
			elsewhere += fair.Cost(rapid.IntRange(0, 10_000).Draw(r, "elsewhere"))
			b.SetRemoteCost("busy elsewhere", elsewhere)
			name, _ := b.Next()
			b.Finish(name, b.Dispatch(name, largest), largest)
			since += largest
			if name == "busy elsewhere" {
				since = 0
			}
			if most := (fair.DefaultRemoteLimit + 2) * largest; since > most {
				r.Fatalf("the other received %v, over %v", since, most)
			}
		}
	})
}

var _ = Describe("naive policies", func() {
	for name, policy := range map[string]func() policy{
		"first come, first served": newFirstCome,
		"round robin":              newRoundRobin,
	} {
		It("break the formula: "+name, func() {
			s := flood(policy)
			fmt.Fprintf(GinkgoWriter, "%s: gap %v, bound %v\n", name, s.gap, s.bound)
			Expect(s.gap).To(BeNumerically(">", s.bound))
		})
	}

	It("break the formula over two scopes: each scope on its own", func() {
		for _, exchange := range []bool{false, true} {
			s := newTwoScopes([2]int{4, 2}, 10, []float64{1, 1}, [2][]bool{{true, true}, {false, true}})
			s.exchange = exchange
			for range 1000 {
				s.tick(func(string, int) fair.Cost { return 10 })
			}
			fmt.Fprintf(GinkgoWriter, "exchange %v: gap %v, bound %v\n", exchange, s.gap, s.bound)
			Expect(s.gap <= s.bound).To(Equal(exchange))
		}
	})

	It("are beaten by the book in the same scene", func() {
		s := flood(newBookPolicy)
		fmt.Fprintf(GinkgoWriter, "book: gap %v, bound %v\n", s.gap, s.bound)
		Expect(s.gap).To(BeNumerically("<=", s.bound))
	})
})

var _ = Describe("the book", func() {
	It("gives an account that was served alone no handicap", func() {
		b := fair.NewScheduler(fair.DefaultRemoteLimit)
		for range 1000 {
			b.Enqueue("old")
			r := b.Dispatch("old", 10)
			b.Dequeue("old")
			b.Finish("old", r, 10)
		}
		b.Enqueue("new")
		b.Enqueue("old")
		Expect(b.Service("old") - b.Service("new")).To(BeNumerically("<=", 10))
	})

	It("gives idle time no credit", func() {
		b := fair.NewScheduler(fair.DefaultRemoteLimit)
		b.Enqueue("busy")
		for range 1000 {
			b.Finish("busy", b.Dispatch("busy", 10), 10)
		}
		b.Enqueue("returning")
		Expect(b.Service("busy") - b.Service("returning")).To(BeNumerically("<=", 10))
	})

	It("never lets the known cost fall", func() {
		b := fair.NewScheduler(fair.DefaultRemoteLimit)
		r := b.UpdateProgress("a", b.Dispatch("a", 100), 40)
		b.Finish("a", r, 10)
		Expect(b.KnownCost("a")).To(Equal(fair.Cost(40)))
	})

	It("does not choose a skipped account before it is resumed", func() {
		b := fair.NewScheduler(fair.DefaultRemoteLimit)
		b.Enqueue("a")
		b.Skip("a")
		_, ok := b.Next()
		Expect(ok).To(BeFalse())
		b.RestoreSkipped()
		name, _ := b.Next()
		Expect(name).To(Equal("a"))
	})
})

func BenchmarkChoice(b *testing.B) {
	for _, accounts := range []int{16, 220, 2200} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			book := fair.NewScheduler(fair.DefaultRemoteLimit)
			for i := range accounts {
				book.Enqueue(fmt.Sprintf("account-%04d", i))
			}
			b.ReportAllocs()
			cost := 0
			for b.Loop() {
				name, _ := book.Next()
				cost = cost*31%97 + 1
				book.Finish(name, book.Dispatch(name, 50), fair.Cost(cost))
			}
		})
	}
}
