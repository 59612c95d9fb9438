package logger

import (
	"fmt"
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

// DocumentAcknowledged logs that the operator got the acknowledgement of a version of the document, or of one that it has overtaken, of
// a size in bytes.
func (c *Component) DocumentAcknowledged(version uint64, size int, took time.Duration) {
	dropped, ok := c.documents.allow(time.Now())
	if !ok {
		return
	}
	withDropped(c.log.Info(), dropped).Uint64("version", version).Int("bytes", size).Int64("ms", took.Milliseconds()).
		Msg(c.prefix + "document is acknowledged")
}

// Printf logs a line of the HTTP library.
func (c *Component) Printf(format string, args ...any) {
	dropped, ok := c.library.allow(time.Now())
	if ok {
		withDropped(c.log.Warn(), dropped).Msg(c.prefix + fmt.Sprintf(format, args...))
	}
}

// Leaderless is the state of a replica that knows no leader.
type Leaderless struct {
	// Duration is how long it has known none.
	Duration time.Duration
	Term     uint64
	Role     string
	// Voters are their IDs, Heard how long ago each other replica was heard from.
	Voters, Heard string
	// Write is how long the journal write in flight has taken, 0 without one.
	Write time.Duration
	// Joins are the addresses that were asked for a place in the group, with the last outcome of each.
	Joins string
}

// Leaderless logs that a replica has known no leader for some time.
func (c *Component) Leaderless(l Leaderless) {
	e := c.log.Warn().Int64("ms", l.Duration.Milliseconds())
	if l.Role != "" {
		e = e.Uint64("term", l.Term).Str("role", l.Role).Str("voters", l.Voters).Str("heard", l.Heard).
			Int64("write_ms", l.Write.Milliseconds())
	} else {
		e = e.Str("role", "no log")
	}
	if l.Joins != "" {
		e = e.Str("joins", l.Joins)
	}
	e.Msg(c.prefix + "no leader is known")
}

// LeaderKnown logs that a replica knows a leader again, and how long it knew none.
func (c *Component) LeaderKnown(leader, term uint64, after time.Duration) {
	c.log.Info().Uint64("leader", leader).Uint64("term", term).Int64("ms", after.Milliseconds()).Msg(c.prefix + "a leader is known again")
}

// JoinFailed logs that the replica at an address gave this one no place in the group.
func (c *Component) JoinFailed(addr, outcome string) {
	c.log.Warn().Str("addr", addr).Str("outcome", outcome).Msg(c.prefix + "join failed")
}

// SlowWrite logs a journal write that takes, or took, longer than an election.
func (c *Component) SlowWrite(took time.Duration, ended bool) {
	dropped, ok := c.writes.allow(time.Now())
	if !ok {
		return
	}
	withDropped(c.log.Warn(), dropped).Int64("ms", took.Milliseconds()).Bool("ended", ended).Msg(c.prefix + "journal write is slow")
}
