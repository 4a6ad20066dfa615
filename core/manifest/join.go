package manifest

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Joiner puts manifests together and keeps the decoded parts of the last
// one, so that a change costs the decoding of the parts that changed.
type Joiner struct {
	accounts  map[Ref][]Account
	endpoints map[Ref][]Endpoint
}

// NewJoiner returns a joiner that holds no parts.
func NewJoiner() *Joiner { return &Joiner{} }

// Join returns the whole manifest of a root. All its parts must be there.
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

// decode returns the items of each part, those already decoded among them.
func decode[T any](refs []Ref, parts Parts, known map[Ref][]T) (map[Ref][]T, error) {
	decoded := make(map[Ref][]T, len(refs))
	for _, ref := range refs {
		items, ok := known[ref]
		if ok {
			decoded[ref] = items
			continue
		}
		value, ok := parts[ref]
		if !ok {
			return nil, errors.Newf("part %s is missing", ref)
		}
		if err := json.Unmarshal(value, &items); err != nil {
			return nil, errors.Wrapf(err, "part %s", ref)
		}
		decoded[ref] = items
	}
	return decoded, nil
}

// merge returns all items in order of their names.
func merge[T any](refs []Ref, decoded map[Ref][]T, name func(T) string) []T {
	items := []T{}
	for _, ref := range refs {
		items = append(items, decoded[ref]...)
	}
	slices.SortFunc(items, func(x, y T) int { return strings.Compare(name(x), name(y)) })
	return items
}
