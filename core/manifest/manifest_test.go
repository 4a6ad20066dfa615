package manifest_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
)

func TestManifest(t *testing.T) {
	RegisterFailHandler(Fail)
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		flag.Set("rapid.seed", "1") // deterministic results
	}
	RunSpecs(t, "Manifest")
}

const maxObjectBytes = 1 << 20

// newManifest returns a valid manifest of the given size.
func newManifest(accounts, endpoints int) *manifest.Manifest {
	m := &manifest.Manifest{
		Zones:  []manifest.Zone{{Name: "z", Region: "north", State: manifest.In}},
		Pools:  []manifest.Pool{{Name: "p", Kind: manifest.Model, Models: []string{"m"}}},
		Orders: manifest.Orders{Shards: 4, RetentionHours: 24},
	}
	for i := range accounts {
		name := fmt.Sprintf("account-%05d", i)
		m.Accounts = append(m.Accounts, manifest.Account{
			Name: name, Share: 1, MaxQueue: 10, MaxWaitMillis: 10,
			KeyDigests: []string{manifest.KeyDigest(name), manifest.KeyDigest(name + "b")},
		})
	}
	for i := range endpoints {
		m.Endpoints = append(m.Endpoints, manifest.Endpoint{
			Name: fmt.Sprintf("runner-%05d", i), Pool: "p", URL: fmt.Sprintf("http://10.0.%d.%d:8000", i/250, i%250+1),
			Zone: "z", State: manifest.In, Slots: 8, ColdSlots: 1,
		})
	}
	return m
}

// drawManifest draws a manifest from a small set of names, so that the items of
// two manifests overlap.
func drawManifest(t *rapid.T, label string) *manifest.Manifest {
	m := newManifest(0, 0)
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 300), 0, 200, rapid.ID[int]).Draw(t, label+" accounts") {
		m.Accounts = append(m.Accounts, manifest.Account{Name: fmt.Sprintf("a%03d", i), Share: 1, MaxQueue: rapid.IntRange(1, 2).Draw(t, "queue")})
	}
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 300), 0, 20, rapid.ID[int]).Draw(t, label+" endpoints") {
		m.Endpoints = append(m.Endpoints, manifest.Endpoint{Name: fmt.Sprintf("e%03d", i), Slots: rapid.IntRange(1, 2).Draw(t, "slots")})
	}
	return m
}

// splitProperty checks that joining the parts of successive generations gives
// the manifest that was split, that Dropped lists the parts that are no longer
// used, and that no other parts are left.
func splitProperty(t *rapid.T) {
	stored := manifest.Parts{}
	joiner := manifest.NewJoiner()
	var prev *manifest.Root
	for i := range rapid.IntRange(1, 4).Draw(t, "generations") {
		m := drawManifest(t, "next")
		root, parts, err := manifest.Split(m, prev, fmt.Sprint("token", i), 1)
		if err != nil {
			t.Fatal(err)
		}
		for _, ref := range root.Dropped {
			delete(stored, ref)
		}
		for ref, value := range parts {
			if !ref.Matches(value) {
				t.Fatalf("digest in %s does not match the content", ref)
			}
			stored[ref] = value
		}
		joined, err := joiner.Join(root, stored)
		if err != nil {
			t.Fatal(err)
		}
		if d := manifest.Diff(m, joined); len(d) > 0 {
			t.Fatalf("joined manifest differs: %v", d)
		}
		if joined.Generation != int64(i+1) {
			t.Fatalf("got generation %d after %d", joined.Generation, i)
		}
		if refs := root.Refs(); len(stored) != len(slices.Compact(slices.Sorted(slices.Values(refs)))) {
			t.Fatalf("%d parts stored, %d in use", len(stored), len(refs))
		}
		prev = root
	}
}

var _ = Describe("Split and Join", func() {
	It("restore the manifest, whatever the previous generations were", func() {
		rapid.Check(GinkgoT(), splitProperty)
	})

	It("keep every object of the largest manifest below the platform's size limit", func() {
		root, parts, err := manifest.Split(newManifest(2200, 12000), nil, "token", 1)
		Expect(err).NotTo(HaveOccurred())
		value, err := json.Marshal(root)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(value)).To(BeNumerically("<", maxObjectBytes))
		for _, part := range parts {
			Expect(len(part)).To(BeNumerically("<", maxObjectBytes))
		}
	})

	It("replace only the part that contains a changed endpoint", func() {
		m := newManifest(2200, 12000)
		root, _, err := manifest.Split(m, nil, "one", 1)
		Expect(err).NotTo(HaveOccurred())
		m.Endpoints[7].State = manifest.Out
		next, parts, err := manifest.Split(m, root, "two", 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(parts).To(HaveLen(1))
		Expect(next.Dropped).To(HaveLen(1))
	})

	It("report the outcome of a submission as long as its token is kept", func() {
		var root *manifest.Root
		for i := range 30 {
			root, _, _ = manifest.Split(newManifest(1, 1), root, fmt.Sprint("t", i), 1)
		}
		generation, known := root.Outcome("t20", 20)
		Expect(generation).To(BeEquivalentTo(21))
		Expect(known).To(BeTrue())
		_, known = root.Outcome("other", 20)
		Expect(known).To(BeTrue(), "another submission was accepted first")
		_, known = root.Outcome("t2", 2)
		Expect(known).To(BeFalse())
	})
})

var _ = Describe("Lookups", func() {
	It("give the same results with and without an index", func() {
		m := newManifest(3, 3)
		m.Pools = append(m.Pools, manifest.Pool{Name: "o", Kind: manifest.Order, Path: "/v1/orders"}, manifest.Pool{Name: "e", Kind: manifest.Service, Path: "/v1/entwürfe"})
		for range 2 {
			account, ok := m.AccountByKeyDigest(manifest.KeyDigest("account-00001"))
			Expect(ok).To(BeTrue())
			Expect(account.Name).To(Equal("account-00001"))
			endpoint, _ := m.Endpoint("runner-00002")
			Expect(endpoint.URL).To(Equal("http://10.0.0.3:8000"))
			pool, _ := m.PoolForPath("/v1/orders/7")
			Expect(pool.Name).To(Equal("o"))
			pool, _ = m.PoolForPath("/v1/entw%C3%BCrfe")
			Expect(pool.Name).To(Equal("e"), "a declared path may have letters that requests can't have")
			_, ok = m.PoolForPath("/v1/ordersX")
			Expect(ok).To(BeFalse())
			pool, _ = m.PoolForModel("m")
			Expect(pool.Name).To(Equal("p"))
			m.Index()
		}
	})
})

var _ = Describe("Diff", func() {
	It("lists changed and removed items", func() {
		old, next := newManifest(2, 2), newManifest(2, 2)
		next.Accounts[0].Share = 3
		next.Zones[0].State = manifest.Out
		next.Endpoints = next.Endpoints[:1]
		next.Orders.Shards = 8
		var lines []string
		for _, d := range manifest.Diff(old, next) {
			lines = append(lines, d.String()[:min(40, len(d.String()))])
		}
		Expect(lines).To(Equal([]string{
			"~ accounts/account-00000.share: 1 -> 3",
			"- endpoints/runner-00001: {Name:runner-0",
			"~ orders.shards: 4 -> 8",
			"~ zones/z.state: in -> out",
		}))
		Expect(manifest.CheckUpdate(old, next)).To(HaveLen(1))
		Expect(manifest.Diff(old, old)).To(BeEmpty())
	})
})

func BenchmarkAccountByKeyDigest(b *testing.B) {
	m := newManifest(2200, 12000)
	m.Index()
	digest := manifest.KeyDigest("account-02000")
	for b.Loop() {
		m.AccountByKeyDigest(digest)
	}
}

func BenchmarkJoin(b *testing.B) {
	for _, endpoints := range []int{12, 3000, 12000} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			root, parts, _ := manifest.Split(newManifest(2200, endpoints), nil, "token", 1)
			b.ReportAllocs()
			for b.Loop() {
				m, _ := root.Join(parts)
				m.Index()
			}
		})
	}
}

func BenchmarkApplyChange(b *testing.B) {
	for _, endpoints := range []int{12, 3000, 12000} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			m := newManifest(2200, endpoints)
			root, parts, _ := manifest.Split(m, nil, "token", 1)
			joiner := manifest.NewJoiner()
			joiner.Join(root, parts)
			for i := 0; b.Loop(); i++ {
				b.StopTimer()
				m.Accounts[7].MaxQueue = 100 + i
				next, changed, _ := manifest.Split(m, root, "other", 1)
				maps.Copy(parts, changed)
				b.StartTimer()
				joined, _ := joiner.Join(next, parts)
				joined.Check()
				joined.Index()
			}
		})
	}
}

func BenchmarkCheck(b *testing.B) {
	m := newManifest(2200, 12000)
	b.ReportAllocs()
	for b.Loop() {
		m.Check()
	}
}

func BenchmarkIndex(b *testing.B) {
	m := newManifest(2200, 12000)
	b.ReportAllocs()
	for b.Loop() {
		m.Index()
	}
}
