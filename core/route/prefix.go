package route

// prefixes remembers which endpoint last computed a prompt prefix. It keeps
// a fixed number; the least recently used one makes room.
type prefixes struct {
	size    int
	entries map[uint64]*prefix
	newest  prefix // head of a ring
}

type prefix struct {
	hash       uint64
	holder     *Endpoint // nil: dropped
	prev, next *prefix
}

func newPrefixes(size int) *prefixes {
	p := &prefixes{size: size, entries: map[uint64]*prefix{}}
	p.newest.prev, p.newest.next = &p.newest, &p.newest
	return p
}

func (p *prefixes) get(hash uint64) *Endpoint {
	if e, ok := p.entries[hash]; ok {
		return e.holder
	}
	return nil
}

func (p *prefixes) put(hash uint64, holder *Endpoint) {
	e, ok := p.entries[hash]
	if !ok {
		e = p.room()
		e.hash = hash
		p.entries[hash] = e
	} else {
		e.unlink()
	}
	e.holder = holder
	e.link(&p.newest)
}

// room returns a new entry, or the least recently used one.
func (p *prefixes) room() *prefix {
	if len(p.entries) < p.size {
		return &prefix{}
	}
	oldest := p.newest.prev
	oldest.unlink()
	delete(p.entries, oldest.hash)
	return oldest
}

func (p *prefixes) drop(hash uint64, holder *Endpoint) {
	if e, ok := p.entries[hash]; ok && e.holder == holder {
		e.holder = nil
	}
}

func (p *prefixes) forget(holder *Endpoint) {
	for _, e := range p.entries {
		if e.holder == holder {
			e.holder = nil
		}
	}
}

func (e *prefix) link(after *prefix) {
	e.prev, e.next = after, after.next
	after.next.prev, after.next = e, e
}

func (e *prefix) unlink() {
	e.prev.next, e.next.prev = e.next, e.prev
}
