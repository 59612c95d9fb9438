package replicator

import (
	"time"
)

// incoming collects the chunks of a snapshot from the leader.
type incoming struct {
	snapshot Snapshot
	term     uint64
	data     []byte
}

// sendPiece queues the next chunk; the caller of Messages fills in Data from the stored snapshot.
func (r *Replicator) sendPiece(now time.Time, id uint64, p *peer) {
	if p.snapIndex != r.snapshot.Index {
		p.snapIndex, p.offset, p.pieceAt = r.snapshot.Index, 0, time.Time{}
	}
	if now.Sub(p.pieceAt) < r.cfg.Heartbeat {
		return
	}
	p.pieceAt = now
	s := r.snapshot
	r.send(Message{
		Type: TypeSnapshot, To: id, Index: s.Index, LogTerm: s.Term, Stamp: r.nextStamp(now),
		Snapshot: &s, Offset: p.offset,
	})
}

// PieceSize returns the size in bytes of the chunk of s at offset.
func PieceSize(s Snapshot, offset uint64) int {
	return int(min(pieceBytes, s.Size-min(offset, s.Size)))
}

func (r *Replicator) onSnapshot(now time.Time, m Message) {
	if !r.follow(now, m.From) {
		return
	}
	s := *m.Snapshot
	if t, ok := r.log.term(s.Index); s.Index > r.commit && ok && t == s.Term {
		r.commit = s.Index
	}
	if s.Index <= r.commit {
		r.incoming = nil
		r.send(Message{Type: TypeAppendResponse, To: m.From, Index: r.commit, Stamp: m.Stamp})
		return
	}
	in := r.incoming
	if in == nil || in.snapshot.Index != s.Index || in.term != m.Term {
		in = &incoming{snapshot: s, term: m.Term}
		r.incoming = in
	}
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Data...)
	}
	if uint64(len(in.data)) < s.Size {
		r.send(Message{
			Type: TypeSnapshotResponse, To: m.From, Index: s.Index, Stamp: m.Stamp, Hint: uint64(len(in.data)),
		})
		return
	}
	r.installSnapshot(s, in.data)
	r.send(Message{Type: TypeAppendResponse, To: m.From, Index: s.Index, Stamp: m.Stamp})
}

func (r *Replicator) installSnapshot(s Snapshot, data []byte) {
	r.incoming = nil
	r.log = entryLog{base: s.Index, baseTerm: s.Term}
	r.commit, r.durable, r.unwritten = s.Index, 0, s.Index+1
	r.membership, r.memberAt = s.Membership, s.Index
	r.install = &Write{Snapshot: &s, Data: data, Install: true}
	r.touch()
}

func (r *Replicator) onSnapshotResponse(now time.Time, m Message) {
	p := r.peers[m.From]
	if r.role != leader || p == nil || m.Stamp > r.stamp {
		return
	}
	p.acked = max(p.acked, m.Stamp)
	if p.snapIndex == m.Index && m.Hint <= r.snapshot.Size && m.Hint != p.offset {
		p.offset, p.pieceAt = m.Hint, time.Time{}
		r.sendPiece(now, m.From, p)
	}
	r.confirmReads(now)
}
