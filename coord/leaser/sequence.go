package leaser

import "strconv"

// leaderEpochShift is the number of bits below the leader epoch in a number of a Sequence.
const leaderEpochShift = 24

// ExhaustedError reports that a leader epoch has no numbers left; a new one must begin.
type ExhaustedError struct{ LeaderEpoch uint64 }

// Error implements error.
func (e *ExhaustedError) Error() string {
	return "era " + strconv.FormatUint(e.LeaderEpoch, 10) + " has no numbers left"
}

// Sequence generates numbers, such as epochs, that grow within a leader epoch and from one to the next.
type Sequence struct {
	leaderEpoch uint64
	lastNumber  uint64
}

// NewSequence returns the sequence of a leader epoch.
func NewSequence(leaderEpoch uint64) Sequence { return Sequence{leaderEpoch: leaderEpoch} }

// Next returns the next number, or *ExhaustedError.
func (s *Sequence) Next() (uint64, error) {
	if s.lastNumber+1 >= 1<<leaderEpochShift {
		return 0, &ExhaustedError{LeaderEpoch: s.leaderEpoch}
	}
	s.lastNumber++
	return s.leaderEpoch<<leaderEpochShift | s.lastNumber, nil
}

// LeaderEpochOf returns the leader epoch in which a number was generated.
func LeaderEpochOf(number uint64) uint64 { return number >> leaderEpochShift }
