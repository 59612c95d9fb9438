package runner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/replicator"
)

type outcome struct {
	result Result
	err    error
}

// proposal is a command in flight. The first to set claimed wins: the caller to cancel it or the loop to append it.
type proposal struct {
	cmd     []byte
	claimed atomic.Bool
	index   atomic.Uint64
	term    atomic.Uint64
	done    chan outcome
}

type readCall struct {
	done chan error
}

// readRound is one quorum confirmation shared by several calls.
type readRound struct {
	id    uint64
	index uint64
	calls []*readCall
}

func (rr *readRound) finish(err error) {
	for _, c := range rr.calls {
		c.done <- err
	}
}

// change is a pending operation on the group; step is called until it returns done or an error.
type change struct {
	ctx     context.Context
	joining Member
	step    func(now time.Time) (bool, error)
	cancel  func()
	done    chan error
}

// run is the event loop, which owns the replica's state.
func (r *Runner) run() {
	defer close(r.done)
	defer close(r.writeJobs)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-r.closing:
			r.terminate(ErrClosed)
			return
		case p := <-r.proposals:
			r.propose(time.Now(), p)
		case c := <-r.readCalls:
			r.queuedReads = append(r.queuedReads, c)
		case c := <-r.newChanges:
			r.changes = append(r.changes, c)
			if c.joining.ID != 0 {
				r.joiningAddrs[c.joining.ID] = c.joining.Addr
				r.setPeers()
			}
		case m := <-r.inbox:
			r.step(time.Now(), m)
		case j := <-r.finishedWrites:
			r.persisted(time.Now(), j)
		case <-timer.C:
		}
		now := time.Now()
		r.rep.Tick(now)
		r.flush(now)
		if r.err == nil {
			r.err = r.rep.Err()
		}
		if r.err != nil {
			r.terminate(r.err)
			return
		}
		timer.Reset(max(time.Until(r.rep.Deadline()), 0))
	}
}

// terminate fails the pending proposals and withdraws the lease.
func (r *Runner) terminate(err error) {
	for i, p := range r.pending {
		r.resolve(i, p, outcome{err: &UncertainError{Index: i, Term: p.term.Load(), Err: err}})
	}
	s := r.Status()
	s.Leader, s.LeaseEnd = 0, time.Time{}
	r.status.Store(&s)
	if r.observe != nil {
		r.observe(s)
	}
}

func (r *Runner) resolve(i uint64, p *proposal, o outcome) {
	delete(r.pending, i)
	p.done <- o
}

// step handles m and all queued messages.
func (r *Runner) step(now time.Time, m replicator.Message) {
	r.rep.Step(now, m)
	for range len(r.inbox) {
		r.rep.Step(now, <-r.inbox)
	}
}

// propose appends p and all queued commands, so that they share one sync.
func (r *Runner) propose(now time.Time, p *proposal) {
	batch := []*proposal{p}
	for range len(r.proposals) {
		batch = append(batch, <-r.proposals)
	}
	var claimed []*proposal
	var cmds [][]byte
	for _, p := range batch {
		if p.claimed.CompareAndSwap(false, true) {
			claimed = append(claimed, p)
			cmds = append(cmds, p.cmd)
		}
	}
	if len(claimed) == 0 {
		return
	}
	index, term, ok := r.rep.Propose(now, cmds)
	if !ok {
		err := r.notLeaderError()
		for _, p := range claimed {
			p.done <- outcome{err: err}
		}
		return
	}
	for i, p := range claimed {
		entryIndex := index + uint64(i)
		if old := r.pending[entryIndex]; old != nil {
			// The leader's log doesn't hold the old command at this index, so it was never committed.
			r.resolve(entryIndex, old, outcome{err: r.notLeaderError()})
		}
		p.index.Store(entryIndex)
		p.term.Store(term)
		r.pending[entryIndex] = p
	}
}

func (r *Runner) persisted(now time.Time, j writeJob) {
	if j.err != nil {
		r.err = errors.Wrap(j.err, "journal")
		return
	}
	r.snapshotGeneration, r.writingSince = j.generation, time.Time{}
	r.rep.Persisted(now, j.write)
	if j.write.FromLeader {
		r.restoreSnapshot(j.write)
	}
}

func (r *Runner) restoreSnapshot(w *replicator.Write) {
	if err := r.machine.Restore(w.Data); err != nil {
		r.err = errors.Wrapf(err, "restore snapshot of index %d", w.Snapshot.Index)
		return
	}
	for i, p := range r.pending {
		if i <= w.Snapshot.Index {
			r.resolve(i, p, outcome{err: &UncertainError{Index: i, Term: p.term.Load()}})
		}
	}
}

// flush executes the replicator's pending writes, messages, reads and applies, and publishes its status.
func (r *Runner) flush(now time.Time) {
	r.finishReads()
	r.startRead(now)
	r.stepChanges(now)
	r.startWrite(now)
	r.sendAll(now)
	if r.err == nil {
		r.err = r.apply()
	}
	if r.err != nil {
		return
	}
	r.finishReads()
	r.failUnresolved(now)
	r.publish(now)
}

func (r *Runner) sendAll(now time.Time) {
	if r.Status().Leader == r.cfg.ID && r.rep.Leader() != r.cfg.ID {
		// The lease must no longer be visible here when other replicas learn that it was given up.
		r.publish(now)
	}
	for _, m := range r.rep.Messages() {
		if m.Type == replicator.TypeSnapshot && !r.fillChunk(&m) {
			continue
		}
		r.transport.Send(m)
	}
}

// fillChunk reads a snapshot chunk into m; it returns false if a newer snapshot replaced it, and the leader retries.
func (r *Runner) fillChunk(m *replicator.Message) bool {
	s := r.rep.Snapshot()
	if m.Snapshot.Index != s.Index {
		return false
	}
	b, err := r.store.journal.ReadSnapshot(r.snapshotGeneration, int64(m.Offset), replicator.ChunkSize(s, m.Offset))
	if err != nil {
		return false
	}
	m.Data = b
	return true
}

func (r *Runner) apply() error {
	for _, e := range r.rep.Committed() {
		var res []byte
		if e.Kind == replicator.KindCommand {
			var err error
			if res, err = r.machine.Apply(e.Index, e.Data); err != nil {
				return errors.Wrapf(err, "apply command of index %d", e.Index)
			}
		}
		p := r.pending[e.Index]
		if p == nil {
			continue
		}
		if p.term.Load() != e.Term {
			r.resolve(e.Index, p, outcome{err: r.notLeaderError()})
			continue
		}
		r.resolve(e.Index, p, outcome{result: Result{Index: e.Index, Data: res}})
	}
	return nil
}

// startWrite queues the next write; a snapshot that is due comes first.
func (r *Runner) startWrite(now time.Time) {
	if r.rep.IsWriting() {
		return
	}
	var j writeJob
	since := r.rep.Applied() - r.rep.Snapshot().Index
	if since >= r.snapshotCommands || (since > 0 && r.store.journal.Size() >= r.snapshotBytes) {
		j.data, j.err = r.machine.Snapshot()
		if j.err != nil {
			r.err = errors.Wrap(j.err, "take snapshot")
			return
		}
		j.write = r.rep.Checkpoint(replicator.Snapshot{Index: r.rep.Applied(), Size: uint64(len(j.data))})
	}
	if j.write == nil {
		j.write = r.rep.Write()
		if j.write == nil {
			return
		}
		j.data = j.write.Data
	}
	r.writingSince = now
	r.writeJobs <- j
}

func (r *Runner) startRead(now time.Time) {
	if r.confirmingRead != nil || len(r.queuedReads) == 0 {
		return
	}
	for range len(r.readCalls) {
		r.queuedReads = append(r.queuedReads, <-r.readCalls)
	}
	rr := &readRound{calls: r.queuedReads}
	r.queuedReads = nil
	id, ok := r.rep.Read(now)
	if !ok {
		rr.finish(r.notLeaderError())
		return
	}
	rr.id = id
	r.confirmingRead = rr
}

func (r *Runner) finishReads() {
	for _, rd := range r.rep.Reads() {
		rr := r.confirmingRead
		if rr == nil || rr.id != rd.ID {
			continue
		}
		r.confirmingRead = nil
		if rd.LeadershipLost {
			rr.finish(r.notLeaderError())
			continue
		}
		rr.index = rd.Index
		r.confirmedReads = append(r.confirmedReads, rr)
	}
	var rest []*readRound
	for _, rr := range r.confirmedReads {
		if r.rep.Applied() < rr.index {
			rest = append(rest, rr)
			continue
		}
		rr.finish(nil)
	}
	r.confirmedReads = rest
}

// failUnresolved fails the commands that are unresolved two election timeouts after leadership was lost.
func (r *Runner) failUnresolved(now time.Time) {
	if r.rep.Leader() == r.cfg.ID {
		r.leadershipLostAt = time.Time{}
		return
	}
	if r.leadershipLostAt.IsZero() {
		r.leadershipLostAt = now
	}
	if now.Sub(r.leadershipLostAt) < 2*r.rep.ElectionTimeout() {
		return
	}
	for i, p := range r.pending {
		r.resolve(i, p, outcome{err: &UncertainError{Index: i, Term: p.term.Load()}})
	}
}

func (r *Runner) stepChanges(now time.Time) {
	var rest []*change
	for _, c := range r.changes {
		done, err := c.step(now)
		if errors.Is(err, replicator.ErrNotLeader) {
			err = r.notLeaderError()
		}
		switch {
		case done || err != nil:
			delete(r.joiningAddrs, c.joining.ID)
			c.done <- err
		case c.ctx.Err() != nil:
			if c.cancel != nil {
				c.cancel()
			}
			delete(r.joiningAddrs, c.joining.ID)
			c.done <- c.ctx.Err()
		default:
			rest = append(rest, c)
		}
	}
	r.changes = rest
}

func (r *Runner) stepTransfer(now time.Time) (bool, error) {
	if leaderID := r.rep.Leader(); leaderID != 0 && leaderID != r.cfg.ID {
		return true, nil
	}
	if r.rep.Leader() == r.cfg.ID && !r.rep.Transfer(now) {
		return false, ErrNoTarget
	}
	return false, nil
}

func (r *Runner) stepResign(now time.Time) (bool, error) {
	if r.rep.Leader() == r.cfg.ID && !r.rep.Transfer(now) {
		return false, ErrNoTarget
	}
	return r.rep.Resign(), nil
}

func (r *Runner) setPeers() {
	addrs := map[uint64]string{}
	m, index := r.rep.Membership()
	if len(m.Members) == 0 {
		for _, mb := range r.cfg.InitialMembers {
			addrs[mb.ID] = mb.Addr
		}
	}
	for _, mb := range m.Members {
		addrs[mb.ID] = mb.Addr
	}
	for id, addr := range r.joiningAddrs {
		addrs[id] = addr
	}
	r.peersMembershipIndex = index
	r.transport.SetPeers(addrs)
}

// publish replaces the status that Status returns and calls the observer if it changed.
func (r *Runner) publish(now time.Time) {
	m, index := r.rep.Membership()
	s := &Status{
		ID: r.cfg.ID, Leader: r.rep.Leader(), Term: r.rep.Term(), Commit: r.rep.Commit(), Applied: r.rep.Applied(),
		LeaseEnd: r.rep.LeaseEnd(now),
		Role:     r.rep.Role(), Vote: r.rep.Vote(), StepDown: r.rep.StepDownCause(), WritingSince: r.writingSince,
	}
	changed := index != r.membershipIndex || len(m.Members) != len(r.members)
	if changed {
		r.membershipIndex, r.members = index, nil
		for _, mb := range m.Members {
			r.members = append(r.members, Member{ID: mb.ID, Addr: mb.Addr, Learner: mb.Learner})
		}
	}
	s.Members = r.members
	old := r.status.Swap(s)
	if old == nil {
		return
	}
	if index != r.peersMembershipIndex {
		r.setPeers()
	}
	if r.observe != nil && (changed || old.Leader != s.Leader || old.Term != s.Term || old.Role != s.Role || old.Vote != s.Vote) {
		r.observe(*s)
	}
}
