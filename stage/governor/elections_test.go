package governor

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/replicator"
	"redwingstage.org/coord/runner"
	"redwingstage.org/stage/logger"
)

func TestSlowWriteLeavesLineAndMetric(t *testing.T) {
	c := qt.New(t)
	log := &LogBuffer{}
	ms := newMembership(Config{}, Deps{}, logger.New(log, "info").Component("control"))
	m := newMetrics()
	ms.onWrite = m.observeWrite
	ms.writeEnded(electionTimeout)
	c.Check(log.String(), qt.Equals, "")
	ms.writeEnded(electionTimeout + 35*time.Millisecond)
	c.Check(log.String(), qt.Matches, `.*"level":"warn","ms":735,"ended":true,"message":"control: journal write is slow".*\n`)
	c.Check(seriesOf(c, m, "redwingstage_control_journal_write_seconds"), qt.DeepEquals, map[string]float64{"": 2})
}

func TestElectionLines(t *testing.T) {
	c := qt.New(t)
	st := func(role replicator.Role, term, vote, leader uint64) runner.Status {
		return runner.Status{ID: 1, Role: role, Term: term, Vote: vote, Leader: leader, StepDown: replicator.CauseSlowDisk}
	}
	follower := replicator.RoleFollower
	old := (*runner.Status)(nil)
	for _, row := range []struct {
		st   runner.Status
		want []electionLine
	}{
		{st(follower, 5, 2, 0), nil},
		{st(replicator.RolePreCandidate, 5, 2, 0), []electionLine{{msg: "asks for pre-votes", subject: "term 6"}}},
		{st(replicator.RoleCandidate, 6, 1, 0), []electionLine{{msg: "campaign", subject: "term 6"}}},
		{st(replicator.RoleLeader, 6, 1, 1), []electionLine{{msg: "leader of the log", subject: "1 in term 6"}}},
		{st(follower, 6, 1, 0), []electionLine{{msg: "steps down", subject: "term 6: slow disk", isWarning: true}}},
		{st(follower, 7, 0, 0), []electionLine{{msg: "term without a leader", subject: "term 7"}}},
		{st(follower, 7, 3, 0), []electionLine{{msg: "votes", subject: "for 3 in term 7"}}},
		{st(follower, 7, 3, 3), []electionLine{{msg: "leader of the log", subject: "3 in term 7"}}},
		{st(follower, 8, 2, 2), []electionLine{{msg: "votes", subject: "for 2 in term 8"}, {msg: "leader of the log", subject: "2 in term 8"}}},
		{st(follower, 8, 2, 2), nil},
	} {
		c.Check(slices.Equal(electionLines(old, row.st), row.want), qt.IsTrue, qt.Commentf("%v, want %v", electionLines(old, row.st), row.want))
		old = &row.st
	}
}

// seriesOf returns the values of a metric by its labels, the number of samples of a histogram.
func seriesOf(c *qt.C, m *metrics, name string) map[string]float64 {
	families, err := m.registry.Gather()
	c.Assert(err, qt.IsNil)
	out := make(map[string]float64)
	for _, f := range families {
		if f.GetName() != name {
			continue
		}
		for _, v := range f.GetMetric() {
			labels := ""
			for _, l := range v.GetLabel() {
				if labels != "" {
					labels += " "
				}
				labels += l.GetValue()
			}
			out[labels] = v.GetCounter().GetValue() + v.GetGauge().GetValue() + float64(v.GetHistogram().GetSampleCount())
		}
	}
	return out
}
