package attempter

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/serving/retrier"
	"redwingstage.org/serving/router"
	"redwingstage.org/stage/meter"
	"redwingstage.org/stage/streamer"
)

// scriptedOwner is a control role and an owner whose attempts end in the order of ends.
type scriptedOwner struct {
	ends  []streamer.End
	calls int
	// standings are returned one after another; servers are the servers of the attempts.
	standings []quarantiner.Standing
	servers   []string
	locksHeld int
	locks     int
}

func (s *scriptedOwner) Roster() *registrar.Roster {
	var servers []registrar.Server
	owners := make(map[string]registrar.Owner)
	for _, name := range []string{"e1", "e2", "e3"} {
		servers = append(servers, registrar.Server{Name: name, Service: "base", Kind: configurer.KindModel, Batch: 4})
		owners[name] = registrar.Owner{Entry: "near"}
	}
	return registrar.NewRoster(1, servers, nil, owners)
}

func (s *scriptedOwner) Standing(quarantiner.Digest) quarantiner.Standing {
	if len(s.standings) == 0 {
		return quarantiner.Clear
	}
	standing := s.standings[0]
	s.standings = s.standings[1:]
	return standing
}

func (s *scriptedOwner) LockSuspect(context.Context, quarantiner.Digest) (func(), error) {
	s.locksHeld++
	s.locks++
	return func() { s.locksHeld-- }, nil
}

func (s *scriptedOwner) Serve(_ context.Context, _ *streamer.Request, server string, _ bool, sink streamer.Sink) streamer.End {
	s.calls++
	s.servers = append(s.servers, server)
	end := s.ends[min(s.calls, len(s.ends))-1]
	if end.Message == "opened" {
		sink.Head(streamer.Head{Status: 200})
	}
	return end
}

func TestExecute(t *testing.T) {
	failed := streamer.End{Outcome: retrier.Unknown, Reason: streamer.ReasonBroken}
	opened := streamer.End{Outcome: retrier.Unknown, Reason: streamer.ReasonBroken, Message: "opened"}
	full := streamer.End{Outcome: retrier.NotRun, Reason: "full"}
	conflict := streamer.End{Outcome: retrier.NotRun, Reason: streamer.ReasonConflict}
	hop := streamer.End{Outcome: retrier.Unknown, Reason: streamer.ReasonForwardFailed}
	done := streamer.End{Outcome: retrier.Done}
	tests := []struct {
		name          string
		booking       bool
		forgetUnknown bool
		ends          []streamer.End
		want          retrier.Outcome
		calls         int
	}{
		{name: "done", ends: []streamer.End{done}, want: retrier.Done, calls: 1},
		{name: "refused, then done", ends: []streamer.End{full, done}, want: retrier.Done, calls: 2},
		{name: "failed, then done", ends: []streamer.End{failed, done}, want: retrier.Done, calls: 2},
		{name: "failed after the answer opened", ends: []streamer.End{opened, done}, want: retrier.Unknown, calls: 1},
		{name: "failed, then not run", ends: []streamer.End{failed, conflict}, want: retrier.Unknown, calls: 2},
		{name: "failed, then not run, unknown forgotten", forgetUnknown: true, ends: []streamer.End{failed, conflict}, want: retrier.NotRun, calls: 2},
		{name: "booking failed", booking: true, ends: []streamer.End{failed, done}, want: retrier.Unknown, calls: 1},
		{name: "booking refused, then done", booking: true, ends: []streamer.End{full, done}, want: retrier.Done, calls: 2},
		{name: "booking's hop failed", booking: true, ends: []streamer.End{hop, done}, want: retrier.Done, calls: 2},
		{name: "conflict", booking: true, ends: []streamer.End{conflict, done}, want: retrier.NotRun, calls: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &scriptedOwner{ends: tt.ends}
			a := New(Deps{
				Name: "near", Control: s, Local: s, Router: router.New(router.Config{}, 1),
				Retrier: retrier.New(retrier.Config{}, 1), Meter: meter.New(prometheus.NewRegistry()),
			})
			a.forgetUnknown = tt.forgetUnknown
			now := time.Now()
			req := &streamer.Request{
				Target: configurer.Target{Service: "base"}, Idempotent: !tt.booking, Arrived: now,
				FirstTokenDeadline: now.Add(time.Minute), Deadline: now.Add(time.Hour),
			}
			end := a.Execute(context.Background(), req, streamer.New(1))
			qt.Check(t, end.Outcome, qt.Equals, tt.want)
			qt.Check(t, s.calls, qt.Equals, tt.calls)
		})
	}
}

// A request is sent where its copies run; a suspect runs under the lock, unless its standing changed while it waited for the lock.
func TestCopies(t *testing.T) {
	const unsuspected, suspect, quarantined = quarantiner.Clear, quarantiner.Suspect, quarantiner.Quarantined
	elsewhere := func(server string) streamer.End {
		return streamer.End{Outcome: retrier.NotRun, Reason: streamer.ReasonRunningElsewhere, CopyServer: server}
	}
	done := streamer.End{Outcome: retrier.Done}
	for _, tt := range []struct {
		name      string
		ends      []streamer.End
		standings []quarantiner.Standing
		want      retrier.Outcome
		last      string
		calls     int
		locks     int
	}{
		{name: "copies at another server", ends: []streamer.End{elsewhere("e2"), done}, want: retrier.Done, last: "e2", calls: 2},
		{name: "copies moved to a third server", ends: []streamer.End{elsewhere("e2"), elsewhere("e3"), done}, want: retrier.Done, last: "e3", calls: 3},
		{name: "wait", ends: []streamer.End{elsewhere(""), done}, want: retrier.Done, calls: 2},
		{name: "same server again", ends: []streamer.End{elsewhere("e2"), elsewhere("e2"), done}, want: retrier.Done, last: "e2", calls: 3},
		{name: "unknown server", ends: []streamer.End{elsewhere("gone"), done}, want: retrier.Done, calls: 2},
		{name: "suspect", standings: []quarantiner.Standing{suspect, suspect}, ends: []streamer.End{done}, want: retrier.Done, calls: 1, locks: 1},
		{name: "quarantined", standings: []quarantiner.Standing{quarantined}, want: retrier.NotRun},
		{name: "quarantined while waiting for the lock", standings: []quarantiner.Standing{suspect, quarantined}, want: retrier.NotRun, locks: 1},
		{name: "cleared while waiting for the lock", standings: []quarantiner.Standing{suspect, unsuspected}, ends: []streamer.End{done}, want: retrier.Done, calls: 1, locks: 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := &scriptedOwner{ends: tt.ends, standings: tt.standings}
			a := New(Deps{
				Name: "near", Control: s, Local: s, Router: router.New(router.Config{}, 1),
				Retrier: retrier.New(retrier.Config{}, 1), Meter: meter.New(prometheus.NewRegistry()),
			})
			now := time.Now()
			end := a.Execute(context.Background(), &streamer.Request{
				Target: configurer.Target{Service: "base"}, Idempotent: true, Arrived: now,
				FirstTokenDeadline: now.Add(time.Minute), Deadline: now.Add(time.Hour),
			}, streamer.New(1))
			qt.Check(t, end.Outcome, qt.Equals, tt.want)
			qt.Check(t, s.calls, qt.Equals, tt.calls)
			qt.Check(t, s.locks, qt.Equals, tt.locks)
			qt.Check(t, s.locksHeld, qt.Equals, 0)
			if tt.last != "" {
				qt.Check(t, s.servers[len(s.servers)-1], qt.Equals, tt.last)
			}
		})
	}
}

// slowFirst answers only after its cancellation at the first candidate, and at once at the second.
type slowFirst struct {
	scriptedOwner
	cancelled chan struct{}
}

func (r *slowFirst) Serve(ctx context.Context, _ *streamer.Request, _ string, lastCandidate bool, sink streamer.Sink) streamer.End {
	if lastCandidate {
		sink.Head(streamer.Head{Status: 200})
		_ = sink.Data([]byte("hedge"))
		return streamer.End{Outcome: retrier.Done}
	}
	<-ctx.Done()
	close(r.cancelled)
	sink.Head(streamer.Head{Status: 500})
	_ = sink.Data([]byte("late"))
	return streamer.End{Outcome: retrier.Unknown, Reason: streamer.ReasonCancelled}
}

// The losing attempt of a hedge is cancelled, and its answer isn't sent to the caller.
func TestHedge(t *testing.T) {
	s := &slowFirst{cancelled: make(chan struct{})}
	a := New(Deps{
		Name: "near", Control: s, Local: s, Router: router.New(router.Config{}, 1),
		Retrier: retrier.New(retrier.Config{}, 1), Meter: meter.New(prometheus.NewRegistry()),
	})
	for range 100 {
		a.policy.observeFirstToken(time.Millisecond)
	}
	req := &streamer.Request{Target: configurer.Target{Service: "base"}, Idempotent: true, Urgent: true, Arrived: time.Now()}
	answer := streamer.New(100)
	end := a.Execute(context.Background(), req, answer)
	<-s.cancelled
	answer.End(end)
	part, err := answer.Next(context.Background(), nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, end.Outcome, qt.Equals, retrier.Done)
	qt.Check(t, part.Head.Status, qt.Equals, 200)
	qt.Check(t, string(part.Data), qt.Equals, "hedge")
}

// lateHedge sends the head from the first candidate, which ends last; the hedge ends before it with a complete answer that is discarded.
type lateHedge struct {
	scriptedOwner
	end                              streamer.End
	hedgeStarted, opened, hedgeEnded chan struct{}
}

func (o *lateHedge) Serve(_ context.Context, _ *streamer.Request, _ string, lastCandidate bool, sink streamer.Sink) streamer.End {
	if lastCandidate {
		close(o.hedgeStarted)
		<-o.opened
		defer close(o.hedgeEnded)
		sink.Head(streamer.Head{Status: 400})
		if err := sink.Data([]byte("late")); err != nil {
			return streamer.End{Outcome: retrier.Done, Reason: streamer.ReasonCancelled, Message: err.Error()}
		}
		return streamer.End{Outcome: retrier.Done}
	}
	<-o.hedgeStarted
	sink.Head(streamer.Head{Status: 200})
	close(o.opened)
	<-o.hedgeEnded
	time.Sleep(20 * time.Millisecond) // The loser ends first.
	_ = sink.Data([]byte("first"))
	return o.end
}

// An answer ends with the end of its own attempt, not with that of a losing hedge.
func TestLosingHedgeDoesNotEndAnswer(t *testing.T) {
	for _, want := range []streamer.End{
		{Outcome: retrier.Done},
		{Outcome: retrier.Unknown, Reason: streamer.ReasonBroken},
	} {
		t.Run(want.Outcome.String(), func(t *testing.T) {
			s := &lateHedge{end: want, hedgeStarted: make(chan struct{}), opened: make(chan struct{}), hedgeEnded: make(chan struct{})}
			a := New(Deps{
				Name: "near", Control: s, Local: s, Router: router.New(router.Config{}, 1),
				Retrier: retrier.New(retrier.Config{}, 1), Meter: meter.New(prometheus.NewRegistry()),
			})
			for range 100 {
				a.policy.observeFirstToken(time.Millisecond)
			}
			req := &streamer.Request{Target: configurer.Target{Service: "base"}, Idempotent: true, Urgent: true, Arrived: time.Now()}
			answer := streamer.New(100)
			end := a.Execute(context.Background(), req, answer)
			qt.Check(t, end, qt.Equals, want)
			part, err := answer.Next(context.Background(), nil)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, part.Head.Status, qt.Equals, 200)
			qt.Check(t, string(part.Data), qt.Equals, "first")
		})
	}
}
