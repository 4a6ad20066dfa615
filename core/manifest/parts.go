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
	// maxMeanPartItems limits the mean number of accounts or endpoints in a
	// part. Smaller parts make a change cheaper, but the root lists more of them.
	maxMeanPartItems = 64
	digestBytes      = 12
	// refTokenLen is the length of the token prefix in the name of a part.
	refTokenLen = 8
	// maxSubmissions is the number of submissions listed in a root, so that a
	// submitter whose response was lost can find out the outcome.
	maxSubmissions = 16
	// restoreGap is how many generations the first submission after a restoration
	// of the platform skips. Those accepted since the copy was made may still be in
	// force at routers.
	restoreGap = 1000
)

// Ref is the name of a part. It consists of the digest of the content and of the
// first refTokenLen characters of the token of the submission that wrote it, so
// that no two submissions write the same object.
type Ref string

// Submission is an accepted generation and the token of its submission: a random
// text that the submitter chose for this submission only.
type Submission struct {
	Generation int64  `json:"generation"`
	Token      string `json:"token"`
	Era        int64  `json:"era,omitempty"` // era of the platform in which it was accepted
}

// Root is the object whose conditional write commits a generation. Accounts
// and endpoints are stored in parts, which are immutable.
type Root struct {
	Generation int64        `json:"generation"`
	Era        int64        `json:"era,omitempty"` // era of the platform in which the root was written
	Zones      []Zone       `json:"zones"`
	Pools      []Pool       `json:"pools"`
	Orders     Orders       `json:"orders"`
	Accounts   []Ref        `json:"accounts"`
	Endpoints  []Ref        `json:"endpoints"`
	Accepted   []Submission `json:"accepted"` // newest first
	Dropped    []Ref        `json:"dropped"`  // used by the previous generation, but not by this one
}

// Parts maps the names of parts to their encoded contents.
type Parts map[Ref][]byte

// Split returns the root and the new parts of m as the generation after
// prev. Parts with unchanged content keep their names. prev is nil for the
// first generation; token identifies the submission, see Submission. era is the
// platform's current one; if prev was accepted in another one, the generation is
// above all that the platform may have lost.
func Split(m *Manifest, prev *Root, token string, era int64) (*Root, Parts, error) {
	if prev == nil {
		prev = &Root{}
	}
	generation := prev.Generation + 1
	if prev.acceptedEra() != firstEra(era) {
		generation += restoreGap
	}
	s := splitter{token: token[:min(len(token), refTokenLen)], refs: map[string]Ref{}, parts: Parts{}}
	for _, ref := range prev.Refs() {
		s.refs[ref.digest()] = ref
	}
	root := &Root{
		Generation: generation,
		Era:        era,
		Zones:      m.Zones,
		Pools:      m.Pools,
		Orders:     m.Orders,
		Accepted:   []Submission{{Generation: generation, Token: token, Era: era}},
	}
	root.Accepted = append(root.Accepted, prev.Accepted[:min(len(prev.Accepted), maxSubmissions-1)]...)
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

// WrittenIn reports whether the root was written in an era of the platform, and not
// restored from a copy since.
func (r *Root) WrittenIn(era int64) bool { return firstEra(r.Era) == firstEra(era) }

// acceptedEra returns the era in which the root's manifest was accepted.
func (r *Root) acceptedEra() int64 {
	if len(r.Accepted) == 0 {
		return firstEra(0)
	}
	return firstEra(r.Accepted[0].Era)
}

// firstEra returns era, or the first one if there is none: the platform sends no
// era, or the root does not say it.
func firstEra(era int64) int64 { return max(era, 1) }

// Join returns the complete manifest of a root. It fails if a part is missing.
func (r *Root) Join(parts Parts) (*Manifest, error) { return NewJoiner().Join(r, parts) }

// Outcome returns the outcome of a submission that was based on the given
// generation: the generation it was accepted as, or 0 if it wasn't. known is
// false if the list of submissions in the root doesn't go back that far.
func (r *Root) Outcome(token string, base int64) (generation int64, known bool) {
	for _, s := range r.Accepted {
		if s.Token == token {
			return s.Generation, true
		}
	}
	n := len(r.Accepted)
	return 0, n < maxSubmissions || r.Accepted[n-1].Generation <= base+1
}

// Matches reports whether the digest of value equals the one in the name.
func (ref Ref) Matches(value []byte) bool { return ref.digest() == digestOf(value) }

func (ref Ref) digest() string {
	digest, _, _ := strings.Cut(string(ref), ".")
	return digest
}

type splitter struct {
	token string
	refs  map[string]Ref // by digest
	parts Parts
}

// split assigns items to buckets by the hash of their names, so that a change
// of one item changes only one part.
func split[T any](s *splitter, items []T, name func(T) string) ([]Ref, error) {
	buckets := make([][]T, bucketCount(len(items)))
	for _, item := range items {
		b := xxhash.Sum64String(name(item)) % uint64(len(buckets))
		buckets[b] = append(buckets[b], item)
	}
	refs := make([]Ref, 0, len(buckets))
	for _, bucket := range buckets {
		slices.SortFunc(bucket, func(x, y T) int { return strings.Compare(name(x), name(y)) })
		value, err := json.Marshal(bucket)
		if err != nil {
			return nil, errors.Wrap(err, "encode manifest part")
		}
		refs = append(refs, s.ref(value))
	}
	return refs, nil
}

func (s *splitter) ref(value []byte) Ref {
	digest := digestOf(value)
	if ref, ok := s.refs[digest]; ok {
		return ref
	}
	ref := Ref(fmt.Sprintf("%s.%s", digest, s.token))
	s.refs[digest] = ref
	s.parts[ref] = value
	return ref
}

// bucketCount returns the number of buckets. It is a power of two, so that
// items rarely move to another bucket as a list grows.
func bucketCount(items int) int {
	buckets := 1
	for buckets*maxMeanPartItems < items {
		buckets *= 2
	}
	return buckets
}

func digestOf(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:digestBytes])
}
