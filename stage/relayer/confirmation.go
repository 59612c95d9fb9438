package relayer

import (
	"time"
)

// unconfirmedEvery is the time between two lines about a document that isn't confirmed.
const unconfirmedEvery = 5 * time.Second

// confirmationWatch decides when an entry says that the leader hasn't confirmed its document for too long.
type confirmationWatch struct {
	// warnedAt is when it was said last, zero while the document is confirmed.
	warnedAt time.Time
}

// check returns whether that must be said now, and whether it was said before and has ended; age is negative before the first
// confirmation.
func (w *confirmationWatch) check(now time.Time, age, applyTime time.Duration) (warn, ended bool) {
	if age <= applyTime {
		ended = !w.warnedAt.IsZero()
		w.warnedAt = time.Time{}
		return false, ended
	}
	if now.Sub(w.warnedAt) < unconfirmedEvery {
		return false, false
	}
	w.warnedAt = now
	return true, false
}

// logConfirmation logs when the document is older than it may be, and when it is confirmed again.
func (c *controlClient) logConfirmation(w *confirmationWatch, now time.Time) {
	_, age := c.freshness(now)
	var version uint64
	if t := c.entry.table.Load(); t != nil {
		version = t.Version()
	}
	switch warn, ended := w.check(now, age, c.applyTime()); {
	case warn:
		c.entry.log.DocumentUnconfirmed(version, age)
	case ended:
		c.entry.log.DocumentConfirmed(version)
	}
}
