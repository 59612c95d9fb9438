package owner

import (
	"context"
	"time"

	"redwingstage.org/serving/retrier"
	"redwingstage.org/serving/scheduler"
	"redwingstage.org/stage/sender"
	"redwingstage.org/stage/streamer"
)

// book runs a non-idempotent call at most once, or returns its recorded answer.
func (o *Owner) book(j *job, sink streamer.Sink) streamer.End {
	if end, ok := o.recheck(j); !ok {
		o.ended(j, scheduler.Ended{})
		return end
	}
	ctx, cancel := context.WithTimeout(j.ctx, bookingLimit)
	defer cancel()
	r := o.Booker.Run(ctx, j.req, j.attempt.String(), func() sender.Reply {
		return o.write(ctx, j, sink)
	})
	end := r.End
	switch {
	case r.Sent && !r.Reply.Settled:
		end = o.settle(j, end, 0)
	default:
		o.ended(j, scheduler.Ended{OK: r.End.Outcome == retrier.Done})
	}
	if r.Running {
		if !j.req.Deadline.IsZero() {
			var stop context.CancelFunc
			ctx, stop = context.WithDeadline(ctx, j.req.Deadline)
			defer stop()
		}
		r = o.Booker.Await(ctx, j.req, func() string { return o.attempt().String() })
		end = r.End
	}
	if end.Outcome != retrier.Done {
		return end
	}
	reply := sender.Reply{End: end, Status: r.Answer.Status, Type: r.Answer.Type, Body: r.Answer.Body}
	return o.finish(j, reply, sink)
}

// observed forwards an answer, and reports its progress to the scheduler and the metrics.
type observed struct {
	streamer.Sink
	owner  *Owner
	job    *job
	events int
	told   int
	last   time.Time
	gaps   observer
	first  observer
}

// observer records a duration in seconds.
type observer interface{ Observe(v float64) }

func (o *Owner) observe(j *job, sink streamer.Sink) *observed {
	return &observed{
		Sink: sink, owner: o, job: j,
		first: o.Meter.FirstToken(j.req.Class), gaps: o.Meter.BetweenTokens(j.req.Class),
	}
}

// Data implements streamer.Sink.
func (s *observed) Data(b []byte) error {
	now := time.Now()
	if s.events == 0 {
		s.first.Observe(now.Sub(s.job.req.Arrived).Seconds())
	} else {
		s.gaps.Observe(now.Sub(s.last).Seconds())
	}
	s.last = now
	s.events++
	if s.events == 1 || s.events-s.told >= progressEvery {
		s.told = s.events
		s.owner.feed(scheduler.Progress{Attempt: s.job.attempt, Tokens: s.events})
	}
	return s.Sink.Data(b)
}
