package configurer

import (
	"crypto/sha256"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/encoder"
)

// hashChange returns the SHA-256 of an encoded change.
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
	for _, id := range s.changeIDs {
		snap.Replies = append(snap.Replies, s.replies[id])
	}
	return encoder.Marshal(snap)
}

// Restore replaces the state by that of a snapshot; on an error the state is unchanged.
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
	s.replies = make(map[string]storedReply, len(snap.Replies))
	s.changeIDs = nil
	for _, r := range snap.Replies {
		s.storeReply(r)
	}
	return nil
}
