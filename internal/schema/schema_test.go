package schema_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"github.com/cyclamenwinch/cyclamenwinch/internal/schema"
)

func TestSchema(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "JSON Schemas")
}

// compile returns the validator for a generated schema.
func compile(name schema.Name) *jsonschema.Schema {
	text, err := schema.JSON(name)
	Expect(err).NotTo(HaveOccurred())
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	Expect(err).NotTo(HaveOccurred())
	c := jsonschema.NewCompiler()
	Expect(c.AddResource(string(name), doc)).To(Succeed())
	s, err := c.Compile(string(name))
	Expect(err).NotTo(HaveOccurred())
	return s
}

func readObject(file string) map[string]any {
	data, err := os.ReadFile(file)
	Expect(err).NotTo(HaveOccurred())
	var doc map[string]any
	Expect(json.Unmarshal(data, &doc)).To(Succeed())
	return doc
}

var _ = Describe("the generated schemas", func() {
	DescribeTable("accept the examples", func(name schema.Name, pattern string) {
		files, err := filepath.Glob(pattern)
		Expect(err).NotTo(HaveOccurred())
		Expect(files).NotTo(BeEmpty())
		s := compile(name)
		for _, file := range files {
			Expect(s.Validate(readObject(file))).To(Succeed(), file)
		}
	},
		Entry("manifest", schema.Manifest, "../../examples/*/manifest.json"),
		Entry("settings", schema.Settings, "../../examples/*/router-*.json"),
	)

	DescribeTable("reject", func(name schema.Name, file string, change func(map[string]any)) {
		doc := readObject(file)
		change(doc)
		Expect(compile(name).Validate(doc)).NotTo(Succeed())
	},
		Entry("an unknown field", schema.Manifest, "../../examples/annex/manifest.json", func(d map[string]any) { d["shares"] = 1 }),
		Entry("no zones", schema.Manifest, "../../examples/annex/manifest.json", func(d map[string]any) { d["zones"] = []any{} }),
		Entry("a share of 0", schema.Manifest, "../../examples/annex/manifest.json", func(d map[string]any) {
			d["accounts"].([]any)[0].(map[string]any)["share"] = 0
		}),
		Entry("an unknown state", schema.Manifest, "../../examples/annex/manifest.json", func(d map[string]any) {
			d["zones"].([]any)[0].(map[string]any)["state"] = "drained"
		}),
		Entry("a missing name", schema.Settings, "../../examples/annex/router-a.json", func(d map[string]any) { delete(d, "name") }),
		Entry("a number out of range", schema.Settings, "../../examples/annex/router-a.json", func(d map[string]any) { d["verbosity"] = 9 }),
		Entry("an unknown mode", schema.Settings, "../../examples/annex/router-a.json", func(d map[string]any) {
			d["ops_tls"].(map[string]any)["mode"] = "none"
		}),
	)

	It("describe every field", func() {
		for _, name := range []schema.Name{schema.Manifest, schema.Settings} {
			text, err := schema.JSON(name)
			Expect(err).NotTo(HaveOccurred())
			var root schema.Node
			Expect(json.Unmarshal(text, &root)).To(Succeed())
			expectDescribed(&root, string(name))
		}
	})

	It("are limited to the manifest and the settings", func() {
		_, err := schema.JSON("orders")
		Expect(err).To(MatchError(ContainSubstring(`"manifest" or "settings"`)))
	})
})

// expectDescribed checks that every field below n, other than an object, has a
// description.
func expectDescribed(n *schema.Node, path string) {
	for name, field := range n.Properties {
		Expect(name).NotTo(BeEmpty(), path)
		if field.Type != "object" {
			Expect(field.Description).NotTo(BeEmpty(), path+"."+name)
		}
		expectDescribed(field, path+"."+name)
	}
	if n.Items != nil {
		expectDescribed(n.Items, path+"[]")
	}
}
