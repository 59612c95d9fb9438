package replicator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A leader that was just elected took all others for gone: a planned stop kept its vote, and later losses left no quorum.
func TestTransferRightAfterElection(t *testing.T) {
	now := time.Unix(0, 0)
	r := startedVoter(t, now, nil, 1)
	m := requestVote(t, r, now)
	now = now.Add(2 * DefaultElectionTimeout)
	r.Step(now, Message{Type: TypeVoteResponse, From: 2, To: 1, Term: m.Term, Hint: m.Hint})
	r.Persisted(now, r.Write())
	qt.Assert(t, r.Leader(), qt.Equals, uint64(1))
	qt.Check(t, r.Transfer(now), qt.IsTrue)
}

// A follower that waits for its term's write named a leader that was long gone, for as long as the write took.
func TestFollowerForgetsSilentLeaderDuringWrite(t *testing.T) {
	now := time.Unix(0, 0)
	r := startedVoter(t, now, nil, 1)
	r.Step(now, Message{Type: TypeAppend, From: 2, To: 1, Nonce: 1, Term: 2, Index: 1, LogTerm: 1, SendStamp: 1})
	qt.Assert(t, r.Leader(), qt.Equals, uint64(2))
	qt.Assert(t, r.Write(), qt.IsNotNil)
	for range 100 {
		now = now.Add(DefaultElectionTimeout)
		r.Tick(now)
	}
	qt.Check(t, r.Leader(), qt.Equals, uint64(0))
}
