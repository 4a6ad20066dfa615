package manifest

import "strings"

// index holds the positions that requests look up.
type index struct {
	zones    map[string]int
	accounts map[string]int
	digests  map[string]int // of API keys, to accounts
	pools    map[string]int
	models   map[string]int // to pools
	paths    map[string]int // to pools
	names    map[string]int // of endpoints
}

// Index makes lookups fast. The manifest must not be changed afterwards.
func (m *Manifest) Index() { m.index = m.newIndex() }

// Zone returns the named zone.
func (m *Manifest) Zone(name string) (Zone, bool) {
	return at(m.Zones, m.lookup().zones, name)
}

// Pool returns the named pool.
func (m *Manifest) Pool(name string) (Pool, bool) {
	return at(m.Pools, m.lookup().pools, name)
}

// PoolForModel returns the pool that serves a model.
func (m *Manifest) PoolForModel(model string) (Pool, bool) {
	return at(m.Pools, m.lookup().models, model)
}

// PoolForPath returns the pool with the longest path prefix of path.
func (m *Manifest) PoolForPath(path string) (Pool, bool) {
	paths := m.lookup().paths
	for prefix := path; prefix != ""; prefix = parent(prefix) {
		if p, ok := at(m.Pools, paths, prefix); ok {
			return p, true
		}
	}
	return Pool{}, false
}

// Account returns the named client account.
func (m *Manifest) Account(name string) (Account, bool) {
	return at(m.Accounts, m.lookup().accounts, name)
}

// AccountByKeyDigest returns the client account of an API key's digest.
func (m *Manifest) AccountByKeyDigest(digest string) (Account, bool) {
	return at(m.Accounts, m.lookup().digests, digest)
}

// Endpoint returns the named endpoint.
func (m *Manifest) Endpoint(name string) (Endpoint, bool) {
	return at(m.Endpoints, m.lookup().names, name)
}

// lookup returns the index, or a new one for a manifest that is still being
// built.
func (m *Manifest) lookup() *index {
	if m.index != nil {
		return m.index
	}
	return m.newIndex()
}

func (m *Manifest) newIndex() *index {
	x := &index{
		zones:    positions(m.Zones, func(z Zone) []string { return []string{z.Name} }),
		accounts: positions(m.Accounts, func(a Account) []string { return []string{a.Name} }),
		digests:  positions(m.Accounts, func(a Account) []string { return a.KeyDigests }),
		pools:    positions(m.Pools, func(p Pool) []string { return []string{p.Name} }),
		models:   positions(m.Pools, func(p Pool) []string { return p.Models }),
		paths:    positions(m.Pools, func(p Pool) []string { return []string{p.Path} }),
		names:    positions(m.Endpoints, func(e Endpoint) []string { return []string{e.Name} }),
	}
	delete(x.paths, "")
	return x
}

// positions maps each key to the first item that has it.
func positions[T any](items []T, keys func(T) []string) map[string]int {
	found := make(map[string]int, len(items))
	for i, item := range items {
		for _, key := range keys(item) {
			if _, ok := found[key]; !ok {
				found[key] = i
			}
		}
	}
	return found
}

func at[T any](items []T, positions map[string]int, key string) (T, bool) {
	i, ok := positions[key]
	if !ok {
		var none T
		return none, false
	}
	return items[i], true
}

// parent cuts the last segment off a path; it is empty at the end.
func parent(path string) string {
	cut := strings.LastIndexByte(path, '/')
	if cut < 0 {
		return ""
	}
	return path[:cut]
}
