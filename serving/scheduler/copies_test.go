package scheduler

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/retrier"
)

// jobWithDigest returns a job with a fixed digest that needs no adapter.
func (f *fixture) jobWithDigest(change func(*Job)) Job {
	return f.job(0, func(j *Job) {
		j.Target, j.Digest, j.Idempotent = configurer.Target{Service: "base"}, quarantiner.Digest{1}, true
		if change != nil {
			change(j)
		}
	})
}

// Copies run one at a time at a server until one succeeds, and again after a crash.
func TestCopiesRunOneAtATime(t *testing.T) {
	f := newFixture(t, Config{}, engine(1, 8))
	second := engine(1, 8)
	second.Name = "e2"
	third := second
	third.Name = "e3"
	f.apply(Owned{Server: second, Epoch: 1, RequestedAt: f.now})
	f.apply(Owned{Server: third, Epoch: 1, RequestedAt: f.now})
	a, b := f.jobWithDigest(nil), f.jobWithDigest(nil)
	f.c.Assert(only[Send](f.apply(Arrived{Job: a})), qt.HasLen, 1)
	f.c.Assert(only[Send](f.apply(Arrived{Job: b})), qt.HasLen, 0)
	// A hedge may run at one more server.
	f.c.Assert(only[Send](f.apply(Arrived{Job: f.jobWithDigest(func(j *Job) { j.Server = "e2" })})), qt.HasLen, 1)
	f.c.Assert(only[Send](f.apply(Arrived{Job: f.jobWithDigest(func(j *Job) { j.Server = "e3" })})), qt.HasLen, 0)
	sends := only[Send](f.apply(Ended{Attempt: a.Attempt}))
	f.c.Assert(sends, qt.HasLen, 1)
	f.c.Assert(sends[0].KnownSafe, qt.IsFalse)
	f.apply(Ended{Attempt: b.Attempt, OK: true})
	for range 3 {
		sends = only[Send](f.apply(Arrived{Job: f.jobWithDigest(nil)}))
		f.c.Assert(sends, qt.HasLen, 1)
		f.c.Assert(sends[0].KnownSafe, qt.IsTrue)
	}
	f.apply(ServerEnded{Server: "e1", Crashed: true})
	f.apply(Owned{Server: engine(1, 8), Epoch: 2, RequestedAt: f.now})
	f.apply(StandingChanged{Digest: quarantiner.Digest{1}, Standing: quarantiner.Clear})
	sends = only[Send](f.apply(Arrived{Job: f.jobWithDigest(nil)}))
	f.c.Assert(len(sends) > 0 && sends[0].KnownSafe, qt.IsFalse)
}

// A copy of a booking is sent while the first one runs; the record answers it.
func TestCopiesOfBookingsDontWait(t *testing.T) {
	f := newFixture(t, Config{}, engine(1, 8))
	booking := func(j *Job) { j.Idempotent = false }
	f.c.Assert(only[Send](f.apply(Arrived{Job: f.jobWithDigest(booking)})), qt.HasLen, 1)
	f.c.Assert(only[Send](f.apply(Arrived{Job: f.jobWithDigest(booking)})), qt.HasLen, 1)
}

// Attempts that weren't written yet when a server crashed aren't reported with the crash.
func TestUnwrittenAreNotReported(t *testing.T) {
	f := newFixture(t, Config{}, engine(1, 8))
	a, b := f.jobWithDigest(nil), f.jobWithDigest(func(j *Job) { j.Digest = quarantiner.Digest{2} })
	f.apply(Arrived{Job: a})
	f.apply(Arrived{Job: b})
	got := f.apply(ServerEnded{Server: "e1", Crashed: true, NotWritten: []retrier.Attempt{b.Attempt}})
	f.c.Assert(only[Fail](got), qt.HasLen, 2)
	reports := only[ReportCrash](got)
	f.c.Assert(reports, qt.HasLen, 1)
	f.c.Assert(slices.Equal(reports[0].Attempts, []retrier.Attempt{a.Attempt}), qt.IsTrue)
	f.c.Assert(f.s.quarantine.Standing(f.now, b.Digest), qt.Equals, quarantiner.Clear)
}

// A new suspect standing cancels attempts sent before it, unless their answer has begun or they aren't idempotent.
func TestNewSuspectCancelsSentAttempts(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(*Job)
		tokens int
		want   int
	}{
		{"sent", nil, 0, 1},
		{"answer has begun", nil, 1, 0},
		{"not idempotent", func(j *Job) { j.Idempotent = false }, 0, 0},
		{"another request", func(j *Job) { j.Digest = quarantiner.Digest{2} }, 0, 0},
		{"sent as a suspect", func(j *Job) { j.Standing = quarantiner.Suspect }, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, Config{}, engine(1, 8))
			j := f.jobWithDigest(tt.change)
			f.c.Assert(only[Send](f.apply(Arrived{Job: j})), qt.HasLen, 1)
			f.apply(Progress{Attempt: j.Attempt, Tokens: tt.tokens})
			got := f.apply(StandingChanged{Digest: quarantiner.Digest{1}, Standing: quarantiner.Suspect})
			f.c.Assert(only[Cancel](got), qt.HasLen, tt.want)
			f.c.Assert(only[Refuse](got), qt.HasLen, 0)
			fails := only[Fail](got)
			f.c.Assert(fails, qt.HasLen, tt.want)
			if tt.want > 0 {
				f.c.Assert(fails[0], qt.Equals, Fail{Attempt: j.Attempt, BecameSuspect: true})
			}
		})
	}
}
