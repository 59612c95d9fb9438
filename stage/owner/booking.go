package owner

import (
	"context"
	"time"

	"redwingstage.org/serving/retrier"
	"redwingstage.org/serving/scheduler"
	"redwingstage.org/stage/sender"
	"redwingstage.org/stage/streamer"
)

// serveBooking runs a non-idempotent call at most once, or returns its recorded answer.
func (o *Owner) serveBooking(j *job, sink streamer.Sink) streamer.End {
	if end, ok := o.recheck(j); !ok {
		o.attemptEnded(j, scheduler.Ended{})
		return end
	}
	ctx, cancel := context.WithTimeout(j.ctx, bookingTimeout)
	defer cancel()
	r := o.Booker.Run(ctx, j.req, j.attempt.String(), func() sender.Reply {
		return o.send(ctx, j, sink)
	})
	end := r.End
	switch {
	case r.Sent && !r.Reply.Finished:
		end = o.stopBrokenAttempt(j, end, 0)
	default:
		o.attemptEnded(j, scheduler.Ended{OK: r.End.Outcome == retrier.Done})
	}
	if r.Running {
		if !j.req.Deadline.IsZero() {
			var stop context.CancelFunc
			ctx, stop = context.WithDeadline(ctx, j.req.Deadline)
			defer stop()
		}
		r = o.Booker.Await(ctx, j.req, func() string { return o.newAttempt().String() })
		end = r.End
	}
	if end.Outcome != retrier.Done {
		return end
	}
	reply := sender.Reply{End: end, Status: r.Answer.Status, Type: r.Answer.Type, Body: r.Answer.Body}
	return o.deliverAnswer(j, reply, sink)
}

// meteredSink forwards an answer, and reports its progress to the scheduler and the metrics.
type meteredSink struct {
	streamer.Sink
	owner          *Owner
	job            *job
	events         int
	reportedEvents int
	lastEvent      time.Time
	betweenTokens  observer
	firstToken     observer
}

// observer records a duration in seconds.
type observer interface{ Observe(v float64) }

func (o *Owner) newMeteredSink(j *job, sink streamer.Sink) *meteredSink {
	return &meteredSink{
		Sink: sink, owner: o, job: j,
		firstToken: o.Meter.FirstTokenObserver(j.req.Class), betweenTokens: o.Meter.InterTokenObserver(j.req.Class),
	}
}

// Data implements streamer.Sink.
func (s *meteredSink) Data(b []byte) error {
	now := time.Now()
	if s.events == 0 {
		s.firstToken.Observe(now.Sub(s.job.req.Arrived).Seconds())
	} else {
		s.betweenTokens.Observe(now.Sub(s.lastEvent).Seconds())
	}
	s.lastEvent = now
	s.events++
	if s.events == 1 || s.events-s.reportedEvents >= eventsPerProgress {
		s.reportedEvents = s.events
		s.owner.postEvent(scheduler.Progress{Attempt: s.job.attempt, Tokens: s.events})
	}
	return s.Sink.Data(b)
}
