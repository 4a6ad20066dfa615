package strictjson_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/strictjson"
)

func TestStrictJSON(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Strict JSON")
}

var _ = Describe("Decode", func() {
	It("decodes a manifest", func() {
		var m manifest.Manifest
		Expect(strictjson.Decode([]byte(`{"zones":[{"name":"z","state":"in"}],"accounts":[{"share":1.5,"key_digests":["d"]}]}`), &m)).To(BeEmpty())
		Expect(m.Zones).To(Equal([]manifest.Zone{{Name: "z", State: manifest.In}}))
		Expect(m.Accounts).To(Equal([]manifest.Account{{Share: 1.5, KeyDigests: []string{"d"}}}))
	})

	DescribeTable("reports faults with their paths",
		func(text string, paths ...string) {
			var m manifest.Manifest
			var found []string
			for _, f := range strictjson.Decode([]byte(text), &m) {
				found = append(found, f.Path)
				Expect(f.Want).NotTo(BeEmpty())
			}
			Expect(found).To(Equal(paths))
		},
		Entry("a syntax error", `{`, "the file"),
		Entry("an array instead of an object", `[]`, "the file"),
		Entry("null", `null`, "the file"),
		Entry("trailing text", `{} {}`, "the file"),
		Entry("an unknown field", `{"zone":1}`, "zone"),
		Entry("a name in a different case", `{"Zones":[]}`, "Zones"),
		Entry("several faults in arrays and objects", `{"zones":[{"name":1},{"nam":"a"}],"orders":{"shards":"4"}}`, "orders.shards", "zones[0].name", "zones[1].nam"),
		Entry("null for a number", `{"generation":null}`, "generation"),
		Entry("a fraction for an integer", `{"generation":1.5}`, "generation"),
		Entry("an object for an array", `{"zones":{}}`, "zones"),
	)
})
