package fleet

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
)

// Keys of the objects in the platform that store the configuration.
const (
	ManifestKey = "config/manifest" // key of the root
	PartPrefix  = "config/parts/"   // key prefix of the parts, followed by a manifest.Ref
)

// config holds the manifest in force together with the root and the parts from
// which it was joined. It is safe for concurrent use.
type config struct {
	current  atomic.Pointer[manifest.Manifest]
	fetching atomic.Bool

	joinMu sync.Mutex
	joiner *manifest.Joiner

	mu    sync.Mutex
	root  []byte // JSON encoding
	parts manifest.Parts
}

func (c *config) manifest() *manifest.Manifest { return c.current.Load() }

func (c *config) generation() int64 {
	if m := c.current.Load(); m != nil {
		return m.Generation
	}
	return 0
}

// apply puts m in force if its generation is higher than the current one, and
// reports whether it did. Parts of earlier manifests are dropped.
func (c *config) apply(m *manifest.Manifest, root []byte, parts manifest.Parts) bool {
	m.Index()
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.Generation <= c.generation() {
		return false
	}
	c.current.Store(m)
	c.root, c.parts = root, parts
	return true
}

// rootAbove returns the root in force if its generation is higher than the
// given one, and nil otherwise.
func (c *config) rootAbove(generation int64) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.generation() <= generation {
		return nil
	}
	return c.root
}

// encoded returns the root and the parts of the manifest in force, or nil if there
// are none.
func (c *config) encoded() (*manifest.Root, manifest.Parts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var root manifest.Root
	if c.root == nil || json.Unmarshal(c.root, &root) != nil {
		return nil, nil
	}
	return &root, c.parts
}

// knownParts returns those of the named parts that belong to the manifest in
// force.
func (c *config) knownParts(refs []manifest.Ref) manifest.Parts {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := manifest.Parts{}
	for _, ref := range refs {
		if value, ok := c.parts[ref]; ok {
			found[ref] = value
		}
	}
	return found
}

// join assembles the manifest of a root from its parts.
func (c *config) join(root *manifest.Root, parts manifest.Parts) (*manifest.Manifest, error) {
	c.joinMu.Lock()
	defer c.joinMu.Unlock()
	return c.joiner.Join(root, parts)
}

// partSource reads parts from the platform or from a peer.
type partSource func(ctx context.Context, refs []manifest.Ref) (manifest.Parts, error)

// applyRoot puts the manifest of an encoded root in force if it is newer than
// the current one. It reads only the parts that changed. If a part is missing or
// the manifest is invalid, it rejects the whole root.
func (f *Fleet) applyRoot(ctx context.Context, value []byte, source partSource) error {
	var root manifest.Root
	if err := json.Unmarshal(value, &root); err != nil {
		return errors.Wrap(err, "decode manifest root")
	}
	if root.Generation <= f.config.generation() {
		return nil
	}
	parts, err := f.collectParts(ctx, &root, source)
	if err != nil {
		return err
	}
	m, err := f.config.join(&root, parts)
	if err != nil {
		return err
	}
	if faults := m.Check(); len(faults) > 0 {
		return errors.Newf("manifest generation %d has %d errors, the first: %s", root.Generation, len(faults), faults[0])
	}
	if f.config.apply(m, value, parts) {
		klog.V(1).InfoS("fleet: Manifest in force", "generation", m.Generation)
		f.manifestApplied(m)
	}
	return nil
}

// collectParts returns all parts of a root. It reads from source those that this
// router does not have yet.
func (f *Fleet) collectParts(ctx context.Context, root *manifest.Root, source partSource) (manifest.Parts, error) {
	parts := f.config.knownParts(root.Refs())
	var missing []manifest.Ref
	for _, ref := range root.Refs() {
		if _, ok := parts[ref]; !ok {
			missing = append(missing, ref)
		}
	}
	if len(missing) == 0 {
		return parts, nil
	}
	fetched, err := source(ctx, missing)
	if err != nil {
		return nil, err
	}
	for _, ref := range missing {
		value, ok := fetched[ref]
		if !ok || !ref.Matches(value) {
			return nil, errors.Newf("manifest part %s is missing or does not match its digest", ref)
		}
		parts[ref] = value
	}
	return parts, nil
}
