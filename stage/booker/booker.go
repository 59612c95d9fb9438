package booker

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"redwingstage.org/serving/recorder"
	"redwingstage.org/serving/retrier"
	"redwingstage.org/stage/sender"
	"redwingstage.org/stage/streamer"
)

const (
	beginTimeout    = 3 * time.Second
	endTimeout      = 2 * time.Second
	minEndBackoff   = 50 * time.Millisecond
	maxEndBackoff   = 2 * time.Second
	minPollInterval = 25 * time.Millisecond
	maxPollInterval = 200 * time.Millisecond
)

// Store is the replicated store of bookings.
type Store interface {
	BeginBooking(ctx context.Context, b recorder.Begin) (recorder.BeginReply, error)
	EndBooking(ctx context.Context, e recorder.End) error
}

// Identity identifies the process that sends bookings.
type Identity struct {
	Entry       string
	Incarnation uint64
}

// Result is the state of a booking after one attempt.
type Result struct {
	End    streamer.End
	Answer recorder.Answer
	// Reply is the reply of the service, if this attempt was sent.
	Reply sender.Reply
	// Sent reports that the attempt was passed to the sender.
	Sent bool
	// Running reports that another attempt of the booking is running.
	Running bool
}

// Booker records the start and end of each booking.
type Booker struct {
	store   Store
	id      Identity
	stopped chan struct{}
	wg      conc.WaitGroup
	// skipStore is set by tests through reflection: send without calling the store.
	skipStore bool
	// unknownAsNotRun is set by tests through reflection: report unknown outcomes as not run.
	unknownAsNotRun bool
}

// New returns a Booker for the process id.
func New(store Store, id Identity) *Booker {
	return &Booker{store: store, id: id, stopped: make(chan struct{})}
}

// Close waits until all ends are recorded or ctx is done; an unrecorded end becomes unknown.
func (b *Booker) Close(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { close(b.stopped) })
	b.wg.Wait()
	if stop() {
		close(b.stopped)
	}
}

// Run records the start of the booking and, if the store allows it, sends it once.
func (b *Booker) Run(ctx context.Context, req *streamer.Request, attempt string, send func() sender.Reply) Result {
	if b.skipStore {
		return b.finishRun(req, attempt, send())
	}
	beginReply, err := b.begin(ctx, req, attempt)
	if err != nil {
		b.recordEndInBackground(b.newEnd(req, attempt, recorder.OutcomeNotRun, recorder.Answer{}))
		return Result{End: notRunEnd(streamer.ReasonRecord, "the booking could not be recorded: "+err.Error())}
	}
	if beginReply.Decision == recorder.DecisionRun {
		return b.finishRun(req, attempt, send())
	}
	return resultFor(beginReply)
}

// Await polls the store until the running attempt has ended; newAttempt returns the name of each poll's attempt.
func (b *Booker) Await(ctx context.Context, req *streamer.Request, newAttempt func() string) Result {
	interval := minPollInterval
	for {
		select {
		case <-ctx.Done():
			return Result{End: unknownEnd(streamer.ReasonRunning, "another attempt of this booking still runs")}
		case <-b.stopped:
			return Result{End: unknownEnd(streamer.ReasonClosing, "another attempt of this booking still runs")}
		case <-time.After(interval):
		}
		interval = min(2*interval, maxPollInterval)
		attempt := newAttempt()
		beginReply, err := b.begin(ctx, req, attempt)
		if err != nil {
			b.recordEndInBackground(b.newEnd(req, attempt, recorder.OutcomeNotRun, recorder.Answer{}))
			continue
		}
		if beginReply.Decision == recorder.DecisionRun {
			b.recordEnd(b.newEnd(req, attempt, recorder.OutcomeNotRun, recorder.Answer{}))
			return Result{End: notRunEnd(streamer.ReasonRunning, "the running attempt ended without a run")}
		}
		if r := resultFor(beginReply); !r.Running {
			return r
		}
	}
}

// begin has its own timeout, so that a caller's disconnect doesn't lose the store's reply.
func (b *Booker) begin(ctx context.Context, req *streamer.Request, attempt string) (recorder.BeginReply, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), beginTimeout)
	defer cancel()
	return b.store.BeginBooking(ctx, recorder.Begin{
		Key: recordKey(req), Digest: req.Digest, Attempt: attempt, Entry: b.id.Entry, Incarnation: b.id.Incarnation,
	})
}

// finishRun records the end of the run before the result is returned.
func (b *Booker) finishRun(req *streamer.Request, attempt string, reply sender.Reply) Result {
	r := Result{End: reply.End, Reply: reply, Sent: true}
	if b.unknownAsNotRun && r.End.Outcome == retrier.Unknown {
		r.End.Outcome = retrier.NotRun
	}
	outcome := recorder.OutcomeUnknown
	switch r.End.Outcome {
	case retrier.Done:
		outcome = recorder.OutcomeDone
		r.Answer = recorder.Answer{Status: reply.Status, Type: reply.Type, Body: reply.Body}
	case retrier.NotRun:
		outcome = recorder.OutcomeNotRun
	case retrier.Unknown:
	}
	b.recordEnd(b.newEnd(req, attempt, outcome, r.Answer))
	return r
}

func (b *Booker) newEnd(req *streamer.Request, attempt string, outcome recorder.Outcome, a recorder.Answer) recorder.End {
	return recorder.End{Key: recordKey(req), Attempt: attempt, Outcome: outcome, Answer: a}
}

// recordEnd records an end, and retries in the background if that fails.
func (b *Booker) recordEnd(e recorder.End) {
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	if err := b.store.EndBooking(ctx, e); err != nil {
		b.recordEndInBackground(e)
	}
}

// recordEndInBackground retries until the end is recorded or the ctx of Close is done.
func (b *Booker) recordEndInBackground(e recorder.End) {
	b.wg.Go(func() {
		for backoff := minEndBackoff; ; backoff = min(2*backoff, maxEndBackoff) {
			ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
			err := b.store.EndBooking(ctx, e)
			cancel()
			if err == nil {
				return
			}
			select {
			case <-b.stopped:
				return
			case <-time.After(backoff):
			}
		}
	})
}

// resultFor returns the result for a decision that doesn't allow a run.
func resultFor(beginReply recorder.BeginReply) Result {
	switch beginReply.Decision {
	case recorder.DecisionDone:
		return Result{End: streamer.End{Outcome: retrier.Done}, Answer: beginReply.Answer}
	case recorder.DecisionWait:
		return Result{Running: true, End: unknownEnd(streamer.ReasonRunning, "another attempt of this booking runs")}
	case recorder.DecisionConflict:
		return Result{End: notRunEnd(streamer.ReasonConflict, "the idempotency key was used with another content")}
	case recorder.DecisionFull:
		return Result{End: notRunEnd(streamer.ReasonRecord, "the record of bookings is full")}
	}
	return Result{End: unknownEnd(streamer.ReasonMayHaveRun, "an earlier attempt with this key may have run; its answer is not known")}
}

func recordKey(req *streamer.Request) recorder.Key {
	return recorder.Key{Caller: req.Caller, Service: req.Target.Service, Key: req.Key}
}

func notRunEnd(reason streamer.Reason, message string) streamer.End {
	return streamer.End{Outcome: retrier.NotRun, Reason: reason, Message: message}
}

func unknownEnd(reason streamer.Reason, message string) streamer.End {
	return streamer.End{Outcome: retrier.Unknown, Reason: reason, Message: message}
}
