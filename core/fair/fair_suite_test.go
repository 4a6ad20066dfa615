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

// setDefaultSeed makes every run draw the same cases unless flags set a seed
// or a number of checks.
func setDefaultSeed(t *testing.T) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": "4", "rapid.checks": "300"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := flag.Set(name, value); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// TestGapStaysWithinBound guards against an account that receives more service
// than its share. The gap of two accounts is the rise of the difference in their
// service while both are backlogged; recordWorst states its bound.
func TestGapStaysWithinBound(t *testing.T) {
	setDefaultSeed(t)
	rapid.Check(t, func(r *rapid.T) {
		s := drawSimulation(r, newSchedulerPolicy)
		for range rapid.IntRange(50, 400).Draw(r, "ticks") {
			s.tick(r)
			if s.worstGap > s.worstBound {
				r.Fatalf("gap %v exceeds bound %v", s.worstGap, s.worstBound)
			}
		}
	})
}

// TestGapOverTwoScopesStaysWithinBound guards against an account that receives
// more than its share because it uses two scopes. Here the gap is the lead in
// service over both scopes; checkGrant states its bound.
func TestGapOverTwoScopesStaysWithinBound(t *testing.T) {
	setDefaultSeed(t)
	rapid.Check(t, func(r *rapid.T) {
		s := drawTwoScopes(r)
		draw := func(label string, least int) fair.Cost {
			return fair.Cost(rapid.IntRange(least, int(s.scopes[0].largest)).Draw(r, label))
		}
		for range rapid.IntRange(50, 300).Draw(r, "ticks") {
			s.tick(draw)
			if s.worstGap > s.worstBound {
				r.Fatalf("gap %v exceeds bound %v", s.worstGap, s.worstBound)
			}
		}
	})
}

// However much service a waiting account receives elsewhere, between two of its
// grants another account receives at most the remote limit plus what was
// outstanding.
func TestServiceElsewhereStarvesNobody(t *testing.T) {
	setDefaultSeed(t)
	rapid.Check(t, func(r *rapid.T) {
		largest := fair.Cost(rapid.IntRange(1, 50).Draw(r, "largest"))
		s := fair.NewScheduler(fair.DefaultRemoteLimitFactor)
		for _, name := range []string{"busy elsewhere", "other"} {
			s.Enqueue(name)
			s.SetRemoteCost(name, 0)
			s.Finish(name, s.Dispatch(name, largest), largest)
		}
		since, elsewhere := fair.Cost(0), fair.Cost(0)
		for range 300 {
			elsewhere += fair.Cost(rapid.IntRange(0, 10_000).Draw(r, "elsewhere"))
			s.SetRemoteCost("busy elsewhere", elsewhere)
			name, _ := s.Next()
			s.Finish(name, s.Dispatch(name, largest), largest)
			since += largest
			if name == "busy elsewhere" {
				since = 0
			}
			if limit := (fair.DefaultRemoteLimitFactor + 2) * largest; since > limit {
				r.Fatalf("the other account received %v, limit %v", since, limit)
			}
		}
	})
}

var _ = Describe("the bound on the gap", func() {
	for name, policy := range map[string]func() policy{
		"first come, first served": newFCFS,
		"round robin":              newRoundRobin,
	} {
		It("is exceeded by a naive policy: "+name, func() {
			s := floodOneAccount(policy)
			fmt.Fprintf(GinkgoWriter, "%s: gap %v, bound %v\n", name, s.worstGap, s.worstBound)
			Expect(s.worstGap).To(BeNumerically(">", s.worstBound))
		})
	}

	It("holds over two scopes only if they exchange usage", func() {
		for _, exchange := range []bool{false, true} {
			s := newTwoScopes([2]int{4, 2}, 10, []float64{1, 1}, [2][]bool{{true, true}, {false, true}})
			s.exchange = exchange
			for range 1000 {
				s.tick(func(string, int) fair.Cost { return 10 })
			}
			fmt.Fprintf(GinkgoWriter, "exchange %v: gap %v, bound %v\n", exchange, s.worstGap, s.worstBound)
			Expect(s.worstGap <= s.worstBound).To(Equal(exchange))
		}
	})

	It("is kept by the scheduler in the simulation that naive policies fail", func() {
		s := floodOneAccount(newSchedulerPolicy)
		fmt.Fprintf(GinkgoWriter, "scheduler: gap %v, bound %v\n", s.worstGap, s.worstBound)
		Expect(s.worstGap).To(BeNumerically("<=", s.worstBound))
	})
})

var _ = Describe("the scheduler", func() {
	It("does not penalize an account for service received while no other was backlogged", func() {
		s := fair.NewScheduler(fair.DefaultRemoteLimitFactor)
		for range 1000 {
			s.Enqueue("old")
			charge := s.Dispatch("old", 10)
			s.Dequeue("old")
			s.Finish("old", charge, 10)
		}
		s.Enqueue("new")
		s.Enqueue("old")
		Expect(s.Service("old") - s.Service("new")).To(BeNumerically("<=", 10))
	})

	It("gives no credit for idle time", func() {
		s := fair.NewScheduler(fair.DefaultRemoteLimitFactor)
		s.Enqueue("busy")
		for range 1000 {
			s.Finish("busy", s.Dispatch("busy", 10), 10)
		}
		s.Enqueue("returning")
		Expect(s.Service("busy") - s.Service("returning")).To(BeNumerically("<=", 10))
	})

	It("never decreases the known cost", func() {
		s := fair.NewScheduler(fair.DefaultRemoteLimitFactor)
		charge := s.UpdateProgress("a", s.Dispatch("a", 100), 40)
		s.Finish("a", charge, 10)
		Expect(s.KnownCost("a")).To(Equal(fair.Cost(40)))
	})

	It("does not choose a skipped account before it is restored", func() {
		s := fair.NewScheduler(fair.DefaultRemoteLimitFactor)
		s.Enqueue("a")
		s.SkipAccount("a")
		_, ok := s.Next()
		Expect(ok).To(BeFalse())
		s.RestoreSkipped()
		name, _ := s.Next()
		Expect(name).To(Equal("a"))
	})
})

func BenchmarkChoice(b *testing.B) {
	for _, accounts := range []int{16, 220, 2200} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			scheduler := fair.NewScheduler(fair.DefaultRemoteLimitFactor)
			for i := range accounts {
				scheduler.Enqueue(fmt.Sprintf("account-%04d", i))
			}
			b.ReportAllocs()
			cost := 0
			for b.Loop() {
				name, _ := scheduler.Next()
				cost = cost*31%97 + 1
				scheduler.Finish(name, scheduler.Dispatch(name, 50), fair.Cost(cost))
			}
		})
	}
}
