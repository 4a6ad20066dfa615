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

// The objects that hold the configuration.
const (
	ManifestKey = "config/manifest" // the root
	PartPrefix  = "config/parts/"   // followed by a manifest.Ref
)

// config is the configuration in force and the parts it came in. It is safe
// for concurrent use.
type config struct {
	current  atomic.Pointer[manifest.Manifest]
	fetching atomic.Bool

	joining sync.Mutex
	joiner  *manifest.Joiner

	mu    sync.Mutex
	root  []byte // JSON
	parts manifest.Parts
}

func (c *config) manifest() *manifest.Manifest { return c.current.Load() }

func (c *config) generation() int64 {
	if m := c.current.Load(); m != nil {
		return m.Generation
	}
	return 0
}

// adopt puts m in force if its generation is higher. Parts that it does not
// use are forgotten.
func (c *config) adopt(m *manifest.Manifest, root []byte, parts manifest.Parts) bool {
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

// above returns the root in force if its generation is higher.
func (c *config) above(generation int64) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.generation() <= generation {
		return nil
	}
	return c.root
}

// held returns those of the parts that are in force here.
func (c *config) held(refs []manifest.Ref) manifest.Parts {
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

// join puts a root's manifest together.
func (c *config) join(root *manifest.Root, parts manifest.Parts) (*manifest.Manifest, error) {
	c.joining.Lock()
	defer c.joining.Unlock()
	return c.joiner.Join(root, parts)
}

// source gives parts, from the platform or a peer.
type source func(ctx context.Context, refs []manifest.Ref) (manifest.Parts, error)

// take puts a root in force if it is newer: only the parts that changed are
// asked for. It is refused whole if a part or the manifest has a fault.
func (f *Fleet) take(ctx context.Context, value []byte, from source) error {
	var root manifest.Root
	if err := json.Unmarshal(value, &root); err != nil {
		return errors.Wrap(err, "read root")
	}
	if root.Generation <= f.config.generation() {
		return nil
	}
	parts, err := f.complete(ctx, &root, from)
	if err != nil {
		return err
	}
	m, err := f.config.join(&root, parts)
	if err != nil {
		return err
	}
	if faults := m.Check(); len(faults) > 0 {
		return errors.Newf("generation %d has %d faults, the first: %s", root.Generation, len(faults), faults[0])
	}
	if f.config.adopt(m, value, parts) {
		klog.V(1).InfoS("fleet: Manifest in force", "generation", m.Generation)
		f.inForce(m)
	}
	return nil
}

// complete returns all parts of a root, those held here among them.
func (f *Fleet) complete(ctx context.Context, root *manifest.Root, from source) (manifest.Parts, error) {
	parts := f.config.held(root.Refs())
	var missing []manifest.Ref
	for _, ref := range root.Refs() {
		if _, ok := parts[ref]; !ok {
			missing = append(missing, ref)
		}
	}
	if len(missing) == 0 {
		return parts, nil
	}
	fetched, err := from(ctx, missing)
	if err != nil {
		return nil, err
	}
	for _, ref := range missing {
		value, ok := fetched[ref]
		if !ok || !ref.Matches(value) {
			return nil, errors.Newf("part %s is missing or damaged", ref)
		}
		parts[ref] = value
	}
	return parts, nil
}
