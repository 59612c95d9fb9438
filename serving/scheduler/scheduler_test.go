package scheduler

import (
	"fmt"
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

// fixture is a scheduler that owns one engine, with steps that note the actions.
type fixture struct {
	c   *qt.C
	s   *Scheduler
	now time.Time
	n   uint64
}

func newFixture(t *testing.T, cfg Config, sv registrar.Server) *fixture {
	f := &fixture{c: qt.New(t), s: New(cfg, 1), now: start}
	f.do(Owned{Server: sv, Epoch: 1})
	return f
}

func (f *fixture) do(ev Event) []Action { return append([]Action(nil), f.s.Handle(f.now, ev)...) }

func (f *fixture) job(adapter int, change func(*Job)) Job {
	f.n++
	j := Job{
		Attempt: retrier.NewAttempt("entry", 1, f.n), Server: "e1", Target: target(adapter), Class: "chat",
		Urgent: true, Last: true, Digest: quarantiner.Digest{byte(f.n), byte(f.n >> 8), 1},
	}
	if change != nil {
		change(&j)
	}
	return j
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
	f.c.Assert(f.do(Arrived{Job: a}), qt.DeepEquals, []Action{AskPermit{Server: "e1", Target: target(1), Urgent: true, Rate: 1}})
	f.c.Assert(f.do(Arrived{Job: b}), qt.HasLen, 0)
	permit := registrar.Permit{ID: 7}
	loads := only[Load](f.do(Granted{Server: "e1", Target: target(1), Permit: permit}))
	f.c.Assert(loads, qt.HasLen, 1)
	got := f.do(LoadEnded{Server: "e1", Target: target(1), Order: loads[0].Order, OK: true})
	f.c.Assert(only[Send](got), qt.HasLen, 2)
	f.c.Assert(only[ReturnPermit](got), qt.DeepEquals, []ReturnPermit{{Permit: permit, Used: true}})

	other := f.job(2, nil)
	f.c.Assert(only[AskPermit](f.do(Arrived{Job: other})), qt.HasLen, 0)
	f.do(Ended{Attempt: a.Attempt, OK: true})
	f.c.Assert(only[AskPermit](f.do(Ended{Attempt: b.Attempt, OK: true})), qt.HasLen, 1)
	unloads := only[Unload](f.do(Granted{Server: "e1", Target: target(2), Permit: permit}))
	f.c.Assert(unloads, qt.HasLen, 1)
	f.c.Assert(unloads[0].Target, qt.Equals, target(1))
	f.c.Assert(only[Load](f.do(UnloadEnded{Server: "e1", Target: target(1), OK: true})), qt.HasLen, 1)
	f.c.Assert(only[Send](f.do(LoadEnded{Server: "e1", Target: target(2), OK: true})), qt.HasLen, 1)
	f.c.Assert(f.s.Stats(f.now).Pins, qt.Equals, 1)
}

func TestRefusals(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(*fixture, *Job)
		want   Reason
	}{
		{"unknown server", func(_ *fixture, j *Job) { j.Server = "e9" }, ReasonNotOwner},
		{"convicted", func(_ *fixture, j *Job) { j.Standing = quarantiner.Convicted }, ReasonQuarantine},
		{"past its budget", func(f *fixture, j *Job) { j.FirstBy = f.now }, ReasonLate},
		{"full", func(f *fixture, _ *Job) { f.do(Arrived{Job: f.job(1, nil)}) }, ReasonFull},
		{"leaving", func(f *fixture, _ *Job) {
			sv := engine(1, 4)
			sv.Leaving = true
			f.do(Owned{Server: sv, Epoch: 1})
		}, ReasonLeaving},
		{"handed over", func(f *fixture, _ *Job) { f.do(Released{Server: "e1"}) }, ReasonNotOwner},
	} {
		t.Run(tt.name, func(t *testing.T) {
			cfg := Config{}
			cfg.Queue.MaxUrgent = 1
			f := newFixture(t, cfg, engine(1, 4))
			j := f.job(1, nil)
			tt.change(f, &j)
			got := only[Refuse](f.do(Arrived{Job: j}))
			f.c.Assert(got, qt.HasLen, 1)
			f.c.Assert(got[0].Reason, qt.Equals, tt.want)
		})
	}
}
