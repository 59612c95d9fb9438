package governor

import (
	"cmp"
	"fmt"
	"time"

	"redwingstage.org/coord/replicator"
	"redwingstage.org/coord/runner"
)

// writeEnded records the time that a write to the journal took; the log's goroutine calls it.
func (ms *membership) writeEnded(took time.Duration) {
	ms.onWrite(took)
	if took > electionTimeout {
		ms.logger.SlowWrite(took, true)
	}
}

// electionLine is a line on a change in the log's elections.
type electionLine struct {
	msg, subject string
	isWarning    bool
}

// electionLines returns the lines on the changes between two states of the log; old is nil for the first one.
func electionLines(old *runner.Status, st runner.Status) []electionLine {
	var out []electionLine
	if old == nil {
		// A vote that was read from the disk was given earlier.
		old = &runner.Status{Term: st.Term, Vote: st.Vote}
	}
	term := fmt.Sprintf("term %d", st.Term)
	if old.Role == replicator.RoleLeader && st.Role != replicator.RoleLeader {
		out = append(out, electionLine{"steps down", fmt.Sprintf("term %d: %s", old.Term, cmp.Or(st.StepDown, "unknown")), true})
	}
	switch {
	case st.Role == replicator.RolePreCandidate && old.Role != st.Role:
		out = append(out, electionLine{msg: "asks for pre-votes", subject: fmt.Sprintf("term %d", st.Term+1)})
	case st.Role == replicator.RoleCandidate && (old.Role != st.Role || old.Term != st.Term):
		out = append(out, electionLine{msg: "campaign", subject: term})
	case st.Vote != 0 && st.Vote != st.ID && (old.Vote != st.Vote || old.Term != st.Term):
		out = append(out, electionLine{msg: "votes", subject: fmt.Sprintf("for %d in %s", st.Vote, term)})
	case st.Leader == 0 && old.Term != st.Term:
		out = append(out, electionLine{msg: "term without a leader", subject: term})
	}
	if st.Leader != 0 && (old.Leader != st.Leader || old.Term != st.Term) {
		out = append(out, electionLine{msg: "leader of the log", subject: fmt.Sprintf("%d in %s", st.Leader, term)})
	}
	return out
}
