package limiter

import "time"

// Bounds are the tolerances of quotas over all entries, whether they have contact with the leader or not.
type Bounds struct {
	// Window is the length of the sliding window that quotas are measured over; 0 means 8 s.
	Window time.Duration
	// Overage is the share of a quota, Slack the amount in its unit that may be admitted beyond it in a window.
	Overage float64
	Slack   float64
}
