package submit

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/fleet"
	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
)

const (
	maxConcurrentCalls = 8 // concurrent platform calls of one submission
	maxLoadAttempts    = 3 // retries are needed because a root may be replaced while its parts are read
)

// confirmTimeout is how long a submission waits for a router to store the manifest
// in force again after the platform was restored from an older copy.
var confirmTimeout = 5 * time.Second

// stored is the manifest in the platform.
type stored struct {
	root     *manifest.Root
	version  int64 // version of the root object; 0: there is none yet
	era      int64 // era of the platform when the root was read
	manifest *manifest.Manifest
}

// loadConfirmed reads the root and all its parts. If the root was restored from an
// older copy, it first waits until a router has written the root again, which is
// then the one in force, or until confirmTimeout is over.
func loadConfirmed(ctx context.Context, p *platform.Client) (*stored, error) {
	deadline := time.Now().Add(confirmTimeout)
	for {
		s, err := loadStored(ctx, p)
		if err != nil || s.root.WrittenIn(s.era) || time.Now().After(deadline) || ctx.Err() != nil {
			return s, err
		}
		pause(ctx)
	}
}

// loadStored reads the root and all its parts, with retries.
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
		return &stored{root: &manifest.Root{}, era: p.Era(), manifest: &manifest.Manifest{}}, nil
	}
	if err != nil {
		return nil, code.Fail(code.PlatformError, err.Error())
	}
	s := &stored{root: &manifest.Root{}, version: o.Version, era: platform.EraOf(o.Version)}
	if err := json.Unmarshal(o.Value, s.root); err != nil {
		return nil, code.Fail(code.BadManifest, "the stored manifest can't be decoded: "+err.Error())
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

// writeParts writes new parts. Their names are unique to this submission, so a
// conflict means that an earlier attempt to write the part took effect.
func writeParts(ctx context.Context, p *platform.Client, parts manifest.Parts) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentCalls)
	for ref, value := range parts {
		group.Go(func() error { return writePart(ctx, p, ref, value) })
	}
	if err := group.Wait(); err != nil {
		return code.Refuse(code.PlatformError, "the manifest was not accepted: "+err.Error())
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

// deleteParts deletes parts that no accepted root uses. If a deletion fails, the
// next submission deletes the part if the root lists it.
func deleteParts(ctx context.Context, p *platform.Client, refs []manifest.Ref) {
	for _, ref := range refs {
		o, err := p.Get(ctx, partKey(ref))
		if err == nil {
			err = p.Delete(ctx, o.Key, o.Version)
		}
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			klog.V(1).InfoS("submit: Failed to delete unused part", "part", ref, "err", err)
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
