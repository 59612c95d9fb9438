package replicator

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestLargeWrites(t *testing.T) {
	now := time.Unix(0, 0)
	r, err := New(Config{ID: 1, Nonce: 1, Founders: []Member{{ID: 1}}, Rand: rand.New(rand.NewPCG(1, 1))}, Stored{}, now)
	qt.Assert(t, err, qt.IsNil)
	r.Tick(now)
	r.Persisted(now, r.Write())
	cmd := make([]byte, maxWriteBytes/4)
	_, _, ok := r.Propose(now, [][]byte{cmd, cmd, cmd, cmd, cmd, cmd, cmd})
	qt.Assert(t, ok, qt.IsTrue)
	writes := 0
	for w := r.Write(); w != nil; w = r.Write() {
		size := 0
		for _, e := range w.Entries {
			size += len(e.Data)
		}
		qt.Assert(t, size <= maxWriteBytes, qt.IsTrue)
		r.Persisted(now, w)
		qt.Assert(t, r.Commit(), qt.Equals, w.Entries[len(w.Entries)-1].Index)
		writes++
	}
	qt.Assert(t, writes, qt.Equals, 3)
	qt.Assert(t, r.Commit(), qt.Equals, r.log.last())
}

// TestStaleHello checks that a founder that lost its disk doesn't accept a hello response sent to its old data folder.
func TestStaleHello(t *testing.T) {
	now := time.Unix(0, 0)
	founders := []Member{{ID: 1}, {ID: 2}}
	start := func(id uint64, nonce uint32) *Replicator {
		cfg := Config{ID: id, Nonce: nonce, Founders: founders, Rand: rand.New(rand.NewPCG(1, 1))}
		r, err := New(cfg, Stored{}, now)
		qt.Assert(t, err, qt.IsNil)
		r.Tick(now)
		return r
	}
	first, second := start(1, 11), start(2, 22)
	second.Step(now, first.Messages()[0])
	staleResponse := second.Messages()[0]
	first.Step(now, staleResponse)
	qt.Assert(t, first.Term(), qt.Equals, uint64(1))
	replaced := start(1, 33)
	replaced.Step(now, staleResponse)
	qt.Assert(t, replaced.Term(), qt.Equals, uint64(0))
	qt.Assert(t, replaced.Err(), qt.ErrorMatches, "replica 1 is known to the group with another data folder.*")
}

// TestLeaderSlowDisk delays the leader's write: entries that both followers hold durably are committed and applied.
func TestLeaderSlowDisk(t *testing.T) {
	now := time.Unix(0, 0)
	founders := []Member{{ID: 1}, {ID: 2}, {ID: 3}}
	replicas := make(map[uint64]*Replicator)
	for _, mb := range founders {
		cfg := Config{ID: mb.ID, Nonce: uint32(mb.ID), Founders: founders, Rand: rand.New(rand.NewPCG(1, mb.ID))}
		r, err := New(cfg, Stored{}, now)
		qt.Assert(t, err, qt.IsNil)
		replicas[mb.ID] = r
	}
	var slow, down uint64
	step := func() {
		now = now.Add(10 * time.Millisecond)
		for id := range uint64(3) {
			r := replicas[id+1]
			if id+1 == down {
				continue
			}
			r.Tick(now)
			if w := r.Write(); w != nil && id+1 != slow {
				r.Persisted(now, w)
			}
			for _, m := range r.Messages() {
				if m.To != down {
					replicas[m.To].Step(now, m)
				}
			}
		}
	}
	readyLeader := func() *Replicator {
		for _, r := range replicas {
			if r.role == leader && r.appliedIndex >= r.termStartIndex && r.durableIndex == r.log.last() {
				return r
			}
			r.Committed()
		}
		return nil
	}
	for range 2000 {
		if readyLeader() != nil {
			break
		}
		step()
	}
	r := readyLeader()
	qt.Assert(t, r, qt.IsNotNil)
	slow = r.cfg.ID
	index, _, ok := r.Propose(now, [][]byte{{7}})
	qt.Assert(t, ok, qt.IsTrue)
	for range 5 {
		step()
	}
	es := r.Committed()
	qt.Assert(t, es, qt.HasLen, 1)
	qt.Assert(t, es[0].Index, qt.Equals, index)
	qt.Assert(t, r.durableIndex < index, qt.IsTrue)
	// After a heartbeat interval the leader waits for its own disk.
	for range 50 {
		step()
	}
	next, _, ok := r.Propose(now, [][]byte{{8}})
	qt.Assert(t, ok, qt.IsTrue)
	for range 5 {
		step()
	}
	qt.Assert(t, r.Commit(), qt.Equals, next)
	qt.Assert(t, r.Committed(), qt.HasLen, 0)
	// One follower without the leader's disk is no quorum.
	down = slow%3 + 1
	next, _, ok = r.Propose(now, [][]byte{{9}})
	qt.Assert(t, ok, qt.IsTrue)
	for range 5 {
		step()
	}
	qt.Assert(t, r.Commit() < next, qt.IsTrue)
}

func TestNewErrors(t *testing.T) {
	base := Config{ID: 1, Nonce: 1, Rand: rand.New(rand.NewPCG(1, 1))}
	entry := Entry{Index: 2, Term: 1}
	tests := []struct {
		change func(*Config, *Stored)
		want   string
	}{
		{func(c *Config, _ *Stored) { c.ID = 0 }, ".*must be set"},
		{func(c *Config, _ *Stored) { c.HeartbeatInterval = time.Second }, ".*election timeout 1.6s is under 3 heartbeats of 1s"},
		{func(c *Config, _ *Stored) { c.Founders = []Member{{ID: 2}} }, ".*replica 1 isn't among the founders"},
		{func(c *Config, _ *Stored) { c.Founders = []Member{{ID: 1}, {ID: 1}} }, ".*founder 1 is listed twice"},
		{func(c *Config, _ *Stored) {
			for id := uint64(1); id <= 9; id++ {
				c.Founders = append(c.Founders, Member{ID: id})
			}
		}, ".*9 voters, at most 8"},
		{func(_ *Config, s *Stored) { s.Entries = []Entry{entry} }, ".*stored entry 2 follows entry 0"},
		{func(_ *Config, s *Stored) {
			s.Snapshot.Membership = Membership{Members: []Member{{ID: 1, Nonce: 5}}, MaxID: 1}
		}, "replica 1 is known to the group with another data folder.*"},
	}
	for _, tt := range tests {
		cfg, st := base, Stored{}
		tt.change(&cfg, &st)
		_, err := New(cfg, st, time.Unix(0, 0))
		qt.Check(t, err, qt.ErrorMatches, tt.want)
	}
}

func FuzzMembership(f *testing.F) {
	b, err := EncodeMembership(Membership{Members: []Member{{ID: 1, Addr: "a", Nonce: 3}, {ID: 4, Learner: true}}, MaxID: 5})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add(b[:len(b)-1])
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeMembership(b)
		if err != nil {
			return
		}
		again, err := EncodeMembership(m)
		qt.Assert(t, err, qt.IsNil)
		n, err := DecodeMembership(again)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, n, qt.DeepEquals, m)
	})
}

// startedVoter returns replica 1 of three with the entries, in term 1, and its random numbers.
func startedVoter(t *testing.T, now time.Time, entries []Entry, random uint64) *Replicator {
	founders := []Member{{ID: 1, Nonce: 1}, {ID: 2, Nonce: 2}, {ID: 3, Nonce: 3}}
	membership, err := EncodeMembership(Membership{Members: founders, MaxID: 3})
	qt.Assert(t, err, qt.IsNil)
	st := Stored{HardState: HardState{Term: 1}, Entries: append([]Entry{{Index: 1, Term: 1, Kind: KindMembership, Data: membership}}, entries...)}
	r, err := New(Config{ID: 1, Nonce: 1, Founders: founders, Rand: rand.New(rand.NewPCG(random, 1))}, st, now)
	qt.Assert(t, err, qt.IsNil)
	return r
}

// requestVote makes r a candidate and returns its vote request to replica 2.
func requestVote(t *testing.T, r *Replicator, now time.Time) Message {
	r.Tick(now.Add(2 * DefaultElectionTimeout))
	r.Messages()
	r.Step(now, Message{Type: TypePreVoteResponse, From: 2, To: 1, Term: r.Term() + 1})
	for _, m := range r.Messages() {
		if m.Type == TypeVote && m.To == 2 {
			return m
		}
	}
	t.Fatal("no vote is requested")
	return Message{}
}

// Requests for votes don't wait for the disk: a vote for a start whose last entries were lost would elect a shorter log.
func TestVoteForEarlierStartDoesNotCount(t *testing.T) {
	now := time.Unix(0, 0)
	earlier := startedVoter(t, now, []Entry{{Index: 2, Term: 1}}, 1)
	vote := requestVote(t, earlier, now)
	later := startedVoter(t, now, nil, 2)
	own := requestVote(t, later, now)
	qt.Assert(t, own.Term, qt.Equals, vote.Term)
	grant := func(m Message) Message {
		return Message{Type: TypeVoteResponse, From: 2, To: 1, Term: m.Term, Hint: m.Hint}
	}
	later.Persisted(now, later.Write())
	later.Step(now, grant(vote))
	qt.Check(t, later.Leader(), qt.Equals, uint64(0))
	later.Step(now, grant(own))
	qt.Check(t, later.Leader(), qt.Equals, uint64(1))
}

// A candidate that leads before its own vote is durable could vote again in the same term after a restart.
func TestCandidateLeadsOnceItsVoteIsDurable(t *testing.T) {
	now := time.Unix(0, 0)
	r := startedVoter(t, now, nil, 1)
	m := requestVote(t, r, now)
	r.Step(now, Message{Type: TypeVoteResponse, From: 2, To: 1, Term: m.Term, Hint: m.Hint})
	qt.Check(t, r.role, qt.Equals, candidate)
	r.Persisted(now, r.Write())
	qt.Check(t, r.role, qt.Equals, leader)
}
