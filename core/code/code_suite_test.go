package code_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
)

func TestCode(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Result codes")
}

var _ = Describe("Table", func() {
	It("equals docs/CODES.md", func() {
		goldie.New(GinkgoTB(), goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md")).
			Assert(GinkgoTB(), "CODES", []byte(code.Markdown()))
	})

	It("has ascending, unique numbers and names", func() {
		names := map[string]bool{}
		last := code.Code(-1)
		for _, info := range code.Table() {
			Expect(info.Code).To(BeNumerically(">", last))
			Expect(names).NotTo(HaveKey(info.Name))
			last, names[info.Name] = info.Code, true
		}
	})
})
