package capacity

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCapacity(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Capacity")
}

var _ = Describe("capacity calculations", func() {
	It("fit a line by least squares", func() {
		line := Fit([]float64{1, 2, 4}, []float64{5, 7, 11})
		Expect(line.At(450)).To(BeNumerically("~", 903, 1e-6))
		Expect(Fit([]float64{3}, []float64{8}).At(9)).To(BeEquivalentTo(8))
	})

	It("parse metrics and benchmark results", func() {
		Expect(parseMetrics("other 1\n" + peerSent + " 42\n")).To(Equal(map[string]float64{peerSent: 42}))
		Expect(parseBench("BenchmarkJoin/12-10   \t 4\t 89139485 ns/op\t 3 B/op\n")).To(Equal(map[string]float64{"Join/12": 89139485}))
	})

	It("compute the cost of a request from the difference between two windows", func() {
		f := figures{samples: []Sample{
			{Label: "requests-35", Routers: 7, Requests: 350, Seconds: 10, Rates: map[string]float64{peerSent: 1000}},
			{Label: "requests-105", Routers: 7, Requests: 1050, Seconds: 10, Rates: map[string]float64{peerSent: 2000}},
		}}
		Expect(f.perRequest().bytes).To(BeNumerically("~", 100, 1e-9))
	})

	It("replace a table between its markers and reject a page without them", func() {
		page, err := replaceTable("a\n<!-- begin x -->\nold\n<!-- end x -->\nb", "x", "new\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(page).To(Equal("a\n<!-- begin x -->\nnew\n<!-- end x -->\nb"))
		_, err = replaceTable("a", "x", "new")
		Expect(err).To(HaveOccurred())
	})
})
