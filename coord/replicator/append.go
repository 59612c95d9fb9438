package replicator

import (
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// peer is the leader's replication state for another replica.
type peer struct {
	match          uint64
	next           uint64
	ackedStamp     uint64
	probing        bool
	probeStamp     uint64
	snapshotIndex  uint64
	snapshotOffset uint64
	chunkSentAt    time.Time
}

func (r *Replicator) appendEntry(k Kind, data []byte) {
	r.log.append(Entry{Index: r.log.last() + 1, Term: r.hard.Term, Kind: k, Data: data})
	r.bumpSeq()
}

// syncPeers adds and removes peers to match the membership.
func (r *Replicator) syncPeers() {
	for _, mb := range r.membership.Members {
		if mb.ID != r.cfg.ID && r.peers[mb.ID] == nil {
			r.peers[mb.ID] = &peer{next: r.log.last() + 1, probing: true}
		}
	}
	for id := range r.peers {
		if _, ok := r.membership.Find(id); !ok {
			delete(r.peers, id)
		}
	}
}

func (r *Replicator) nextStamp(now time.Time) uint64 {
	r.lastStamp = max(r.lastStamp+1, uint64(max(now.Sub(r.start), 0)))
	return r.lastStamp
}

func (r *Replicator) stampTime(stamp uint64) time.Time {
	return r.start.Add(time.Duration(stamp))
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
	for !p.probing && p.next > r.log.base && p.next <= r.log.last() && p.next-p.match <= maxInflightEntries {
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

// sendAppend sends entries from p.next on, or an empty heartbeat and a snapshot chunk if the log no longer holds them.
func (r *Replicator) sendAppend(now time.Time, id uint64, p *peer) {
	m := Message{Type: TypeAppend, To: id, Commit: r.commit, SendStamp: r.nextStamp(now)}
	if p.next <= r.log.base {
		r.send(m)
		r.sendChunk(now, id, p)
		return
	}
	m.Index = p.next - 1
	m.LogTerm, _ = r.log.term(m.Index)
	m.Entries = r.log.sliceLimited(p.next, maxAppendBytes)
	if p.probing {
		p.probeStamp = m.SendStamp
	} else {
		p.next += uint64(len(m.Entries))
	}
	r.send(m)
}

func (r *Replicator) onAppend(now time.Time, m Message) {
	if !r.acceptLeader(now, m.From) {
		return
	}
	match := m.Index + uint64(len(m.Entries))
	ack := Message{Type: TypeAppendResponse, To: m.From, Index: match, SendStamp: m.SendStamp}
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
		ack.Hint = max(ack.Hint, r.commit)
		r.send(ack)
		return
	}
	if err := r.mergeEntries(m.Entries); err != nil {
		r.err = err
		return
	}
	r.commit = max(r.commit, min(m.Commit, match))
	r.send(ack)
}

// mergeEntries appends the missing entries and replaces conflicting ones.
func (r *Replicator) mergeEntries(es []Entry) error {
	for i, e := range es {
		t, ok := r.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok && e.Index <= r.commit {
			return errors.Errorf("replicator: entry %d of term %d is committed, but the leader has term %d",
				e.Index, t, e.Term)
		}
		if ok {
			r.log.truncate(e.Index)
			r.durable = min(r.durable, e.Index-1)
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
	p.ackedStamp = max(p.ackedStamp, m.SendStamp)
	if m.Reject {
		if m.Index <= p.match || (p.probing && m.SendStamp < p.probeStamp) {
			return
		}
		p.next = max(p.match+1, min(m.Index, m.Hint+1))
		p.probing = true
		r.sendAppend(now, m.From, p)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
	}
	if p.probing && m.SendStamp >= p.probeStamp && p.next > r.log.base {
		p.probing = false
		p.next = p.match + 1
	}
	p.next = max(p.next, p.match+1)
	r.advanceCommit(now)
	if r.role != leader {
		return
	}
	r.sendEntries(now, m.From, p)
	r.confirmReads(now)
	r.promoteLearner(now, m.From, p)
	if r.transfer.target == m.From {
		r.tryTransfer(now)
	}
}

// quorumValue returns the largest value reached by a quorum of voters, given this replica's value and each peer's.
func (r *Replicator) quorumValue(own uint64, peerValue func(*peer) uint64) uint64 {
	var buf [MaxMembers]uint64
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
	n := r.quorumValue(r.durable, func(p *peer) uint64 { return p.match })
	if t, ok := r.log.term(n); n <= r.commit || !ok || t != r.hard.Term {
		return
	}
	r.commit = n
	for _, mb := range r.membership.Members {
		if p := r.peers[mb.ID]; p != nil && p.match == r.log.last() {
			r.sendAppend(now, mb.ID, p)
		}
	}
	if _, ok := r.membership.Find(r.cfg.ID); !ok && r.membershipIndex <= r.commit {
		r.becomeFollower(r.hard.Term, 0)
		r.lastContact = now
	}
}

func (r *Replicator) quorumStamp(now time.Time) uint64 {
	own := max(r.lastStamp, uint64(max(now.Sub(r.start), 0)))
	return r.quorumValue(own, func(p *peer) uint64 { return p.ackedStamp })
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
	if r.role != leader || r.applied < r.termStartIndex || r.err != nil {
		return time.Time{}
	}
	stamp := r.quorumStamp(now)
	if stamp == 0 {
		return time.Time{}
	}
	return r.stampTime(stamp).Add(r.cfg.ElectionTimeout * leasePercent / 100)
}

// isStalled reports whether the write in flight takes so long that another replica should lead.
func (r *Replicator) isStalled(now time.Time) bool {
	if r.writing && r.writeSeenAt.IsZero() {
		r.writeSeenAt = now
	}
	r.writeSlow = r.writing && now.Sub(r.writeSeenAt) >= r.cfg.HeartbeatInterval
	return r.writing && r.membership.quorum() > 1 && now.Sub(r.writeSeenAt) >= stallElectionTimeouts*r.cfg.ElectionTimeout
}

func (r *Replicator) tickLeader(now time.Time) {
	lastQuorumContact := r.stampTime(max(r.quorumStamp(now), r.electedStamp))
	if now.Sub(lastQuorumContact) >= r.cfg.ElectionTimeout || r.isStalled(now) {
		r.becomeFollower(r.hard.Term, 0)
		r.lastContact = now
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
	r.broadcastHeartbeat(now)
}

// String describes the replica's role, term and log for logs and test failures.
func (r *Replicator) String() string {
	return fmt.Sprintf("replica %d: role %d, term %d, leader %d, log %d to %d, commit %d, durable %d",
		r.cfg.ID, r.role, r.hard.Term, r.leaderID, r.log.base, r.log.last(), r.commit, r.durable)
}
