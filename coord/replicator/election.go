package replicator

import (
	"time"
)

func (r *Replicator) becomeFollower(term, leaderID uint64) {
	if r.role == leader {
		r.stepDownCause = r.causeOfEnd(term)
		r.failReads()
		r.nonceRequest = nonceRequest{}
	}
	if term > r.hardState.Term {
		r.hardState = HardState{Term: term}
		r.elections++
		r.bumpHardStateSeq()
	}
	r.role, r.leaderID = follower, leaderID
	r.peers, r.votes, r.transfer = nil, nil, transfer{}
	r.randomizedTimeout = r.cfg.ElectionTimeout + time.Duration(r.cfg.Rand.Int64N(int64(r.cfg.ElectionTimeout)))
}

func (r *Replicator) failReads() {
	for _, rd := range r.pendingReads {
		r.finishedReads = append(r.finishedReads, Read{ID: rd.id, LeadershipLost: true})
	}
	r.pendingReads = nil
}

// campaign starts a pre-vote, so that an isolated replica doesn't raise its term and depose the leader on its return.
func (r *Replicator) campaign(now time.Time) {
	r.touch(now)
	r.becomeFollower(r.hardState.Term, 0)
	mb, ok := r.membership.Find(r.cfg.ID)
	if !ok || mb.Learner {
		return
	}
	r.role = preCandidate
	r.votes = map[uint64]bool{r.cfg.ID: true}
	if r.membership.quorum() == 1 {
		r.startElection(now, false)
		return
	}
	r.requestVotes(TypePreVote, r.hardState.Term+1, false)
}

func (r *Replicator) startElection(now time.Time, force bool) {
	r.hardState = HardState{Term: r.hardState.Term + 1, Vote: r.cfg.ID}
	r.elections++
	r.bumpHardStateSeq()
	r.role, r.leaderID = candidate, 0
	r.touch(now)
	r.votes = map[uint64]bool{r.cfg.ID: true}
	r.electionID = r.cfg.Rand.Uint64() | 1
	if r.membership.quorum() == 1 {
		r.becomeLeader(now)
		return
	}
	r.requestVotes(TypeVote, r.hardState.Term, force)
}

func (r *Replicator) requestVotes(t Type, term uint64, force bool) {
	for _, mb := range r.membership.voters() {
		if mb.ID != r.cfg.ID {
			r.send(Message{
				Type: t, To: mb.ID, Term: term, Index: r.log.last(), LogTerm: r.log.lastTerm(), ForceVote: force, Hint: r.electionID,
			})
		}
	}
}

// isLeaseGranted reports whether a leader's lease may still depend on this replica not voting.
func (r *Replicator) isLeaseGranted(now time.Time) bool {
	return now.Sub(r.lastContact) < r.cfg.ElectionTimeout && r.role != preCandidate && r.role != candidate
}

func (r *Replicator) isUpToDate(m Message) bool {
	own := r.log.lastTerm()
	return m.LogTerm > own || (m.LogTerm == own && m.Index >= r.log.last())
}

func (r *Replicator) onPreVote(now time.Time, m Message) {
	grant := m.Term > r.hardState.Term && r.isUpToDate(m) && !r.isLeaseGranted(now) && r.role != leader
	term := m.Term
	if !grant {
		term = r.hardState.Term
	}
	r.send(Message{Type: TypePreVoteResponse, To: m.From, Term: term, Reject: !grant})
}

func (r *Replicator) onPreVoteResponse(now time.Time, m Message) {
	if r.role != preCandidate || (!m.Reject && m.Term != r.hardState.Term+1) {
		return
	}
	r.votes[m.From] = !m.Reject
	if r.hasVoteQuorum() {
		r.startElection(now, false)
	}
}

func (r *Replicator) onVote(now time.Time, m Message) {
	if m.Term < r.hardState.Term {
		r.send(Message{Type: TypeVoteResponse, To: m.From, Hint: m.Hint, Reject: true})
		return
	}
	grant := (r.hardState.Vote == 0 || r.hardState.Vote == m.From) && r.leaderID == 0 && r.isUpToDate(m)
	if grant && r.hardState.Vote == 0 {
		r.hardState.Vote = m.From
		r.bumpHardStateSeq()
	}
	if grant {
		r.touch(now)
	}
	r.send(Message{Type: TypeVoteResponse, To: m.From, Hint: m.Hint, Reject: !grant})
}

func (r *Replicator) onVoteResponse(now time.Time, m Message) {
	if r.role != candidate || m.Term != r.hardState.Term || m.Hint != r.electionID {
		return
	}
	r.votes[m.From] = !m.Reject
	r.tryLead(now)
}

// tryLead makes a candidate with the votes of a quorum the leader, once its own vote is durable.
func (r *Replicator) tryLead(now time.Time) {
	if r.role == candidate && !r.isVoting() && r.hasVoteQuorum() {
		r.becomeLeader(now)
	}
}

func (r *Replicator) hasVoteQuorum() bool {
	n := 0
	for _, mb := range r.membership.voters() {
		if r.votes[mb.ID] {
			n++
		}
	}
	return n >= r.membership.quorum()
}

func (r *Replicator) becomeLeader(now time.Time) {
	r.role, r.leaderID = leader, r.cfg.ID
	r.votes, r.elections = nil, 0
	r.nextHeartbeat = now
	r.electedStamp = r.nextStamp(now)
	r.peers = map[uint64]*peer{}
	r.syncPeers()
	r.appendEntry(KindNoop, nil)
	r.termStartIndex = r.log.last()
	r.broadcastEntries(now)
}

func (r *Replicator) onTransfer(now time.Time, m Message) {
	if m.Term == r.hardState.Term && r.membership.isVoter(r.cfg.ID) && r.role != leader {
		r.startElection(now, true)
	}
}

// Transfer starts a transfer to the reachable voter with the longest log and reports whether one is in progress.
func (r *Replicator) Transfer(now time.Time) bool {
	if r.role != leader || r.transfer.target != 0 {
		return r.transfer.target != 0
	}
	best := uint64(0)
	for _, mb := range r.membership.voters() {
		p := r.peers[mb.ID]
		if p == nil || p.isResigning || r.silence(now, mb.ID) > r.cfg.ElectionTimeout {
			continue
		}
		if best == 0 || p.matchIndex > r.peers[best].matchIndex {
			best = mb.ID
		}
	}
	if best == 0 {
		return false
	}
	r.transfer = transfer{target: best, deadline: now.Add(r.cfg.ElectionTimeout)}
	r.tryTransfer(now)
	return true
}

// tryTransfer gives up leadership, and with it the lease, before the target may request forced votes.
func (r *Replicator) tryTransfer(now time.Time) {
	p := r.peers[r.transfer.target]
	if p == nil || now.After(r.transfer.deadline) {
		r.transfer = transfer{}
		return
	}
	if p.matchIndex != r.log.last() || r.durableIndex != r.log.last() {
		return
	}
	r.send(Message{Type: TypeTransfer, To: r.transfer.target})
	r.becomeFollower(r.hardState.Term, 0)
	r.touch(now)
}
