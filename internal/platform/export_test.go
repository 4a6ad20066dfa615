package platform

import "time"

// SetSilence sets how long a watch may bring nothing.
func (c *Client) SetSilence(d time.Duration) { c.silence = d }
