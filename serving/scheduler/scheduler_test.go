package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/serving/retrier"
)

var start = time.Unix(1_000_000, 0)

func target(n int) configurer.Target {
	return configurer.Target{Service: "base", Adapter: fmt.Sprint("a", n), Version: 1}
}

func engine(slots, batch int) registrar.Server {
	return registrar.Server{
		Name: "e1", Kind: configurer.KindModel, Service: "base", Incarnation: "i1", Slots: slots, Batch: batch,
	}
}

// fixture is a scheduler that owns one engine.
type fixture struct {
	c   *qt.C
	s   *Scheduler
	now time.Time
	n   uint64
}

func newFixture(t *testing.T, cfg Config, sv registrar.Server) *fixture {
	f := &fixture{c: qt.New(t), s: New(cfg, 1), now: start}
	f.apply(Owned{Server: sv, Epoch: 1, RequestedAt: f.now})
	return f
}

func (f *fixture) apply(ev Event) []Action { return append([]Action(nil), f.s.Handle(f.now, ev)...) }

func (f *fixture) job(adapter int, change func(*Job)) Job {
	f.n++
	j := Job{
		Attempt: retrier.NewAttempt("entry", 1, f.n), Server: "e1", Target: target(adapter), Class: "chat",
		Urgent: true, IsLastCandidate: true, Digest: quarantiner.Digest{byte(f.n), byte(f.n >> 8), 1},
	}
	if change != nil {
		change(&j)
	}
	return j
}

// assertActions fails the test unless the actions are equal.
func (f *fixture) assertActions(got []Action, want ...Action) {
	f.c.Helper()
	f.c.Assert(slices.Equal(got, want), qt.IsTrue, qt.Commentf("got %v, want %v", got, want))
}

func only[T Action](list []Action) []T {
	var out []T
	for _, a := range list {
		if v, ok := a.(T); ok {
			out = append(out, v)
		}
	}
	return out
}

func TestLoadIsSharedAndSlotIsEvicted(t *testing.T) {
	f := newFixture(t, Config{}, engine(1, 4))
	a, b := f.job(1, nil), f.job(1, nil)
	f.c.Assert(f.apply(Arrived{Job: a}), qt.DeepEquals, []Action{RequestPermit{Server: "e1", Target: target(1), Urgent: true, Rate: 1}})
	f.c.Assert(f.apply(Arrived{Job: b}), qt.HasLen, 0)
	permit := registrar.Permit{ID: 7}
	loads := only[Load](f.apply(Granted{Server: "e1", Target: target(1), Permit: permit}))
	f.c.Assert(loads, qt.HasLen, 1)
	got := f.apply(LoadEnded{Server: "e1", Target: target(1), Order: loads[0].Order, OK: true})
	f.c.Assert(only[Send](got), qt.HasLen, 2)
	f.c.Assert(only[ReturnPermit](got), qt.DeepEquals, []ReturnPermit{{Permit: permit, Used: true}})

	other := f.job(2, nil)
	f.c.Assert(only[RequestPermit](f.apply(Arrived{Job: other})), qt.HasLen, 0)
	f.apply(Ended{Attempt: a.Attempt, OK: true})
	f.c.Assert(only[RequestPermit](f.apply(Ended{Attempt: b.Attempt, OK: true})), qt.HasLen, 1)
	unloads := only[Unload](f.apply(Granted{Server: "e1", Target: target(2), Permit: permit}))
	f.c.Assert(unloads, qt.HasLen, 1)
	f.c.Assert(unloads[0].Target, qt.Equals, target(1))
	f.c.Assert(only[Load](f.apply(UnloadEnded{Server: "e1", Target: target(1), OK: true})), qt.HasLen, 1)
	f.c.Assert(only[Send](f.apply(LoadEnded{Server: "e1", Target: target(2), OK: true})), qt.HasLen, 1)
	f.c.Assert(f.s.Stats(f.now).Pins, qt.Equals, 1)
}

func TestRefusals(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(*fixture, *Job)
		want   Reason
	}{
		{"unknown server", func(_ *fixture, j *Job) { j.Server = "e9" }, ReasonNotOwner},
		{"quarantined", func(_ *fixture, j *Job) { j.Standing = quarantiner.Quarantined }, ReasonQuarantine},
		{"past its first token deadline", func(f *fixture, j *Job) { j.FirstTokenBy = f.now }, ReasonLate},
		{"full", func(f *fixture, _ *Job) { f.apply(Arrived{Job: f.job(1, nil)}) }, ReasonFull},
		{"leaving", func(f *fixture, _ *Job) {
			sv := engine(1, 4)
			sv.Leaving = true
			f.apply(Owned{Server: sv, Epoch: 1, RequestedAt: f.now})
		}, ReasonLeaving},
		{"handed over", func(f *fixture, _ *Job) { f.apply(Released{Server: "e1"}) }, ReasonNotOwner},
	} {
		t.Run(tt.name, func(t *testing.T) {
			cfg := Config{}
			cfg.Queue.MaxUrgent = 1
			f := newFixture(t, cfg, engine(1, 4))
			j := f.job(1, nil)
			tt.change(f, &j)
			got := only[Refuse](f.apply(Arrived{Job: j}))
			f.c.Assert(got, qt.HasLen, 1)
			f.c.Assert(got[0].Reason, qt.Equals, tt.want)
		})
	}
}

func TestVersionsStandSideBySide(t *testing.T) {
	f := newFixture(t, Config{}, engine(2, 4))
	old, next := f.job(1, nil), f.job(1, func(j *Job) { j.Target.Version = 2 })
	for _, j := range []Job{old, next} {
		f.apply(Arrived{Job: j})
		f.apply(Granted{Server: "e1", Target: j.Target})
		got := only[Send](f.apply(LoadEnded{Server: "e1", Target: j.Target, OK: true}))
		f.c.Assert(got, qt.HasLen, 1)
		f.c.Assert(got[0].Job.Target, qt.Equals, j.Target)
	}
	f.c.Assert(f.s.Pinned("e1"), qt.DeepEquals, []configurer.Target{old.Target, next.Target})
}

func TestFailedLoadIsRefusedOrRetriedWithinBounds(t *testing.T) {
	f := newFixture(t, Config{}, engine(1, 4))
	passing := f.job(1, func(j *Job) { j.IsLastCandidate = false })
	last := f.job(1, nil)
	f.apply(Arrived{Job: passing})
	f.apply(Arrived{Job: last})
	var refused []Refuse
	loads := 0
	for range 200 {
		f.now = f.now.Add(50 * time.Millisecond)
		for _, a := range f.apply(Tick{}) {
			refused = append(refused, only[Refuse]([]Action{a})...)
		}
		if len(only[Load](f.apply(Granted{Server: "e1", Target: target(1)}))) > 0 {
			loads++
			refused = append(refused, only[Refuse](f.apply(LoadEnded{Server: "e1", Target: target(1)}))...)
		}
	}
	f.c.Assert(loads, qt.Equals, DefaultLoadAttempts)
	f.c.Assert(refused, qt.HasLen, 2)
	f.c.Assert(refused[0].Attempt, qt.Equals, passing.Attempt)
	f.c.Assert(refused[1], qt.Equals, Refuse{Attempt: last.Attempt, Reason: ReasonLoad, RetryAfter: DefaultLoadCooldown})
}

func TestLongJobsAreLimitedToTheirShare(t *testing.T) {
	f := newFixture(t, Config{LongShare: 0.5}, engine(1, 4))
	base := func(long bool) Job {
		return f.job(0, func(j *Job) { j.Target.Adapter, j.Long, j.Urgent = "", long, !long })
	}
	sent := 0
	for range 6 {
		sent += len(only[Send](f.apply(Arrived{Job: base(true)})))
	}
	f.c.Assert(sent, qt.Equals, 2)
	f.c.Assert(only[Send](f.apply(Arrived{Job: base(false)})), qt.HasLen, 1)
}

func TestDeadlineAtRiskIsReportedOnceAndInTime(t *testing.T) {
	f := newFixture(t, Config{}, engine(1, 1))
	f.apply(Arrived{Job: f.job(0, func(j *Job) { j.Target.Adapter = "" })})
	report := f.job(0, func(j *Job) {
		j.Target.Adapter, j.Urgent, j.Long, j.Class, j.Deadline = "", false, true, "report", f.now.Add(8*time.Hour)
	})
	f.apply(Arrived{Job: report})
	f.now = f.now.Add(7 * time.Hour)
	f.c.Assert(only[DeadlineAtRisk](f.apply(Tick{})), qt.HasLen, 0)
	f.now = report.Deadline.Add(-DefaultDeadlineAlarmLead)
	alarms := only[DeadlineAtRisk](f.apply(Tick{}))
	f.c.Assert(alarms, qt.HasLen, 1)
	f.assertActions([]Action{alarms[0]}, DeadlineAtRisk{Attempt: report.Attempt, Class: "report", Deadline: report.Deadline})
	f.c.Assert(only[DeadlineAtRisk](f.apply(Tick{})), qt.HasLen, 0)
}

func TestAttemptWithoutProgressFailsAndStaysPinnedUntilItsCancelIsConfirmed(t *testing.T) {
	f := newFixture(t, Config{}, engine(1, 1))
	j := f.job(1, nil)
	f.apply(Arrived{Job: j})
	f.apply(Granted{Server: "e1", Target: j.Target})
	f.apply(LoadEnded{Server: "e1", Target: j.Target, OK: true})
	f.apply(Progress{Attempt: j.Attempt, Tokens: 1})
	f.now = f.now.Add(DefaultTokenGapTimeout)
	cancel := Cancel{Attempt: j.Attempt, Server: "e1"}
	f.assertActions(f.apply(Tick{}), Fail{Attempt: j.Attempt}, cancel)
	f.c.Assert(f.s.Stats(f.now).Pins, qt.Equals, 1)
	f.now = f.now.Add(DefaultCancelRetryInterval)
	f.assertActions(f.apply(Tick{}), cancel)
	f.apply(Ended{Attempt: j.Attempt})
	f.c.Assert(f.s.Stats(f.now).Pins, qt.Equals, 0)
}
