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
	lanes  []*lane
	winner *lane
}

// lane is the sink of one attempt's answer.
type lane struct {
	race   *race
	ctx    context.Context
	cancel context.CancelFunc
}

func newRace(sink streamer.Sink) *race {
	return &race{sink: sink, opened: make(chan struct{})}
}

func (r *race) newLane(ctx context.Context) *lane {
	ctx, cancel := context.WithCancel(ctx)
	l := &lane{race: r, ctx: ctx, cancel: cancel}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lanes = append(r.lanes, l)
	if r.winner != nil {
		cancel()
	}
	return l
}

// Head implements streamer.Sink; the first head decides the race.
func (l *lane) Head(h streamer.Head) {
	r := l.race
	r.mu.Lock()
	if r.winner == nil {
		r.winner = l
		close(r.opened)
		for _, other := range r.lanes {
			if other != l {
				other.cancel()
			}
		}
	}
	won := r.winner == l
	r.mu.Unlock()
	if won {
		r.sink.Head(h)
	}
}

// Data implements streamer.Sink; the loser's data is discarded.
func (l *lane) Data(b []byte) error {
	if !l.won() {
		return streamer.ErrAbandoned
	}
	return l.race.sink.Data(b)
}

// Opened implements streamer.Sink.
func (l *lane) Opened() bool { return l.won() }

func (l *lane) won() bool {
	l.race.mu.Lock()
	defer l.race.mu.Unlock()
	return l.race.winner == l
}

// finish is how one lane ended.
type finish struct {
	lane *lane
	end  streamer.End
}

// serveHedged starts a second attempt at another candidate when the first one hasn't answered after the given delay.
func (r *run) serveHedged(ctx context.Context, after time.Duration, first, second router.Candidate, last bool) streamer.End {
	race := newRace(r.sink)
	ends := make(chan finish, 2)
	var wg conc.WaitGroup
	start := func(req *streamer.Request, c router.Candidate, last bool) {
		l := race.newLane(ctx)
		wg.Go(func() {
			defer l.cancel()
			ends <- finish{lane: l, end: r.serve(l.ctx, req, c, last, l)}
		})
	}
	start(r.req, first, last)
	open, timer := 1, time.NewTimer(after)
	defer timer.Stop()
	defer wg.Wait()
	for {
		select {
		case <-timer.C:
			if !r.sink.Opened() && r.policy.takeHedge() {
				r.Meter.Retried("hedge")
				hedge := *r.req
				hedge.Hedge = true
				start(&hedge, second, true)
				open++
			}
		case f := <-ends:
			open--
			if f.lane.won() || open == 0 {
				return f.end
			}
			if f.end.Outcome == retrier.Unknown {
				r.ran = true
			}
		}
	}
}
