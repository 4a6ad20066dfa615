package usage_test

import (
	"flag"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/usage"
)

func TestUsage(t *testing.T) {
	RegisterFailHandler(Fail)
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		flag.Set("rapid.seed", "1") // deterministic results
	}
	RunSpecs(t, "Usage")
}

// node simulates a router that may restart.
type node struct {
	aggregator  *usage.Aggregator
	name        string
	incarnation int64
	local       map[string]fair.Cost // charged by this incarnation
	sent        map[string]uint64    // sequence number sent to each other node
}

func (n *node) restart() {
	n.incarnation++
	n.aggregator = usage.NewAggregator(n.name, n.incarnation)
	n.local = map[string]fair.Cost{}
	n.sent = map[string]uint64{}
}

// send sends the changes of n to another router. If lost, they don't arrive.
func (n *node) send(to *node, lost bool) {
	n.aggregator.SetLocal(n.local)
	counters, through := n.aggregator.ChangesSince(n.sent[to.name], n.aggregator.Seq(), 2)
	if lost {
		return
	}
	for _, p := range counters {
		to.aggregator.Merge(p)
	}
	n.sent[to.name] = through
}

// totalsProperty checks that, while routers charge, exchange changes, lose
// messages and restart, no router counts more than was charged, and that all
// count exactly what was charged after the last exchange.
func totalsProperty(t *rapid.T) {
	accounts := []string{"a", "b", "c"}
	nodes := []*node{{name: "r1"}, {name: "r2"}, {name: "r3"}}
	for _, n := range nodes {
		n.restart()
	}
	charged := map[string]fair.Cost{}
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		n := nodes[rapid.IntRange(0, 2).Draw(t, "node")]
		to := nodes[rapid.IntRange(0, 2).Draw(t, "to")]
		switch rapid.IntRange(0, 4).Draw(t, "event") {
		case 0, 1:
			account := rapid.SampledFrom(accounts).Draw(t, "account")
			cost := fair.Cost(rapid.IntRange(1, 9).Draw(t, "cost"))
			n.local[account] += cost
			charged[account] += cost
		case 2, 3:
			if n != to {
				n.send(to, rapid.Bool().Draw(t, "lost"))
			}
		case 4:
			exchangeAll(nodes) // so that no charges of the old incarnation are lost
			n.restart()
			for _, other := range nodes {
				delete(other.sent, n.name) // a new incarnation has to receive all counters
			}
		}
		for _, n := range nodes {
			for _, account := range accounts {
				if got := n.aggregator.Remote()[account] + n.local[account]; got > charged[account] {
					t.Fatalf("%s counts %v for %s, more than the %v charged", n.name, got, account, charged[account])
				}
			}
		}
	}
	exchangeAll(nodes)
	for _, n := range nodes {
		for _, account := range accounts {
			if got := n.aggregator.Remote()[account] + n.local[account]; got != charged[account] {
				t.Fatalf("%s counts %v for %s, not the %v charged", n.name, got, account, charged[account])
			}
		}
	}
}

// exchangeAll exchanges changes between all nodes for 40 rounds, so that every
// node has received all of them.
func exchangeAll(nodes []*node) {
	for range 40 {
		for _, n := range nodes {
			for _, to := range nodes {
				if n != to {
					n.send(to, false)
				}
			}
		}
	}
}

var _ = Describe("Aggregator", func() {
	It("adds each counter of a router exactly once", func() {
		rapid.Check(GinkgoT(), totalsProperty)
	})

	It("gives the same sum in any order of counters, up to the maximum number of incarnations", func() {
		counters := []usage.Counter{
			{Router: "x", Incarnation: 1, Account: "a", Cost: 10},
			{Router: "x", Incarnation: 2, Account: "a", Cost: 5},
			{Router: "x", Incarnation: 3, Account: "a", Cost: 1},
		}
		for _, order := range [][]int{{0, 1, 2}, {2, 0, 1}, {1, 2, 0, 0}, {2, 1, 0, 2}} {
			b := usage.NewAggregator("self", 1)
			for _, i := range order {
				b.Merge(counters[i])
			}
			Expect(b.Remote()["a"]).To(BeEquivalentTo(16))
		}
	})

	It("returns a limited number of records at a time and all of them in the end", func() {
		b := usage.NewAggregator("self", 1)
		b.SetLocal(map[string]fair.Cost{"a": 1, "b": 2, "c": 3, "d": 4, "e": 5})
		seen := map[string]fair.Cost{}
		after := uint64(0)
		for range 3 {
			counters, through := b.ChangesSince(after, 0, 2)
			Expect(len(counters)).To(BeNumerically("<=", 2))
			for _, p := range counters {
				seen[p.Account] = p.Cost
			}
			after = through
		}
		Expect(seen).To(HaveLen(5))
		counters, _ := b.ChangesSince(after, 0, 2)
		Expect(counters).To(BeEmpty())
	})
})

func BenchmarkChangesSince(b *testing.B) {
	for _, accounts := range []int{16, 220, 2200} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			aggregator := usage.NewAggregator("self", 1)
			totals := map[string]fair.Cost{}
			for b.Loop() {
				for i := range accounts {
					totals[fmt.Sprint("account-", i)]++
				}
				aggregator.SetLocal(totals)
				aggregator.ChangesSince(aggregator.Seq()-uint64(accounts), 0, 16)
			}
		})
	}
}
