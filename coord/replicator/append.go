package replicator

import (
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// peer is the leader's replication state for another replica.
type peer struct {
	match      uint64
	next       uint64
	acked      uint64
	probing    bool
	probeStamp uint64
	snapIndex  uint64
	offset     uint64
	pieceAt    time.Time
}

func (r *Replicator) appendOwn(k Kind, data []byte) {
	r.log.append(Entry{Index: r.log.last() + 1, Term: r.hard.Term, Kind: k, Data: data})
	r.touch()
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
	r.stamp = max(r.stamp+1, uint64(max(now.Sub(r.start), 0)))
	return r.stamp
}

func (r *Replicator) timeOf(stamp uint64) time.Time {
	return r.start.Add(time.Duration(stamp))
}

// broadcast sends new entries to every peer that isn't being probed and has room in flight.
func (r *Replicator) broadcast(now time.Time) {
	for _, mb := range r.membership.Members {
		if p := r.peers[mb.ID]; p != nil {
			r.sendEntries(now, mb.ID, p)
		}
	}
}

func (r *Replicator) sendEntries(now time.Time, id uint64, p *peer) {
	for !p.probing && p.next > r.log.base && p.next <= r.log.last() && p.next-p.match <= maxInflight {
		r.sendAppend(now, id, p)
	}
}

// beat sends every peer a heartbeat, with the entries that it lacks.
func (r *Replicator) beat(now time.Time) {
	for _, mb := range r.membership.Members {
		if p := r.peers[mb.ID]; p != nil {
			r.sendAppend(now, mb.ID, p)
		}
	}
}

// sendAppend sends entries from p.next on, or an empty heartbeat and a snapshot chunk if the log no longer holds them.
func (r *Replicator) sendAppend(now time.Time, id uint64, p *peer) {
	m := Message{Type: TypeAppend, To: id, Commit: r.commit, Stamp: r.nextStamp(now)}
	if p.next <= r.log.base {
		r.send(m)
		r.sendPiece(now, id, p)
		return
	}
	m.Index = p.next - 1
	m.LogTerm, _ = r.log.term(m.Index)
	m.Entries = r.log.limited(p.next, maxAppendBytes)
	if p.probing {
		p.probeStamp = m.Stamp
	} else {
		p.next += uint64(len(m.Entries))
	}
	r.send(m)
}

func (r *Replicator) onAppend(now time.Time, m Message) {
	if !r.follow(now, m.From) {
		return
	}
	match := m.Index + uint64(len(m.Entries))
	ack := Message{Type: TypeAppendResponse, To: m.From, Index: match, Stamp: m.Stamp}
	if m.Index < r.log.base {
		// Entries up to base are committed, hence equal to the leader's.
		skip := min(r.log.base-m.Index, uint64(len(m.Entries)))
		m.Entries, m.Index, m.LogTerm = m.Entries[skip:], r.log.base, r.log.baseTerm
	}
	if t, ok := r.log.term(m.Index); !ok || t != m.LogTerm {
		ack.Reject, ack.Index = true, m.Index
		ack.Hint = r.log.last()
		if ok {
			ack.Hint = r.log.conflict(m.Index)
		}
		ack.Hint = max(ack.Hint, r.commit)
		r.send(ack)
		return
	}
	if err := r.take(m.Entries); err != nil {
		r.fenced = err
		return
	}
	r.commit = max(r.commit, min(m.Commit, match))
	r.send(ack)
}

// take appends the missing entries and replaces conflicting ones.
func (r *Replicator) take(es []Entry) error {
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
			r.unwritten = min(r.unwritten, e.Index)
		}
		r.log.append(es[i:]...)
		r.touch()
		return r.findMembership()
	}
	return nil
}

func (r *Replicator) onAppendResponse(now time.Time, m Message) {
	p := r.peers[m.From]
	if r.role != leader || p == nil || m.Stamp > r.stamp || m.Index > r.log.last() {
		return
	}
	p.acked = max(p.acked, m.Stamp)
	if m.Reject {
		if m.Index <= p.match || (p.probing && m.Stamp < p.probeStamp) {
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
	if p.probing && m.Stamp >= p.probeStamp && p.next > r.log.base {
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
	r.promote(now, m.From, p)
	if r.transfer.to == m.From {
		r.tryTransfer(now)
	}
}

// quorumOf returns the largest value reached by a quorum of voters, given this replica's value and each peer's.
func (r *Replicator) quorumOf(own uint64, of func(*peer) uint64) uint64 {
	var all [MaxMembers]uint64
	vals := all[:0]
	for _, mb := range r.membership.Members {
		if mb.Learner {
			continue
		}
		v := uint64(0)
		if mb.ID == r.cfg.ID {
			v = own
		} else if p := r.peers[mb.ID]; p != nil {
			v = of(p)
		}
		vals = append(vals, v)
	}
	slices.Sort(vals)
	return vals[len(vals)-r.membership.quorum()]
}

// advanceCommit commits up to the index that a quorum holds durably, if that entry is of the current term.
func (r *Replicator) advanceCommit(now time.Time) {
	n := r.quorumOf(r.durable, func(p *peer) uint64 { return p.match })
	if t, ok := r.log.term(n); n <= r.commit || !ok || t != r.hard.Term {
		return
	}
	r.commit = n
	for _, mb := range r.membership.Members {
		if p := r.peers[mb.ID]; p != nil && p.match == r.log.last() {
			r.sendAppend(now, mb.ID, p)
		}
	}
	if _, ok := r.membership.Find(r.cfg.ID); !ok && r.memberAt <= r.commit {
		r.becomeFollower(r.hard.Term, 0)
		r.heard = now
	}
}

func (r *Replicator) quorumStamp(now time.Time) uint64 {
	own := max(r.stamp, uint64(max(now.Sub(r.start), 0)))
	return r.quorumOf(own, func(p *peer) uint64 { return p.acked })
}

func (r *Replicator) confirmReads(now time.Time) {
	stamp := r.quorumStamp(now)
	if r.membership.quorum() == 1 && r.membership.isVoter(r.cfg.ID) {
		stamp++
	}
	n := 0
	for _, rd := range r.reads {
		if rd.stamp > stamp {
			break
		}
		r.confirmed = append(r.confirmed, Read{ID: rd.id, Index: rd.index})
		n++
	}
	r.reads = r.reads[n:]
}

// LeaseEnd returns the time until which no other replica can lead, counted from the send of the last heartbeat that a
// quorum acknowledged; it is zero without a lease.
func (r *Replicator) LeaseEnd(now time.Time) time.Time {
	if r.role != leader || r.applied < r.termStart || r.fenced != nil {
		return time.Time{}
	}
	stamp := r.quorumStamp(now)
	if stamp == 0 {
		return time.Time{}
	}
	return r.timeOf(stamp).Add(r.cfg.Election * leasePercent / 100)
}

// isStalled reports whether the write in flight takes so long that another replica should lead.
func (r *Replicator) isStalled(now time.Time) bool {
	if r.writing && r.writeSeen.IsZero() {
		r.writeSeen = now
	}
	r.slow = r.writing && now.Sub(r.writeSeen) >= r.cfg.Heartbeat
	return r.writing && r.membership.quorum() > 1 && now.Sub(r.writeSeen) >= maxStall*r.cfg.Election
}

func (r *Replicator) tickLeader(now time.Time) {
	contact := r.timeOf(max(r.quorumStamp(now), r.began))
	if now.Sub(contact) >= r.cfg.Election || r.isStalled(now) {
		r.becomeFollower(r.hard.Term, 0)
		r.heard = now
		return
	}
	if r.transfer.to != 0 {
		r.tryTransfer(now)
	}
	if r.role != leader || now.Before(r.nextBeat) {
		return
	}
	r.nextBeat = now.Add(r.cfg.Heartbeat)
	r.tickProbe()
	r.beat(now)
}

// String describes the replica's role, term and log for logs and test failures.
func (r *Replicator) String() string {
	return fmt.Sprintf("replica %d: role %d, term %d, leader %d, log %d to %d, commit %d, durable %d",
		r.cfg.ID, r.role, r.hard.Term, r.lead, r.log.base, r.log.last(), r.commit, r.durable)
}
