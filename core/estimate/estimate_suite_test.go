package estimate_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/estimate"
	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
)

func TestEstimate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Estimates")
}

var _ = Describe("a table", func() {
	key := estimate.Key{Account: "hotels", Model: "tender-writer"}

	It("returns the hint for an unknown key", func() {
		Expect(estimate.NewTable(10).Cost(key, 100)).To(Equal(fair.Cost(100)))
	})

	It("learns a separate ratio for each account and model", func() {
		t := estimate.NewTable(10)
		other := estimate.Key{Account: "hotels", Model: "tagger"}
		for hint := range 100 {
			t.Learn(key, fair.Cost(hint), fair.Cost(hint)/4)
			t.Learn(other, fair.Cost(hint), fair.Cost(hint)*2)
		}
		Expect(t.Cost(key, 400)).To(BeNumerically("~", 100, 1))
		Expect(t.Cost(other, 400)).To(BeNumerically("~", 800, 1))
	})

	It("limits the number of keys and the ratio of cost to hint", func() {
		t := estimate.NewTable(10)
		for i := range 1000 {
			t.Learn(estimate.Key{Account: fmt.Sprint(i)}, 1, 1e12)
		}
		known := 0
		for i := range 1000 {
			cost := t.Cost(estimate.Key{Account: fmt.Sprint(i)}, 1)
			Expect(cost).To(BeNumerically("<=", 64))
			if cost > 1 {
				known++
			}
		}
		Expect(known).To(Equal(10))
	})
})
