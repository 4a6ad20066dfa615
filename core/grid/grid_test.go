package grid_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/cyclamenwinch/cyclamenwinch/core/grid"
)

// TestEverybodyHearsAll checks that each router hears of every other: by its
// own row, or by one teller of each other row.
func TestEverybodyHearsAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 300).Draw(t, "routers")
		zones := rapid.IntRange(1, 5).Draw(t, "zones")
		g := grid.New(n, zones)
		members := map[string][]string{}
		row := func(i int) string { return g.Row(fmt.Sprint("z", i%zones), fmt.Sprintf("router-%d", i)) }
		for i := range n {
			members[row(i)] = append(members[row(i)], fmt.Sprintf("router-%d", i))
		}
		for i := range n {
			to := fmt.Sprintf("router-%d", i)
			for r, names := range members {
				if r == row(i) {
					continue
				}
				tellers := 0
				for _, name := range names {
					if grid.Representative(to, names) == name {
						tellers++
					}
				}
				if tellers != 1 {
					t.Fatalf("%d routers of row %s tell %s", tellers, r, to)
				}
			}
		}
	})
}

// TestGrowsWithTheRoot checks that the peers which a router tells grow with
// the square root of the fleet, not with the fleet.
func TestGrowsWithTheRoot(t *testing.T) {
	for _, n := range []int{1, 16, 17, 30, 84, 91, 128, 129, 300, 450, 1000} {
		const zones = 3
		g := grid.New(n, zones)
		rows := float64(g.RowsPerZone * zones)
		if g.RowsPerZone == 0 {
			continue
		}
		if told := float64(n)/rows + rows; told*told > 6*float64(n) {
			t.Errorf("%d routers in %.0f rows: each tells about %.0f", n, rows, told)
		}
	}
}
