package encoder

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
)

type earlierItem struct {
	Name string `cbor:"1,keyasint"`
}

type earlierMessage struct {
	Count int           `cbor:"1,keyasint,omitempty"`
	Items []earlierItem `cbor:"2,keyasint,omitempty"`
	One   *earlierItem  `cbor:"3,keyasint,omitempty"`
}

type laterItem struct {
	Name string `cbor:"1,keyasint"`
	Zone string `cbor:"4,keyasint,omitempty"`
}

type laterMessage struct {
	Count any         `cbor:"1,keyasint,omitempty"`
	Items []laterItem `cbor:"2,keyasint,omitempty"`
	One   *laterItem  `cbor:"3,keyasint,omitempty"`
	Added bool        `cbor:"9,keyasint,omitempty"`
}

// A decoder that ignores what it doesn't know loses it. Data that no release can read is another matter: it is the same to all.
func TestUnknownFieldIsNamed(t *testing.T) {
	c := qt.New(t)
	for _, tt := range []struct {
		name  string
		later any
		field string
	}{
		{"top", laterMessage{Count: 1, Added: true}, "9"},
		{"element", laterMessage{Items: []laterItem{{Name: "a"}, {Name: "b", Zone: "z"}}}, "2.4"},
		{"pointer", laterMessage{One: &laterItem{Zone: "z"}}, "3.4"},
		{"type", laterMessage{Count: "1"}, "1"},
		{"no struct", "text", ""},
	} {
		data, err := Marshal(tt.later)
		c.Assert(err, qt.IsNil)
		var unknown *UnknownFieldError
		c.Assert(errors.As(UnmarshalKnown(data, new(earlierMessage)), &unknown), qt.IsTrue, qt.Commentf("%s", tt.name))
		c.Check(unknown.Field, qt.Equals, tt.field, qt.Commentf("%s", tt.name))
	}
	data, err := Marshal(laterMessage{Count: 1, Items: []laterItem{{Name: "a"}}})
	c.Assert(err, qt.IsNil)
	var got earlierMessage
	c.Assert(UnmarshalKnown(data, &got), qt.IsNil)
	c.Check(got, qt.DeepEquals, earlierMessage{Count: 1, Items: []earlierItem{{Name: "a"}}})
	for _, unreadable := range [][]byte{{0x61, 0xff}, {0xa1, 0x09, 0x61, 0xff}, {0xa2, 0x09, 0x01, 0x09, 0x01}, {0xa1}, nil} {
		err := UnmarshalKnown(unreadable, new(earlierMessage))
		var unknown *UnknownFieldError
		c.Check(err, qt.IsNotNil)
		c.Check(errors.As(err, &unknown), qt.IsFalse, qt.Commentf("%x", unreadable))
	}
}
