package edge

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/internal/oplog"
)

// settingsPollInterval is the time between two checks whether the settings file
// has changed, which may happen without a signal.
const settingsPollInterval = 2 * time.Second

// WatchSettings reloads the settings on a signal and when the file has changed,
// until the context ends. If they can't be read, the error is logged and the
// settings in use stay in effect.
func (e *Edge) WatchSettings(ctx context.Context, path string, signals <-chan os.Signal, load func(path string) (Settings, error)) {
	ticks := time.NewTicker(settingsPollInterval)
	defer ticks.Stop()
	last, err := os.ReadFile(path)
	if err != nil {
		e.log.Log(oplog.StateChange, "settings.unreadable", slog.String("error", err.Error()))
	}
	for {
		cause := "file"
		select {
		case <-ctx.Done():
			return
		case <-signals:
			cause = "signal"
		case <-ticks.C:
		}
		data, err := os.ReadFile(path)
		if err == nil && cause == "file" && bytes.Equal(data, last) {
			continue
		}
		last = data
		e.reloadSettings(cause, path, load)
	}
}

// reloadSettings applies the settings that may change while the router runs:
// seeds and the retry budget. Addresses and process limits need a restart.
func (e *Edge) reloadSettings(cause, path string, load func(path string) (Settings, error)) {
	s, err := load(path)
	if err != nil {
		e.log.Log(oplog.StateChange, "settings.rejected", slog.String("cause", cause), slog.String("error", err.Error()))
		return
	}
	for _, seed := range s.Seeds {
		e.mesh.AddPeer("", "", seed, false)
	}
	e.dispatcher.Update(func(_ time.Time, d *dispatch.Dispatcher) {
		d.SetRetryBudget(s.RetryRatio, s.RetrySlack, s.RetryWindow)
	})
	restart := s.CallerAddress != e.settings.CallerAddress || s.ReadyAddress != e.settings.ReadyAddress || s.DirectoryAddress != e.settings.DirectoryAddress ||
		s.Address != e.settings.Address || s.PeerPort != e.settings.PeerPort
	e.log.Log(oplog.StateChange, "settings.reloaded", slog.String("cause", cause), slog.Bool("needs_restart", restart))
}
