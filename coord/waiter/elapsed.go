package waiter

import "time"

// IsBefore reports whether now is before end by both clocks, as Elapsed counts.
func IsBefore(now, end time.Time) bool { return Elapsed(now, end) < 0 }

// Elapsed returns the time from at to now by the clock that shows more: the monotonic one may stand still while the machine is suspended,
// and the wall clock may be set.
func Elapsed(now, at time.Time) time.Duration {
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)))
}
