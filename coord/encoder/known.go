package encoder

import (
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// UnknownFieldError reports sound data of which the decoding type has no field, or one of another type: a later release
// wrote it.
type UnknownFieldError struct {
	// Field is the path of the field's numbers, such as 7.9; it is empty if the data is no struct of numbered fields.
	Field string
	Err   error
}

// Error implements error.
func (e *UnknownFieldError) Error() string {
	if e.Field == "" {
		return "not known to this release: " + e.Err.Error()
	}
	return "field " + e.Field + " is not known to this release"
}

// Unwrap returns the decoder's error.
func (e *UnknownFieldError) Unwrap() error { return e.Err }

// UnmarshalKnown is Unmarshal, except that it returns an UnknownFieldError for sound data that doesn't fit v. All other errors are
// those that every release returns for the data.
func UnmarshalKnown(data []byte, v any) error {
	err := knownMode.Unmarshal(data, v)
	if err == nil {
		return nil
	}
	var sound any
	if decMode.Unmarshal(data, &sound) != nil {
		return errors.Wrap(err, "decode")
	}
	return &UnknownFieldError{Field: unknownField(data, reflect.TypeOf(v)), Err: err}
}

// unknownField returns the path of the first field, by its number, that doesn't fit the type.
func unknownField(data []byte, t reflect.Type) string {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch t.Kind() {
	case reflect.Slice:
		var items []cbor.RawMessage
		if decMode.Unmarshal(data, &items) != nil {
			return ""
		}
		for _, item := range items {
			if !isKnown(item, t.Elem()) {
				return unknownField(item, t.Elem())
			}
		}
	case reflect.Struct:
		var fields map[uint64]cbor.RawMessage
		if decMode.Unmarshal(data, &fields) != nil {
			return ""
		}
		known := numberedFields(t)
		for _, n := range slices.Sorted(maps.Keys(fields)) {
			field, ok := known[n]
			if ok && isKnown(fields[n], field) {
				continue
			}
			path := strconv.FormatUint(n, 10)
			if !ok {
				return path
			}
			return strings.TrimSuffix(path+"."+unknownField(fields[n], field), ".")
		}
	}
	return ""
}

func isKnown(data []byte, t reflect.Type) bool {
	return knownMode.Unmarshal(data, reflect.New(t).Interface()) == nil
}

// numberedFields returns the types of a struct's fields by their numbers.
func numberedFields(t reflect.Type) map[uint64]reflect.Type {
	out := make(map[uint64]reflect.Type, t.NumField())
	for _, f := range reflect.VisibleFields(t) {
		number, _, _ := strings.Cut(f.Tag.Get("cbor"), ",")
		if n, err := strconv.ParseUint(number, 10, 64); err == nil {
			out[n] = f.Type
		}
	}
	return out
}
