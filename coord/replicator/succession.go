package replicator

import (
	"time"
)

const (
	// learnerElectionTimeouts is the silence, in election timeouts, after which a learner is removed.
	learnerElectionTimeouts = 16
	// maxJoinLearners is the number of learners from which none is added, so that voters can still become learners.
	maxJoinLearners = MaxLearners - 2
)

// tickMembership takes the leader's next step towards a group whose voters can all be reached. No step lowers the number
// of further losses that the group tolerates, and none goes below the configured number of voters without a learner that
// takes the place at once. A silent voter that hands its vote over stays a member with its log, and gets a vote again when
// it returns and the group gains by one.
func (r *Replicator) tickMembership(now time.Time) {
	if r.cfg.ReplaceAfter == 0 || !r.canChangeMembership() {
		return
	}
	if m, ok := r.nextMembership(now); ok {
		r.changeMembership(now, m)
	}
}

// reachability sums up which members respond to the leader.
type reachability struct {
	voters, learners int
	// suspects is the number of voters that have been silent for an election timeout.
	suspects int
	// silent is the voter and absent the learner that has been silent for longest, if it has been for ReplaceAfter; standby
	// is a learner that could vote now. Their IDs are 0 if there is none.
	silent, absent, standby Member
}

func (r *Replicator) reachability(now time.Time) reachability {
	var out reachability
	for _, mb := range r.membership.Members {
		silence := r.silence(now, mb.ID)
		longest := &out.silent
		if mb.Learner {
			longest = &out.absent
			out.learners++
		} else {
			out.voters++
		}
		switch {
		case silence >= r.cfg.ReplaceAfter && (longest.ID == 0 || silence > r.silence(now, longest.ID)):
			*longest = mb
		case mb.Learner && silence < r.cfg.ElectionTimeout && r.isCaughtUp(mb.ID):
			out.standby = mb
		}
		if !mb.Learner && silence >= r.cfg.ElectionTimeout {
			out.suspects++
		}
	}
	return out
}

func (r *Replicator) nextMembership(now time.Time) (Membership, bool) {
	m := r.membership
	for _, mb := range m.Members {
		if mb.ID != r.cfg.ID && m.hasSuccessor(mb) {
			return m.without(mb.ID), true
		}
	}
	s := r.reachability(now)
	even := s.voters%2 == 0
	isFull := s.learners >= maxJoinLearners
	switch {
	case s.absent.ID != 0 && (isFull || r.silence(now, s.absent.ID) >= learnerElectionTimeouts*r.cfg.ElectionTimeout):
		return m.without(s.absent.ID), true
	case s.silent.ID != 0 && r.canDemote(s):
		return m.withLearner(s.silent, true), true
	case s.standby.ID != 0 && s.voters < MaxMembers && (even || s.suspects == 0 || s.voters < r.cfg.Voters):
		return m.withLearner(s.standby, false), true
	}
	return Membership{}, false
}

// canDemote reports whether a silent voter may become a learner: a learner takes its vote over, or the group has more
// voters than it needs and tolerates more losses without this one.
func (r *Replicator) canDemote(s reachability) bool {
	switch {
	case s.learners >= MaxLearners || s.voters < r.cfg.Voters:
		return false
	case s.standby.ID != 0:
		return true
	}
	return s.voters > r.cfg.Voters && (s.voters%2 == 0 || s.suspects > 1)
}

// hasSuccessor reports whether a newer member has the address of mb, whose data folder is lost then.
func (m Membership) hasSuccessor(mb Member) bool {
	for _, other := range m.Members {
		if other.ID > mb.ID && other.Addr == mb.Addr {
			return true
		}
	}
	return false
}

// silence returns how long ago the last message was sent to which the member has responded.
func (r *Replicator) silence(now time.Time, id uint64) time.Duration {
	p := r.peers[id]
	if p == nil {
		return 0
	}
	return now.Sub(r.stampTime(max(p.ackedStamp, p.addedStamp)))
}

// isCaughtUp reports whether a peer holds all committed entries.
func (r *Replicator) isCaughtUp(id uint64) bool {
	p := r.peers[id]
	return p != nil && p.matchIndex >= r.commitIndex
}
