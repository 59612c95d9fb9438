package encoder

import (
	"encoding/binary"
	"fmt"
	"reflect"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Major types of CBOR items (RFC 8949, section 3.1) that contain bytes.
const (
	majorBytes = 2
	majorText  = 3
)

// lenientMode decodes text that isn't UTF-8 as it is.
var lenientMode = newDecMode(cbor.UTF8DecodeInvalid, cbor.ExtraDecErrorNone)

// check returns an error if Unmarshal would refuse data, a value that encMode has encoded: encoding knows no limits and
// doesn't look at text.
func check(data []byte) error {
	if err := decMode.Wellformed(data); err != nil {
		return err
	}
	for i := 0; i < len(data); {
		major, argument, n := readHead(data[i:])
		i += n
		if major != majorBytes && major != majorText {
			continue
		}
		end := i + int(argument)
		if major == majorText && !utf8.Valid(data[i:end]) {
			return errors.Errorf("text %q is not UTF-8", data[i:min(end, i+maxShownBytes)])
		}
		i = end
	}
	return nil
}

// readHead returns the major type, the argument and the size of a well-formed item's head.
func readHead(b []byte) (major byte, argument uint64, size int) {
	major, argument = b[0]>>5, uint64(b[0]&0x1f)
	switch argument {
	case 24:
		return major, uint64(b[1]), 2
	case 25:
		return major, uint64(binary.BigEndian.Uint16(b[1:])), 3
	case 26:
		return major, uint64(binary.BigEndian.Uint32(b[1:])), 5
	case 27:
		return major, binary.BigEndian.Uint64(b[1:]), 9
	}
	return major, argument, 1
}

// Partial is a message of lists whose elements stand for themselves: without one, the rest still holds.
type Partial interface {
	// SetDropped receives what DropInvalid returned.
	SetDropped(fields []string)
}

// DropInvalid removes what Marshal refuses from the struct that v points to: elements of its slices, and values of its
// other fields. It returns their fields' names, with the numbers of elements removed from slices.
func DropInvalid(v any) (dropped []string) {
	s := reflect.ValueOf(v).Elem()
	for i := range s.NumField() {
		f, name := s.Field(i), s.Type().Field(i).Name
		if !f.CanSet() || isValid(f) {
			continue
		}
		if f.Kind() != reflect.Slice {
			f.SetZero()
			dropped = append(dropped, name)
			continue
		}
		kept := reflect.MakeSlice(f.Type(), 0, f.Len())
		for j := range f.Len() {
			if e := f.Index(j); isValid(e) {
				kept = reflect.Append(kept, e)
			}
		}
		dropped = append(dropped, fmt.Sprintf("%d of %d %s", f.Len()-kept.Len(), f.Len(), name))
		f.Set(kept)
	}
	return dropped
}

func isValid(v reflect.Value) bool {
	_, err := Marshal(v.Interface())
	return err == nil
}

// unmarshalParts decodes the parts of a message that are valid by themselves.
func unmarshalParts(data []byte, v any) (dropped []string, err error) {
	reflect.ValueOf(v).Elem().SetZero()
	if err := lenientMode.Unmarshal(data, v); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	return DropInvalid(v), nil
}
