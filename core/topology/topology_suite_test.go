package topology_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

func TestTopology(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Topology")
}

var _ = Describe("Table", func() {
	table := topology.NewTable(topology.Config{
		Routes: []topology.Route{
			{Name: "all", Host: "a.example", Prefix: "/"},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
			{Name: "x", Host: "A.example", Prefix: "/x/"},
			{Name: "marked", Host: "a.example", Prefix: "/é b/"},
		},
		Accounts: []topology.Account{{Name: "one", Keys: []string{"k1", "k2"}}},
	})

	DescribeTable("matches the longest prefix of the host",
		func(host, path, want string) {
			route, ok := table.Match(host, path)
			if want == "" {
				Expect(ok).To(BeFalse())
				return
			}
			Expect(route.Name).To(Equal(want))
		},
		Entry("longest", "a.example", "/x/y/z", "deep"),
		Entry("shorter", "a.example", "/x/z", "x"),
		Entry("partial segment", "a.example", "/xy", "all"),
		Entry("host with a port", "a.example:8080", "/x/", "x"),
		Entry("host in another case", "A.EXAMPLE", "/x/", "x"),
		Entry("other host", "b.example", "/x/", ""),
		Entry("a letter in percent-encoding, which is the same path", "a.example", "/%78/z", "x"),
		Entry("an encoded slash, which is another path", "a.example", "/x%2Fy/z", "all"),
		Entry("an encoded slash in a longer prefix", "a.example", "/x/y%2f", "x"),
		Entry("an incomplete escape", "a.example", "/x/%7", "x"),
		Entry("a letter that requests can't contain", "a.example", "/%c3%A9%20b/z", "marked"),
	)

	It("finds an account by each of its keys", func() {
		Expect(table.AccountByKey("k2").Name).To(Equal("one"))
		Expect(table.AccountByKey("k3")).To(BeNil())
	})
})

// TestPick checks that Pick is periodic in the hash and gives each service its
// weight.
func TestPick(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 4).Draw(t, "weights")
		r := topology.Route{}
		total := 0
		for i, w := range weights {
			r.Targets = append(r.Targets, topology.Target{Service: string(rune('a' + i)), Weight: w})
			total += w
		}
		got := map[string]int{}
		for hash := range uint64(total) {
			got[r.Pick(hash)]++
			if r.Pick(hash) != r.Pick(hash+uint64(total)) {
				t.Fatal("equal offsets in the split give different services")
			}
		}
		for i, w := range weights {
			if got[string(rune('a'+i))] != w {
				t.Fatalf("service %c: picked %d times of %d, weight %d", 'a'+i, got[string(rune('a'+i))], total, w)
			}
		}
		if total == 0 && r.Pick(1) != "" {
			t.Fatal("Pick returned a service although the total weight is 0")
		}
	})
}
