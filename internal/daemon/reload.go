package daemon

import (
	"strconv"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/settings"
)

// Reload applies the only setting that can change while the router runs, the
// verbosity. If any other setting differs, it returns an error and changes
// nothing. Certificate files are reloaded without it; see certReloader and
// peer.Credentials.
func (d *Daemon) Reload(next settings.Settings) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	wanted := d.settings
	wanted.Verbosity = next.Verbosity
	if wanted != next {
		return code.Refuse(code.BadSettings, "a setting other than verbosity has changed: restart the router")
	}
	if err := SetVerbosity(next.Verbosity); err != nil {
		return err
	}
	d.settings = next
	klog.InfoS("daemon: Settings reloaded", "verbosity", next.Verbosity)
	d.events.Add(eventlog.Event{Kind: eventlog.SettingsReloaded})
	return nil
}

// SetVerbosity sets the log level, from 0 to 4.
func SetVerbosity(level int) error {
	var flag klog.Level
	return errors.Wrap(flag.Set(strconv.Itoa(level)), "verbosity")
}

func (d *Daemon) current() settings.Settings {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.settings
}
