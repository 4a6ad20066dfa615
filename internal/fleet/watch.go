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
	watchersPerRegion      = 2                      // number of routers of each region that watch the platform
	watcherCheckInterval   = time.Second            // between checks of the watcher role, and before a failed watch is retried
	maxWatchDuration       = time.Minute            // of one watch; afterwards the watcher role is checked again
	watcherPollInterval    = 4 * time.Second        // in case a watch stalls without an error
	largeFleetPollInterval = 10 * time.Second       // the same in a large fleet, where the root is large
	nonWatcherPollInterval = 60 * time.Second       // last resort, since non-watchers learn of changes from peers
	initialPollInterval    = 500 * time.Millisecond // until there is a manifest
	peerManifestTimeout    = 2 * time.Second        // time that a starting router waits for a manifest from its peers
	peerCheckInterval      = 50 * time.Millisecond
	maxParallelCalls       = 8 // manifest parts read or written at the same time
)

// WatchManifest keeps the manifest in force up to date from the platform
// until the context ends. A few routers of each region watch it. The others learn
// of a new generation from peers and read the platform only rarely.
func (f *Fleet) WatchManifest(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.poll(ctx) })
	group.Go(func() error { return f.watch(ctx) })
	return group.Wait()
}

// poll reads the manifest at long intervals. A starting router that is not a
// watcher first waits for its peers to provide the manifest, so that only the
// watchers read the platform if all routers start at once.
func (f *Fleet) poll(ctx context.Context) error {
	f.waitForPeers(ctx)
	for {
		if err := f.readManifest(ctx); err != nil {
			klog.V(1).InfoS("fleet: Failed to read manifest from the platform", "err", err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(withJitter(f.pollInterval())):
		}
	}
}

func (f *Fleet) pollInterval() time.Duration {
	switch {
	case f.Manifest() == nil:
		return initialPollInterval
	case f.isWatcher() && len(f.View().Routers) <= fullMeshMax:
		return watcherPollInterval
	case f.isWatcher():
		return largeFleetPollInterval
	}
	return nonWatcherPollInterval
}

func (f *Fleet) waitForPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerManifestTimeout)
	defer cancel()
	for f.Manifest() == nil && ctx.Err() == nil {
		f.mu.Lock()
		confirmed := f.tracker.Confirmed()
		f.mu.Unlock()
		if confirmed && f.isWatcher() {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(peerCheckInterval):
		}
	}
}

// isWatcher reports whether this router is one of its region's watchers.
func (f *Fleet) isWatcher() bool {
	self := f.Self()
	ranked := f.View().Region(self.Region).Rank("watch/" + self.Region)
	for _, r := range ranked[:min(watchersPerRegion, len(ranked))] {
		if r.Name == self.Name {
			return true
		}
	}
	return false
}

func (f *Fleet) watch(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.isWatcher() {
			if err := f.watchOnce(ctx); err != nil {
				klog.V(1).InfoS("fleet: Manifest watch ended", "err", err)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(withJitter(watcherCheckInterval)):
		}
	}
	return ctx.Err()
}

func (f *Fleet) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, maxWatchDuration)
	defer cancel()
	go f.cancelWhenNotWatcher(ctx, cancel)
	list, err := f.opts.Platform.List(ctx, ManifestKey)
	if err != nil {
		return err
	}
	var stored platform.Object
	if len(list.Items) > 0 {
		stored = list.Items[0]
	}
	if err := f.handleStoredRoot(ctx, stored); err != nil {
		klog.ErrorS(err, "fleet: Failed to apply manifest from the platform")
	}
	return f.opts.Platform.Watch(ctx, ManifestKey, list.Version, func(e platform.Event) {
		if e.Deleted {
			return
		}
		if err := f.applyRoot(ctx, e.Object.Value, f.readPlatformParts); err != nil {
			klog.ErrorS(err, "fleet: Failed to apply manifest from the platform")
		}
	})
}

// cancelWhenNotWatcher cancels a watch once this router is no longer a watcher. A
// starting router knows no other routers and therefore considers itself one.
func (f *Fleet) cancelWhenNotWatcher(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil && f.isWatcher() {
		select {
		case <-ctx.Done():
		case <-time.After(watcherCheckInterval):
		}
	}
	cancel()
}

func (f *Fleet) readManifest(ctx context.Context) error {
	o, err := f.opts.Platform.Get(ctx, ManifestKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	return f.handleStoredRoot(ctx, o)
}

// handleStoredRoot puts a root that was read from the platform in force if it is
// newer than the current one. A watcher stores the current one again if the platform
// has lost it.
func (f *Fleet) handleStoredRoot(ctx context.Context, o platform.Object) error {
	if len(o.Value) > 0 {
		if err := f.applyRoot(ctx, o.Value, f.readPlatformParts); err != nil {
			return err
		}
	}
	if !f.isWatcher() {
		return nil
	}
	return f.storeAgain(ctx, o)
}

// readPlatformParts reads parts from the platform, at most maxParallelCalls at a
// time.
func (f *Fleet) readPlatformParts(ctx context.Context, refs []manifest.Ref) (manifest.Parts, error) {
	values := make([][]byte, len(refs))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelCalls)
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
