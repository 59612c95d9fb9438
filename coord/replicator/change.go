package replicator

import (
	"time"

	"github.com/go-faster/errors"
)

// ErrNotLeader reports that the operation needs the leader.
var ErrNotLeader = errors.New("not the leader")

// probe is the request for the nonce of a replica that is to be added.
type probe struct {
	member Member
	err    error
}

// findMembership activates the latest membership in the log, committed or not.
func (r *Replicator) findMembership() error {
	m, err := r.membershipAt(r.log.last())
	if err != nil {
		return err
	}
	r.membership, r.memberAt = m, r.snapshot.Index
	for _, e := range r.log.entries {
		if e.Kind == KindMembership {
			r.memberAt = e.Index
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
	if r.install != nil {
		return r.install.Snapshot.Membership, nil
	}
	return r.snapshot.Membership, nil
}

func (r *Replicator) propose(now time.Time, m Membership) error {
	b, err := EncodeMembership(m)
	if err != nil {
		return err
	}
	r.appendOwn(KindMembership, b)
	r.membership, r.memberAt = m, r.log.last()
	r.syncPeers()
	r.broadcast(now)
	return nil
}

// canChange reports whether the last membership change is committed, so that the next one may start.
func (r *Replicator) canChange() bool {
	return r.memberAt <= r.commit && r.commit >= r.termStart && r.transfer.to == 0
}

// AddMember takes the next step of adding mb as learner and promoting it to voter; call it until it returns done.
func (r *Replicator) AddMember(mb Member) (done bool, err error) {
	if r.role != leader {
		return false, ErrNotLeader
	}
	if old, ok := r.membership.Find(mb.ID); ok {
		if old.Addr != mb.Addr {
			return false, &ChangeError{ID: mb.ID, Reason: "it is a member with address " + old.Addr}
		}
		return !old.Learner && r.memberAt <= r.commit, nil
	}
	switch {
	case mb.ID <= r.membership.MaxID:
		return false, &ChangeError{ID: mb.ID, Reason: "the ID was used before; take a larger one"}
	case len(r.membership.Members) >= MaxMembers:
		return false, &ChangeError{ID: mb.ID, Reason: "the group has its largest size"}
	case r.probe.member.ID == mb.ID && r.probe.err != nil:
		err := r.probe.err
		r.probe = probe{}
		return false, err
	case r.probe.member.ID == 0 && r.canChange():
		r.probe = probe{member: mb}
		r.hello(mb.ID)
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
		return r.memberAt <= r.commit, nil
	case !mb.Learner && len(r.membership.voters()) == 1:
		return false, &ChangeError{ID: id, Reason: "it is the last voter"}
	case r.canChange():
		return false, r.propose(now, r.membership.without(id))
	}
	return false, nil
}

// CancelAdd cancels an AddMember that hasn't changed the membership yet.
func (r *Replicator) CancelAdd(id uint64) {
	if r.probe.member.ID == id {
		r.probe = probe{}
	}
}

func (r *Replicator) tickProbe() {
	if r.probe.member.ID != 0 && r.probe.err == nil {
		r.hello(r.probe.member.ID)
	}
}

// promote makes a learner a voter once it has all committed entries.
func (r *Replicator) promote(now time.Time, id uint64, p *peer) {
	mb, ok := r.membership.Find(id)
	if !ok || !mb.Learner || !r.canChange() {
		return
	}
	if p.match < r.commit {
		return
	}
	mb.Learner = false
	if err := r.propose(now, r.membership.with(mb)); err != nil {
		r.fenced = err
	}
}

func checkFounders(cfg Config) error {
	if len(cfg.Founders) == 0 {
		return nil
	}
	var m Membership
	for _, mb := range cfg.Founders {
		if _, twice := m.Find(mb.ID); twice {
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

func (r *Replicator) isUnborn() bool {
	return len(r.membership.Members) == 0 && r.log.last() == 0 && r.hard == HardState{}
}

func (r *Replicator) founder() uint64 {
	id := uint64(0)
	for _, mb := range r.cfg.Founders {
		if id == 0 || mb.ID < id {
			id = mb.ID
		}
	}
	return id
}

// tickFounding collects the nonces of all founders. A group is bootstrapped only if every founder is reachable and has
// an empty log, so that a founder that lost its disk can't bootstrap it again.
func (r *Replicator) tickFounding(now time.Time) {
	if now.Before(r.nextBeat) {
		return
	}
	r.nextBeat = now.Add(r.cfg.Heartbeat)
	if r.founder() != r.cfg.ID || !r.isUnborn() {
		return
	}
	r.nonces[r.cfg.ID] = r.cfg.Nonce
	for _, mb := range r.cfg.Founders {
		if r.nonces[mb.ID] == 0 {
			r.hello(mb.ID)
		}
	}
	r.tryFound(now)
}

// hello requests a replica's nonce. The response echoes this one's, so a response to a lost data folder doesn't count.
func (r *Replicator) hello(id uint64) {
	r.send(Message{Type: TypeHello, To: id, Hint: uint64(r.cfg.Nonce)})
}

func (r *Replicator) onHello(m Message) {
	if r.isUnborn() && m.Term == 0 && m.From != r.founder() {
		return
	}
	r.send(Message{
		Type: TypeHelloResponse, To: m.From, Nonce: uint32(m.Hint), Hint: uint64(r.cfg.Nonce), Reject: !r.isUnborn(),
	})
}

func (r *Replicator) onHelloResponse(now time.Time, m Message) {
	if r.role == leader {
		r.onProbeResponse(now, m)
		return
	}
	if !r.isUnborn() || r.founder() != r.cfg.ID {
		return
	}
	if m.Reject {
		r.fenced = &LostDiskError{ID: r.cfg.ID}
		return
	}
	r.nonces[m.From] = uint32(m.Hint)
	r.tryFound(now)
}

func (r *Replicator) onProbeResponse(now time.Time, m Message) {
	mb := r.probe.member
	if mb.ID != m.From || r.probe.err != nil || !r.canChange() {
		return
	}
	if m.Reject {
		r.probe.err = &ChangeError{ID: mb.ID, Reason: "its data folder holds a log already"}
		return
	}
	mb.Nonce, mb.Learner = uint32(m.Hint), true
	r.probe = probe{}
	if err := r.propose(now, r.membership.with(mb)); err != nil {
		r.fenced = err
	}
}

func (r *Replicator) tryFound(now time.Time) {
	var m Membership
	for _, mb := range r.cfg.Founders {
		if r.nonces[mb.ID] == 0 {
			return
		}
		mb.Nonce, mb.Learner = r.nonces[mb.ID], false
		m = m.with(mb)
	}
	b, err := EncodeMembership(m)
	if err != nil {
		r.fenced = err
		return
	}
	r.hard = HardState{Term: 1, Vote: r.cfg.ID}
	r.appendOwn(KindMembership, b)
	r.membership, r.memberAt = m, r.log.last()
	r.touchHard()
	r.becomeLeader(now)
}
