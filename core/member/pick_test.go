package member_test

import (
	"fmt"
	"math"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/member"
)

var _ = Describe("picking routers for callers", func() {
	fleet := func(load ...int) []member.Router {
		var routers []member.Router
		for i, l := range load {
			routers = append(routers, member.Router{Name: fmt.Sprint("r", i), Zone: fmt.Sprint("z", i%3), Region: "north", Load: l})
		}
		return routers
	}
	const draws = 20_000
	countFirst := func(routers []member.Router, from member.Location) map[string]int {
		rng := rand.New(rand.NewPCG(1, 1))
		counts := map[string]int{}
		for range draws {
			counts[member.Pick(routers, from, 4, rng.Float64)[0].Name]++
		}
		return counts
	}

	It("spreads callers evenly over routers of equal load", func() {
		mean := float64(draws) / 7
		for _, n := range countFirst(fleet(3, 3, 3, 3, 3, 3, 3), member.Location{Region: "north"}) {
			Expect(float64(n)).To(BeNumerically("~", mean, 5*math.Sqrt(mean)))
		}
	})

	It("sends more callers, but not all, to an idle router", func() {
		counts := countFirst(fleet(9, 9, 9, 0), member.Location{Region: "north"})
		// The idle router has 10 times the weight of a busy one: 10 of 13.
		Expect(float64(counts["r3"]) / draws).To(BeNumerically("~", 10.0/13, 0.02))
	})

	It("prefers the caller's zone and spills over from an overloaded one", func() {
		location := member.Location{Zone: "z0", Region: "north"}
		counts := countFirst(fleet(1, 1, 1, 1, 1, 1, 1), location)
		Expect(float64(counts["r0"]+counts["r3"]+counts["r6"]) / draws).To(BeNumerically("~", 48.0/52, 0.02))
		counts = countFirst(fleet(400, 0, 0), location)
		Expect(counts["r0"]).To(BeNumerically("<", draws/10))
	})

	It("returns routers in at least two zones and rarely puts another region first", func() {
		routers := fleet(make([]int, 60)...)
		otherRegionFirst := 0
		rng := rand.New(rand.NewPCG(1, 1))
		for i := range routers[30:] {
			routers[30+i].Region = "south"
		}
		for range draws {
			picked := member.Pick(routers, member.Location{Zone: "z0", Region: "north"}, 4, rng.Float64)
			Expect(picked).To(HaveLen(4))
			zones := map[string]bool{}
			for _, r := range picked {
				zones[r.Zone] = true
			}
			Expect(len(zones)).To(BeNumerically(">", 1))
			if picked[0].Region == "south" && picked[0].Zone != "z0" {
				otherRegionFirst++
			}
		}
		Expect(otherRegionFirst).To(BeNumerically("<", draws/100))
		Expect(member.Pick(nil, member.Location{}, 4, rng.Float64)).To(BeEmpty())
	})
})
