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
	return &Part{log: l.log, prefix: name + ": "}
}

// Part is the log of one part of a process.
type Part struct {
	log    *log.Logger
	prefix string
}

// Info tells of something ordinary; subject names what it is about, or is empty.
func (p *Part) Info(sentence, subject string) { p.write(p.log.Info(), sentence, subject) }

// Warn tells of something that an operator may want to look at.
func (p *Part) Warn(sentence, subject string) { p.write(p.log.Warn(), sentence, subject) }

// Error tells of something that failed, with its cause.
func (p *Part) Error(sentence string, err error) { p.log.Error().Err(err).Msg(p.prefix + sentence) }

// Request tells how a request ended.
func (p *Part) Request(id, model, outcome, reason string, status int) {
	p.log.Info().Str("request", id).Str("model", model).Str("outcome", outcome).Str("reason", reason).
		Int("status", status).Msg(p.prefix + "request ended")
}

func (p *Part) write(e *log.Entry, sentence, subject string) {
	if subject != "" {
		e = e.Str("subject", subject)
	}
	e.Msg(p.prefix + sentence)
}

// Order tells of an order to an engine and its answer.
func (p *Part) Order(engine, adapter string, load bool, verdict int, expected uint64, err error) {
	e := p.log.Info()
	if err != nil {
		e = p.log.Error().Err(err)
	}
	e.Str("engine", engine).Str("adapter", adapter).Bool("load", load).Int("verdict", verdict).
		Uint64("expected", expected).Msg(p.prefix + "order answered")
}

// Attempt tells how one try of a request at a backend server ended without an answer.
func (p *Part) Attempt(id, server, reason string, took time.Duration) {
	p.log.Info().Str("request", id).Str("server", server).Str("reason", reason).Int64("ms", took.Milliseconds()).
		Msg(p.prefix + "attempt ended")
}

// Document tells that a version of the operator's document is in force here.
func (p *Part) Document(version uint64) {
	p.log.Info().Uint64("version", version).Msg(p.prefix + "document is in force")
}
