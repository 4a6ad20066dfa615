package manifest

import (
	"strings"

	"github.com/cyclamenwinch/cyclamenwinch/core/urlpath"
)

// index maps the keys that requests are looked up by to positions in the lists
// of a manifest.
type index struct {
	zones     map[string]int
	accounts  map[string]int
	digests   map[string]int // of API keys; values are positions of accounts
	pools     map[string]int
	models    map[string]int // values are positions of pools
	paths     map[string]int // values are positions of pools
	endpoints map[string]int // by name
}

// Index builds the index that speeds up lookups. The manifest must not be
// changed afterwards.
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

// PoolForPath returns the pool whose path is the longest prefix of path, by
// whole segments. The path is as urlpath.Normalize returns it.
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
	return at(m.Endpoints, m.lookup().endpoints, name)
}

// lookup returns the index. For a manifest that is not indexed yet, it builds
// a temporary one.
func (m *Manifest) lookup() *index {
	if m.index != nil {
		return m.index
	}
	return m.newIndex()
}

func (m *Manifest) newIndex() *index {
	x := &index{
		zones:     positions(m.Zones, func(z Zone) []string { return []string{z.Name} }),
		accounts:  positions(m.Accounts, func(a Account) []string { return []string{a.Name} }),
		digests:   positions(m.Accounts, func(a Account) []string { return a.KeyDigests }),
		pools:     positions(m.Pools, func(p Pool) []string { return []string{p.Name} }),
		models:    positions(m.Pools, func(p Pool) []string { return p.Models }),
		paths:     positions(m.Pools, func(p Pool) []string { return []string{urlpath.Declared(p.Path)} }),
		endpoints: positions(m.Endpoints, func(e Endpoint) []string { return []string{e.Name} }),
	}
	delete(x.paths, "")
	return x
}

// positions maps each key to the position of the first item that has it.
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

// parent removes the last segment of a path. The parent of a single segment
// is empty.
func parent(path string) string {
	cut := strings.LastIndexByte(path, '/')
	if cut < 0 {
		return ""
	}
	return path[:cut]
}
