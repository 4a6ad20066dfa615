package load_test

import (
	"math"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cyclamenwinch/cyclamenwinch/load"
)

var _ = Describe("the fairness gap", func() {
	shares := map[string]float64{"a": 2, "b": 1}
	sample := func(at int64, a, b float64, backlogged ...string) load.Sample {
		s := load.Sample{AtMillis: at, Service: map[string]float64{"a": a, "b": b}, Backlogged: map[string]bool{}}
		for _, name := range backlogged {
			s.Backlogged[name] = true
		}
		return s
	}

	It("is the range of the difference while both are backlogged", func() {
		gap := load.FairnessGap([]load.Sample{
			sample(0, 0, 0, "a", "b"),
			sample(50, 20, 0, "a", "b"),
			sample(100, 20, 15, "a", "b"),
		}, shares)
		Expect(gap.Cost).To(Equal(15.0))
		Expect(gap.PairSeconds).To(BeNumerically("~", 0.1, 1e-9))
	})

	It("is compared with its bound for each pair", func() {
		gap := load.FairnessGap([]load.Sample{
			sample(0, 0, 0, "a", "b"),
			sample(50, 60, 0, "a", "b"),
		}, shares)
		Expect(gap.SetBounds(10, map[string]int{"a": 4, "b": 1}, shares)).To(Equal(30.0 / 90))
		Expect(gap.Pairs).To(Equal([]load.PairGap{{A: "a", B: "b", Cost: 30, Bound: 90}}))
	})

	It("ignores changes outside of a joint backlog", func() {
		gap := load.FairnessGap([]load.Sample{
			sample(0, 0, 0, "a", "b"),
			sample(50, 1000, 0, "a"),
			sample(100, 1000, 0, "a", "b"),
			sample(150, 1004, 0, "a", "b"),
		}, shares)
		Expect(gap.Cost).To(Equal(2.0))
	})
})

// TestGapMatchesAllWindows compares the gap, computed in one pass, with the
// largest change found by enumerating every window of every pair.
func TestGapMatchesAllWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := map[string]float64{"a": 1, "b": 2, "c": 3}
		samples := drawSamples(t, shares)
		want := 0.0
		for _, pair := range [][2]string{{"a", "b"}, {"a", "c"}, {"b", "c"}} {
			want = max(want, largestChange(samples, shares, pair[0], pair[1]))
		}
		if got := load.FairnessGap(samples, shares).Cost; math.Abs(got-want) > 1e-6 {
			t.Fatalf("gap %g, want %g", got, want)
		}
	})
}

func drawSamples(t *rapid.T, shares map[string]float64) []load.Sample {
	n := rapid.IntRange(1, 25).Draw(t, "samples")
	total := map[string]float64{}
	var samples []load.Sample
	for i := range n {
		s := load.Sample{AtMillis: int64(i) * 50, Service: map[string]float64{}, Backlogged: map[string]bool{}}
		for name := range shares {
			total[name] += float64(rapid.IntRange(0, 30).Draw(t, "served"))
			s.Service[name] = total[name]
			s.Backlogged[name] = rapid.IntRange(0, 3).Draw(t, "backlogged") > 0
		}
		samples = append(samples, s)
	}
	return samples
}

func largestChange(samples []load.Sample, shares map[string]float64, a, b string) float64 {
	difference := func(i int) float64 {
		return samples[i].Service[a]/shares[a] - samples[i].Service[b]/shares[b]
	}
	best := 0.0
	for i := range samples {
		for j := i; j < len(samples) && samples[j].Backlogged[a] && samples[j].Backlogged[b]; j++ {
			best = max(best, math.Abs(difference(j)-difference(i)))
		}
	}
	return best
}
