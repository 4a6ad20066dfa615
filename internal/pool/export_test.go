package pool

import "time"

// KnowsCold reports whether the router would report to the next owner that the
// endpoint has no proven slots.
func (c *Client) KnowsCold(scope, endpoint string) bool {
	sc := c.scopeClient(scope)
	sc.mu.Lock()
	defer sc.mu.Unlock()
	w, known := sc.warmth[endpoint]
	return known && w.provenSlots == 0
}

// SimulateStall makes the host detect a stall of its process.
func (h *Host) SimulateStall() { h.stalls.observe(time.Now().Add(time.Hour)) }

// UnconfirmedReleases returns how many releases the owner has not confirmed.
func (c *Client) UnconfirmedReleases(scope string) int {
	sc := c.scopeClient(scope)
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return len(sc.sent)
}
