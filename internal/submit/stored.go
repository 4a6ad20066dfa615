package submit

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/fleet"
	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
)

const (
	maxConcurrentCalls = 8 // platform calls of one submission at a time
	maxLoadAttempts    = 3 // a root may be replaced while its parts are read
)

// stored is what the platform holds.
type stored struct {
	root     *manifest.Root
	version  int64 // of the root's object; 0: none yet
	manifest *manifest.Manifest
}

// loadStored reads the root and all its parts.
func loadStored(ctx context.Context, p *platform.Client) (*stored, error) {
	var err error
	for range maxLoadAttempts {
		var s *stored
		if s, err = loadOnce(ctx, p); err == nil {
			return s, nil
		}
		pause(ctx)
	}
	return nil, err
}

func loadOnce(ctx context.Context, p *platform.Client) (*stored, error) {
	o, err := p.Get(ctx, fleet.ManifestKey)
	if errors.Is(err, platform.ErrNotFound) {
		return &stored{root: &manifest.Root{}, manifest: &manifest.Manifest{}}, nil
	}
	if err != nil {
		return nil, code.Fail(code.PlatformError, err.Error())
	}
	s := &stored{root: &manifest.Root{}, version: o.Version}
	if err := json.Unmarshal(o.Value, s.root); err != nil {
		return nil, code.Fail(code.BadManifest, "the stored manifest can't be read: "+err.Error())
	}
	parts, err := readParts(ctx, p, s.root.Refs())
	if err != nil {
		return nil, code.Fail(code.PlatformError, err.Error())
	}
	s.manifest, err = s.root.Join(parts)
	return s, err
}

func readParts(ctx context.Context, p *platform.Client, refs []manifest.Ref) (manifest.Parts, error) {
	values := make([][]byte, len(refs))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentCalls)
	for i, ref := range refs {
		group.Go(func() error {
			o, err := p.Get(ctx, partKey(ref))
			values[i] = o.Value
			return errors.Wrap(err, string(ref))
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	parts := manifest.Parts{}
	for i, ref := range refs {
		parts[ref] = values[i]
	}
	return parts, nil
}

// writeParts writes new parts. Their names are this submission's own, so a
// conflict means that an earlier try has taken effect.
func writeParts(ctx context.Context, p *platform.Client, parts manifest.Parts) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentCalls)
	for ref, value := range parts {
		group.Go(func() error { return writePart(ctx, p, ref, value) })
	}
	if err := group.Wait(); err != nil {
		return code.Refuse(code.PlatformError, "nothing was accepted: "+err.Error())
	}
	return nil
}

func writePart(ctx context.Context, p *platform.Client, ref manifest.Ref, value []byte) error {
	var err error
	for range maxWriteAttempts {
		_, err = p.Put(ctx, partKey(ref), value, 0)
		if err == nil || errors.Is(err, platform.ErrConflict) {
			return nil
		}
		pause(ctx)
	}
	return err
}

// deleteParts deletes parts that no accepted root uses. A part that stays behind
// is removed by the next submission if the root lists it.
func deleteParts(ctx context.Context, p *platform.Client, refs []manifest.Ref) {
	for _, ref := range refs {
		o, err := p.Get(ctx, partKey(ref))
		if err == nil {
			err = p.Delete(ctx, o.Key, o.Version)
		}
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			klog.V(1).InfoS("submit: Unused part not removed", "part", ref, "err", err)
		}
	}
}

func refs(parts manifest.Parts) []manifest.Ref {
	var all []manifest.Ref
	for ref := range parts {
		all = append(all, ref)
	}
	return all
}

func partKey(ref manifest.Ref) string { return fleet.PartPrefix + string(ref) }
