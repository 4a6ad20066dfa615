package pool

import "time"

// StandStill makes the host believe that its process has just stood still.
func (h *Host) StandStill() { h.pauses.seen(time.Now().Add(time.Hour)) }
