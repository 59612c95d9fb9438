package replicator

// Role is the part that a replica plays in its term.
type Role string

// Roles of a replica.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "pre-candidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
	RoleLearner      Role = "learner"
)

// Cause is the reason for which a leader became a follower; "" if the replica hasn't led yet.
type Cause string

// Causes of the end of a leadership.
const (
	CauseNoQuorum    Cause = "no contact with a quorum"
	CauseSlowDisk    Cause = "slow disk"
	CauseHigherTerm  Cause = "a higher term"
	CauseTransferred Cause = "leadership was transferred"
	CauseRemoved     Cause = "removed from the group"
)

// Role returns the replica's role; a learner that doesn't follow a leader is a learner too.
func (r *Replicator) Role() Role {
	switch r.role {
	case leader:
		return RoleLeader
	case candidate:
		return RoleCandidate
	case preCandidate:
		return RolePreCandidate
	}
	if mb, ok := r.membership.Find(r.cfg.ID); !ok || mb.Learner {
		return RoleLearner
	}
	return RoleFollower
}

// Vote returns the ID of the replica that got this one's vote in the current term, or 0.
func (r *Replicator) Vote() uint64 { return r.hardState.Vote }

// StepDownCause returns why the replica's latest leadership ended.
func (r *Replicator) StepDownCause() Cause { return r.stepDownCause }

// causeOfEnd returns why a leadership ends other than by a timer; term is that of the follower that the leader becomes.
func (r *Replicator) causeOfEnd(term uint64) Cause {
	switch _, isMember := r.membership.Find(r.cfg.ID); {
	case term > r.hardState.Term:
		return CauseHigherTerm
	case r.transfer.target != 0:
		return CauseTransferred
	case !isMember:
		return CauseRemoved
	}
	return CauseNoQuorum
}
