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
		flag.Set("rapid.seed", "1") // the same verdict every run
	}
	RunSpecs(t, "Usage")
}

// node is one router that may restart; charged survives in the test only.
type node struct {
	book        *usage.Aggregator
	name        string
	incarnation int64
	own         map[string]fair.Cost
	sent        map[string]uint64
}

func (n *node) restart() {
	n.incarnation++
	n.book = usage.NewAggregator(n.name, n.incarnation)
	n.own = map[string]fair.Cost{}
	n.sent = map[string]uint64{}
}

// send delivers n's changes to another router, which may miss them.
func (n *node) send(to *node, lost bool) {
	n.book.SetLocal(n.own)
	parts, reached := n.book.ChangesSince(n.sent[to.name], n.book.Seq(), 2)
	if lost {
		return
	}
	for _, p := range parts {
		to.book.Merge(p)
	}
	n.sent[to.name] = reached
}

func totalsProperty(t *rapid.T) {
	accounts := []string{"a", "b", "c"}
	nodes := []*node{{name: "r1"}, {name: "r2"}, {name: "r3"}}
	for _, n := range nodes {
		n.restart()
	}
	truth := map[string]fair.Cost{}
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		n := nodes[rapid.IntRange(0, 2).Draw(t, "node")]
		to := nodes[rapid.IntRange(0, 2).Draw(t, "to")]
		switch rapid.IntRange(0, 4).Draw(t, "event") {
		case 0, 1:
			account := rapid.SampledFrom(accounts).Draw(t, "account")
			cost := fair.Cost(rapid.IntRange(1, 9).Draw(t, "cost"))
			n.own[account] += cost
			truth[account] += cost
		case 2, 3:
			if n != to {
				n.send(to, rapid.Bool().Draw(t, "lost"))
			}
		case 4:
			settle(nodes) // its last charges have been heard
			n.restart()
			for _, other := range nodes {
				delete(other.sent, n.name) // a new incarnation is sent all
			}
		}
		for _, n := range nodes {
			for _, account := range accounts {
				if got := n.book.Remote()[account] + n.own[account]; got > truth[account] {
					t.Fatalf("%s counts %v of %s, over the true %v", n.name, got, account, truth[account])
				}
			}
		}
	}
	settle(nodes)
	for _, n := range nodes {
		for _, account := range accounts {
			if got := n.book.Remote()[account] + n.own[account]; got != truth[account] {
				t.Fatalf("%s counts %v of %s, not the true %v", n.name, got, account, truth[account])
			}
		}
	}
}

func settle(nodes []*node) {
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

var _ = Describe("the book", func() {
	It("neither doubles nor loses a router's part", func() {
		rapid.Check(GinkgoT(), totalsProperty)
	})

	It("gives the same sum in whatever order parts come, within the incarnations kept", func() {
		parts := []usage.Part{
			{Router: "x", Incarnation: 1, Account: "a", Cost: 10},
			{Router: "x", Incarnation: 2, Account: "a", Cost: 5},
			{Router: "x", Incarnation: 3, Account: "a", Cost: 1},
		}
		for _, order := range [][]int{{0, 1, 2}, {2, 0, 1}, {1, 2, 0, 0}, {2, 1, 0, 2}} {
			b := usage.NewAggregator("self", 1)
			for _, i := range order {
				b.Merge(parts[i])
			}
			Expect(b.Remote()["a"]).To(BeEquivalentTo(16))
		}
	})

	It("sends a bounded number of records and reaches all of them", func() {
		b := usage.NewAggregator("self", 1)
		b.SetLocal(map[string]fair.Cost{"a": 1, "b": 2, "c": 3, "d": 4, "e": 5})
		seen := map[string]fair.Cost{}
		after := uint64(0)
		for range 3 {
			parts, reached := b.ChangesSince(after, 0, 2)
			Expect(len(parts)).To(BeNumerically("<=", 2))
			for _, p := range parts {
				seen[p.Account] = p.Cost
			}
			after = reached
		}
		Expect(seen).To(HaveLen(5))
		parts, _ := b.ChangesSince(after, 0, 2)
		Expect(parts).To(BeEmpty())
	})
})

func BenchmarkSince(b *testing.B) {
	for _, accounts := range []int{16, 220, 2200} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			book := usage.NewAggregator("self", 1)
			totals := map[string]fair.Cost{}
			for b.Loop() {
				for i := range accounts {
					totals[fmt.Sprint("account-", i)]++
				}
				book.SetLocal(totals)
				book.ChangesSince(book.Seq()-uint64(accounts), 0, 16)
			}
		})
	}
}
