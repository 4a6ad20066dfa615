package manifest

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Joiner assembles manifests from their parts. It caches the decoded parts of
// the last manifest, so that only changed parts have to be decoded.
type Joiner struct {
	accounts  map[Ref][]Account
	endpoints map[Ref][]Endpoint
}

// NewJoiner returns a joiner with an empty cache.
func NewJoiner() *Joiner { return &Joiner{} }

// Join returns the complete manifest of a root. It fails if a part is missing.
func (j *Joiner) Join(r *Root, parts Parts) (*Manifest, error) {
	accounts, err := decode(r.Accounts, parts, j.accounts)
	if err != nil {
		return nil, err
	}
	endpoints, err := decode(r.Endpoints, parts, j.endpoints)
	if err != nil {
		return nil, err
	}
	j.accounts, j.endpoints = accounts, endpoints
	m := &Manifest{Generation: r.Generation, Zones: r.Zones, Pools: r.Pools, Orders: r.Orders}
	m.Accounts = merge(r.Accounts, accounts, func(a Account) string { return a.Name })
	m.Endpoints = merge(r.Endpoints, endpoints, func(e Endpoint) string { return e.Name })
	return m, nil
}

// decode returns the items of each part, reusing those already decoded.
func decode[T any](refs []Ref, parts Parts, cached map[Ref][]T) (map[Ref][]T, error) {
	decoded := make(map[Ref][]T, len(refs))
	for _, ref := range refs {
		items, ok := cached[ref]
		if ok {
			decoded[ref] = items
			continue
		}
		value, ok := parts[ref]
		if !ok {
			return nil, errors.Newf("manifest part %s is missing", ref)
		}
		if err := json.Unmarshal(value, &items); err != nil {
			return nil, errors.Wrapf(err, "decode manifest part %s", ref)
		}
		decoded[ref] = items
	}
	return decoded, nil
}

// merge returns the items of all parts, sorted by name.
func merge[T any](refs []Ref, decoded map[Ref][]T, name func(T) string) []T {
	items := []T{}
	for _, ref := range refs {
		items = append(items, decoded[ref]...)
	}
	slices.SortFunc(items, func(x, y T) int { return strings.Compare(name(x), name(y)) })
	return items
}
