package fleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
)

const (
	watchers      = 2                // routers of each region that watch the platform
	watchPause    = time.Second      // between looks at who watches, and after a broken watch
	watchLongest  = time.Minute      // then the roles are looked at again
	pollWatcher   = 4 * time.Second  // a watch may have gone silent
	pollLarge     = 10 * time.Second // the same in a large fleet, whose roots are large
	pollOther     = 60 * time.Second // the others hear from peers; this is the last resort
	pollFirst     = 500 * time.Millisecond
	peersFirst    = 2 * time.Second // a start's wait for peers
	peersPause    = 50 * time.Millisecond
	fetchParallel = 8 // parts read from the platform at a time
)

// WatchManifest keeps the manifest in force up to date from the platform
// until the context ends. A few routers of each region watch; all the others
// hear of a new generation from peers and read it seldom.
func (f *Fleet) WatchManifest(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.poll(ctx) })
	group.Go(func() error { return f.watch(ctx) })
	return group.Wait()
}

// poll reads the manifest seldom. A router that starts and is no watcher
// gives its peers a chance to bring it: if all start at once, the platform
// sees the reads of the watchers only.
func (f *Fleet) poll(ctx context.Context) error {
	f.waitForPeers(ctx)
	for {
		if err := f.readManifest(ctx); err != nil {
			klog.V(1).InfoS("fleet: Manifest not read", "err", err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(jittered(f.pollEvery())):
		}
	}
}

func (f *Fleet) pollEvery() time.Duration {
	switch {
	case f.Manifest() == nil:
		return pollFirst
	case f.watches() && len(f.View().Routers) <= meshSize:
		return pollWatcher
	case f.watches():
		return pollLarge
	}
	return pollOther
}

func (f *Fleet) waitForPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peersFirst)
	defer cancel()
	for f.Manifest() == nil && ctx.Err() == nil {
		f.mu.Lock()
		confirmed := f.tracker.Confirmed()
		f.mu.Unlock()
		if confirmed && f.watches() {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(peersPause):
		}
	}
}

// watches reports whether this router is one of its region's watchers.
func (f *Fleet) watches() bool {
	self := f.Self()
	ranked := f.View().Region(self.Region).Rank("watch/" + self.Region)
	for _, r := range ranked[:min(watchers, len(ranked))] {
		if r.Name == self.Name {
			return true
		}
	}
	return false
}

func (f *Fleet) watch(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.watches() {
			if err := f.watchOnce(ctx); err != nil {
				klog.V(1).InfoS("fleet: Manifest watch ended", "err", err)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(jittered(watchPause)):
		}
	}
	return ctx.Err()
}

func (f *Fleet) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchLongest)
	defer cancel()
	go f.endWatch(ctx, cancel)
	list, err := f.opts.Platform.List(ctx, ManifestKey)
	if err != nil {
		return err
	}
	for _, o := range list.Items {
		f.takeStored(ctx, o.Value)
	}
	return f.opts.Platform.Watch(ctx, ManifestKey, list.Version, func(e platform.Event) {
		if !e.Deleted {
			f.takeStored(ctx, e.Object.Value)
		}
	})
}

// endWatch cancels a watch once others of the region are the watchers: a
// router that starts knows nobody else and takes itself for one.
func (f *Fleet) endWatch(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil && f.watches() {
		select {
		case <-ctx.Done():
		case <-time.After(watchPause):
		}
	}
	cancel()
}

func (f *Fleet) readManifest(ctx context.Context) error {
	o, err := f.opts.Platform.Get(ctx, ManifestKey)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return f.take(ctx, o.Value, f.platformParts)
}

func (f *Fleet) takeStored(ctx context.Context, value []byte) {
	if err := f.take(ctx, value, f.platformParts); err != nil {
		klog.ErrorS(err, "fleet: Stored manifest not taken")
	}
}

// platformParts reads parts from the platform, a few at a time.
func (f *Fleet) platformParts(ctx context.Context, refs []manifest.Ref) (manifest.Parts, error) {
	values := make([][]byte, len(refs))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(fetchParallel)
	for i, ref := range refs {
		group.Go(func() error {
			o, err := f.opts.Platform.Get(ctx, PartPrefix+string(ref))
			values[i] = o.Value
			return err
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
