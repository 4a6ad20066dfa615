package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// partItems is the mean number of accounts or endpoints in a part. Small
	// parts cost few bytes to change, and the root grows with their number.
	partItems   = 64
	digestBytes = 12
	// refTokenLen is how much of its token a submission puts into names.
	refTokenLen = 8
	// tokensKept is how many submissions a root remembers, so that the author
	// of a submission whose answer was lost learns what became of it.
	tokensKept = 16
)

// Ref names a part: the digest of its content and the token of the
// submission that wrote it, so that no two submissions share an object.
type Ref string

// Submission is an accepted generation and the token of its author.
type Submission struct {
	Generation int64  `json:"generation"`
	Token      string `json:"token"`
}

// Root is the object whose conditional write accepts a generation. The
// accounts and endpoints stand in parts, which are never changed.
type Root struct {
	Generation int64        `json:"generation"`
	Zones      []Zone       `json:"zones"`
	Pools      []Pool       `json:"pools"`
	Orders     Orders       `json:"orders"`
	Accounts   []Ref        `json:"accounts"`
	Endpoints  []Ref        `json:"endpoints"`
	Accepted   []Submission `json:"accepted"` // newest first
	Dropped    []Ref        `json:"dropped"`  // no longer used since this generation
}

// Parts are the values of parts.
type Parts map[Ref][]byte

// Split returns the root and the new parts of m as the generation after
// prev. Parts whose content did not change keep their names; a nil prev
// stands for none.
func Split(m *Manifest, prev *Root, token string) (*Root, Parts, error) {
	if prev == nil {
		prev = &Root{}
	}
	s := splitter{token: token[:min(len(token), refTokenLen)], known: map[string]Ref{}, parts: Parts{}}
	for _, ref := range prev.Refs() {
		s.known[ref.digest()] = ref
	}
	root := &Root{
		Generation: prev.Generation + 1,
		Zones:      m.Zones,
		Pools:      m.Pools,
		Orders:     m.Orders,
		Accepted:   []Submission{{Generation: prev.Generation + 1, Token: token}},
	}
	root.Accepted = append(root.Accepted, prev.Accepted[:min(len(prev.Accepted), tokensKept-1)]...)
	var err error
	if root.Accounts, err = split(&s, m.Accounts, func(a Account) string { return a.Name }); err != nil {
		return nil, nil, err
	}
	if root.Endpoints, err = split(&s, m.Endpoints, func(e Endpoint) string { return e.Name }); err != nil {
		return nil, nil, err
	}
	kept := root.Refs()
	root.Dropped = slices.DeleteFunc(prev.Refs(), func(ref Ref) bool { return slices.Contains(kept, ref) })
	return root, s.parts, nil
}

// Refs returns the names of all parts in use.
func (r *Root) Refs() []Ref { return slices.Concat(r.Accounts, r.Endpoints) }

// Join returns the whole manifest of a root. All its parts must be there.
func (r *Root) Join(parts Parts) (*Manifest, error) { return NewJoiner().Join(r, parts) }

// Outcome says what became of a submission made on top of a generation: its
// generation if it was accepted. Known is false if the root no longer
// remembers that far back.
func (r *Root) Outcome(token string, base int64) (generation int64, known bool) {
	for _, s := range r.Accepted {
		if s.Token == token {
			return s.Generation, true
		}
	}
	return 0, r.Generation <= base+tokensKept
}

// Matches reports whether value is the content that the name promises.
func (ref Ref) Matches(value []byte) bool { return ref.digest() == digestOf(value) }

func (ref Ref) digest() string {
	digest, _, _ := strings.Cut(string(ref), ".")
	return digest
}

type splitter struct {
	token string
	known map[string]Ref
	parts Parts
}

// split puts each item into a bucket by its name, so that a change of one
// item changes one part.
func split[T any](s *splitter, items []T, name func(T) string) ([]Ref, error) {
	buckets := make([][]T, bucketsFor(len(items)))
	for _, item := range items {
		b := xxhash.Sum64String(name(item)) % uint64(len(buckets))
		buckets[b] = append(buckets[b], item)
	}
	refs := make([]Ref, 0, len(buckets))
	for _, bucket := range buckets {
		slices.SortFunc(bucket, func(x, y T) int { return strings.Compare(name(x), name(y)) })
		value, err := json.Marshal(bucket)
		if err != nil {
			return nil, errors.Wrap(err, "encode part")
		}
		refs = append(refs, s.ref(value))
	}
	return refs, nil
}

func (s *splitter) ref(value []byte) Ref {
	digest := digestOf(value)
	if ref, ok := s.known[digest]; ok {
		return ref
	}
	ref := Ref(fmt.Sprintf("%s.%s", digest, s.token))
	s.known[digest] = ref
	s.parts[ref] = value
	return ref
}

// bucketsFor is a power of two, so that a growing list seldom moves items.
func bucketsFor(items int) int {
	buckets := 1
	for buckets*partItems < items {
		buckets *= 2
	}
	return buckets
}

func digestOf(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:digestBytes])
}
