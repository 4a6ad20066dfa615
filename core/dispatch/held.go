package dispatch

import (
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/route"
)

// Held returns what is held back because it crashed endpoints, requests first, at most
// limit of it.
func (d *Dispatcher) Held(now time.Time, limit int) []route.Held {
	held := append(d.quarantine.Held(now), d.parts.Held(now)...)
	return held[:min(len(held), limit)]
}

// RestoreHeld adds what routers before this one held back.
func (d *Dispatcher) RestoreHeld(now time.Time, held []route.Held) {
	for _, h := range held {
		switch {
		case len(h.Crashes) == 0:
		case h.Kind == route.HeldRequest:
			d.quarantine.Restore(now, h)
		case h.Kind == route.HeldPart:
			d.parts.Restore(now, h)
		}
	}
}
