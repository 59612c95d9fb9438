package leaser

import "strconv"

// eraShift is the number of bits below the era in a number of a Sequence.
const eraShift = 24

// ExhaustedError reports that an era has no numbers left; a new era must begin.
type ExhaustedError struct{ Era uint64 }

// Error implements error.
func (e *ExhaustedError) Error() string {
	return "era " + strconv.FormatUint(e.Era, 10) + " has no numbers left"
}

// Sequence generates numbers, such as epochs, that grow within an era and from era to era.
type Sequence struct {
	era  uint64
	last uint64
}

// NewSequence returns the sequence of an era.
func NewSequence(era uint64) Sequence { return Sequence{era: era} }

// Next returns the next number, or *ExhaustedError.
func (s *Sequence) Next() (uint64, error) {
	if s.last+1 >= 1<<eraShift {
		return 0, &ExhaustedError{Era: s.era}
	}
	s.last++
	return s.era<<eraShift | s.last, nil
}

// EraOf returns the era in which a number was generated.
func EraOf(number uint64) uint64 { return number >> eraShift }
