package fleet

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
)

// storeAgain writes the root in force to the platform if the stored one, which was
// read as o, is older or was restored from a copy. Submissions wait for that, so that
// they are based on what is in force. o has no value if there is no stored root.
func (f *Fleet) storeAgain(ctx context.Context, o platform.Object) error {
	var stored manifest.Root
	if len(o.Value) > 0 {
		if err := json.Unmarshal(o.Value, &stored); err != nil {
			return errors.Wrap(err, "decode manifest root")
		}
	}
	era := f.opts.Platform.Era()
	if o.Version != 0 {
		era = platform.EraOf(o.Version)
	}
	root, parts := f.config.encoded()
	if root == nil || root.Generation < stored.Generation {
		return nil
	}
	if root.Generation == stored.Generation && stored.WrittenIn(era) {
		return nil
	}
	if err := f.storeParts(ctx, parts, stored.Refs()); err != nil {
		return err
	}
	root.Era = era
	value, err := json.Marshal(root)
	if err != nil {
		return errors.Wrap(err, "encode manifest root")
	}
	_, err = f.opts.Platform.Put(ctx, ManifestKey, value, o.Version)
	if errors.Is(err, platform.ErrConflict) {
		return nil // another router was first, or a submission
	}
	if err == nil {
		klog.InfoS("fleet: Stored the manifest in force again after the platform returned an older one", "generation", root.Generation, "returned", stored.Generation, "era", era)
	}
	return err
}

// storeParts writes those parts that are not among the stored ones.
func (f *Fleet) storeParts(ctx context.Context, parts manifest.Parts, stored []manifest.Ref) error {
	present := make(map[manifest.Ref]bool, len(stored))
	for _, ref := range stored {
		present[ref] = true
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelCalls)
	for ref, value := range parts {
		if present[ref] {
			continue
		}
		group.Go(func() error {
			_, err := f.opts.Platform.Put(ctx, PartPrefix+string(ref), value, 0)
			if errors.Is(err, platform.ErrConflict) {
				return nil // a part never changes
			}
			return err
		})
	}
	return group.Wait()
}
