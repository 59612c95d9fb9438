package configurer

import (
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/encoder"
)

// Object names a kind of configuration object.
type Object string

// The kinds of configuration objects; a version's name is "adapter@number".
const (
	ObjectClass   Object = "class"
	ObjectService Object = "service"
	ObjectAdapter Object = "adapter"
	ObjectVersion Object = "version"
)

// Ref names one configuration object.
type Ref struct {
	Kind Object `json:"kind" cbor:"1,keyasint"`
	Name string `json:"name" cbor:"2,keyasint"`
}

// Key returns the key under which the object is spread.
func (r Ref) Key() string { return string(r.Kind) + "/" + r.Name }

// Change asks to put and delete objects at an expected revision.
type Change struct {
	ID     string `cbor:"1,keyasint"`
	Expect uint64 `cbor:"2,keyasint"`
	Put    Doc    `cbor:"3,keyasint"`
	Delete []Ref  `cbor:"4,keyasint,omitempty"`
}

// Finding says what is wrong at which place of a change.
type Finding struct {
	Path   string `json:"path" cbor:"1,keyasint"`
	Reason string `json:"reason" cbor:"2,keyasint"`
}

// Diff is one object before and after a change, each encoded, or nil where it didn't exist.
type Diff struct {
	Ref    Ref    `cbor:"1,keyasint"`
	Before []byte `cbor:"2,keyasint,omitempty"`
	After  []byte `cbor:"3,keyasint,omitempty"`
}

// Verdict says what became of a change.
type Verdict int

// The verdicts on a change; only an accepted one changed anything.
const (
	// VerdictAccepted means that the change is part of the revision in the reply.
	VerdictAccepted Verdict = iota + 1
	// VerdictInvalid means that the change is wrong by itself; the findings say why.
	VerdictInvalid
	// VerdictConflict means that another change came first.
	VerdictConflict
	// VerdictReused means that the change id belongs to a change with another content.
	VerdictReused
)

// Reply is the answer to a change; a change that is sent again gets the first one.
type Reply struct {
	Verdict  Verdict   `cbor:"1,keyasint"`
	Revision uint64    `cbor:"2,keyasint"`
	Findings []Finding `cbor:"3,keyasint,omitempty"`
	Changed  []Ref     `cbor:"4,keyasint,omitempty"`
	// Winner names the object whose existing version differs, when that is the conflict.
	Winner Ref `cbor:"5,keyasint"`
	// Repeated says that the change was applied before.
	Repeated bool `cbor:"6,keyasint,omitempty"`
}

// ParseVersion splits "adapter@number".
func ParseVersion(name string) (string, int, error) {
	adapter, number, ok := strings.Cut(name, "@")
	n, err := strconv.Atoi(number)
	if !ok || err != nil || n < 1 {
		return "", 0, errors.Errorf("%q is not adapter@number", name)
	}
	return adapter, n, nil
}

// Decode returns the specification that Diff carries encoded: a ClassSpec, ServiceSpec or AdapterSpec.
func Decode(kind Object, data []byte) (any, error) {
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
