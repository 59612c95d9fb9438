package replicator

import (
	"time"
)

// incomingSnapshot collects the chunks of a snapshot from the leader.
type incomingSnapshot struct {
	snapshot Snapshot
	term     uint64
	data     []byte
}

// sendChunk queues the next chunk; the caller of Messages fills in Data from the stored snapshot.
func (r *Replicator) sendChunk(now time.Time, id uint64, p *peer) {
	if p.snapshotIndex != r.snapshot.Index {
		p.snapshotIndex, p.snapshotOffset, p.chunkSentAt = r.snapshot.Index, 0, time.Time{}
	}
	if now.Sub(p.chunkSentAt) < r.cfg.HeartbeatInterval {
		return
	}
	p.chunkSentAt = now
	s := r.snapshot
	r.send(Message{
		Type: TypeSnapshot, To: id, Index: s.Index, LogTerm: s.Term, SendStamp: r.nextStamp(now),
		Snapshot: &s, Offset: p.snapshotOffset,
	})
}

// ChunkSize returns the size in bytes of the chunk of s at offset.
func ChunkSize(s Snapshot, offset uint64) int {
	return int(min(maxChunkBytes, s.Size-min(offset, s.Size)))
}

func (r *Replicator) onSnapshot(now time.Time, m Message) {
	if !r.acceptLeader(now, m.From) {
		return
	}
	s := *m.Snapshot
	if t, ok := r.log.term(s.Index); s.Index > r.commitIndex && ok && t == s.Term {
		r.commitIndex = s.Index
	}
	if s.Index <= r.commitIndex {
		r.incoming = nil
		r.send(Message{Type: TypeAppendResponse, To: m.From, Index: r.commitIndex, SendStamp: m.SendStamp})
		return
	}
	in := r.incoming
	if in == nil || in.snapshot.Index != s.Index || in.term != m.Term {
		in = &incomingSnapshot{snapshot: s, term: m.Term}
		r.incoming = in
	}
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Data...)
	}
	if uint64(len(in.data)) < s.Size {
		r.send(Message{
			Type: TypeSnapshotResponse, To: m.From, Index: s.Index, SendStamp: m.SendStamp, Hint: uint64(len(in.data)),
		})
		return
	}
	r.installSnapshot(s, in.data)
	r.send(Message{Type: TypeAppendResponse, To: m.From, Index: s.Index, SendStamp: m.SendStamp})
}

func (r *Replicator) installSnapshot(s Snapshot, data []byte) {
	r.incoming = nil
	r.log = entryLog{base: s.Index, baseTerm: s.Term}
	r.commitIndex, r.durableIndex, r.firstUnwritten = s.Index, 0, s.Index+1
	r.membership, r.membershipIndex = s.Membership, s.Index
	r.pendingInstall = &Write{Snapshot: &s, Data: data, FromLeader: true}
	r.bumpSeq()
}

func (r *Replicator) onSnapshotResponse(now time.Time, m Message) {
	p := r.peers[m.From]
	if r.role != leader || p == nil || m.SendStamp > r.lastStamp {
		return
	}
	p.contactStamp, p.ackedStamp = max(p.contactStamp, m.SendStamp), max(p.ackedStamp, m.SendStamp)
	if p.snapshotIndex == m.Index && m.Hint <= r.snapshot.Size && m.Hint != p.snapshotOffset {
		p.snapshotOffset, p.chunkSentAt = m.Hint, time.Time{}
		r.sendChunk(now, m.From, p)
	}
	r.confirmReads(now)
}
