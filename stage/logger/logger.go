package logger

import (
	"io"
	"time"

	"github.com/phuslu/log"
)

// Logger writes JSON lines; its parts share it.
type Logger struct{ log *log.Logger }

// New returns a logger that writes to w from the level up, such as "info".
func New(w io.Writer, level string) *Logger {
	return &Logger{log: &log.Logger{
		Level: log.ParseLevel(level), TimeFormat: "2006-01-02T15:04:05.000Z07:00", Writer: &log.IOWriter{Writer: w},
	}}
}

// Base returns the logger beneath, for parts that write their own lines.
func (l *Logger) Base() *log.Logger { return l.log }

// Part returns the log of one part; every sentence begins with its name.
func (l *Logger) Part(name string) *Part {
	return &Part{
		log: l.log, prefix: name + ": ",
		requests: quota{perSecond: requestLines}, attempts: quota{perSecond: attemptLines},
		late: quota{perSecond: lateLines}, orders: quota{perSecond: orderLines},
		loads: quota{perSecond: orderLines},
	}
}

// Part is the log of one part of a process; lines about requests and orders are bounded by a number a second each.
type Part struct {
	log      *log.Logger
	prefix   string
	requests quota
	attempts quota
	late     quota
	orders   quota
	loads    quota
}

// Timing says where the time of a request went.
type Timing struct {
	Server string
	Model  string
	// Reason is the part that took too long.
	Reason string
	// Wait ends with the choice of the last server, First with the first byte of its answer; Gap is the longest pause after it.
	Wait, First, Gap time.Duration
	// Running is how many requests of this process were at the server, Sends how many servers got the request.
	Running, Sends int
}

// bounded adds how many lines of the same kind were left out before.
func bounded(e *log.Entry, leftOut int) *log.Entry {
	if leftOut > 0 {
		e = e.Int("left_out", leftOut)
	}
	return e
}

// Info tells of something ordinary; subject names what it is about, or is empty.
func (p *Part) Info(sentence, subject string) { p.write(p.log.Info(), sentence, subject) }

// Warn tells of something that an operator may want to look at.
func (p *Part) Warn(sentence, subject string) { p.write(p.log.Warn(), sentence, subject) }

// Error tells of something that failed, with its cause.
func (p *Part) Error(sentence string, err error) { p.log.Error().Err(err).Msg(p.prefix + sentence) }

// Request tells how a request ended.
func (p *Part) Request(id, model, outcome, reason string, status int) {
	leftOut, ok := p.requests.take(time.Now())
	if !ok {
		return
	}
	bounded(p.log.Info(), leftOut).Str("request", id).Str("model", model).Str("outcome", outcome).Str("reason", reason).
		Int("status", status).Msg(p.prefix + "request ended")
}

// Late tells of an answer that was complete and came later than its route asks for.
func (p *Part) Late(id string, t Timing) {
	leftOut, ok := p.late.take(time.Now())
	if !ok {
		return
	}
	bounded(p.log.Info(), leftOut).Str("request", id).Str("model", t.Model).Str("server", t.Server).Str("reason", t.Reason).
		Int64("wait_ms", t.Wait.Milliseconds()).Int64("first_ms", t.First.Milliseconds()).Int64("gap_ms", t.Gap.Milliseconds()).
		Int("running", t.Running).Int("sends", t.Sends).Msg(p.prefix + "request served late")
}

func (p *Part) write(e *log.Entry, sentence, subject string) {
	if subject != "" {
		e = e.Str("subject", subject)
	}
	e.Msg(p.prefix + sentence)
}

// Order tells of an order to an engine and its answer.
func (p *Part) Order(engine, adapter string, load bool, verdict int, expected uint64, err error) {
	leftOut, ok := p.orders.take(time.Now())
	if !ok {
		return
	}
	e := p.log.Info()
	if err != nil {
		e = p.log.Error().Err(err)
	}
	bounded(e, leftOut).Str("engine", engine).Str("adapter", adapter).Bool("load", load).Int("verdict", verdict).
		Uint64("expected", expected).Msg(p.prefix + "order answered")
}

// Attempt is one try of a request at a backend server that has ended.
type Attempt struct {
	Server string
	// Outcome is one word for what became of it, Reason says why; Status is the server's, 0 if none came.
	Outcome, Reason string
	Status          int
	// Of a stream: After is the last event that the caller had before, First and Last are the events that this try brought.
	After, First, Last string
	Took               time.Duration
}

// Attempt tells how one try of a request ended that brought no answer, or that went on with a stream.
func (p *Part) Attempt(id string, a Attempt) {
	leftOut, ok := p.attempts.take(time.Now())
	if !ok {
		return
	}
	e := bounded(p.log.Info(), leftOut).Str("request", id).Str("server", a.Server).Str("outcome", a.Outcome).Str("reason", a.Reason).
		Int("status", a.Status)
	if a.After != "" || a.Last != "" {
		e = e.Str("after", a.After).Str("first", a.First).Str("last", a.Last)
	}
	e.Int64("ms", a.Took.Milliseconds()).Msg(p.prefix + "attempt ended")
}

// Document tells that a version of the operator's document is in force here.
func (p *Part) Document(version uint64) {
	p.log.Info().Uint64("version", version).Msg(p.prefix + "document is in force")
}

// Placement tells what stands in the way of adapters that are waited for.
func (p *Part) Placement(wants, copies, fetches, bound, places, inUse, idle, distinct int) {
	p.log.Info().Int("wants", wants).Int("copies", copies).Int("fetches", fetches).Int("bound", bound).
		Int("places", places).Int("in_use", inUse).Int("idle", idle).Int("distinct", distinct).
		Msg(p.prefix + "adapters are waited for")
}

// Load is a load of an adapter that has ended.
type Load struct {
	Engine, Adapter, Victim string
	// Cause says why it was ordered, Outcome how it ended.
	Cause, Outcome string
	// Recent says that the engine held the adapter lately.
	Recent bool
	// Waited is the time from the first request to the order, Took that from its acceptance to the end.
	Waited, Took time.Duration
}

// Loaded tells how a load ended.
func (p *Part) Loaded(l Load) {
	leftOut, ok := p.loads.take(time.Now())
	if !ok {
		return
	}
	bounded(p.log.Info(), leftOut).Str("engine", l.Engine).Str("adapter", l.Adapter).Str("victim", l.Victim).
		Str("cause", l.Cause).Str("outcome", l.Outcome).Bool("recent", l.Recent).
		Int64("waited_ms", l.Waited.Milliseconds()).Int64("ms", l.Took.Milliseconds()).Msg(p.prefix + "load ended")
}
