package replicator

import (
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// peer is the leader's replication state for another replica.
type peer struct {
	matchIndex uint64
	nextIndex  uint64
	// contactStamp is the last stamp that the peer responded to, ackedStamp the last one of which it has all durably.
	contactStamp uint64
	ackedStamp   uint64
	// addedStamp is the last stamp before the leader began to send to this peer.
	addedStamp     uint64
	isProbing      bool
	probeStamp     uint64
	snapshotIndex  uint64
	snapshotOffset uint64
	chunkSentAt    time.Time
	// isResigning is set while the peer's responses ask for another voter in its place.
	isResigning bool
}

func (r *Replicator) appendEntry(k Kind, data []byte) {
	r.log.append(Entry{Index: r.log.last() + 1, Term: r.hardState.Term, Kind: k, Data: data})
	r.bumpSeq()
}

// syncPeers adds and removes peers to match the membership.
func (r *Replicator) syncPeers() {
	for _, mb := range r.membership.Members {
		if mb.ID != r.cfg.ID && r.peers[mb.ID] == nil {
			r.peers[mb.ID] = &peer{nextIndex: r.log.last() + 1, isProbing: true, addedStamp: r.lastStamp}
		}
	}
	for id := range r.peers {
		if _, ok := r.membership.Find(id); !ok {
			delete(r.peers, id)
		}
	}
}

func (r *Replicator) nextStamp(now time.Time) uint64 {
	r.lastStamp = max(r.lastStamp+1, uint64(max(now.Sub(r.stampBase), 0)))
	return r.lastStamp
}

func (r *Replicator) stampTime(stamp uint64) time.Time {
	return r.stampBase.Add(time.Duration(stamp))
}

// broadcastEntries sends new entries to every peer that isn't being probed and has room in flight.
func (r *Replicator) broadcastEntries(now time.Time) {
	for _, mb := range r.membership.Members {
		if p := r.peers[mb.ID]; p != nil {
			r.sendEntries(now, mb.ID, p)
		}
	}
}

func (r *Replicator) sendEntries(now time.Time, id uint64, p *peer) {
	for !p.isProbing && p.nextIndex > r.log.base && p.nextIndex <= r.log.last() && p.nextIndex-p.matchIndex <= maxInflightEntries {
		r.sendAppend(now, id, p)
	}
}

// broadcastHeartbeat sends every peer a heartbeat, with the entries that it lacks.
func (r *Replicator) broadcastHeartbeat(now time.Time) {
	for _, mb := range r.membership.Members {
		if p := r.peers[mb.ID]; p != nil {
			r.sendAppend(now, mb.ID, p)
		}
	}
}

// sendAppend sends entries from p.nextIndex on, or an empty heartbeat and a snapshot chunk if the log lacks them.
func (r *Replicator) sendAppend(now time.Time, id uint64, p *peer) {
	m := Message{Type: TypeAppend, To: id, Commit: r.commitIndex, SendStamp: r.nextStamp(now), Resign: r.mustDecline(now, id, p)}
	if p.nextIndex <= r.log.base {
		r.send(m)
		r.sendChunk(now, id, p)
		return
	}
	m.Index = p.nextIndex - 1
	m.LogTerm, _ = r.log.term(m.Index)
	m.Entries = r.log.sliceLimited(p.nextIndex, maxAppendBytes)
	if p.isProbing {
		p.probeStamp = m.SendStamp
	} else {
		p.nextIndex += uint64(len(m.Entries))
	}
	r.send(m)
}

func (r *Replicator) onAppend(now time.Time, m Message) {
	if !r.acceptLeader(now, m.From) {
		return
	}
	r.isResignationDeclined = m.Resign
	if r.seq > r.durableSeq {
		r.send(Message{Type: TypeAppendResponse, To: m.From, SendStamp: m.SendStamp, Contact: true, Resign: r.isResigning})
	}
	match := m.Index + uint64(len(m.Entries))
	ack := Message{Type: TypeAppendResponse, To: m.From, Index: match, SendStamp: m.SendStamp, Resign: r.isResigning}
	if m.Index < r.log.base {
		// Entries up to base are committed, hence equal to the leader's.
		skip := min(r.log.base-m.Index, uint64(len(m.Entries)))
		m.Entries, m.Index, m.LogTerm = m.Entries[skip:], r.log.base, r.log.baseTerm
	}
	if t, ok := r.log.term(m.Index); !ok || t != m.LogTerm {
		ack.Reject, ack.Index = true, m.Index
		ack.Hint = r.log.last()
		if ok {
			ack.Hint = r.log.indexBeforeTerm(m.Index)
		}
		ack.Hint = max(ack.Hint, r.commitIndex)
		r.send(ack)
		return
	}
	if err := r.mergeEntries(m.Entries); err != nil {
		r.err = err
		return
	}
	r.commitIndex = max(r.commitIndex, min(m.Commit, match))
	r.send(ack)
}

// mergeEntries appends the missing entries and replaces conflicting ones.
func (r *Replicator) mergeEntries(es []Entry) error {
	for i, e := range es {
		t, ok := r.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok && e.Index <= r.commitIndex {
			return errors.Errorf("replicator: entry %d of term %d is committed, but the leader has term %d",
				e.Index, t, e.Term)
		}
		if ok {
			r.log.truncate(e.Index)
			r.durableIndex = min(r.durableIndex, e.Index-1)
			r.firstUnwritten = min(r.firstUnwritten, e.Index)
		}
		r.log.append(es[i:]...)
		r.bumpSeq()
		return r.activateMembership()
	}
	return nil
}

func (r *Replicator) onAppendResponse(now time.Time, m Message) {
	p := r.peers[m.From]
	if r.role != leader || p == nil || m.SendStamp > r.lastStamp || m.Index > r.log.last() {
		return
	}
	if m.SendStamp >= p.contactStamp {
		p.contactStamp, p.isResigning = m.SendStamp, m.Resign
	}
	if m.Contact {
		r.confirmReads(now)
		return
	}
	p.ackedStamp = max(p.ackedStamp, m.SendStamp)
	if m.Reject {
		if m.Index <= p.matchIndex || (p.isProbing && m.SendStamp < p.probeStamp) {
			return
		}
		p.nextIndex = max(p.matchIndex+1, min(m.Index, m.Hint+1))
		p.isProbing = true
		r.sendAppend(now, m.From, p)
		return
	}
	if m.Index > p.matchIndex {
		p.matchIndex = m.Index
	}
	if p.isProbing && m.SendStamp >= p.probeStamp && p.nextIndex > r.log.base {
		p.isProbing = false
		p.nextIndex = p.matchIndex + 1
	}
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	r.advanceCommit(now)
	if r.role != leader {
		return
	}
	r.sendEntries(now, m.From, p)
	r.confirmReads(now)
	r.promoteLearner(now, m.From)
	if r.transfer.target == m.From {
		r.tryTransfer(now)
	}
}

// quorumValue returns the largest value reached by a quorum of voters, given this replica's value and each peer's.
func (r *Replicator) quorumValue(own uint64, peerValue func(*peer) uint64) uint64 {
	var buf [maxVoters]uint64
	vals := buf[:0]
	for _, mb := range r.membership.Members {
		if mb.Learner {
			continue
		}
		v := uint64(0)
		if mb.ID == r.cfg.ID {
			v = own
		} else if p := r.peers[mb.ID]; p != nil {
			v = peerValue(p)
		}
		vals = append(vals, v)
	}
	slices.Sort(vals)
	return vals[len(vals)-r.membership.quorum()]
}

// advanceCommit commits up to the index that a quorum holds durably, if that entry is of the current term.
func (r *Replicator) advanceCommit(now time.Time) {
	n := r.quorumValue(r.durableIndex, func(p *peer) uint64 { return p.matchIndex })
	if t, ok := r.log.term(n); n <= r.commitIndex || !ok || t != r.hardState.Term {
		return
	}
	r.commitIndex = n
	for _, mb := range r.membership.Members {
		if p := r.peers[mb.ID]; p != nil && p.matchIndex == r.log.last() {
			r.sendAppend(now, mb.ID, p)
		}
	}
	if _, ok := r.membership.Find(r.cfg.ID); !ok && r.membershipIndex <= r.commitIndex {
		r.becomeFollower(r.hardState.Term, 0)
		r.touch(now)
	}
}

// quorumStamp returns the last stamp that a quorum responded to.
func (r *Replicator) quorumStamp(now time.Time) uint64 {
	return r.quorumValue(r.ownStamp(now), func(p *peer) uint64 { return p.contactStamp })
}

func (r *Replicator) ownStamp(now time.Time) uint64 {
	return max(r.lastStamp, uint64(max(now.Sub(r.stampBase), 0)))
}

// quorumWriteTime returns about how long writes take at a quorum of which this replica's disk isn't part.
func (r *Replicator) quorumWriteTime(now time.Time) time.Duration {
	durable := r.quorumValue(r.ownStamp(now), func(p *peer) uint64 { return p.ackedStamp })
	return time.Duration(r.quorumStamp(now) - durable)
}

func (r *Replicator) confirmReads(now time.Time) {
	stamp := r.quorumStamp(now)
	if r.membership.quorum() == 1 && r.membership.isVoter(r.cfg.ID) {
		stamp++
	}
	n := 0
	for _, rd := range r.pendingReads {
		if rd.stamp > stamp {
			break
		}
		r.finishedReads = append(r.finishedReads, Read{ID: rd.id, Index: rd.index})
		n++
	}
	r.pendingReads = r.pendingReads[n:]
}

// LeaseEnd returns the time before which no other replica can lead, counted from the send of the confirmed heartbeats.
func (r *Replicator) LeaseEnd(now time.Time) time.Time {
	if r.role != leader || r.appliedIndex < r.termStartIndex || r.err != nil {
		return time.Time{}
	}
	stamp := r.quorumStamp(now)
	if stamp == 0 {
		return time.Time{}
	}
	return r.stampTime(stamp).Add(r.cfg.ElectionTimeout * leasePercent / 100)
}

// isStalled reports whether the write in flight takes so long that another replica should lead: one with a faster disk.
func (r *Replicator) isStalled(now time.Time) bool {
	if r.isWriting && r.writeSeenAt.IsZero() {
		r.writeSeenAt = now
	}
	took := now.Sub(r.writeSeenAt)
	r.isWriteSlow = r.isWriting && took >= r.cfg.HeartbeatInterval && took > stallWriteTimes*r.quorumWriteTime(now)
	return r.isWriteSlow && r.membership.quorum() > 1 && took >= stallElectionTimeouts*r.cfg.ElectionTimeout
}

func (r *Replicator) tickLeader(now time.Time) {
	lastQuorumContact := r.stampTime(max(r.quorumStamp(now), r.electedStamp))
	isStalled := r.isStalled(now)
	if now.Sub(lastQuorumContact) >= r.cfg.ElectionTimeout || isStalled {
		r.becomeFollower(r.hardState.Term, 0)
		r.touch(now)
		r.stepDownCause = CauseNoQuorum
		if isStalled {
			r.stepDownCause = CauseSlowDisk
		}
		return
	}
	if r.transfer.target != 0 {
		r.tryTransfer(now)
	}
	if r.role != leader || now.Before(r.nextHeartbeat) {
		return
	}
	r.nextHeartbeat = now.Add(r.cfg.HeartbeatInterval)
	r.tickNonceRequest()
	r.tickMembership(now)
	r.broadcastHeartbeat(now)
}

// String describes the replica's role, term and log for logs and test failures.
func (r *Replicator) String() string {
	return fmt.Sprintf("replica %d: role %d, term %d, leader %d, log %d to %d, commit %d, durable %d",
		r.cfg.ID, r.role, r.hardState.Term, r.leaderID, r.log.base, r.log.last(), r.commitIndex, r.durableIndex)
}
