// Package grid arranges the routers of a fleet in rows, so that what each
// tells the others grows with the square root of their number. A router tells
// its own state to its row; of each row, one router tells every router outside
// it the state of the whole row. A small fleet is one row.
//
// Every router works the grid out by itself from the names that it knows. Two
// that know different fleets may disagree for a moment; they then hear a row
// twice or not at all, until they agree.
package grid

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// oneRow is the largest fleet that is one row: there, telling everybody costs
// less than the second hop delays.
const oneRow = 16

// Grid is the arrangement of a fleet. A row lies within one availability
// zone, since bytes between zones are dear.
type Grid struct {
	RowsPerZone int // rows of each zone; 0: the whole fleet is one row
}

// New returns the grid of a fleet of n routers in some zones. The number of
// rows is near the square root of n, and seldom changes as routers come and go.
func New(n, zones int) Grid {
	if n <= oneRow {
		return Grid{}
	}
	rows := 4
	for 2*rows*rows < n {
		rows *= 2
	}
	return Grid{RowsPerZone: max(1, (rows+zones/2)/max(zones, 1))}
}

// Row returns the row of a router.
func (g Grid) Row(zone, name string) string {
	if g.RowsPerZone == 0 {
		return "all"
	}
	return zone + "/" + strconv.FormatUint(xxhash.Sum64String(name)%uint64(g.RowsPerZone), 10)
}

// Weight is the rendezvous weight of a name for a key: of several names, the
// one with the largest weight is chosen.
func Weight(key uint64, name string) uint64 {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], key)
	h := xxhash.New()
	h.Write(buf[:])
	h.WriteString(name)
	return h.Sum64()
}

// Representative returns which of a row's routers tells a router outside it the state
// of the row; empty if the row has none.
func Representative(to string, row []string) string {
	key := xxhash.Sum64String(to)
	best, most := "", uint64(0)
	for _, name := range row {
		if w := Weight(key, name); best == "" || w > most {
			best, most = name, w
		}
	}
	return best
}
