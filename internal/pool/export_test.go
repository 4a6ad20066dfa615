package pool

import "time"

// KnowsCold reports whether the router would tell a next owner that the
// endpoint is not proved warm.
func (c *Client) KnowsCold(scope, endpoint string) bool {
	b := c.broker(scope)
	b.mu.Lock()
	defer b.mu.Unlock()
	w, known := b.warmth[endpoint]
	return known && w.proved == 0
}

// StandStill makes the host believe that its process has just stood still.
func (h *Host) StandStill() { h.pauses.seen(time.Now().Add(time.Hour)) }
