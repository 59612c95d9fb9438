package replicator

import (
	"time"

	"github.com/go-faster/errors"
)

// ErrNotLeader reports that the operation needs the leader.
var ErrNotLeader = errors.New("not the leader")

// nonceRequest is a pending request for the nonce of a replica that is to be added.
type nonceRequest struct {
	member Member
	err    error
}

// activateMembership puts the latest membership in the log into effect, committed or not.
func (r *Replicator) activateMembership() error {
	m, err := r.membershipAt(r.log.last())
	if err != nil {
		return err
	}
	r.membership, r.membershipIndex = m, r.snapshot.Index
	for _, e := range r.log.entries {
		if e.Kind == KindMembership {
			r.membershipIndex = e.Index
		}
	}
	if r.role == leader {
		r.syncPeers()
	}
	return nil
}

// membershipAt returns the membership in effect at index i.
func (r *Replicator) membershipAt(i uint64) (Membership, error) {
	for j := len(r.log.entries) - 1; j >= 0; j-- {
		if e := r.log.entries[j]; e.Kind == KindMembership && e.Index <= i {
			return DecodeMembership(e.Data)
		}
	}
	if r.pendingInstall != nil {
		return r.pendingInstall.Snapshot.Membership, nil
	}
	return r.snapshot.Membership, nil
}

func (r *Replicator) proposeMembership(now time.Time, m Membership) error {
	b, err := EncodeMembership(m)
	if err != nil {
		return err
	}
	r.appendEntry(KindMembership, b)
	r.membership, r.membershipIndex = m, r.log.last()
	r.syncPeers()
	r.broadcastEntries(now)
	return nil
}

// canChangeMembership reports whether the last membership change is committed, so that the next one may start.
func (r *Replicator) canChangeMembership() bool {
	return r.membershipIndex <= r.commitIndex && r.commitIndex >= r.termStartIndex && r.transfer.target == 0
}

// AddMember takes the next step of adding mb as learner and promoting it to voter; call it until it returns done. With
// ReplaceAfter it is done once mb is a learner.
func (r *Replicator) AddMember(now time.Time, mb Member) (done bool, err error) {
	if r.role != leader {
		return false, ErrNotLeader
	}
	if old, ok := r.membership.Find(mb.ID); ok {
		if old.Addr != mb.Addr {
			return false, &ChangeError{ID: mb.ID, Reason: "it is a member with address " + old.Addr}
		}
		return (!old.Learner || r.cfg.ReplaceAfter != 0) && r.membershipIndex <= r.commitIndex, nil
	}
	switch {
	case mb.ID <= r.membership.MaxID:
		return false, &ChangeError{ID: mb.ID, Reason: "the ID was used before; take a larger one"}
	case r.cfg.ReplaceAfter == 0 && r.promotionLowersTolerance(now):
		return false, &ChangeError{ID: mb.ID, Reason: "a voter does not respond, and one more would raise the quorum; remove that one first"}
	case r.isFull():
		return false, &ChangeError{ID: mb.ID, Reason: "the group has its largest size"}
	case r.nonceRequest.member.ID == mb.ID && r.nonceRequest.err != nil:
		err := r.nonceRequest.err
		r.nonceRequest = nonceRequest{}
		return false, err
	case r.nonceRequest.member.ID == 0 && r.canChangeMembership():
		r.nonceRequest = nonceRequest{member: mb}
		r.sendHello(mb.ID)
	}
	return false, nil
}

// RemoveMember takes the next step of removing the replica from the group; call it until it returns done.
func (r *Replicator) RemoveMember(now time.Time, id uint64) (done bool, err error) {
	if r.role != leader {
		return false, ErrNotLeader
	}
	mb, ok := r.membership.Find(id)
	switch {
	case !ok && id > r.membership.MaxID:
		return false, &ChangeError{ID: id, Reason: "it never was a member"}
	case !ok:
		return r.membershipIndex <= r.commitIndex, nil
	case !mb.Learner && len(r.membership.voters()) == 1:
		return false, &ChangeError{ID: id, Reason: "it is the last voter"}
	case r.canChangeMembership():
		return false, r.proposeMembership(now, r.membership.without(id))
	}
	return false, nil
}

// isFull reports whether the group has no room for another learner.
func (r *Replicator) isFull() bool {
	if r.cfg.ReplaceAfter != 0 {
		return len(r.membership.Members)-len(r.membership.voters()) >= maxJoinLearners
	}
	return len(r.membership.Members) >= MaxMembers
}

// CancelAdd cancels an AddMember that hasn't changed the membership yet.
func (r *Replicator) CancelAdd(id uint64) {
	if r.nonceRequest.member.ID == id {
		r.nonceRequest = nonceRequest{}
	}
}

func (r *Replicator) tickNonceRequest() {
	if r.nonceRequest.member.ID != 0 && r.nonceRequest.err == nil {
		r.sendHello(r.nonceRequest.member.ID)
	}
}

// promoteLearner makes a learner a voter once it has all committed entries; with ReplaceAfter, only if the group needs it.
func (r *Replicator) promoteLearner(now time.Time, id uint64) {
	mb, ok := r.membership.Find(id)
	switch {
	case !ok || !mb.Learner:
	case r.cfg.ReplaceAfter != 0:
		r.tickMembership(now)
	case r.canChangeMembership() && r.isCaughtUp(id) && !r.promotionLowersTolerance(now):
		r.changeMembership(now, r.membership.withLearner(mb, false))
	}
}

// promotionLowersTolerance reports whether one more voter would raise the quorum while a voter doesn't respond.
func (r *Replicator) promotionLowersTolerance(now time.Time) bool {
	s := r.reachability(now)
	return s.voters%2 == 1 && s.suspects > 0
}

// changeMembership proposes m as the leader's own change.
func (r *Replicator) changeMembership(now time.Time, m Membership) {
	if err := r.proposeMembership(now, m); err != nil {
		r.err = err
	}
}

func checkFounders(cfg Config) error {
	if len(cfg.Founders) == 0 {
		return nil
	}
	var m Membership
	for _, mb := range cfg.Founders {
		if _, duplicate := m.Find(mb.ID); duplicate {
			return errors.Errorf("replicator: founder %d is listed twice", mb.ID)
		}
		m = m.with(mb)
	}
	if _, ok := m.Find(cfg.ID); !ok {
		return errors.Errorf("replicator: replica %d isn't among the founders", cfg.ID)
	}
	if err := m.check(); err != nil {
		return errors.Wrap(err, "replicator: founders")
	}
	return nil
}

func (r *Replicator) isUninitialized() bool {
	return len(r.membership.Members) == 0 && r.log.last() == 0 && r.hardState == HardState{}
}

func (r *Replicator) lowestFounderID() uint64 {
	id := uint64(0)
	for _, mb := range r.cfg.Founders {
		if id == 0 || mb.ID < id {
			id = mb.ID
		}
	}
	return id
}

// tickBootstrap collects the nonces of all founders. A group is bootstrapped only if every founder is reachable and has
// an empty log, so that a founder that lost its disk can't bootstrap it again.
func (r *Replicator) tickBootstrap(now time.Time) {
	if now.Before(r.nextHeartbeat) {
		return
	}
	r.nextHeartbeat = now.Add(r.cfg.HeartbeatInterval)
	if r.lowestFounderID() != r.cfg.ID || !r.isUninitialized() {
		return
	}
	r.founderNonces[r.cfg.ID] = r.cfg.Nonce
	for _, mb := range r.cfg.Founders {
		if r.founderNonces[mb.ID] == 0 {
			r.sendHello(mb.ID)
		}
	}
	r.tryBootstrap(now)
}

// sendHello requests a replica's nonce. The response echoes the sender's, so one to a lost folder doesn't count.
func (r *Replicator) sendHello(id uint64) {
	r.send(Message{Type: TypeHello, To: id, Hint: uint64(r.cfg.Nonce)})
}

func (r *Replicator) onHello(m Message) {
	if r.isUninitialized() && m.Term == 0 && m.From != r.lowestFounderID() {
		return
	}
	r.send(Message{
		Type: TypeHelloResponse, To: m.From, Nonce: uint32(m.Hint), Hint: uint64(r.cfg.Nonce), Reject: !r.isUninitialized(),
	})
}

func (r *Replicator) onHelloResponse(now time.Time, m Message) {
	if r.role == leader {
		r.onNonceResponse(now, m)
		return
	}
	if !r.isUninitialized() || r.lowestFounderID() != r.cfg.ID {
		return
	}
	if m.Reject {
		r.err = &LostDiskError{ID: r.cfg.ID}
		return
	}
	r.founderNonces[m.From] = uint32(m.Hint)
	r.tryBootstrap(now)
}

func (r *Replicator) onNonceResponse(now time.Time, m Message) {
	mb := r.nonceRequest.member
	if mb.ID != m.From || r.nonceRequest.err != nil || !r.canChangeMembership() {
		return
	}
	if m.Reject {
		r.nonceRequest.err = &ChangeError{ID: mb.ID, Reason: "its data folder holds a log already"}
		return
	}
	mb.Nonce, mb.Learner = uint32(m.Hint), true
	r.nonceRequest = nonceRequest{}
	if err := r.proposeMembership(now, r.membership.with(mb)); err != nil {
		r.err = err
	}
}

func (r *Replicator) tryBootstrap(now time.Time) {
	var m Membership
	for _, mb := range r.cfg.Founders {
		if r.founderNonces[mb.ID] == 0 {
			return
		}
		mb.Nonce, mb.Learner = r.founderNonces[mb.ID], false
		m = m.with(mb)
	}
	b, err := EncodeMembership(m)
	if err != nil {
		r.err = err
		return
	}
	r.hardState = HardState{Term: 1, Vote: r.cfg.ID}
	r.appendEntry(KindMembership, b)
	r.membership, r.membershipIndex = m, r.log.last()
	r.bumpHardStateSeq()
	r.becomeLeader(now)
}
