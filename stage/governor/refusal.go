package governor

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/runner"
)

// RefusedError is the error of a call that this replica doesn't serve.
type RefusedError struct {
	// Reason is one of a few short texts.
	Reason string
	Err    error
}

// Error implements error; it returns the text of Err.
func (e *RefusedError) Error() string { return e.Err.Error() }

// Unwrap returns Err.
func (e *RefusedError) Unwrap() error { return e.Err }

// Reasons of a RefusedError.
const (
	reasonNoLog          = "no log is open"
	reasonNoLeader       = "no leader is known"
	reasonLeaseExpired   = "the lease has expired"
	reasonUnconfirmed    = "no quorum confirmed in time"
	reasonUncommitted    = "no quorum committed in time"
	reasonNotAppended    = "the log didn't take it in time"
	reasonLeaderChanged  = "the leader changed"
	reasonOutcomeUnknown = "the outcome is unknown"
	reasonHeldBack       = "replicas of earlier builds don't know the command"
)

// refuse returns err with the reason for which a call to the log failed; late is the reason if the time was up.
func refuse(err error, late string) error {
	var notLeader *runner.NotLeaderError
	var uncertain *runner.UncertainError
	reason := ""
	switch {
	case errors.As(err, new(*RefusedError)):
		return err
	case errors.As(err, &notLeader):
		reason = reasonLeaderChanged
	case errors.As(err, &uncertain):
		reason = reasonOutcomeUnknown
		if errors.Is(err, context.DeadlineExceeded) {
			reason = reasonUncommitted
		}
	case errors.Is(err, runner.ErrClosed):
		reason = reasonNoLog
	case errors.Is(err, context.DeadlineExceeded):
		reason = late
	default:
		return err
	}
	return &RefusedError{Reason: reason, Err: err}
}

// checkStatus returns nil if the replica leads under its quorum's lease at now.
func checkStatus(s runner.Status, now time.Time) error {
	switch {
	case s.IsLeader(now):
		return nil
	case s.Leader == s.ID:
		return &RefusedError{Reason: reasonLeaseExpired, Err: ErrNoLeader}
	}
	for _, m := range s.Members {
		if m.ID != s.Leader {
			continue
		}
		if host, _, err := net.SplitHostPort(m.Addr); err == nil {
			return &NotLeaderError{Host: host}
		}
	}
	return &RefusedError{Reason: reasonNoLeader, Err: ErrNoLeader}
}
