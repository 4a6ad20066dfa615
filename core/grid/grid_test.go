package grid_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/cyclamenwinch/cyclamenwinch/core/grid"
)

// TestEveryRowHasOneRepresentative checks that each router receives the state
// of every other router: within its own row, or from exactly one
// representative of each other row.
func TestEveryRowHasOneRepresentative(t *testing.T) {
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
				representatives := 0
				for _, name := range names {
					if grid.Representative(to, names) == name {
						representatives++
					}
				}
				if representatives != 1 {
					t.Fatalf("%d routers of row %s report to %s", representatives, r, to)
				}
			}
		}
	})
}

// TestPeersGrowWithSquareRoot checks that the number of peers that a router
// reports to grows with the square root of the fleet's size, not with the size.
func TestPeersGrowWithSquareRoot(t *testing.T) {
	for _, n := range []int{1, 16, 17, 30, 84, 91, 128, 129, 300, 450, 1000} {
		const zones = 3
		g := grid.New(n, zones)
		rows := float64(g.RowsPerZone * zones)
		if g.RowsPerZone == 0 {
			continue
		}
		if peers := float64(n)/rows + rows; peers*peers > 6*float64(n) {
			t.Errorf("%d routers in %.0f rows: each reports to about %.0f peers", n, rows, peers)
		}
	}
}
