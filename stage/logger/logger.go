package logger

import (
	"io"

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
