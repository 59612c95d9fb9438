package configurer

import (
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/encoder"
)

// ObjectKind is the kind of a configuration object.
type ObjectKind string

// The kinds of configuration objects; a version's name is "adapter@number".
const (
	ObjectClass   ObjectKind = "class"
	ObjectService ObjectKind = "service"
	ObjectAdapter ObjectKind = "adapter"
	ObjectVersion ObjectKind = "version"
)

// Ref identifies one configuration object.
type Ref struct {
	Kind ObjectKind `json:"kind" cbor:"1,keyasint"`
	Name string     `json:"name" cbor:"2,keyasint"`
}

// Key returns the key of the object's item.
func (r Ref) Key() string { return string(r.Kind) + "/" + r.Name }

// Change is a request to put and delete objects at an expected revision.
type Change struct {
	ID               string `cbor:"1,keyasint"`
	ExpectedRevision uint64 `cbor:"2,keyasint"`
	Put              Doc    `cbor:"3,keyasint"`
	Delete           []Ref  `cbor:"4,keyasint,omitempty"`
}

// Finding is one error in a change, with the path of the field.
type Finding struct {
	Path   string `json:"path" cbor:"1,keyasint"`
	Reason string `json:"reason" cbor:"2,keyasint"`
}

// Diff is one encoded object before and after a change, nil where it doesn't exist.
type Diff struct {
	Ref    Ref    `cbor:"1,keyasint"`
	Before []byte `cbor:"2,keyasint,omitempty"`
	After  []byte `cbor:"3,keyasint,omitempty"`
}

// Outcome is the outcome of a change.
type Outcome int

// The outcomes of a change; only an accepted one is applied.
const (
	// OutcomeAccepted means that the reply's revision includes the change.
	OutcomeAccepted Outcome = iota + 1
	// OutcomeInvalid means that the change fails validation; the findings list the errors.
	OutcomeInvalid
	// OutcomeConflict means a stale revision or an existing version with other content.
	OutcomeConflict
	// OutcomeReused means that the change id was used for other content.
	OutcomeReused
)

// Reply is the reply to a change; a resent change gets the first reply again.
type Reply struct {
	Outcome  Outcome   `cbor:"1,keyasint"`
	Revision uint64    `cbor:"2,keyasint"`
	Findings []Finding `cbor:"3,keyasint,omitempty"`
	Changed  []Ref     `cbor:"4,keyasint,omitempty"`
	// ConflictingVersion is the existing version that differs, when that is the conflict.
	ConflictingVersion Ref `cbor:"5,keyasint"`
	// Repeated marks the stored reply to a resent change.
	Repeated bool `cbor:"6,keyasint,omitempty"`
}

// ParseVersion splits "adapter@number"; the number must be from 1.
func ParseVersion(name string) (string, int, error) {
	adapter, number, ok := strings.Cut(name, "@")
	n, err := strconv.Atoi(number)
	if !ok || err != nil || n < 1 {
		return "", 0, errors.Errorf("%q is not adapter@number", name)
	}
	return adapter, n, nil
}

// Decode decodes an object of a Diff into a ClassSpec, ServiceSpec or AdapterSpec.
func Decode(kind ObjectKind, data []byte) (any, error) {
	switch kind {
	case ObjectClass:
		return decodeAs[ClassSpec](data)
	case ObjectService:
		return decodeAs[ServiceSpec](data)
	case ObjectAdapter:
		return decodeAs[AdapterSpec](data)
	default:
		return nil, errors.Errorf("no object of kind %q", kind)
	}
}

func decodeAs[T any](data []byte) (any, error) {
	var v T
	if err := encoder.Unmarshal(data, &v); err != nil {
		return nil, err
	}
	return v, nil
}
