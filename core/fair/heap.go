package fair

// absent is the position of an entry that is not in the heap.
const absent = -1

// heap is a binary heap of entries, least service first. Each entry knows
// its position.
type heap []*entry

func (h *heap) push(e *entry) {
	e.pos = len(*h)
	*h = append(*h, e)
	h.up(e.pos)
}

// remove takes the entry out, if it is in.
func (h *heap) remove(e *entry) {
	pos := e.pos
	if pos == absent {
		return
	}
	last := len(*h) - 1
	h.swap(pos, last)
	*h = (*h)[:last]
	e.pos = absent
	if pos < last {
		h.fix((*h)[pos])
	}
}

// fix restores the order after the entry's service has changed.
func (h *heap) fix(e *entry) {
	if e.pos == absent {
		return
	}
	h.up(e.pos)
	h.down(e.pos)
}

func (h heap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h heap) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h); child++ {
			if h.less(child, least) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}

func (h heap) less(i, j int) bool {
	if h[i].service != h[j].service {
		return h[i].service < h[j].service
	}
	return h[i].name < h[j].name
}

func (h heap) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i, j
}
