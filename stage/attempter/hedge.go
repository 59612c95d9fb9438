package attempter

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"redwingstage.org/serving/retrier"
	"redwingstage.org/serving/router"
	"redwingstage.org/stage/streamer"
)

// race runs two attempts of one request; the first to answer wins, the other is cancelled.
type race struct {
	sink   streamer.Sink
	opened chan struct{}

	mu     sync.Mutex
	sinks  []*raceSink
	winner *raceSink
}

// raceSink is the sink of one attempt's answer.
type raceSink struct {
	race   *race
	ctx    context.Context
	cancel context.CancelFunc
}

func newRace(sink streamer.Sink) *race {
	return &race{sink: sink, opened: make(chan struct{})}
}

func (r *race) newSink(ctx context.Context) *raceSink {
	ctx, cancel := context.WithCancel(ctx)
	s := &raceSink{race: r, ctx: ctx, cancel: cancel}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sinks = append(r.sinks, s)
	if r.winner != nil {
		cancel()
	}
	return s
}

// Head implements streamer.Sink; the first head decides the race.
func (s *raceSink) Head(h streamer.Head) {
	r := s.race
	r.mu.Lock()
	if r.winner == nil {
		r.winner = s
		close(r.opened)
		for _, other := range r.sinks {
			if other != s {
				other.cancel()
			}
		}
	}
	won := r.winner == s
	r.mu.Unlock()
	if won {
		r.sink.Head(h)
	}
}

// Data implements streamer.Sink; the loser's data is discarded.
func (s *raceSink) Data(b []byte) error {
	if !s.won() {
		return streamer.ErrAbandoned
	}
	return s.race.sink.Data(b)
}

// Opened implements streamer.Sink.
func (s *raceSink) Opened() bool { return s.won() }

func (s *raceSink) won() bool {
	s.race.mu.Lock()
	defer s.race.mu.Unlock()
	return s.race.winner == s
}

// attemptEnd is the end of one attempt of the race.
type attemptEnd struct {
	sink *raceSink
	end  streamer.End
}

// serveHedged starts a second attempt at another candidate when the first one hasn't answered after the given delay.
func (r *run) serveHedged(ctx context.Context, after time.Duration, first, second router.Candidate, lastCandidate bool) streamer.End {
	race := newRace(r.sink)
	ends := make(chan attemptEnd, 2)
	var wg conc.WaitGroup
	start := func(req *streamer.Request, c router.Candidate, lastCandidate bool) {
		s := race.newSink(ctx)
		wg.Go(func() {
			defer s.cancel()
			ends <- attemptEnd{sink: s, end: r.serve(s.ctx, req, c, lastCandidate, s)}
		})
	}
	start(r.req, first, lastCandidate)
	running, timer := 1, time.NewTimer(after)
	defer timer.Stop()
	defer wg.Wait()
	for {
		select {
		case <-timer.C:
			if !r.sink.Opened() && r.policy.takeHedge() {
				r.Meter.CountRetry("hedge")
				hedge := *r.req
				hedge.Hedge = true
				start(&hedge, second, true)
				running++
			}
		case a := <-ends:
			running--
			if a.sink.won() || running == 0 {
				return a.end
			}
			if a.end.Outcome == retrier.Unknown {
				r.mayHaveRun = true
			}
		}
	}
}
