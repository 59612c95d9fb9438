package replicator

import (
	"fmt"
	"slices"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/encoder"
)

const (
	// MaxMembers is the largest number of voters in a group.
	MaxMembers = 7
	// maxVoters leaves room for the voter that a group of the largest size gains before it gives up a resigning one.
	maxVoters = MaxMembers + 1
	// MaxLearners is the largest number of learners in a group. Lost replicas stay learners for a while.
	MaxLearners = 16
)

// Member is one replica of the group; Nonce is the ID of the data folder with which it was added.
type Member struct {
	ID      uint64
	Addr    string
	Nonce   uint32
	Learner bool
}

// Membership is the set of replicas, sorted by ID; IDs up to MaxID are never reused.
type Membership struct {
	Members []Member
	MaxID   uint64
}

type wireMember struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Addr    string
	Nonce   uint32
	Learner bool
}

type wireMembership struct {
	_       struct{} `cbor:",toarray"`
	Members []wireMember
	MaxID   uint64
}

// EncodeMembership encodes m as the data of an entry of KindMembership.
func EncodeMembership(m Membership) ([]byte, error) {
	w := wireMembership{MaxID: m.MaxID}
	for _, mb := range m.Members {
		w.Members = append(w.Members, wireMember{ID: mb.ID, Addr: mb.Addr, Nonce: mb.Nonce, Learner: mb.Learner})
	}
	return encoder.Marshal(w)
}

// DecodeMembership decodes and validates the data of an entry of KindMembership.
func DecodeMembership(b []byte) (Membership, error) {
	var w wireMembership
	if err := encoder.Unmarshal(b, &w); err != nil {
		return Membership{}, errors.Wrap(err, "membership")
	}
	m := Membership{MaxID: w.MaxID}
	for _, mb := range w.Members {
		m.Members = append(m.Members, Member{ID: mb.ID, Addr: mb.Addr, Nonce: mb.Nonce, Learner: mb.Learner})
	}
	if err := m.check(); err != nil {
		return Membership{}, err
	}
	return m, nil
}

func (m Membership) check() error {
	voters := len(m.voters())
	switch learners := len(m.Members) - voters; {
	case voters > maxVoters:
		return errors.Errorf("membership: %d voters, at most %d", voters, maxVoters)
	case learners > MaxLearners:
		return errors.Errorf("membership: %d learners, at most %d", learners, MaxLearners)
	case voters == 0:
		return errors.New("membership: no voter")
	}
	for i, mb := range m.Members {
		if mb.ID == 0 || mb.ID > m.MaxID || (i > 0 && mb.ID <= m.Members[i-1].ID) {
			return errors.Errorf("membership: member %d out of order or above the largest ID %d", mb.ID, m.MaxID)
		}
	}
	return nil
}

// Find returns the member with this ID.
func (m Membership) Find(id uint64) (Member, bool) {
	for _, mb := range m.Members {
		if mb.ID == id {
			return mb, true
		}
	}
	return Member{}, false
}

func (m Membership) voters() []Member {
	var vs []Member
	for _, mb := range m.Members {
		if !mb.Learner {
			vs = append(vs, mb)
		}
	}
	return vs
}

func (m Membership) quorum() int {
	n := 0
	for _, mb := range m.Members {
		if !mb.Learner {
			n++
		}
	}
	return n/2 + 1
}

func (m Membership) isVoter(id uint64) bool {
	mb, ok := m.Find(id)
	return ok && !mb.Learner
}

func (m Membership) with(mb Member) Membership {
	out := m.without(mb.ID)
	out.Members = append(out.Members, mb)
	slices.SortFunc(out.Members, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	out.MaxID = max(out.MaxID, mb.ID)
	return out
}

// withLearner returns m with mb as a learner or as a voter.
func (m Membership) withLearner(mb Member, learner bool) Membership {
	mb.Learner = learner
	return m.with(mb)
}

func (m Membership) without(id uint64) Membership {
	out := Membership{MaxID: m.MaxID}
	for _, mb := range m.Members {
		if mb.ID != id {
			out.Members = append(out.Members, mb)
		}
	}
	return out
}

// ChangeError reports why a membership change was refused.
type ChangeError struct {
	ID     uint64
	Reason string
}

// Error implements error.
func (e *ChangeError) Error() string {
	return fmt.Sprintf("change of replica %d: %s", e.ID, e.Reason)
}
