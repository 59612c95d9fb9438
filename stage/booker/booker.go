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
	beginTimeout = 3 * time.Second
	endTimeout   = 2 * time.Second
	endBackoff   = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
	waitInterval = 25 * time.Millisecond
	maxWait      = 200 * time.Millisecond
)

// Record is the replicated store of bookings and their answers.
type Record interface {
	Begin(ctx context.Context, b recorder.Begin) (recorder.Begun, error)
	End(ctx context.Context, e recorder.End) error
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
	// Sent reports that this attempt was passed to the sender.
	Sent bool
	// Running reports that another attempt of the booking is running.
	Running bool
}

// Booker records the start and the end of each booking that it sends.
type Booker struct {
	record Record
	id     Identity
	done   chan struct{}
	wg     conc.WaitGroup
	// unrecorded sends without consulting the record; tests set it by reflection to check that they detect this.
	unrecorded bool
	// careless treats unknown outcomes as not run; set by tests like unrecorded.
	careless bool
}

// New returns a Booker for the process with the given identity.
func New(record Record, id Identity) *Booker {
	return &Booker{record: record, id: id, done: make(chan struct{})}
}

// Close waits until all ends are recorded or ctx is done; a booking whose end isn't recorded becomes unknown.
func (b *Booker) Close(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { close(b.done) })
	b.wg.Wait()
	if stop() {
		close(b.done)
	}
}

// Run records the start of the booking and, if the record allows it, sends it once.
func (b *Booker) Run(ctx context.Context, req *streamer.Request, attempt string, send func() sender.Reply) Result {
	if b.unrecorded {
		return b.closed(req, attempt, send())
	}
	begun, err := b.begin(ctx, req, attempt)
	if err != nil {
		b.deliver(b.end(req, attempt, recorder.EndingNotRun, recorder.Answer{}))
		return Result{End: notRun(streamer.ReasonRecord, "the booking could not be recorded: "+err.Error())}
	}
	if begun.Verdict == recorder.VerdictRun {
		return b.closed(req, attempt, send())
	}
	return judge(begun)
}

// Await polls the record until the running attempt has ended; name returns a new attempt ID for each poll.
func (b *Booker) Await(ctx context.Context, req *streamer.Request, name func() string) Result {
	interval := waitInterval
	for {
		select {
		case <-ctx.Done():
			return Result{End: unknown(streamer.ReasonRunning, "another attempt of this booking still runs")}
		case <-b.done:
			return Result{End: unknown(streamer.ReasonClosing, "another attempt of this booking still runs")}
		case <-time.After(interval):
		}
		interval = min(2*interval, maxWait)
		attempt := name()
		begun, err := b.begin(ctx, req, attempt)
		if err != nil {
			b.deliver(b.end(req, attempt, recorder.EndingNotRun, recorder.Answer{}))
			continue
		}
		if begun.Verdict == recorder.VerdictRun {
			b.finish(b.end(req, attempt, recorder.EndingNotRun, recorder.Answer{}))
			return Result{End: notRun(streamer.ReasonRunning, "the running attempt ended without a run")}
		}
		if r := judge(begun); !r.Running {
			return r
		}
	}
}

// begin records the start with a timeout of its own, so that a caller's disconnect doesn't lose the record's reply.
func (b *Booker) begin(ctx context.Context, req *streamer.Request, attempt string) (recorder.Begun, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), beginTimeout)
	defer cancel()
	return b.record.Begin(ctx, recorder.Begin{
		Key: keyOf(req), Digest: req.Digest, Attempt: attempt, Entry: b.id.Entry, Incarnation: b.id.Incarnation,
	})
}

// closed records the end of the run before the result is returned.
func (b *Booker) closed(req *streamer.Request, attempt string, reply sender.Reply) Result {
	r := Result{End: reply.End, Reply: reply, Sent: true}
	if b.careless && r.End.Outcome == retrier.Unknown {
		r.End.Outcome = retrier.NotRun
	}
	ending := recorder.EndingUnknown
	switch r.End.Outcome {
	case retrier.Done:
		ending = recorder.EndingDone
		r.Answer = recorder.Answer{Status: reply.Status, Type: reply.Type, Body: reply.Body}
	case retrier.NotRun:
		ending = recorder.EndingNotRun
	case retrier.Unknown:
	}
	b.finish(b.end(req, attempt, ending, r.Answer))
	return r
}

func (b *Booker) end(req *streamer.Request, attempt string, ending recorder.Ending, a recorder.Answer) recorder.End {
	return recorder.End{Key: keyOf(req), Attempt: attempt, Ending: ending, Answer: a}
}

// finish records an end, and retries in the background if that fails.
func (b *Booker) finish(e recorder.End) {
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	if err := b.record.End(ctx, e); err != nil {
		b.deliver(e)
	}
}

// deliver records an end in the background, with retries until it succeeds or Close gives up.
func (b *Booker) deliver(e recorder.End) {
	b.wg.Go(func() {
		for backoff := endBackoff; ; backoff = min(2*backoff, maxBackoff) {
			ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
			err := b.record.End(ctx, e)
			cancel()
			if err == nil {
				return
			}
			select {
			case <-b.done:
				return
			case <-time.After(backoff):
			}
		}
	})
}

// judge returns the result for a verdict that doesn't allow a run.
func judge(begun recorder.Begun) Result {
	switch begun.Verdict {
	case recorder.VerdictDone:
		return Result{End: streamer.End{Outcome: retrier.Done}, Answer: begun.Answer}
	case recorder.VerdictWait:
		return Result{Running: true, End: unknown(streamer.ReasonRunning, "another attempt of this booking runs")}
	case recorder.VerdictConflict:
		return Result{End: notRun(streamer.ReasonConflict, "the idempotency key was used with another content")}
	case recorder.VerdictFull:
		return Result{End: notRun(streamer.ReasonRecord, "the record of bookings is full")}
	}
	return Result{End: unknown(streamer.ReasonLost, "an earlier attempt with this key may have run; its answer is not known")}
}

func keyOf(req *streamer.Request) recorder.Key {
	return recorder.Key{Caller: req.Caller, Service: req.Target.Service, Key: req.Key}
}

func notRun(reason streamer.Reason, message string) streamer.End {
	return streamer.End{Outcome: retrier.NotRun, Reason: reason, Message: message}
}

func unknown(reason streamer.Reason, message string) streamer.End {
	return streamer.End{Outcome: retrier.Unknown, Reason: reason, Message: message}
}
