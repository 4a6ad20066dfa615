package ledger

import (
	"context"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"
)

const (
	// defaultRestoreHold is the default of Options.RestoreHold.
	defaultRestoreHold = 10 * time.Second
	// eraInterval is the time between two checks of the platform's era.
	eraInterval = 200 * time.Millisecond
)

// watchEra checks the platform's era until the context is done. The renewal of the
// router's lease keeps it up to date.
func (l *Ledger) watchEra(ctx context.Context) {
	ticker := time.NewTicker(eraInterval)
	defer ticker.Stop()
	for {
		l.observeEra()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// observeEra makes all shards write the records that the platform has lost, and hold
// new claims, if the platform was restored from an older copy since the last call.
func (l *Ledger) observeEra() {
	era := l.opts.Platform.Era()
	l.mu.Lock()
	previous := l.era
	l.era = era
	if previous == era || previous == 0 {
		l.mu.Unlock()
		return
	}
	l.holdUntil = time.Now().Add(l.opts.RestoreHold)
	until, shards := l.holdUntil, slices.Collect(maps.Values(l.shards))
	l.mu.Unlock()
	klog.InfoS("orders: Platform restored from an older copy, new orders wait for lost records to be written again", "era", era, "wait", l.opts.RestoreHold)
	for _, s := range shards {
		s.hold(until)
	}
}
