package platform

import "time"

// SetWatchIdleTimeout sets how long a watch may receive nothing.
func (c *Client) SetWatchIdleTimeout(d time.Duration) { c.watchIdleTimeout = d }
