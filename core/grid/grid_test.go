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
		rows := grid.Rows(n)
		members := make([][]string, rows)
		for i := range n {
			name := fmt.Sprintf("router-%d", i)
			row := grid.Row(name, rows)
			members[row] = append(members[row], name)
		}
		for i := range n {
			to := fmt.Sprintf("router-%d", i)
			for row, names := range members {
				if row == grid.Row(to, rows) {
					continue
				}
				tellers := 0
				for _, name := range names {
					if grid.Teller(to, names) == name {
						tellers++
					}
				}
				if len(names) > 0 && tellers != 1 {
					t.Fatalf("%d routers of row %d tell %s", tellers, row, to)
				}
			}
		}
	})
}

// TestGrowsWithTheRoot checks that the peers which a router tells grow with
// the square root of the fleet, not with the fleet.
func TestGrowsWithTheRoot(t *testing.T) {
	for _, n := range []int{1, 16, 17, 30, 91, 128, 129, 300, 450, 1000} {
		rows := grid.Rows(n)
		told := float64(n)/float64(rows) + float64(rows)
		if rows > 1 && told*told > 5.1*float64(n) {
			t.Errorf("%d routers in %d rows: each tells about %.0f", n, rows, told)
		}
	}
}
