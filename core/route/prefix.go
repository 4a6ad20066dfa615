package route

// prefixCache maps the hash of a prompt prefix to the endpoint that computed
// it last. It is a fixed-size LRU cache.
type prefixCache struct {
	size    int
	entries map[uint64]*prefixEntry
	head    prefixEntry // sentinel of a circular list, most recently used entry first
}

type prefixEntry struct {
	hash       uint64
	holder     *Endpoint // nil if no endpoint holds the prefix any more
	prev, next *prefixEntry
}

func newPrefixCache(size int) *prefixCache {
	p := &prefixCache{size: size, entries: map[uint64]*prefixEntry{}}
	p.head.prev, p.head.next = &p.head, &p.head
	return p
}

func (p *prefixCache) get(hash uint64) *Endpoint {
	if e, ok := p.entries[hash]; ok {
		return e.holder
	}
	return nil
}

func (p *prefixCache) put(hash uint64, holder *Endpoint) {
	e, ok := p.entries[hash]
	if !ok {
		e = p.allocate()
		e.hash = hash
		p.entries[hash] = e
	} else {
		e.unlink()
	}
	e.holder = holder
	e.link(&p.head)
}

// allocate returns a new entry or, if the cache is full, reuses the least
// recently used one.
func (p *prefixCache) allocate() *prefixEntry {
	if len(p.entries) < p.size {
		return &prefixEntry{}
	}
	oldest := p.head.prev
	oldest.unlink()
	delete(p.entries, oldest.hash)
	return oldest
}

// clearHolder clears the holder of a prefix if it is the given endpoint.
func (p *prefixCache) clearHolder(hash uint64, holder *Endpoint) {
	if e, ok := p.entries[hash]; ok && e.holder == holder {
		e.holder = nil
	}
}

// clearAll clears the holder of all prefixes that the endpoint holds.
func (p *prefixCache) clearAll(holder *Endpoint) {
	for _, e := range p.entries {
		if e.holder == holder {
			e.holder = nil
		}
	}
}

func (e *prefixEntry) link(after *prefixEntry) {
	e.prev, e.next = after, after.next
	after.next.prev, after.next = e, e
}

func (e *prefixEntry) unlink() {
	e.prev.next, e.next.prev = e.next, e.prev
}
