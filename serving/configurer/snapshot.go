package configurer

import (
	"crypto/sha256"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/encoder"
)

// hashChange identifies the content of a change.
func hashChange(c Change) ([]byte, error) {
	data, err := encoder.Marshal(c)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(data)
	return sum[:], nil
}

// Snapshot returns the whole state.
func (s *State) Snapshot() ([]byte, error) {
	items, err := s.catalog.Items()
	if err != nil {
		return nil, err
	}
	snap := snapshot{Revision: s.catalog.revision, Items: items}
	for _, id := range s.order {
		snap.Answers = append(snap.Answers, s.answers[id])
	}
	return encoder.Marshal(snap)
}

// Restore replaces the state by that of a snapshot; a bad one leaves it as it was.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := encoder.Unmarshal(data, &snap); err != nil {
		return errors.Wrap(err, "configuration snapshot")
	}
	catalog, err := (&Catalog{}).With(snap.Revision, snap.Items)
	if err != nil {
		return errors.Wrap(err, "configuration snapshot")
	}
	s.catalog = catalog
	s.answers = make(map[string]answer, len(snap.Answers))
	s.order = nil
	for _, a := range snap.Answers {
		s.remember(a)
	}
	return nil
}
