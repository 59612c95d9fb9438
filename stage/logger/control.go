package logger

import (
	"time"
)

// CallRefused logs a call of the operator or of a backend server that a control replica didn't serve.
func (c *Component) CallRefused(call string, status int, reason string, took time.Duration) {
	dropped, ok := c.calls.allow(time.Now())
	if !ok {
		return
	}
	withDropped(c.log.Warn(), dropped).Str("call", call).Int("status", status).Str("reason", reason).
		Int64("ms", took.Milliseconds()).Msg(c.prefix + "call refused")
}

// SlowWrite logs a journal write that takes, or took, longer than an election.
func (c *Component) SlowWrite(took time.Duration, ended bool) {
	dropped, ok := c.writes.allow(time.Now())
	if !ok {
		return
	}
	withDropped(c.log.Warn(), dropped).Int64("ms", took.Milliseconds()).Bool("ended", ended).Msg(c.prefix + "journal write is slow")
}
