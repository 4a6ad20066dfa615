package route

// absent is the position of an endpoint that is in no heap.
const absent = -1

// zone is a binary heap of one zone's endpoints with a free slot, least load
// first.
type zone struct {
	name string
	heap []*Endpoint
}

// less orders by load, then by name.
func less(a, b *Endpoint) bool {
	if x, y := a.Busy*b.Limit, b.Busy*a.Limit; x != y {
		return x < y
	}
	return a.Name < b.Name
}

func (z *zone) push(e *Endpoint) {
	e.pos = len(z.heap)
	z.heap = append(z.heap, e)
	z.up(e.pos)
}

func (z *zone) remove(e *Endpoint) {
	pos, last := e.pos, len(z.heap)-1
	z.swap(pos, last)
	z.heap = z.heap[:last]
	e.pos = absent
	if pos < last {
		z.fix(z.heap[pos])
	}
}

func (z *zone) fix(e *Endpoint) {
	z.up(e.pos)
	z.down(e.pos)
}

func (z *zone) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !less(z.heap[i], z.heap[parent]) {
			return
		}
		z.swap(i, parent)
		i = parent
	}
}

func (z *zone) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(z.heap); child++ {
			if less(z.heap[child], z.heap[least]) {
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

func (z *zone) swap(i, j int) {
	z.heap[i], z.heap[j] = z.heap[j], z.heap[i]
	z.heap[i].pos, z.heap[j].pos = i, j
}
