package runner

import (
	"fmt"
	"time"

	"redwingstage.org/coord/replicator"
)

// StateMachine is the replicated state machine; a Runner calls its methods from one goroutine.
type StateMachine interface {
	// Apply executes a committed command and returns its result; state and result must depend only on the log. An error means that
	// this replica can't execute what others can: it stops with the state before the command, and its journal keeps the command.
	Apply(index uint64, cmd []byte) ([]byte, error)
	// Snapshot returns the whole state as of the last applied command.
	Snapshot() ([]byte, error)
	// Restore replaces the state with a snapshot's.
	Restore(snapshot []byte) error
}

// Result is the result of a committed command and its index in the log.
type Result struct {
	Index uint64
	Data  []byte
}

// Member is one replica of the group.
type Member struct {
	ID      uint64
	Addr    string
	Learner bool
}

// Status is a replica's view of the group; Leader is 0 if unknown.
type Status struct {
	ID       uint64
	Leader   uint64
	Term     uint64
	Commit   uint64
	Applied  uint64
	Members  []Member
	LeaseEnd time.Time
	Role     replicator.Role
	// Vote is the ID of the replica that got this one's vote in Term, or 0.
	Vote uint64
	// StepDown is why this replica's latest leadership ended.
	StepDown replicator.Cause
	// WritingSince is when the journal write in flight began; zero without one.
	WritingSince time.Time
}

// IsLeader reports whether the replica holds a quorum-confirmed leader lease at now.
func (s Status) IsLeader(now time.Time) bool {
	return s.ID != 0 && s.Leader == s.ID && now.Before(s.LeaseEnd)
}

// NotLeaderError reports that this replica isn't the leader, so a command won't be committed; Leader is 0 if unknown.
type NotLeaderError struct {
	Leader uint64
	Addr   string
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "not the leader, and no leader is known"
	}
	return fmt.Sprintf("not the leader; the leader is replica %d at %s", e.Leader, e.Addr)
}

// UncertainError reports that a command was appended but its outcome is unknown, so it may still be committed.
type UncertainError struct {
	Index uint64
	Term  uint64
	Err   error
}

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("command at index %d of term %d may or may not be committed", e.Index, e.Term)
}

// Unwrap returns the error that ended the wait, or nil.
func (e *UncertainError) Unwrap() error { return e.Err }
