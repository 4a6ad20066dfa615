// Package grid arranges the routers of a fleet in rows, so that the number of
// peers that each router reports to grows with the square root of the fleet's
// size. A router reports its own state to the routers of its row. One router
// of the row, which differs by receiver, reports the state of the whole row to
// each router outside it. A small fleet is a single row.
//
// Every router computes the grid on its own from the names that it knows. Two
// routers that know different fleets may disagree for a short time and then
// receive the state of a row twice or not at all, until their views converge.
package grid

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// singleRowMax is the size of the largest fleet that is a single row. Up to
// this size, sending to all routers costs less than the delay of a second hop.
const singleRowMax = 16

// Grid is the arrangement of a fleet in rows. A row is within one availability
// zone, since traffic between zones is expensive.
type Grid struct {
	RowsPerZone int // rows in each zone; 0: the whole fleet is a single row
}

// New returns the grid of a fleet of n routers in the given number of zones.
// It starts from a power of two close to the square root of n (4 up to 32
// routers, 8 up to 128, 16 up to 512), which rarely changes when routers join or
// leave, and divides these rows among the zones: rounded to the nearest number
// for each zone, and at least 1.
func New(n, zones int) Grid {
	if n <= singleRowMax {
		return Grid{}
	}
	rows := 4
	for 2*rows*rows < n {
		rows *= 2
	}
	return Grid{RowsPerZone: max(1, (rows+zones/2)/max(zones, 1))}
}

// Row returns the name of the row that a router belongs to.
func (g Grid) Row(zone, name string) string {
	if g.RowsPerZone == 0 {
		return "all"
	}
	return zone + "/" + strconv.FormatUint(xxhash.Sum64String(name)%uint64(g.RowsPerZone), 10)
}

// Weight returns the rendezvous hashing weight of a name for a key: of several
// names, the one with the largest weight is chosen. The names may be those of
// routers or of endpoints.
func Weight(key uint64, name string) uint64 {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], key)
	h := xxhash.New()
	h.Write(buf[:])
	h.WriteString(name)
	return h.Sum64()
}

// Representative returns the router of a row that reports the state of the row
// to a given router outside it. It returns "" for an empty row.
func Representative(to string, row []string) string {
	key := xxhash.Sum64String(to)
	best, maxWeight := "", uint64(0)
	for _, name := range row {
		if w := Weight(key, name); best == "" || w > maxWeight {
			best, maxWeight = name, w
		}
	}
	return best
}
