package route

// notInHeap is the position of an endpoint that is in no heap.
const notInHeap = -1

// zoneHeap is a binary min-heap, by load, of the endpoints of one
// availability zone that have a free slot.
type zoneHeap struct {
	zone      string
	endpoints []*Endpoint
}

// less orders endpoints by load, then by name. It compares fractions by cross
// multiplication.
func less(a, b *Endpoint) bool {
	if x, y := a.Busy*b.Limit, b.Busy*a.Limit; x != y {
		return x < y
	}
	return a.Name < b.Name
}

func (z *zoneHeap) push(e *Endpoint) {
	e.pos = len(z.endpoints)
	z.endpoints = append(z.endpoints, e)
	z.up(e.pos)
}

func (z *zoneHeap) remove(e *Endpoint) {
	pos, last := e.pos, len(z.endpoints)-1
	z.swap(pos, last)
	z.endpoints = z.endpoints[:last]
	e.pos = notInHeap
	if pos < last {
		z.fix(z.endpoints[pos])
	}
}

func (z *zoneHeap) fix(e *Endpoint) {
	z.up(e.pos)
	z.down(e.pos)
}

func (z *zoneHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !less(z.endpoints[i], z.endpoints[parent]) {
			return
		}
		z.swap(i, parent)
		i = parent
	}
}

func (z *zoneHeap) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(z.endpoints); child++ {
			if less(z.endpoints[child], z.endpoints[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		z.swap(i, least)
		i = least
	}
}

func (z *zoneHeap) swap(i, j int) {
	z.endpoints[i], z.endpoints[j] = z.endpoints[j], z.endpoints[i]
	z.endpoints[i].pos, z.endpoints[j].pos = i, j
}
