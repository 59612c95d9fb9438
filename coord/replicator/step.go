package replicator

import (
	"time"
)

// Step handles a message; m must have passed CheckMessage.
func (r *Replicator) Step(now time.Time, m Message) {
	if m.To != r.cfg.ID || r.err != nil {
		return
	}
	if m.Nonce != 0 && m.Nonce != r.cfg.Nonce {
		r.err = &LostDiskError{ID: r.cfg.ID}
		return
	}
	switch m.Type {
	case TypeHello:
		r.onHello(m)
		return
	case TypeHelloResponse:
		r.onHelloResponse(now, m)
		return
	}
	// The sender of a request without a nonce doesn't have this replica as a member.
	if m.Nonce == 0 && m.isRequest() {
		return
	}
	if r.stepTerm(now, m) {
		r.dispatch(now, m)
	}
}

func (m Message) isRequest() bool {
	switch m.Type {
	case TypePreVote, TypeVote, TypeAppend, TypeSnapshot, TypeTransfer:
		return true
	}
	return false
}

// stepTerm compares the message's term with this replica's and reports whether to handle the message.
func (r *Replicator) stepTerm(now time.Time, m Message) bool {
	if m.Type == TypePreVote || (m.Type == TypePreVoteResponse && !m.Reject) {
		return true
	}
	switch {
	case m.Term > r.hardState.Term && m.Type == TypeVote:
		if !m.ForceVote && (r.isLeaseGranted(now) || r.role == leader) {
			return false
		}
		r.becomeFollower(m.Term, 0)
	case m.Term > r.hardState.Term && (m.Type == TypeAppend || m.Type == TypeSnapshot):
		r.becomeFollower(m.Term, m.From)
	case m.Term > r.hardState.Term:
		r.becomeFollower(m.Term, 0)
	case m.Term < r.hardState.Term && (m.Type == TypeAppend || m.Type == TypeSnapshot):
		// The higher term in the response makes the stale leader step down.
		r.send(Message{Type: TypeAppendResponse, To: m.From, Reject: true})
		return false
	case m.Term < r.hardState.Term:
		return m.Type == TypeVote
	}
	return true
}

func (r *Replicator) dispatch(now time.Time, m Message) {
	switch m.Type {
	case TypePreVote:
		r.onPreVote(now, m)
	case TypePreVoteResponse:
		r.onPreVoteResponse(now, m)
	case TypeVote:
		r.onVote(now, m)
	case TypeVoteResponse:
		r.onVoteResponse(now, m)
	case TypeAppend:
		r.onAppend(now, m)
	case TypeAppendResponse:
		r.onAppendResponse(now, m)
	case TypeSnapshot:
		r.onSnapshot(now, m)
	case TypeSnapshotResponse:
		r.onSnapshotResponse(now, m)
	case TypeTransfer:
		r.onTransfer(now, m)
	}
}

// ExpectsResponse reports whether the receiver of m responds to it.
func (m Message) ExpectsResponse() bool {
	return m.Type == TypeHello || m.isRequest() && m.Type != TypeTransfer
}

// acceptLeader records the sender of an append or a snapshot as leader and renews its lease; a leader returns false.
func (r *Replicator) acceptLeader(now time.Time, from uint64) bool {
	if r.role == leader {
		return false
	}
	if r.role != follower || r.leaderID != from {
		r.becomeFollower(r.hardState.Term, from)
	}
	r.elections = 0
	r.touch(now)
	return true
}
