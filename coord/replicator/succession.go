package replicator

import (
	"slices"
	"time"
)

const (
	// learnerElectionTimeouts is the silence, in election timeouts, after which a learner is removed.
	learnerElectionTimeouts = 16
	// maxJoinLearners is the number of learners from which none is added, so that voters can still become learners.
	maxJoinLearners = MaxLearners - 2
)

// tickMembership takes the leader's next step towards the configured number of voters, all of which can be reached and
// are to stay. No step lowers the number of further losses that the group tolerates, and none goes below the configured
// number of voters without a learner that takes the place at once. Only the exchange of a resigning voter goes above it,
// for one change: one more voter would raise the quorum for as long as it stays. A voter that hands its vote over stays a
// member with its log, and gets a vote again when the group needs one.
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
	// silent is the voter and absent the learner that has been silent for longest, if it has been for ReplaceAfter;
	// resigning is a voter that is about to stop, and standby a learner that could vote now. Their IDs are 0 if there is
	// none.
	silent, absent, resigning, standby Member
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
		case mb.Learner && silence < r.cfg.ElectionTimeout && r.isCaughtUp(mb.ID) && !r.isResigningPeer(mb.ID):
			out.standby = mb
		case !mb.Learner && r.isResigningPeer(mb.ID):
			out.resigning = mb
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
	isFull := s.learners >= maxJoinLearners
	switch {
	case s.absent.ID != 0 && (isFull || r.silence(now, s.absent.ID) >= learnerElectionTimeouts*r.cfg.ElectionTimeout):
		return m.without(s.absent.ID), true
	case s.resigning.ID != 0 && s.voters > r.cfg.Voters && s.learners < MaxLearners:
		return m.withLearner(s.resigning, true), true
	case s.silent.ID != 0 && r.canDemote(s):
		return m.withLearner(s.silent, true), true
	case s.voters > r.cfg.Voters && s.suspects == 0 && s.learners < MaxLearners && r.heardFromVoters():
		return m.withLearner(r.newestPeer(), true), true
	case s.standby.ID != 0 && (s.voters < r.cfg.Voters || s.voters == r.cfg.Voters && s.resigning.ID != 0):
		return m.withLearner(s.standby, false), true
	}
	return Membership{}, false
}

// heardFromVoters reports whether all other voters have responded since this replica was elected, so that it knows which
// of them resign.
func (r *Replicator) heardFromVoters() bool {
	for _, mb := range r.membership.voters() {
		if p := r.peers[mb.ID]; p != nil && p.ackedStamp <= r.electedStamp {
			return false
		}
	}
	return true
}

// newestPeer returns the other voter with the highest ID. The newcomer of an exchange that wasn't completed is the newest.
func (r *Replicator) newestPeer() Member {
	var newest Member
	for _, mb := range r.membership.voters() {
		if mb.ID != r.cfg.ID {
			newest = mb
		}
	}
	return newest
}

func (r *Replicator) isResigningPeer(id uint64) bool {
	p := r.peers[id]
	return p != nil && p.isResigning
}

// Resign makes this replica ask the leader to give its vote to a learner, before it stops. It reports whether the replica
// may stop: it has no vote, or the group needs it and has nobody to take its place. Call it until then; only a restart
// takes the request back.
func (r *Replicator) Resign() (done bool) {
	r.isResigning = true
	isNeeded := r.isResignationDeclined || r.membership.quorum() <= r.cfg.Voters/2+1 && !r.hasOtherLearner(r.cfg.ID)
	return r.cfg.ReplaceAfter == 0 || r.membershipIndex <= r.commitIndex && (isNeeded || !r.membership.isVoter(r.cfg.ID))
}

func (r *Replicator) hasOtherLearner(id uint64) bool {
	return slices.ContainsFunc(r.membership.Members, func(mb Member) bool { return mb.Learner && mb.ID != id })
}

// mustDecline reports whether the leader can't exchange a resigning peer: no learner responds.
func (r *Replicator) mustDecline(now time.Time, id uint64, p *peer) bool {
	if !p.isResigning || !r.membership.isVoter(id) || len(r.membership.voters()) > r.cfg.Voters {
		return false
	}
	return !slices.ContainsFunc(r.membership.Members, func(mb Member) bool {
		return mb.Learner && !r.isResigningPeer(mb.ID) && r.silence(now, mb.ID) < r.cfg.ElectionTimeout
	})
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
