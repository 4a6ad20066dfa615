package fair

// notInHeap is the heap index of an account that is not in the heap.
const notInHeap = -1

// heap is a binary min-heap of accounts, ordered by service and then by name.
// Each account stores its own index.
type heap []*accountState

func (h *heap) push(a *accountState) {
	a.heapIndex = len(*h)
	*h = append(*h, a)
	h.up(a.heapIndex)
}

// remove removes the account; it does nothing if the account is not in the
// heap.
func (h *heap) remove(a *accountState) {
	index := a.heapIndex
	if index == notInHeap {
		return
	}
	last := len(*h) - 1
	h.swap(index, last)
	*h = (*h)[:last]
	a.heapIndex = notInHeap
	if index < last {
		h.fix((*h)[index])
	}
}

// fix restores the heap order after the account's service has changed.
func (h *heap) fix(a *accountState) {
	if a.heapIndex == notInHeap {
		return
	}
	h.up(a.heapIndex)
	h.down(a.heapIndex)
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
	h[i].heapIndex, h[j].heapIndex = i, j
}
