package fleet

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
)

// ManifestKey is the object that holds the manifest.
const ManifestKey = "config/manifest"

const watchPause = 500 * time.Millisecond

// WatchManifest reads and watches the manifest until the context ends.
func (f *Fleet) WatchManifest(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.watchOnce(ctx); err != nil {
			klog.V(1).InfoS("fleet: Manifest watch ended", "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchPause):
		}
	}
	return ctx.Err()
}

func (f *Fleet) watchOnce(ctx context.Context) error {
	list, err := f.opts.Platform.List(ctx, ManifestKey)
	if err != nil {
		return err
	}
	for _, o := range list.Items {
		f.take(o.Value)
	}
	return f.opts.Platform.Watch(ctx, ManifestKey, list.Version, func(e platform.Event) {
		if !e.Deleted {
			f.take(e.Object.Value)
		}
	})
}

func (f *Fleet) take(value []byte) {
	var m manifest.Manifest
	if err := json.Unmarshal(value, &m); err != nil {
		klog.ErrorS(errors.Wrap(err, "decode"), "fleet: Platform holds an unreadable manifest")
		return
	}
	f.Adopt(&m)
}
