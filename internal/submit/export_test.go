package submit

import "time"

// SetConfirmTimeout sets how long a submission waits after a restoration of the
// platform, and returns a function that sets the previous value again.
func SetConfirmTimeout(d time.Duration) (reset func()) {
	previous := confirmTimeout
	confirmTimeout = d
	return func() { confirmTimeout = previous }
}
